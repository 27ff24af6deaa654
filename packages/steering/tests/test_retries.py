"""Retries: only safe ones, within the budget, with jittered delays."""

from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from tanagercourse.core.ids import RequestId, ServiceId
from tanagercourse.core.problems import Refusal
from tanagercourse.core.states import Execution, Idempotency, Rank, RefusalReason
from tanagercourse.core.work import Work
from tanagercourse.steering.retries import (
    FailedAttempt,
    RetryBudget,
    RetryPolicy,
    retry_immediately,
)

POLICY = RetryPolicy()
FAILED_ATTEMPTS = st.builds(
    lambda idempotency, execution, reason, attempt: FailedAttempt(
        work(idempotency), Refusal(RequestId("r1"), reason, execution), attempt
    ),
    st.sampled_from(Idempotency),
    st.sampled_from(Execution),
    st.sampled_from([RefusalReason.UPSTREAM_LOST, RefusalReason.DEADLINE]),
    st.integers(1, 10),
)


def work(idempotency: Idempotency) -> Work:
    return Work(RequestId("r1"), ServiceId("orderpost"), Rank.NEXT, idempotency, 10.0)


def failed_attempt(attempt: int = 1) -> FailedAttempt:
    refusal = Refusal(
        RequestId("r1"), RefusalReason.UPSTREAM_LOST, Execution.MAY_HAVE_RUN
    )
    return FailedAttempt(work(Idempotency.IDEMPOTENT), refusal, attempt)


@given(failed=FAILED_ATTEMPTS)
@settings(derandomize=True, max_examples=100, deadline=None)
def test_work_that_must_not_run_twice_is_never_retried(
    failed: FailedAttempt,
) -> None:
    is_safe = (
        failed.work.idempotency is Idempotency.IDEMPOTENT
        or failed.refusal.execution is Execution.NOT_RUN
    )
    for decide in (RetryBudget(POLICY, Random(1)).decide, retry_immediately(3)):
        assert is_safe or decide(failed, 0.0) is None


@given(attempts=st.lists(st.integers(1, 3), max_size=8))
@settings(derandomize=True, max_examples=50, deadline=None)
def test_retries_within_the_budget_match_the_baseline(
    attempts: list[int],
) -> None:
    budget, baseline = RetryBudget(POLICY, Random(1)), retry_immediately(3)
    for attempt in attempts:
        budgeted_delay_s, baseline_delay_s = (
            budget.decide(failed_attempt(attempt), 0.0),
            baseline(failed_attempt(attempt), 0.0),
        )
        assert (budgeted_delay_s is None) == (baseline_delay_s is None)


@given(first_attempts=st.integers(0, 200), failed_attempts=st.integers(0, 200))
@settings(derandomize=True, max_examples=50, deadline=None)
def test_retries_stay_within_their_share_of_first_attempts(
    first_attempts: int, failed_attempts: int
) -> None:
    budget = RetryBudget(POLICY, Random(1))
    for _ in range(first_attempts):
        budget.deposit()
    retries = sum(
        budget.decide(failed_attempt(), 0.0) is not None for _ in range(failed_attempts)
    )
    assert retries <= POLICY.burst + POLICY.share * first_attempts


def test_delays_are_spread_from_zero_to_a_doubling_maximum() -> None:
    budget = RetryBudget(RetryPolicy(burst=1_000.0), Random(1))
    for attempt in (1, 3, 7):
        max_delay_s = min(POLICY.max_delay_s, POLICY.base_delay_s * 2 ** (attempt - 1))
        delays_s = [
            budget.decide(failed_attempt(attempt), 0.0) or 0.0 for _ in range(100)
        ]
        assert 0.0 <= min(delays_s) < 0.2 * max_delay_s
        assert 0.8 * max_delay_s < max(delays_s) <= max_delay_s


def test_no_retry_starts_past_the_deadline() -> None:
    assert RetryBudget(POLICY, Random(1)).decide(failed_attempt(), 10.0) is None
    assert retry_immediately(3)(failed_attempt(), 10.0) is None
