"""Bound how often requests are sent more than once, over all instances together.

Each instance keeps to the same share of its own requests, so that all keep to it
together without a message between them.
"""

from collections import deque

from tanagercourse.core.ids import ServiceId

# An instance does not know how many others there are: it takes this share of the
# repeats allowed besides, and never more than some, of which there are enough for the
# largest deployments, whose bounds grow with them.
SLACK_SHARE = 1 / 15
MOST_SLACK = 2.0
# Share of the ratio that an instance uses: it also counts requests that only try a
# configuration out, and its busiest interval is not that of the others.
RATIO_SHARE = 0.9


def instance_retry_slack(slack: float) -> float:
    """Return how many repeats one instance may add to its share of requests.

    Args:
        slack: Repeats that all instances together may add.

    >>> instance_retry_slack(206.0), instance_retry_slack(15.0)
    (2.0, 1.0)
    """
    return min(SLACK_SHARE * slack, MOST_SLACK)


def instance_retry_ratio(ratio: float) -> float:
    """Return how many repeats one instance makes for each of its requests.

    Args:
        ratio: Repeats allowed for each request of all instances.

    >>> instance_retry_ratio(1.0)
    0.9
    """
    return RATIO_SHARE * ratio


class SlidingWindowRetryBudget:
    """Sends beyond the first of each request, by service, in a sliding interval."""

    def __init__(self, ratio: float, slack: float, window_s: float) -> None:
        """Create a budget with nothing counted.

        Args:
            ratio: Repeats allowed for each request.
            slack: Repeats allowed besides, by this instance alone.
            window_s: Length of the interval, in seconds.
        """
        self._ratio = ratio
        self.slack = slack
        self._window_s = window_s
        self._requests: dict[ServiceId, deque[float]] = {}
        self._repeats: dict[ServiceId, deque[float]] = {}

    def count_request(self, service: ServiceId, now_s: float) -> None:
        """Count a caller's request for a service."""
        self._requests.setdefault(service, deque()).append(now_s)

    def try_repeat(self, service: ServiceId, now_s: float) -> bool:
        """Count a repeat if the budget has room for it."""
        requests = self._since(self._requests, service, now_s)
        repeats = self._since(self._repeats, service, now_s)
        if len(repeats) + 1 > self._ratio * len(requests) + self.slack:
            return False
        repeats.append(now_s)
        return True

    def _since(
        self, counts: dict[ServiceId, deque[float]], service: ServiceId, now_s: float
    ) -> deque[float]:
        times = counts.setdefault(service, deque())
        while times and times[0] <= now_s - self._window_s:
            times.popleft()
        return times
