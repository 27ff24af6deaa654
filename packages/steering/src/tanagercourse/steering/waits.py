"""Estimate how long a request would wait in a queue before it starts."""

# Weight of the latest interval between starts in the exponential moving average.
GAP_WEIGHT = 0.1


class WaitEstimator:
    """Estimates queue wait from the interval between starts while requests wait.

    Queue wait grows without bound as load exceeds capacity, so it distinguishes a small
    overload from a large one when utilisation is 100% in both cases.
    """

    def __init__(self) -> None:
        self._mean_gap_s = 0.0
        self._gap_began_at_s = 0.0

    def record_queue_nonempty(self, now_s: float) -> None:
        """Record that the queue was empty and a request now joins it."""
        self._gap_began_at_s = now_s

    def record_start(self, now_s: float) -> None:
        """Record that a request leaves the queue and starts now."""
        gap_s = now_s - self._gap_began_at_s
        self._mean_gap_s += GAP_WEIGHT * (gap_s - self._mean_gap_s)
        self._gap_began_at_s = now_s

    def wait_s(self, waiting: int, now_s: float) -> float:
        """Return how long a request that joined the queue now would wait, in seconds.

        The estimate is never less than the time since the last start.

        Args:
            waiting: Requests in the queue.
            now_s: A monotonic clock, in seconds.
        """
        if not waiting:
            return 0.0
        stalled_s = now_s - self._gap_began_at_s
        return max(self._mean_gap_s, stalled_s / (waiting + 1)) * (waiting + 1)
