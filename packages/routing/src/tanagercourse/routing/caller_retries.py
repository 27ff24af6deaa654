"""Time since a caller's first attempt, for requests that follow a refusal."""

from collections import OrderedDict
from dataclasses import dataclass

from tanagercourse.core.ids import RouteId
from tanagercourse.routing.configuration import Route

# Time since the first attempt from which a request is a caller's retry, in seconds.
# Callers return no sooner than the shortest Retry-After; a shorter time is the time
# that connecting took.
MIN_RETRY_ELAPSED_S = 0.09
# Share of the route's longest deadline below which a deadline is the caller's own
# shorter one: a caller that was refused returns while it has more time left.
MIN_RETRY_DEADLINE_SHARE = 0.4
# Time after which a longest deadline that was not seen again is forgotten, in seconds.
# It may last up to twice as long.
LONGEST_DEADLINE_TTL_S = 30.0


@dataclass
class _LongestDeadline:
    """The longest deadlines of the current period and of the one before, in seconds."""

    period_started_at_s: float
    seen_at_s: float
    current_s: float = 0.0
    previous_s: float = 0.0

    def record(self, deadline_s: float, now_s: float) -> float:
        """Record a deadline; return the longest one of both periods."""
        self.seen_at_s = now_s
        periods = (now_s - self.period_started_at_s) // LONGEST_DEADLINE_TTL_S
        if periods >= 1:
            self.previous_s = self.current_s if periods < 2 else 0.0
            self.current_s = 0.0
            self.period_started_at_s = now_s
        self.current_s = max(self.current_s, deadline_s)
        return max(self.current_s, self.previous_s)


class CallerElapsedTimes:
    """Derives the time since callers' first attempts from the deadlines they state."""

    def __init__(self) -> None:
        # By the time of the last request.
        self._longest: OrderedDict[RouteId, _LongestDeadline] = OrderedDict()

    @property
    def route_count(self) -> int:
        """Number of routes whose longest deadline is known."""
        return len(self._longest)

    def elapsed_s(self, route: Route, deadline_s: float, now_s: float) -> float:
        """Return the time since a caller's first attempt, and record its deadline.

        Callers of a route start with the same deadline, so a caller that was refused
        before has less time left.

        Args:
            route: The request's route.
            deadline_s: Time that the caller will still wait, in seconds.
            now_s: Time of the request's arrival, in seconds.

        Returns:
            The time in seconds, 0 if the request is the caller's first attempt.
        """
        initial = _LongestDeadline(now_s, now_s)
        longest = self._longest.setdefault(route.route_id, initial)
        longest_s = longest.record(deadline_s, now_s)
        self._longest.move_to_end(route.route_id)
        self._forget_routes(now_s - 2 * LONGEST_DEADLINE_TTL_S)
        elapsed_s = longest_s - deadline_s
        if elapsed_s < MIN_RETRY_ELAPSED_S:
            return 0.0
        return elapsed_s if deadline_s >= MIN_RETRY_DEADLINE_SHARE * longest_s else 0.0

    def _forget_routes(self, before_s: float) -> None:
        """Forget the routes without a request since a time, in seconds."""
        while next(iter(self._longest.values())).seen_at_s < before_s:
            self._longest.popitem(last=False)
