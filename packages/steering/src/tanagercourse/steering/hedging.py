"""Hedge slow requests, where a second execution is safe and displaces no other work.

Only idempotent work of the most urgent rank is hedged, after a percentile of the
service's recent latencies and within a budget. A hedge must not add to an overload:
none is sent while requests wait or without a free slot of the instance's own share.
"""

from collections import deque
from dataclasses import dataclass
from random import Random

from tanagercourse.core.states import Idempotency, Rank
from tanagercourse.core.work import Work
from tanagercourse.steering.retries import RetryBudget, RetryPolicy

# Number of recent latencies kept, and the minimum number needed to hedge.
WINDOW_SIZE = 128
MIN_LATENCIES = 20


@dataclass(frozen=True)
class HedgePolicy:
    """Limits of hedging.

    Attributes:
        share: Hedges that each first attempt adds to the budget.
        burst: Maximum and initial balance of the budget, in hedges.
        percentile: Percentile of recent latencies to wait for, as a fraction.
    """

    share: float = 0.05
    burst: float = 10.0
    percentile: float = 0.95


class Hedging:
    """Recent latencies and the hedge budget of one service at one instance.

    Args:
        policy: Limits of hedging.
        random: Source of randomness, seeded by the caller.
    """

    def __init__(self, policy: HedgePolicy, random: Random) -> None:
        self._percentile = policy.percentile
        self._budget = RetryBudget(RetryPolicy(policy.share, policy.burst), random)
        self._latencies_s: deque[float] = deque(maxlen=WINDOW_SIZE)

    def record_latency(self, latency_s: float) -> None:
        """Record the latency of an attempt, in seconds."""
        self._latencies_s.append(latency_s)

    def delay_s(self, work: Work) -> float | None:
        """Record a first attempt and return the delay before its hedge, in seconds.

        Returns:
            The delay, or None when the request must not be hedged.
        """
        self._budget.deposit()
        is_urgent = work.rank is Rank.MOST_URGENT
        if not is_urgent or work.idempotency is not Idempotency.IDEMPOTENT:
            return None
        if len(self._latencies_s) < MIN_LATENCIES:
            return None
        sorted_latencies_s = sorted(self._latencies_s)
        return sorted_latencies_s[int(self._percentile * (len(sorted_latencies_s) - 1))]

    def try_hedge(self, waiting: int, has_own_slot: bool) -> bool:
        """Withdraw a hedge from the budget, unless it would add to an overload.

        Args:
            waiting: Requests for the service that wait at this instance.
            has_own_slot: Whether a slot of this instance's share is free at another
                upstream.

        Returns:
            Whether the hedge may be sent.
        """
        return waiting == 0 and has_own_slot and self._budget.try_withdraw()
