"""Skip an upstream for a short cooldown after it shed a request."""

from random import Random

from tanagercourse.core.ids import UpstreamId

# The cooldown after a shed doubles with each consecutive shed, up to the maximum.
INITIAL_COOLDOWN_S = 0.02
MAX_COOLDOWN_S = 0.2


class ShedCooldowns:
    """The cooldowns of upstreams that shed requests of this instance.

    Args:
        random: Source of randomness for the jitter, seeded by the caller.
    """

    def __init__(self, random: Random) -> None:
        self._random = random
        self._cooldown_s: dict[UpstreamId, float] = {}
        self._until_s: dict[UpstreamId, float] = {}

    def record_shed(self, upstream: UpstreamId, now_s: float) -> float:
        """Record that an upstream shed a request.

        Args:
            upstream: The upstream.
            now_s: A monotonic clock, in seconds.

        Returns:
            When the cooldown ends, in seconds.
        """
        cooldown_s = min(
            MAX_COOLDOWN_S, self._cooldown_s.get(upstream, INITIAL_COOLDOWN_S / 2) * 2
        )
        self._cooldown_s[upstream] = cooldown_s
        # Full jitter, so that instances shed at the same time do not retry together.
        until_s = now_s + self._random.uniform(0.0, cooldown_s)
        self._until_s[upstream] = until_s
        return until_s

    def record_success(self, upstream: UpstreamId) -> None:
        """Record that an upstream served a request; this resets its cooldown."""
        self._cooldown_s.pop(upstream, None)
        self._until_s.pop(upstream, None)

    def is_in_cooldown(self, upstream: UpstreamId, now_s: float) -> bool:
        """Return whether to skip an upstream now."""
        return now_s < self._until_s.get(upstream, now_s)
