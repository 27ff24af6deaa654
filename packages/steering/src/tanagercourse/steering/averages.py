"""Time-weighted moving averages and sliding-window event counts."""

# A sliding window advances in steps of its length divided by this number.
SLICES_PER_WINDOW = 10


class DecayingAverage:
    """An exponentially decaying average, weighted by time.

    Args:
        half_life_s: Time after which an observation has half its weight, in seconds.
        now_s: A monotonic clock, in seconds.
        value: The initial average.
    """

    def __init__(self, half_life_s: float, now_s: float, value: float = 0.0) -> None:
        self.value = value
        self._half_life_s = half_life_s
        self._observed_at_s = now_s

    def observe(self, value: float, now_s: float) -> float:
        """Add a value that held since the last observation and return the average.

        Args:
            value: The observed value.
            now_s: A monotonic clock, in seconds.
        """
        retained = 0.5 ** ((now_s - self._observed_at_s) / self._half_life_s)
        self.value = value + (self.value - value) * retained
        self._observed_at_s = now_s
        return self.value


class SlidingWindowCount:
    """Event counts over the current sliding window and the window before it.

    Args:
        window_s: Length of a window, in seconds.
    """

    def __init__(self, window_s: float) -> None:
        self._slice_s = window_s / SLICES_PER_WINDOW
        self._counts: dict[int, int] = {}

    def current(self, now_s: float) -> int:
        """Return the number of events in the window that ends now."""
        return sum(self.slices(now_s)[SLICES_PER_WINDOW:])

    def previous(self, now_s: float) -> int:
        """Return the number of events in the window before the current one."""
        return sum(self.slices(now_s)[:SLICES_PER_WINDOW])

    def slices(self, now_s: float) -> list[int]:
        """Return the counts of the slices of both windows, oldest first."""
        newest = self._slice_index(now_s)
        indexes = range(newest - 2 * SLICES_PER_WINDOW + 1, newest + 1)
        return [self._counts.get(index, 0) for index in indexes]

    def add(self, now_s: float, change: int) -> None:
        """Count an event (1), or cancel an event counted earlier (-1)."""
        newest = self._slice_index(now_s)
        if newest not in self._counts:
            oldest = newest - 2 * SLICES_PER_WINDOW
            self._counts = {
                index: count for index, count in self._counts.items() if index > oldest
            }
        self._counts[newest] = self._counts.get(newest, 0) + change

    def _slice_index(self, now_s: float) -> int:
        return int(now_s / self._slice_s)
