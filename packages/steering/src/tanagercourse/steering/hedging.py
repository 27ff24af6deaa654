"""Send a slow request a second time, where that is safe and costs nobody else.

Only idempotent work of the most urgent rank is hedged, after its service's usual
latency has passed, from a budget, and never while other work waits or without a free
slot of the instance's own: a hedge must not add to an overload.
"""

from collections import deque
from dataclasses import dataclass
from random import Random

from tanagercourse.core.states import Idempotency, Rank
from tanagercourse.core.work import Work
from tanagercourse.steering.retries import RetryBudget, RetryPolicy

# Latencies kept of the newest answers, and how many are needed to hedge at all.
WINDOW_ANSWERS = 128
MIN_ANSWERS = 20


@dataclass(frozen=True)
class HedgePolicy:
    """Limits of hedging.

    Attributes:
        share: Hedges that each first attempt earns.
        burst: Hedges that can be saved up.
        percentile: Share of answers that are quicker than the delay of a hedge.
    """

    share: float = 0.05
    burst: float = 10.0
    percentile: float = 0.95


class Hedging:
    """An instance's hedges of one service: usual latency and budget."""

    def __init__(self, policy: HedgePolicy, random: Random) -> None:
        self._percentile = policy.percentile
        self._budget = RetryBudget(RetryPolicy(policy.share, policy.burst), random)
        self._latencies_s: deque[float] = deque(maxlen=WINDOW_ANSWERS)

    def record_latency(self, latency_s: float) -> None:
        """Note how long an attempt took, in seconds."""
        self._latencies_s.append(latency_s)

    def delay_s(self, work: Work) -> float | None:
        """Note a first attempt; return after how long to hedge it, in seconds.

        Returns:
            None when the request is never to be hedged.
        """
        self._budget.deposit()
        is_urgent = work.rank is Rank.MOST_URGENT
        if not is_urgent or work.idempotency is not Idempotency.IDEMPOTENT:
            return None
        if len(self._latencies_s) < MIN_ANSWERS:
            return None
        ordered_s = sorted(self._latencies_s)
        return ordered_s[int(self._percentile * (len(ordered_s) - 1))]

    def may_hedge(self, waiting: int, has_own_slot: bool) -> bool:
        """Take a hedge from the budget, unless it would add to an overload.

        Args:
            waiting: Requests that wait at this instance for the service.
            has_own_slot: Whether another upstream has a free slot of its own share.
        """
        return waiting == 0 and has_own_slot and self._budget.try_withdraw()
