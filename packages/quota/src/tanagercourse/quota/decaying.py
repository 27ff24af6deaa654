"""A rate of events that weighs recent ones more."""

from math import exp


class DecayingRate:
    """An exponentially weighted rate, per second."""

    def __init__(self, time_constant_s: float) -> None:
        """Start at 0.

        Args:
            time_constant_s: Age at which an event counts 1/e of a new one, in seconds.
        """
        self._time_constant_s = time_constant_s
        self._rate_per_s = 0.0
        self._updated_at_s = 0.0

    def record(self, now_s: float, count: float = 1.0) -> None:
        """Record events at a time."""
        self._rate_per_s = self.per_s(now_s) + count / self._time_constant_s
        self._updated_at_s = now_s

    def per_s(self, now_s: float) -> float:
        """Return the rate at a time that is not before the last event."""
        if not self._rate_per_s:
            return 0.0
        age_s = now_s - self._updated_at_s
        return self._rate_per_s * exp(-age_s / self._time_constant_s)
