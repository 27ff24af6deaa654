"""Limit retries over all instances without communication between them.

Each instance limits its retries to the same share of its own requests, so the sum over
all instances stays within that share as well.
"""

from collections import deque

from tanagercourse.core.ids import ServiceId

# Share of the slack of all instances that one instance uses, up to MAX_INSTANCE_SLACK.
# Both are fixed, because the number of instances is not available to an instance. The
# maximum keeps the largest deployments within their slack, which grows with the
# deployment.
INSTANCE_SLACK_SHARE = 1 / 15
MAX_INSTANCE_SLACK = 2.0
# Share of the allowed ratio that an instance uses. The rest is a margin, because an
# instance also counts requests that only try out a configuration, which the limit does
# not count, and because instances reach their busiest windows at different times.
INSTANCE_RATIO_SHARE = 0.9


def instance_retry_slack(slack: float) -> float:
    """Return how many retries one instance may make beyond its ratio in one window.

    Args:
        slack: Retries that all instances together may make beyond the ratio in one
            window.

    >>> instance_retry_slack(206.0), instance_retry_slack(15.0)
    (2.0, 1.0)
    """
    return min(INSTANCE_SLACK_SHARE * slack, MAX_INSTANCE_SLACK)


def instance_retry_ratio(ratio: float) -> float:
    """Return the number of retries per request that one instance may make.

    Args:
        ratio: Retries allowed per request over all instances.

    >>> instance_retry_ratio(1.0)
    0.9
    """
    return INSTANCE_RATIO_SHARE * ratio


class SlidingWindowRetryBudget:
    """Limits the retries of each service in a sliding window.

    Attributes:
        slack: Retries that this instance may make beyond the ratio in one window.
    """

    def __init__(self, ratio: float, slack: float, window_s: float) -> None:
        """Create an unused budget.

        Args:
            ratio: Retries allowed per request.
            slack: Retries that this instance may make beyond the ratio.
            window_s: Length of the window, in seconds.
        """
        self._ratio = ratio
        self.slack = slack
        self._window_s = window_s
        self._requests: dict[ServiceId, deque[float]] = {}
        self._retries: dict[ServiceId, deque[float]] = {}

    def count_request(self, service: ServiceId, now_s: float) -> None:
        """Count a caller's request for a service."""
        self._times_within_window(self._requests, service, now_s).append(now_s)

    def request_count(self, service: ServiceId) -> int:
        """Return the number of requests for a service that are kept in the window."""
        return len(self._requests.get(service, ()))

    def try_retry(self, service: ServiceId, now_s: float) -> bool:
        """Count a retry if the budget allows it; return whether it does."""
        requests = self._times_within_window(self._requests, service, now_s)
        retries = self._times_within_window(self._retries, service, now_s)
        if len(retries) + 1 > self._ratio * len(requests) + self.slack:
            return False
        retries.append(now_s)
        return True

    def _times_within_window(
        self,
        times_by_service: dict[ServiceId, deque[float]],
        service: ServiceId,
        now_s: float,
    ) -> deque[float]:
        times = times_by_service.setdefault(service, deque())
        while times and times[0] <= now_s - self._window_s:
            times.popleft()
        return times
