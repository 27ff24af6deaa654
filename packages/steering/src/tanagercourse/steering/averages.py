"""Means and counts of what happened lately."""

# A sliding interval moves on by this part of its length.
SLICES = 10


class DecayingAverage:
    """A mean in which older observations count less and less."""

    def __init__(self, half_life_s: float, now_s: float, value: float = 0.0) -> None:
        self.value = value
        self._half_life_s = half_life_s
        self._at_s = now_s

    def observe(self, value: float, now_s: float) -> float:
        """Take what held since the last observation, and return the mean."""
        kept = 0.5 ** ((now_s - self._at_s) / self._half_life_s)
        self.value = value + (self.value - value) * kept
        self._at_s = now_s
        return self.value


class SlidingCount:
    """A count of events over the last interval, and over the one before it."""

    def __init__(self, interval_s: float) -> None:
        self._slice_s = interval_s / SLICES
        self._counts: dict[int, int] = {}

    def last(self, now_s: float) -> int:
        """Return the count over the last interval."""
        return sum(self.slices(now_s)[SLICES:])

    def before(self, now_s: float) -> int:
        """Return the count over the interval before the last one."""
        return sum(self.slices(now_s)[:SLICES])

    def slices(self, now_s: float) -> list[int]:
        """Return the counts of both intervals in slices, the oldest first."""
        newest = self._slice(now_s)
        numbers = range(newest - 2 * SLICES + 1, newest + 1)
        return [self._counts.get(number, 0) for number in numbers]

    def add(self, now_s: float, change: int) -> None:
        """Count an event (1), or take one back (-1)."""
        newest = self._slice(now_s)
        if newest not in self._counts:
            oldest = newest - 2 * SLICES
            self._counts = {k: v for k, v in self._counts.items() if k > oldest}
        self._counts[newest] = self._counts.get(newest, 0) + change

    def _slice(self, now_s: float) -> int:
        return int(now_s / self._slice_s)
