"""Hedging and overload signals: only safe, urgent work, within budget and load."""

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tanagercourse.core.ids import RequestId, ServiceId
from tanagercourse.core.states import Idempotency, Rank
from tanagercourse.core.work import Work
from tanagercourse.steering.hedging import MIN_LATENCIES, HedgePolicy, Hedging
from tanagercourse.steering.signals import (
    QueueView,
    by_queue_length,
    by_queue_wait,
    by_utilisation,
    is_remote_sooner,
)

POLICY = HedgePolicy()
QUEUES = st.builds(
    QueueView,
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
    for index in range(MIN_LATENCIES):
        hedging.record_latency(index / MIN_LATENCIES)
    return hedging


@pytest.mark.parametrize("rank", Rank)
@pytest.mark.parametrize("idempotency", Idempotency)
def test_only_idempotent_most_urgent_work_is_hedged(
    hedging: Hedging, rank: Rank, idempotency: Idempotency
) -> None:
    is_hedgeable = rank is Rank.MOST_URGENT and idempotency is Idempotency.IDEMPOTENT
    assert (hedging.delay_s(work(rank, idempotency)) is not None) is is_hedgeable


def test_delay_is_the_percentile_of_recent_latencies(hedging: Hedging) -> None:
    delay_s = hedging.delay_s(work(Rank.MOST_URGENT, Idempotency.IDEMPOTENT))
    assert delay_s == pytest.approx(POLICY.percentile, abs=1.0 / MIN_LATENCIES)


def test_nothing_is_hedged_without_recent_latencies() -> None:
    without_latencies = Hedging(POLICY, Random(1))
    assert (
        without_latencies.delay_s(work(Rank.MOST_URGENT, Idempotency.IDEMPOTENT))
        is None
    )


@given(first_attempts=st.integers(0, 300), slow_requests=st.integers(0, 300))
@settings(derandomize=True, max_examples=50, deadline=None)
def test_hedges_stay_within_their_share_of_first_attempts(
    first_attempts: int, slow_requests: int
) -> None:
    hedging = Hedging(POLICY, Random(1))
    for _ in range(first_attempts):
        hedging.delay_s(work(Rank.MOST_URGENT, Idempotency.IDEMPOTENT))
    hedges = sum(hedging.try_hedge(0, True) for _ in range(slow_requests))
    assert hedges <= POLICY.burst + POLICY.share * first_attempts


def test_no_hedge_while_requests_wait_or_without_an_own_slot(hedging: Hedging) -> None:
    assert not hedging.try_hedge(waiting=1, has_own_slot=True)
    assert not hedging.try_hedge(waiting=0, has_own_slot=False)
    assert hedging.try_hedge(waiting=0, has_own_slot=True)


@given(queue=QUEUES)
@settings(derandomize=True, max_examples=100, deadline=None)
def test_signals_agree_on_an_idle_queue_and_queue_wait_respects_deadlines(
    queue: QueueView,
) -> None:
    if queue.wait_s + queue.required_s >= queue.remaining_s:
        assert by_queue_wait(queue)
    elif queue.waiting == 0:
        signals = (
            by_queue_wait,
            by_queue_length(1),
            by_utilisation(lambda _: 0.5, 0.8),
        )
        assert not any(signal(queue) for signal in signals)


def test_remote_slot_is_sooner_only_beyond_its_round_trip() -> None:
    assert is_remote_sooner(queue_wait_s=0.05, one_way_s=0.02)
    assert not is_remote_sooner(queue_wait_s=0.04, one_way_s=0.02)
