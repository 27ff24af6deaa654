"""Hedging: only what is safe and urgent, within a budget, never into overload."""

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tanagercourse.core.ids import RequestId, ServiceId
from tanagercourse.core.states import Idempotency, Rank
from tanagercourse.core.work import Work
from tanagercourse.steering.hedging import MIN_ANSWERS, HedgePolicy, Hedging
from tanagercourse.steering.signals import (
    LineView,
    by_queue_length,
    by_queue_wait,
    by_utilisation,
    is_worth_the_hop,
)

POLICY = HedgePolicy()
LINES = st.builds(
    LineView,
    st.just(ServiceId("kitstock")),
    st.integers(0, 100),
    st.floats(0.0, 10.0),
    st.floats(0.0, 1.0),
    st.floats(0.0, 10.0),
)


def work(rank: Rank, idempotency: Idempotency) -> Work:
    return Work(RequestId("r1"), ServiceId("kitstock"), rank, idempotency, 10.0)


@pytest.fixture
def hedging() -> Hedging:
    hedging = Hedging(POLICY, Random(1))
    for index in range(MIN_ANSWERS):
        hedging.record_latency(index / MIN_ANSWERS)
    return hedging


@pytest.mark.parametrize("rank", Rank)
@pytest.mark.parametrize("idempotency", Idempotency)
def test_only_idempotent_most_urgent_work_is_hedged(
    hedging: Hedging, rank: Rank, idempotency: Idempotency
) -> None:
    is_safe = rank is Rank.MOST_URGENT and idempotency is Idempotency.IDEMPOTENT
    assert (hedging.delay_s(work(rank, idempotency)) is not None) is is_safe


def test_delay_is_the_usual_latency_of_slow_answers(hedging: Hedging) -> None:
    delay_s = hedging.delay_s(work(Rank.MOST_URGENT, Idempotency.IDEMPOTENT))
    assert delay_s == pytest.approx(POLICY.percentile, abs=1.0 / MIN_ANSWERS)


def test_nothing_is_hedged_before_latency_is_known() -> None:
    unknown = Hedging(POLICY, Random(1))
    assert unknown.delay_s(work(Rank.MOST_URGENT, Idempotency.IDEMPOTENT)) is None


@given(first=st.integers(0, 300), slow=st.integers(0, 300))
@settings(derandomize=True, max_examples=50, deadline=None)
def test_hedges_stay_within_their_share(first: int, slow: int) -> None:
    hedging = Hedging(POLICY, Random(1))
    for _ in range(first):
        hedging.delay_s(work(Rank.MOST_URGENT, Idempotency.IDEMPOTENT))
    hedges = sum(hedging.may_hedge(0, True) for _ in range(slow))
    assert hedges <= POLICY.burst + POLICY.share * first


def test_no_hedge_adds_to_an_overload(hedging: Hedging) -> None:
    assert not hedging.may_hedge(waiting=1, has_own_slot=True)
    assert not hedging.may_hedge(waiting=0, has_own_slot=False)
    assert hedging.may_hedge(waiting=0, has_own_slot=True)


@given(line=LINES)
@settings(derandomize=True, max_examples=100, deadline=None)
def test_signals_agree_on_an_idle_line_and_wait_knows_the_deadline(
    line: LineView,
) -> None:
    if line.wait_s + line.needed_s >= line.remaining_s:
        assert by_queue_wait(line)
    elif line.waiting == 0:
        sheds = (by_queue_wait, by_queue_length(1), by_utilisation(lambda _: 0.5, 0.8))
        assert not any(shed(line) for shed in sheds)


def test_a_hop_is_worth_more_wait_than_its_round_trip() -> None:
    assert is_worth_the_hop(queue_wait_s=0.05, one_way_s=0.02)
    assert not is_worth_the_hop(queue_wait_s=0.04, one_way_s=0.02)
