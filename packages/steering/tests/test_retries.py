"""Retries: never twice what may not, within the budget, and spread in time."""

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
FAILURES = st.builds(
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


def failed(attempt: int = 1) -> FailedAttempt:
    refusal = Refusal(
        RequestId("r1"), RefusalReason.UPSTREAM_LOST, Execution.MAY_HAVE_RUN
    )
    return FailedAttempt(work(Idempotency.IDEMPOTENT), refusal, attempt)


@given(failure=FAILURES)
@settings(derandomize=True, max_examples=100, deadline=None)
def test_work_that_may_not_run_twice_is_never_sent_again(
    failure: FailedAttempt,
) -> None:
    is_safe = (
        failure.work.idempotency is Idempotency.IDEMPOTENT
        or failure.refusal.execution is Execution.NOT_RUN
    )
    for decide in (RetryBudget(POLICY, Random(1)).decide, retry_immediately(3)):
        assert is_safe or decide(failure, 0.0) is None


@given(attempts=st.lists(st.integers(1, 3), max_size=8))
@settings(derandomize=True, max_examples=50, deadline=None)
def test_within_the_budget_it_retries_what_the_naive_way_does(
    attempts: list[int],
) -> None:
    budget, naive = RetryBudget(POLICY, Random(1)), retry_immediately(3)
    for attempt in attempts:
        mine, its = budget.decide(failed(attempt), 0.0), naive(failed(attempt), 0.0)
        assert (mine is None) == (its is None)


@given(first=st.integers(0, 200), failures=st.integers(0, 200))
@settings(derandomize=True, max_examples=50, deadline=None)
def test_retries_stay_within_their_share_of_first_attempts(
    first: int, failures: int
) -> None:
    budget = RetryBudget(POLICY, Random(1))
    for _ in range(first):
        budget.deposit()
    retries = sum(budget.decide(failed(), 0.0) is not None for _ in range(failures))
    assert retries <= POLICY.burst + POLICY.share * first


def test_waits_are_spread_from_zero_to_a_doubling_bound() -> None:
    budget = RetryBudget(RetryPolicy(burst=1_000.0), Random(1))
    for attempt in (1, 3, 7):
        bound_s = min(POLICY.longest_s, POLICY.base_s * 2 ** (attempt - 1))
        waits = [budget.decide(failed(attempt), 0.0) or 0.0 for _ in range(100)]
        assert 0.0 <= min(waits) < 0.2 * bound_s
        assert 0.8 * bound_s < max(waits) <= bound_s


def test_no_retry_starts_past_the_deadline() -> None:
    assert RetryBudget(POLICY, Random(1)).decide(failed(), 10.0) is None
    assert retry_immediately(3)(failed(), 10.0) is None
