"""What an entry instance counts and publishes for the burn report."""

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
from tanagercourse.entry.burn import BurnPublisher, DrainWatch, record_end
from tanagercourse.steering.upstreams import UpstreamView
from tanagercourse.testing.stores import FakeStore

pytestmark = pytest.mark.anyio

ZONE = ZoneId("split-a")
SERVICE = ServiceId("motritelj")
RANK = Rank.MOST_URGENT
T0 = 1_198_800.0


@pytest.fixture
def fake() -> FakeStore:
    return FakeStore()


def publisher(fake: FakeStore, now_s: float) -> BurnPublisher:
    recorder = BurnRecorder("entry-1", ZONE, now_s)
    return BurnPublisher(fake.port(), recorder, "entry-1", dict)


def published(fake: FakeStore) -> Series:
    stored = [fake.objects.read(burn_path("entry-1", tier)) for tier in TIERS]
    parts = [
        decode_series(each.unwrap().path, each.unwrap().value).unwrap()
        for each in stored
        if not isinstance(each, Failure)
    ]
    return merge_tiers(parts)[0]


def view(state: UpstreamState, in_flight: int) -> UpstreamView:
    return UpstreamView(UpstreamId("u-1"), ZONE, state, 4, in_flight)


async def run(each: BurnPublisher, start_s: float, seconds: int) -> None:
    for second in range(1, seconds + 1):
        now_s = start_s + second
        each.recorder.record(SERVICE, RANK, Outcome.ANSWERED, 0.01, now_s)
        if second % 5 == 0:
            await each.publish(now_s)


def counted(series: Series, end_s: float) -> int:
    measured = merge_series([series], TIERS[-1].length_s)
    return count_requests(measured.intervals, Window(T0, end_s), SERVICE, RANK).answered


async def test_every_tier_is_published_and_counts_once(fake: FakeStore) -> None:
    each = publisher(fake, T0)
    await run(each, T0, 4_000)
    await each.finish(T0 + 4_000)
    series = published(fake)
    assert {interval.length_s for interval in series.intervals} == {60, 600, 3_600}
    assert counted(series, T0 + 4_001) == 4_000
    assert series.stopped_at_s == T0 + 4_000
    # One write a minute, one in ten minutes, one an hour, the last, and the first.
    assert fake.objects.version == 67 + 6 + 1 + 1


async def test_lost_replies_lose_no_count(fake: FakeStore) -> None:
    each = publisher(fake, T0)
    fake.replies_to_lose = 3
    await run(each, T0, 120)
    await each.finish(T0 + 120)
    assert counted(published(fake), T0 + 121) == 120


async def test_restart_goes_on_where_it_had_published(fake: FakeStore) -> None:
    first = publisher(fake, T0)
    await run(first, T0, 130)
    second = publisher(fake, T0 + 200)
    await second.restore()
    await run(second, T0 + 200, 100)
    await second.finish(T0 + 300)
    # The first start published at 60, 120 and with nothing since: 120 to 130 is lost.
    assert counted(published(fake), T0 + 301) == 220


def test_drain_lasts_until_nothing_is_in_flight() -> None:
    watch = DrainWatch()
    live, draining = UpstreamState.LIVE, UpstreamState.DRAINING
    looks = [(live, 2), (draining, 2), (draining, 1), (draining, 0), (draining, 0)]
    ended = [
        watch.observe(SERVICE, [view(state, in_flight)], T0 + second)
        for second, (state, in_flight) in enumerate(looks)
    ]
    assert ended[3] == (CompletedDrain(SERVICE, UpstreamId("u-1"), T0 + 3, 2.0),)
    assert ended[:3] + ended[4:] == [()] * 4


def test_upstream_that_drained_before_the_start_is_left_out() -> None:
    watch = DrainWatch()
    assert watch.observe(SERVICE, [view(UpstreamState.DRAINING, 0)], T0) == ()


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
def test_outcome_of_a_request(
    reason: RefusalReason | None, execution: Execution | None, outcome: Outcome | None
) -> None:
    work = Work(RequestId("r"), SERVICE, RANK, Idempotency.IDEMPOTENT, 1.0)
    refusal = (
        Refusal(work.request_id, reason, execution) if reason and execution else None
    )
    recorder = BurnRecorder("entry-1", ZONE, T0)
    record_end(recorder, work, refusal, 0.01, T0)
    cells = recorder.series(T0).intervals[0].cells
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
