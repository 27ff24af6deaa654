"""Admission by rank: properties over random histories and orders."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Success

from tanagercourse.core.ids import RequestId, ServiceId
from tanagercourse.core.states import RANKS, Execution, Idempotency, Rank, RefusalReason
from tanagercourse.core.work import Work
from tanagercourse.steering.admission import AdmissionPolicy, AdmissionQueue
from tanagercourse.steering.ranking import (
    ChooseRank,
    RankFloor,
    earliest_deadline,
    first_come_first_served,
    priority_with_floors,
    strict_priority,
    weighted_fair,
)

MAX_RUNNING = 10
FLOORS = (
    RankFloor(Rank.MOST_URGENT, 0.5),
    RankFloor(Rank.NEXT, 0.3),
    RankFloor(Rank.LEAST_URGENT, 0.1),
)
ORDERS = {
    "strict": strict_priority,
    "first_come_first_served": first_come_first_served,
    "earliest_deadline": earliest_deadline,
    "weighted_fair": weighted_fair(FLOORS),
    "priority_with_floors": priority_with_floors(FLOORS, MAX_RUNNING),
}
# Each step offers a request of a rank, takes a request, or finishes the oldest one.
STEPS = st.lists(st.sampled_from([*RANKS, "take", "finish"]), max_size=80)


def work(index: int, rank: Rank, expires_at_s: float = 1_000.0) -> Work:
    return Work(
        RequestId(f"r{index}"),
        ServiceId(rank.value),
        rank,
        Idempotency.IDEMPOTENT,
        expires_at_s,
    )


def filled_queue(order: ChooseRank, ranks: list[Rank]) -> AdmissionQueue:
    queue = AdmissionQueue(AdmissionPolicy(max_running=MAX_RUNNING), order)
    for index, rank in enumerate(ranks):
        assert isinstance(queue.offer(work(index, rank), 0.0), Success)
    return queue


def take_all(queue: AdmissionQueue) -> list[Work]:
    return list(iter(lambda: queue.take(0.0), None))


@pytest.mark.parametrize("order", ORDERS.values(), ids=ORDERS.keys())
@given(steps=STEPS)
@settings(derandomize=True, max_examples=60, deadline=None)
def test_no_request_is_lost_duplicated_or_run_beyond_the_limit(
    order: ChooseRank, steps: list[Rank | str]
) -> None:
    queue = AdmissionQueue(
        AdmissionPolicy(max_running=MAX_RUNNING, max_waiting=5), order
    )
    waiting: set[str] = set()
    running: list[Work] = []
    for index, step in enumerate(steps):
        now_s = index * 0.01
        if isinstance(step, Rank):
            if isinstance(queue.offer(work(index, step), now_s), Success):
                waiting.add(f"r{index}")
        elif step == "take" and (taken := queue.take(now_s)):
            waiting.remove(taken.request_id)
            running.append(taken)
        elif step == "finish" and running:
            queue.finish(running.pop(0), now_s)
        assert len(running) <= MAX_RUNNING
        assert len(queue) == len(waiting) <= 5 * len(RANKS)


@given(ranks=st.lists(st.just(Rank.NEXT), max_size=20))
@settings(derandomize=True, max_examples=20, deadline=None)
def test_single_rank_runs_first_come_first_served_in_every_order(
    ranks: list[Rank],
) -> None:
    taken = {
        name: take_all(filled_queue(order, ranks)) for name, order in ORDERS.items()
    }
    assert (
        taken["strict"]
        == taken["first_come_first_served"]
        == taken["earliest_deadline"]
    )
    assert taken["strict"] == taken["weighted_fair"] == taken["priority_with_floors"]


@given(st.permutations([rank for rank in RANKS for _ in range(15)]))
@settings(derandomize=True, max_examples=30, deadline=None)
def test_each_rank_gets_its_floor_and_the_most_urgent_rank_the_remaining_limit(
    ranks: list[Rank],
) -> None:
    taken = take_all(filled_queue(ORDERS["priority_with_floors"], ranks))
    counts = {
        rank: sum(taken_work.rank is rank for taken_work in taken) for rank in RANKS
    }
    assert counts == {Rank.MOST_URGENT: 6, Rank.NEXT: 3, Rank.LEAST_URGENT: 1}


def test_rank_without_a_free_slot_does_not_block_other_ranks() -> None:
    queue = filled_queue(
        ORDERS["priority_with_floors"], [Rank.MOST_URGENT, Rank.LEAST_URGENT]
    )
    taken = queue.take(0.0, lambda head: head.rank is not Rank.MOST_URGENT)
    assert taken is not None and taken.rank is Rank.LEAST_URGENT


def test_urgent_work_starts_as_soon_as_lower_rank_work_finishes() -> None:
    queue = filled_queue(ORDERS["priority_with_floors"], [Rank.LEAST_URGENT] * 30)
    running = take_all(queue)
    queue.offer(work(99, Rank.MOST_URGENT), 0.0)
    assert queue.take(0.0) is None
    queue.finish(running[0], 0.1)
    taken = queue.take(0.1)
    assert taken is not None and taken.rank is Rank.MOST_URGENT


def test_work_that_cannot_meet_its_deadline_is_refused_as_not_run() -> None:
    queue = AdmissionQueue(AdmissionPolicy(max_running=1))
    for index in range(12):
        queue.offer(work(index, Rank.NEXT), index * 0.1)
        running = queue.take(index * 0.1)
        assert running is not None
        queue.finish(running, index * 0.1 + 0.1)
    refused = queue.offer(work(50, Rank.NEXT, expires_at_s=2.05), 2.0).failure()
    assert refused.reason is RefusalReason.DEADLINE
    assert refused.execution is Execution.NOT_RUN


def test_stalled_queue_refuses_work_that_would_miss_its_deadline() -> None:
    queue = filled_queue(strict_priority, [Rank.NEXT] * 4)
    refused = queue.offer(work(9, Rank.NEXT, expires_at_s=7.0), 5.0).failure()
    assert refused.reason is RefusalReason.OVERLOADED
    assert refused.retry_after_s == pytest.approx(5.0)


def test_expired_work_is_dropped_and_reported_once() -> None:
    queue = AdmissionQueue(AdmissionPolicy())
    queue.offer(work(1, Rank.NEXT, expires_at_s=1.0), 0.0)
    assert queue.take(2.0) is None
    assert [expired.request_id for expired in queue.pop_expired()] == ["r1"]
    assert queue.pop_expired() == ()


def test_orders_choose_no_rank_without_candidates() -> None:
    assert [order([]) for order in ORDERS.values()] == [None] * len(ORDERS)
