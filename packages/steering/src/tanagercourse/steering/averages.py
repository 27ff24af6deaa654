"""Means and counts in which older observations count less and less."""

import math


class Average:
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


class FadingCount:
    """A count of events of which older ones count less and less."""

    def __init__(self, mean_s: float, now_s: float) -> None:
        self._mean_s = mean_s
        self._at_s = now_s
        self._count = 0.0

    def count(self, now_s: float) -> float:
        """Return the count now."""
        self._count *= math.exp((self._at_s - now_s) / self._mean_s)
        self._at_s = now_s
        return self._count

    def add(self, now_s: float, change: int) -> None:
        """Count an event (1), or take one back (-1)."""
        self._count = max(0.0, self.count(now_s) + change)
