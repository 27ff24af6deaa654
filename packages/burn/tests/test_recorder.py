"""Tests of recorded intervals, gaps and encoding, with figures computed by hand."""

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tanagercourse.burn.latency import decode_histogram, percentile_ms
from tanagercourse.burn.paths import burn_path, merge_tiers, select_tier
from tanagercourse.burn.recorder import BurnRecorder
from tanagercourse.burn.series import (
    Outcome,
    Series,
    decode_series,
    encode_series,
)
from tanagercourse.burn.tiers import BUDGET_PERIOD_S, TIERS, roll_up, select_intervals
from tanagercourse.burn.windows import (
    Window,
    count_requests,
    measured_share,
    merge_series,
)
from tanagercourse.core.ids import ServiceId, ZoneId
from tanagercourse.core.states import Rank

SERVICE = ServiceId("motritelj")
RANK = Rank.MOST_URGENT
ZONE = ZoneId("split-a")
# The control traffic that one entry instance may cause, in bytes per second.
CONTROL_BYTES_S = 3_000
# The start of an hour, in seconds since 1970.
T0 = 1_198_800.0


def record_each_second(recorder: BurnRecorder, start_s: float, seconds: int) -> None:
    for second in range(1, seconds + 1):
        recorder.record(SERVICE, RANK, Outcome.ANSWERED, 0.1, start_s + second)


def test_requests_are_counted_in_the_minute_in_which_they_finish() -> None:
    recorder = BurnRecorder("entry-1", ZONE, T0)
    record_each_second(recorder, T0, 90)
    recorder.record(SERVICE, RANK, Outcome.REFUSED, 0.0, T0 + 90)
    recorder.record(SERVICE, RANK, Outcome.FAILED, 2.0, T0 + 90)
    first_interval, second_interval = recorder.series(T0 + 90).intervals
    assert (first_interval.start_s, first_interval.measured_s) == (T0, 60.0)
    assert (second_interval.start_s, second_interval.measured_s) == (T0 + 60, 30.0)
    assert first_interval.cells[0].answered == 59
    cell = second_interval.cells[0]
    assert (cell.answered, cell.refused, cell.failed) == (31, 1, 1)
    assert cell.busy_s == pytest.approx(31 * 0.1 + 2.0)


def test_pause_is_a_gap() -> None:
    recorder = BurnRecorder("entry-1", ZONE, T0)
    record_each_second(recorder, T0, 30)
    record_each_second(recorder, T0 + 200, 40)
    series = recorder.series(T0 + 240)
    assert measured_share([series], Window(T0, T0 + 240)) == pytest.approx(69 / 240)
    assert measured_share([series], Window(T0 + 60, T0 + 180)) == 0.0


def test_restart_is_a_gap_and_keeps_published_measurements() -> None:
    before = BurnRecorder("entry-1", ZONE, T0)
    record_each_second(before, T0, 60)
    published = before.series(T0 + 60)
    after = BurnRecorder("entry-1", ZONE, T0 + 90)
    after.restore(published)
    record_each_second(after, T0 + 90, 29)
    series = after.series(T0 + 120)
    window = Window(T0, T0 + 120)
    assert measured_share([series], window) == pytest.approx(90 / 120)
    assert count_requests(series.intervals, window, SERVICE, RANK).answered == 89


def test_graceful_shutdown_leaves_no_gap() -> None:
    recorder = BurnRecorder("entry-1", ZONE, T0)
    record_each_second(recorder, T0, 60)
    recorder.stop(T0 + 60)
    series = recorder.series(T0 + 60)
    assert measured_share([series], Window(T0, T0 + 600)) == 1.0


def test_source_without_a_series_is_a_gap() -> None:
    recorder = BurnRecorder("entry-1", ZONE, T0)
    record_each_second(recorder, T0, 60)
    unmeasured = Series("entry-2", ZONE, 0.0)
    both = [recorder.series(T0 + 60), unmeasured]
    assert measured_share(both, Window(T0, T0 + 60)) == 0.5


