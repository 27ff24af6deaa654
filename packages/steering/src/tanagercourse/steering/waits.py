"""Estimate how long a request would wait in a line before it starts."""

# Weight of the newest gap between two starts in the moving average.
GAP_WEIGHT = 0.1


class WaitEstimate:
    """The rate at which a line's requests start, seen while any of them wait.

    Queue wait grows without bound as load passes capacity, so it still tells a small
    overload from a large one where utilisation stands at 100%.
    """

    def __init__(self) -> None:
        self._gap_s = 0.0
        self._since_s = 0.0

    def began(self, now_s: float) -> None:
        """Note that the line was empty until now."""
        self._since_s = now_s

    def started(self, now_s: float) -> None:
        """Note that a request of the line starts now."""
        gap_s = now_s - self._since_s
        self._gap_s += GAP_WEIGHT * (gap_s - self._gap_s)
        self._since_s = now_s

    def wait_s(self, waiting: int, now_s: float) -> float:
        """Return the wait of a request behind so many others, in seconds.

        Args:
            waiting: Requests of the line that wait now.
            now_s: The clock's reading, in seconds.
        """
        if not waiting:
            return 0.0
        stalled_s = now_s - self._since_s
        return max(self._gap_s, stalled_s / (waiting + 1)) * (waiting + 1)
