"""Eject upstreams that lose requests repeatedly, but never all of a service."""

from collections.abc import Iterable

from tanagercourse.core.ids import UpstreamId

# Consecutive lost requests after which an upstream is ejected.
LOSSES_BEFORE_EJECTION = 3
EJECTION_DURATION_S = 2.0


class Ejections:
    """Counts consecutive losses of upstreams and ejects those that reach the limit.

    An ejection ends after `EJECTION_DURATION_S`. While all other upstreams of a service
    are ejected too, none is reported as ejected, so that wrong signals can't leave the
    service without upstreams.
    """

    def __init__(self) -> None:
        self._consecutive_losses: dict[UpstreamId, int] = {}
        self._ejected_until_s: dict[UpstreamId, float] = {}

    def record_loss(self, upstream: UpstreamId, now_s: float) -> None:
        """Count a lost request; eject the upstream at the limit."""
        self._consecutive_losses[upstream] = (
            self._consecutive_losses.get(upstream, 0) + 1
        )
        if self._consecutive_losses[upstream] >= LOSSES_BEFORE_EJECTION:
            self._ejected_until_s[upstream] = now_s + EJECTION_DURATION_S

    def record_success(self, upstream: UpstreamId) -> None:
        """Reset the count of losses and end an ejection."""
        self._consecutive_losses.pop(upstream, None)
        self._ejected_until_s.pop(upstream, None)

    def is_ejected(
        self, upstream: UpstreamId, other_upstreams: Iterable[UpstreamId], now_s: float
    ) -> bool:
        """Return whether an upstream is ejected now.

        Args:
            upstream: The upstream.
            other_upstreams: The other upstreams of its service.
            now_s: The monotonic time, in seconds.
        """
        if not self._is_within_ejection(upstream, now_s):
            return False
        return not all(
            self._is_within_ejection(other, now_s) for other in other_upstreams
        )

    def _is_within_ejection(self, upstream: UpstreamId, now_s: float) -> bool:
        return now_s < self._ejected_until_s.get(upstream, now_s)
