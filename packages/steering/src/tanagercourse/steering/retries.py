"""Decide whether and when a request is retried, within a retry budget."""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from tanagercourse.core.problems import Refusal
from tanagercourse.core.states import Execution, Idempotency, RefusalReason
from tanagercourse.core.work import Work


@dataclass(frozen=True)
class FailedAttempt:
    """A failed attempt of a request.

    Attributes:
        work: The request.
        refusal: Why the attempt failed and whether the request may have run.
        attempt: Number of the attempt, from 1.
    """

    work: Work
    refusal: Refusal
    attempt: int


# Takes a failed attempt and the time, in seconds. Returns the delay before the next
# attempt, in seconds, or None to give up.
DecideRetry = Callable[[FailedAttempt, float], float | None]


def may_retry(work: Work, refusal: Refusal) -> bool:
    """Return whether a retry is safe: the request has not run or is idempotent."""
    if refusal.execution is Execution.NOT_RUN:
        return True
    return work.idempotency is Idempotency.IDEMPOTENT


def retry_immediately(count: int) -> DecideRetry:
    """Return the baseline policy: immediate retries, independent of load.

    Args:
        count: Maximum retries of one request.
    """

    def decide(failed: FailedAttempt, now_s: float) -> float | None:
        if failed.attempt > count or not may_retry(failed.work, failed.refusal):
            return None
        return 0.0 if failed.work.remaining_s(now_s) > 0 else None

    return decide


@dataclass(frozen=True)
class RetryPolicy:
    """Limits of retries.

    Attributes:
        share: Retries that each first attempt adds to the budget.
        burst: Maximum and initial balance of the budget, in retries.
        base_delay_s: Maximum delay of the first retry, in seconds; it doubles with each
            further one.
        max_delay_s: Upper limit of that maximum, in seconds.
        max_attempts: Maximum attempts of one request.
    """

    share: float = 0.2
    burst: float = 10.0
    base_delay_s: float = 0.005
    max_delay_s: float = 0.25
    max_attempts: int = 8


class RetryBudget:
    """A retry budget, replenished by first attempts.

    Args:
        policy: Limits of retries.
        random: Source of randomness for the delays, seeded by the caller.
    """

    def __init__(self, policy: RetryPolicy, random: Random) -> None:
        self._policy = policy
        self._random = random
        self._balance = policy.burst

    def deposit(self) -> None:
        """Record a first attempt, which adds its share to the balance."""
        self._balance = min(self._policy.burst, self._balance + self._policy.share)

    def has_balance(self) -> bool:
        """Return whether the balance covers a retry."""
        return self._balance >= 1.0

    def try_withdraw(self) -> bool:
        """Withdraw one retry; return False if the balance does not cover it."""
        if not self.has_balance():
            return False
        self._balance -= 1.0
        return True

    def decide(self, failed: FailedAttempt, now_s: float) -> float | None:
        """Return the delay before a retry, in seconds, or None for no retry.

        The delay is drawn between 0 and a maximum that doubles with each attempt, so
        that requests that failed together are not retried together. A retry after
        `UPSTREAM_SHED` is immediate and counts against neither the budget nor the
        maximum number of attempts.

        Args:
            failed: The failed attempt.
            now_s: The same clock as the request's deadline, in seconds.
        """
        if not may_retry(failed.work, failed.refusal):
            return None
        if failed.refusal.reason is RefusalReason.UPSTREAM_SHED:
            return 0.0
        if failed.attempt >= self._policy.max_attempts:
            return None
        bound_s = self._policy.base_delay_s * 2.0 ** (failed.attempt - 1)
        delay_s = self._random.uniform(0.0, min(self._policy.max_delay_s, bound_s))
        if failed.work.remaining_s(now_s) <= delay_s or not self.try_withdraw():
            return None
        return delay_s
