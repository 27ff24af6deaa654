"""Tell a caller's first visit from one that came back after a refusal."""

from tanagercourse.core.ids import RouteId
from tanagercourse.routing.configuration import Route

# A caller with less than this share of the longest deadline seen has come back.
CAME_BACK_SHARE = 0.93


class CallerRetryDetector:
    """The longest deadline that callers of each route have sent."""

    def __init__(self) -> None:
        self._longest_s: dict[RouteId, float] = {}

    def is_caller_retry(self, route: Route, deadline_s: float) -> bool:
        """Return whether a caller with this deadline, in seconds, came back.

        Callers of a route start with the same deadline; one that was refused has
        less of it left.
        """
        longest_s = max(self._longest_s.get(route.route_id, 0.0), deadline_s)
        self._longest_s[route.route_id] = longest_s
        return deadline_s < CAME_BACK_SHARE * longest_s
