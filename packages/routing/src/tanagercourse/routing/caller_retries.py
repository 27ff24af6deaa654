"""Distinguish a caller's first request from a retry after a refusal."""

from tanagercourse.core.ids import RouteId
from tanagercourse.routing.configuration import Route

# A request with a deadline below this share of the route's longest one is a retry.
RETRY_DEADLINE_SHARE = 0.93


class CallerRetryDetector:
    """Detects callers' retries by the longest deadline seen on each route."""

    def __init__(self) -> None:
        self._max_deadline_s: dict[RouteId, float] = {}

    def is_caller_retry(self, route: Route, deadline_s: float) -> bool:
        """Return whether a request is a caller's retry, and record its deadline.

        Callers of a route start with the same deadline, so a caller that was refused
        before has less time left.

        Args:
            route: The request's route.
            deadline_s: Time that the caller will still wait, in seconds.
        """
        max_deadline_s = max(self._max_deadline_s.get(route.route_id, 0.0), deadline_s)
        self._max_deadline_s[route.route_id] = max_deadline_s
        return deadline_s < RETRY_DEADLINE_SHARE * max_deadline_s
