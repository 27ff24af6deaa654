"""The time in which what an older copy of the store lacks is written again."""

from collections.abc import Callable


class RewriteWait:
    """A wait after the store's return, which ends only while the store responds.

    Attributes:
        is_active: Whether the wait has begun and not ended.
    """

    def __init__(self, duration_s: float, clock: Callable[[], float]) -> None:
        """Prepare a wait.

        Args:
            duration_s: Length of the wait, in seconds.
            clock: A monotonic clock, in seconds.
        """
        self.is_active = False
        self._duration_s = duration_s
        self._clock = clock
        self._until_s = 0.0
        self._is_outage = False

    def begin(self) -> None:
        """Begin the wait, or begin it anew."""
        self.is_active = True
        self._until_s = self._clock() + self._duration_s

    def begin_outage(self) -> None:
        """Record that the store doesn't respond."""
        self._is_outage = True

    def end_outage(self) -> None:
        """Begin an active wait anew: what was written meanwhile may not be known."""
        self._is_outage = False
        if self.is_active:
            self.begin()

    def end_if_over(self) -> bool:
        """End the wait if its time is over; return whether it ended."""
        is_over = self._clock() >= self._until_s and not self._is_outage
        if not self.is_active or not is_over:
            return False
        self.is_active = False
        return True