@pytest.mark.parametrize(
    ("age_s", "lengths"),
    [
        (0, {60, 600}),
        (661, {600}),
        (2_999, {600}),
        (3_000, {600, 3_600}),
        (22_201, {3_600}),
    ],
)
def test_older_intervals_are_longer_and_count_once(
    age_s: int, lengths: set[int]
) -> None:
    recorder = BurnRecorder("entry-1", ZONE, T0)
    record_each_second(recorder, T0, 599)
    intervals = recorder.series(T0 + 600).intervals
    rolled = roll_up(intervals, T0 + 600 + age_s)
    counted = [interval for interval in rolled if interval.cells]
    assert {interval.length_s for interval in counted} == lengths
    for step_s in lengths:
        selected = select_intervals(counted, step_s)
        assert sum(interval.cells[0].answered for interval in selected) == 599
        assert sum(interval.measured_s for interval in selected) == pytest.approx(600)


def test_intervals_past_their_retention_are_dropped() -> None:
    recorder = BurnRecorder("entry-1", ZONE, T0)
    record_each_second(recorder, T0, 60)
    assert roll_up(recorder.series(T0 + 60).intervals, T0 + 2 * BUDGET_PERIOD_S) == ()


@settings(derandomize=True, max_examples=25, deadline=None)
@given(st.lists(st.floats(0.0001, 60.0), min_size=1, max_size=60), st.integers(1, 4))
def test_merged_sources_count_as_one_histogram(
    latencies_s: list[float], sources: int
) -> None:
    recorders = [BurnRecorder(f"entry-{i}", ZONE, T0) for i in range(sources)]
    single = BurnRecorder("all", ZONE, T0)
    for index, latency_s in enumerate(latencies_s):
        for recorder in (recorders[index % sources], single):
            recorder.record(SERVICE, RANK, Outcome.ANSWERED, latency_s, T0 + 1)
    window = Window(T0, T0 + 60)
    from_many = merge_series([source.series(T0 + 60) for source in recorders], 60)
    from_one = merge_series([single.series(T0 + 60)], 60)
    counts = [
        count_requests(merged.intervals, window, SERVICE, RANK)
        for merged in (from_many, from_one)
    ]
    assert counts[0].answered == counts[1].answered == len(latencies_s)
    assert counts[0].latency == counts[1].latency
    histogram = decode_histogram(counts[0].latency)
    assert histogram is not None
    max_ms = percentile_ms(histogram, 100.0)
    assert max_ms == pytest.approx(max(latencies_s) * 1_000, rel=0.01)


def test_encoded_series_round_trips_and_damage_is_reported() -> None:
    recorder = BurnRecorder("entry-1", ZONE, T0)
    record_each_second(recorder, T0, 660)
    series = recorder.series(T0 + 660)
    tiers = [select_tier(series, tier) for tier in TIERS]
    path = burn_path("entry-1", TIERS[0])
    decoded = [decode_series(path, encode_series(part)).unwrap() for part in tiers]
    assert merge_tiers(decoded) == (series,)
    value = encode_series(tiers[0])
    encoded = tiers[0].intervals[0].cells[0].latency.encode()
    for damaged in (value[:-5], value.replace(encoded, encoded[:20]), b"[]"):
        assert decode_series(path, damaged).failure().path == path


def test_publishing_uses_at_most_a_quarter_of_the_control_budget() -> None:
    recorder = BurnRecorder("entry-1", ZONE, T0)
    random = Random(1)
    services = [ServiceId(name) for name in ("motritelj", "prijavnica", "ljetopis")]
    for minute in range(60):
        for _ in range(100):
            for service in services:
                latency_s = random.lognormvariate(-4.0, 0.7)
                now_s = T0 + minute * 60
                recorder.record(service, RANK, Outcome.ANSWERED, latency_s, now_s)
    intervals = recorder.series(T0 + 3_600).intervals
    rate_bytes_s = 0.0
    for tier in TIERS:
        of_tier = [item for item in intervals if item.length_s == tier.length_s][0]
        interval_bytes = len(encode_series(Series("s", ZONE, T0, (of_tier,))))
        # Each publication of a tier writes all its retained intervals.
        retained_intervals = tier.retention_s / tier.length_s
        rate_bytes_s += interval_bytes * retained_intervals / tier.length_s
    assert rate_bytes_s < CONTROL_BYTES_S / 4
