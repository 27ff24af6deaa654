"""Leave an upstream alone for a moment after it shed a request."""

from random import Random

from tanagercourse.core.ids import UpstreamId

# Rest after the first shed; it doubles with each further one, up to the longest.
FIRST_REST_S = 0.02
LONGEST_REST_S = 0.2


class ShedCooldowns:
    """Upstreams that shed lately, and until when each is left alone."""

    def __init__(self, random: Random) -> None:
        self._random = random
        self._rest_s: dict[UpstreamId, float] = {}
        self._until_s: dict[UpstreamId, float] = {}

    def record_shed(self, upstream: UpstreamId, now_s: float) -> float:
        """Note that an upstream shed, and return when to try it again, in seconds."""
        rest_s = min(LONGEST_REST_S, self._rest_s.get(upstream, FIRST_REST_S / 2) * 2)
        self._rest_s[upstream] = rest_s
        # Full jitter: instances that were shed together must not return together.
        until_s = now_s + self._random.uniform(0.0, rest_s)
        self._until_s[upstream] = until_s
        return until_s

    def record_success(self, upstream: UpstreamId) -> None:
        """Note that an upstream took a request: its next rest starts small again."""
        self._rest_s.pop(upstream, None)
        self._until_s.pop(upstream, None)

    def is_in_cooldown(self, upstream: UpstreamId, now_s: float) -> bool:
        """Whether an upstream is to be left alone now."""
        return now_s < self._until_s.get(upstream, now_s)
