"""Tests of the counts that an entry instance publishes for the burn report."""

import pytest
from returns.result import Failure

from tanagercourse.burn.paths import burn_path, merge_tiers
from tanagercourse.burn.recorder import BurnRecorder
from tanagercourse.burn.series import CompletedDrain, Outcome, Series, decode_series
from tanagercourse.burn.tiers import TIERS
from tanagercourse.burn.windows import Window, count_requests, merge_series
from tanagercourse.core.ids import RequestId, ServiceId, UpstreamId, ZoneId
from tanagercourse.core.problems import Refusal
from tanagercourse.core.states import (
    Execution,
    Idempotency,
    Rank,
    RefusalReason,
    UpstreamState,
)
from tanagercourse.core.work import Work
from tanagercourse.entry.burn import BurnPublisher, DrainTracker, record_outcome
from tanagercourse.steering.upstreams import UpstreamView
from tanagercourse.testing.stores import FakeStore

pytestmark = pytest.mark.anyio

ZONE = ZoneId("split-a")
SERVICE = ServiceId("motritelj")
RANK = Rank.MOST_URGENT
START_S = 1_198_800.0


@pytest.fixture
def fake_store() -> FakeStore:
    return FakeStore()


def make_publisher(fake_store: FakeStore, now_s: float) -> BurnPublisher:
    recorder = BurnRecorder("entry-1", ZONE, now_s)
    return BurnPublisher(fake_store.as_store(), recorder, "entry-1", dict)


def read_published(fake_store: FakeStore) -> Series:
    read_results = [
        fake_store.objects.read(burn_path("entry-1", tier)) for tier in TIERS
    ]
    tier_series = [
        decode_series(read_result.unwrap().path, read_result.unwrap().value).unwrap()
        for read_result in read_results
        if not isinstance(read_result, Failure)
    ]
    return merge_tiers(tier_series)[0]


def make_view(state: UpstreamState, in_flight: int) -> UpstreamView:
    return UpstreamView(UpstreamId("u-1"), ZONE, state, 4, in_flight)


async def record_and_publish(
    publisher: BurnPublisher, start_s: float, seconds: int
) -> None:
    for second in range(1, seconds + 1):
        now_s = start_s + second
        publisher.recorder.record(SERVICE, RANK, Outcome.ANSWERED, 0.01, now_s)
        if second % 5 == 0:
            await publisher.publish(now_s)


def count_answered(series: Series, end_s: float) -> int:
    measured = merge_series([series], TIERS[-1].length_s)
    return count_requests(
        measured.intervals, Window(START_S, end_s), SERVICE, RANK
    ).answered


async def test_every_tier_is_published_and_each_request_counts_once(
    fake_store: FakeStore,
) -> None:
    publisher = make_publisher(fake_store, START_S)
    await record_and_publish(publisher, START_S, 4_000)
    await publisher.publish_final(START_S + 4_000)
    series = read_published(fake_store)
    assert {interval.length_s for interval in series.intervals} == {60, 600, 3_600}
    assert count_answered(series, START_S + 4_001) == 4_000
    assert series.stopped_at_s == START_S + 4_000
    # The first write and one per minute, one per ten minutes, one per hour, the last.
    assert fake_store.objects.version == 67 + 6 + 1 + 1


async def test_lost_responses_of_the_store_lose_no_counts(
    fake_store: FakeStore,
) -> None:
    publisher = make_publisher(fake_store, START_S)
    fake_store.replies_to_lose = 3
    await record_and_publish(publisher, START_S, 120)
    await publisher.publish_final(START_S + 120)
    assert count_answered(read_published(fake_store), START_S + 121) == 120


async def test_restart_continues_from_the_published_counts(
    fake_store: FakeStore,
) -> None:
    first_run = make_publisher(fake_store, START_S)
    await record_and_publish(first_run, START_S, 130)
    second_run = make_publisher(fake_store, START_S + 200)
    await second_run.restore()
    await record_and_publish(second_run, START_S + 200, 100)
    await second_run.publish_final(START_S + 300)
    # The first run published last after 120 s, so its counts from 120 s to 130 s are
    # lost.
    assert count_answered(read_published(fake_store), START_S + 301) == 220


def test_drain_lasts_until_no_request_is_in_flight() -> None:
    tracker = DrainTracker()
    live, draining = UpstreamState.LIVE, UpstreamState.DRAINING
    observations = [
        (live, 2),
        (draining, 2),
        (draining, 1),
        (draining, 0),
        (draining, 0),
    ]
    drains = [
        tracker.observe(SERVICE, [make_view(state, in_flight)], START_S + second)
        for second, (state, in_flight) in enumerate(observations)
    ]
    assert drains[3] == (CompletedDrain(SERVICE, UpstreamId("u-1"), START_S + 3, 2.0),)
    assert drains[:3] + drains[4:] == [()] * 4


def test_upstream_draining_before_the_start_is_not_measured() -> None:
    tracker = DrainTracker()
    assert (
        tracker.observe(SERVICE, [make_view(UpstreamState.DRAINING, 0)], START_S) == ()
    )


@pytest.mark.parametrize(
    ("reason", "execution", "outcome"),
    [
        (None, None, Outcome.ANSWERED),
        (RefusalReason.OVERLOADED, Execution.NOT_RUN, Outcome.REFUSED),
        (RefusalReason.DEADLINE, Execution.MAY_HAVE_RUN, Outcome.FAILED),
        (RefusalReason.INVALID_REQUEST, Execution.NOT_RUN, None),
        (RefusalReason.CANCELLED, Execution.MAY_HAVE_RUN, None),
    ],
)
def test_request_is_counted_by_its_outcome(
    reason: RefusalReason | None, execution: Execution | None, outcome: Outcome | None
) -> None:
    work = Work(RequestId("r"), SERVICE, RANK, Idempotency.IDEMPOTENT, 1.0)
    refusal = (
        Refusal(work.request_id, reason, execution) if reason and execution else None
    )
    recorder = BurnRecorder("entry-1", ZONE, START_S)
    record_outcome(recorder, work, refusal, 0.01, START_S)
    cells = recorder.series(START_S).intervals[0].cells
    if outcome is None:
        assert cells == ()
        return
    counts = {
        Outcome.ANSWERED: cells[0].answered,
        Outcome.REFUSED: cells[0].refused,
        Outcome.FAILED: cells[0].failed,
    }
    assert counts[outcome] == 1
    assert cells[0].total == 1
