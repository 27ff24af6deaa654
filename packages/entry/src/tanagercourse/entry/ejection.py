"""Leave an upstream alone that keeps losing requests, but never all of them."""

from collections.abc import Iterable

from tanagercourse.core.ids import UpstreamId

# Requests lost one after the other before an upstream is ejected.
LOST_IN_A_ROW = 3
EJECTED_FOR_S = 2.0


class Ejections:
    """Upstreams that lost several requests in a row, and until when each is out.

    An ejected upstream is tried again after a while. While every other one is ejected
    too, none counts as ejected: bad signals can't empty a pool.
    """

    def __init__(self) -> None:
        self._lost: dict[UpstreamId, int] = {}
        self._until_s: dict[UpstreamId, float] = {}

    def lost(self, upstream: UpstreamId, now_s: float) -> None:
        """Note that a request to an upstream was lost."""
        self._lost[upstream] = self._lost.get(upstream, 0) + 1
        if self._lost[upstream] >= LOST_IN_A_ROW:
            self._until_s[upstream] = now_s + EJECTED_FOR_S

    def record_success(self, upstream: UpstreamId) -> None:
        """Note that an upstream answered."""
        self._lost.pop(upstream, None)
        self._until_s.pop(upstream, None)

    def is_ejected(
        self, upstream: UpstreamId, others: Iterable[UpstreamId], now_s: float
    ) -> bool:
        """Whether an upstream is out now.

        Args:
            upstream: The upstream.
            others: The other upstreams of its service.
            now_s: The clock's reading, in seconds.
        """
        if not self._is_out(upstream, now_s):
            return False
        return not all(self._is_out(other, now_s) for other in others)

    def _is_out(self, upstream: UpstreamId, now_s: float) -> bool:
        return now_s < self._until_s.get(upstream, now_s)
