"""Decide whether and when a request is sent again."""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from tanagercourse.core.problems import Refusal
from tanagercourse.core.states import Execution, Idempotency, RefusalReason
from tanagercourse.core.work import Work


@dataclass(frozen=True)
class FailedAttempt:
    """A request's failed attempt.

    Attributes:
        work: The request.
        refusal: Why the attempt failed and whether it may have run.
        attempt: Which attempt it was, from 1.
    """

    work: Work
    refusal: Refusal
    attempt: int


# Takes a failed attempt and the time, in seconds. Returns how long to wait before the
# next attempt, in seconds, or None when there is to be none.
DecideRetry = Callable[[FailedAttempt, float], float | None]


def may_repeat(work: Work, refusal: Refusal) -> bool:
    """Tell whether a request can be sent again without running twice."""
    if refusal.execution is Execution.NOT_RUN:
        return True
    return work.idempotency is Idempotency.IDEMPOTENT


def retry_immediately(count: int) -> DecideRetry:
    """Return the naive decision: so many retries at once, whatever the load."""

    def decide(failed: FailedAttempt, now_s: float) -> float | None:
        if failed.attempt > count or not may_repeat(failed.work, failed.refusal):
            return None
        return 0.0 if failed.work.remaining_s(now_s) > 0 else None

    return decide


@dataclass(frozen=True)
class RetryPolicy:
    """Limits of retries.

    Attributes:
        share: Retries that each first attempt earns.
        burst: Retries that can be saved up.
        base_s: Upper bound of the first wait, in seconds; it doubles each time.
        longest_s: Upper bound of any wait, in seconds.
        max_attempts: Attempts of one request.
    """

    share: float = 0.2
    burst: float = 10.0
    base_s: float = 0.005
    longest_s: float = 0.25
    max_attempts: int = 8


class RetryBudget:
    """Retries that one instance may still make, earned by its first attempts."""

    def __init__(self, policy: RetryPolicy, random: Random) -> None:
        self._policy = policy
        self._random = random
        self._saved = policy.burst

    def deposit(self) -> None:
        """Note a first attempt."""
        self._saved = min(self._policy.burst, self._saved + self._policy.share)

    def has_balance(self) -> bool:
        """Whether one more could be spent."""
        return self._saved >= 1.0

    def try_withdraw(self) -> bool:
        """Take one retry from the budget; False when it has none left."""
        if not self.has_balance():
            return False
        self._saved -= 1.0
        return True

    def decide(self, failed: FailedAttempt, now_s: float) -> float | None:
        """Return the wait before a retry, in seconds, or None for no retry.

        The wait is drawn from zero to a bound that doubles with each attempt, so that
        requests which failed together do not come back together.
        """
        if not may_repeat(failed.work, failed.refusal):
            return None
        if failed.refusal.reason is RefusalReason.UPSTREAM_SHED:
            return 0.0
        if failed.attempt >= self._policy.max_attempts:
            return None
        bound_s = self._policy.base_s * 2.0 ** (failed.attempt - 1)
        wait_s = self._random.uniform(0.0, min(self._policy.longest_s, bound_s))
        if failed.work.remaining_s(now_s) <= wait_s or not self.try_withdraw():
            return None
        return wait_s
