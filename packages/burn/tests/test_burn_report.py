"""Tests of the burn report against figures computed by hand."""

import pytest

from tanagercourse.burn.alerts import Alert, burn_rate
from tanagercourse.burn.latency import encode_histogram, new_histogram, record_latency
from tanagercourse.burn.page import RowTimeline, render_page
from tanagercourse.burn.report import BurnReport, BurnRow, OwnedService, build_report
from tanagercourse.burn.series import Cell, CompletedDrain, Interval, Series
from tanagercourse.burn.tables import column_headings, row_cells
from tanagercourse.burn.timeline import build_timeline
from tanagercourse.core.ids import ServiceId, TeamId, UpstreamId, ZoneId
from tanagercourse.core.states import Idempotency, Rank
from tanagercourse.settings.schema import ServiceSettings, Target, UpstreamSettings

TEAM = TeamId("preljev")
SERVICE = ServiceId("motritelj")
ZONE = ZoneId("split-a")
NOW_S = 1_198_800.0
HOUR_S = 3_600
TARGET = Target(goodput=0.99, latency_ms=100)


def owned(service: str, rank: Rank, target: Target = TARGET) -> OwnedService:
    upstream = UpstreamSettings("u-1", "10.0.0.1", 80, "split-a", slots=10)
    settings = ServiceSettings(
        service, rank, Idempotency.IDEMPOTENT, (upstream,), target=target
    )
    return OwnedService(TEAM, settings)


def cell(
    answered: int, refused: int = 0, failed: int = 0, service: str = SERVICE
) -> Cell:
    """Return counts with 500 ms for each hundredth response and 10 ms for the rest."""
    histogram = new_histogram()
    for index in range(answered):
        record_latency(histogram, 0.010 if index % 100 else 0.500)
    busy_s = 0.1 * (answered + failed)
    rank = Rank.MOST_URGENT if service == SERVICE else Rank.LEAST_URGENT
    latency = encode_histogram(histogram)
    service_id = ServiceId(service)
    return Cell(service_id, rank, answered, refused, failed, busy_s, latency)


def minute(minutes_ago: int, *counts: Cell, measured_s: float = 60.0) -> Interval:
    return Interval(int(NOW_S) - 60 * minutes_ago, 60, measured_s, counts)


def ten_minutes(periods_ago: int, *counts: Cell) -> Interval:
    return Interval(int(NOW_S) - 600 * periods_ago, 600, 600.0, counts)


def source(*intervals: Interval, drains: tuple[CompletedDrain, ...] = ()) -> Series:
    started_at_s = float(intervals[0].start_s) if intervals else 0.0
    return Series("entry-1", ZONE, started_at_s, intervals, drains=drains)


def report_of(*series: Series, over_s: int = 600) -> BurnReport:
    services = [owned(SERVICE, Rank.MOST_URGENT)]
    return build_report(series, services, over_s, NOW_S)


def only_row(report: BurnReport) -> BurnRow:
    assert len(report.rows) == 1
    return report.rows[0]


def test_bad_requests_raise_burn_rates_and_use_up_the_budget() -> None:
    # 1000 requests per minute for ten minutes, of which 20 are bad in each of the last
    # five: 100 of 10000 are bad, which is 1% and the entire budget of a 99% target.
    good_minutes = [minute(ago, cell(1_000)) for ago in range(10, 5, -1)]
    bad_minutes = [
        minute(ago, cell(980, refused=15, failed=5)) for ago in range(5, 0, -1)
    ]
    row = only_row(report_of(source(*good_minutes, *bad_minutes)))
    assert row.attained == 0.99
    assert row.budget_left == pytest.approx(0.0)
    rates = {burn.window_s: burn.rate for burn in row.burns}
    assert rates[300] == pytest.approx(2.0)
    assert rates[1_800] == pytest.approx(1.0)
    assert row.measured_share == 1.0


def test_latency_percentiles_are_accurate_to_the_histograms_precision() -> None:
    # Of 10000 responses, one in a hundred took 500 ms and the rest 10 ms.
    latency = only_row(report_of(source(minute(1, cell(10_000))))).latency
    assert latency.p50_ms == pytest.approx(10.0, rel=0.01)
    assert latency.p99_ms == pytest.approx(10.0, rel=0.01)
    assert latency.p999_ms == pytest.approx(500.0, rel=0.01)


def test_headroom_is_the_share_of_free_slots_in_the_busiest_interval() -> None:
    # Ten slots offer 600 s in a minute; 3000 responses of 0.1 s each take 300 s.
    series = source(minute(2, cell(1_000)), minute(1, cell(3_000)))
    assert only_row(report_of(series)).headroom == pytest.approx(0.5)


def test_two_sources_share_the_same_slots() -> None:
    series = source(minute(1, cell(1_500)))
    second_series = Series("entry-2", ZONE, series.started_at_s, series.intervals)
    assert only_row(report_of(series, second_series)).headroom == pytest.approx(0.5)


def test_drain_time_is_the_longest_in_the_report_window() -> None:
    drains = tuple(
        CompletedDrain(SERVICE, UpstreamId("u-1"), NOW_S - ago_s, took_s)
        for ago_s, took_s in ((5_000, 99.0), (500, 3.5), (100, 2.0))
    )
    series = source(minute(1, cell(1)), drains=drains)
    assert only_row(report_of(series)).drain_s == 3.5


def test_kept_in_flood_is_the_share_answered_in_flood_intervals() -> None:
    # In two of five minutes there are ten times as many requests as in the rest, and
    # 99 of 100 urgent ones are answered.
    usual = [minute(ago, cell(100), cell(100, service="ljetopis")) for ago in (5, 4, 3)]
    flood = [
        minute(ago, cell(99, refused=1), cell(300, refused=1_600, service="ljetopis"))
        for ago in (2, 1)
    ]
    services = [
        owned("ljetopis", Rank.LEAST_URGENT),
        owned(SERVICE, Rank.MOST_URGENT),
    ]
    report = build_report([source(*usual, *flood)], services, 600, NOW_S)
    assert [row.service for row in report.rows] == [SERVICE, "ljetopis"]
    shares = [row.kept_in_flood for row in report.rows]
    assert shares == [pytest.approx(0.99), pytest.approx(300 / 1_900)]


@pytest.mark.parametrize(
    ("bad_until_min_ago", "alert"),
    [(70, Alert.NONE), (40, Alert.TICKET), (10, Alert.PAGE), (0, Alert.PAGE)],
)
def test_alert_needs_both_windows(bad_until_min_ago: int, alert: Alert) -> None:
    # From 70 minutes ago on, a fifth of the requests are bad, which is 20 times the
    # budget. More than 30 minutes after the last bad request, the short windows of both
    # page rules are clean and only the ticket rule applies. Ten minutes after it, 400
    # of the 3000 requests of the last half hour are bad, 13 times the budget.
    earlier = [
        ten_minutes(ago, cell(800, refused=200) if bad else cell(1_000))
        for ago in range(7, 1, -1)
        for bad in [ago * 10 > bad_until_min_ago]
    ]
    last_ten_minutes = [
        minute(ago, cell(80, refused=20) if bad_until_min_ago == 0 else cell(100))
        for ago in range(10, 0, -1)
    ]
    assert only_row(report_of(source(*earlier, *last_ten_minutes))).alert is alert


def test_service_without_measurements_has_no_figures_and_an_unknown_alert() -> None:
    row = only_row(report_of(Series("entry-1", ZONE, 0.0)))
    assert (row.alert, row.attained, row.budget_left) == (Alert.UNKNOWN, None, None)
    assert {burn.rate for burn in row.burns} == {None}
    assert row.headroom is None
    assert "not measured" in row_cells(row)


def test_gap_makes_a_missing_alert_unknown_and_is_shown() -> None:
    series = source(minute(8, cell(100)), minute(1, cell(100), measured_s=30.0))
    row = only_row(report_of(series))
    assert row.alert is Alert.UNKNOWN
    assert row.measured_share == pytest.approx(90 / 480)
    assert "0.00 (10% measured)" in row_cells(row)
    points = build_timeline([series], SERVICE, Rank.MOST_URGENT, 480, NOW_S)
    shares = [point.measured_share for point in points]
    assert shares == [1.0, 0, 0, 0, 0, 0, 0, 0.5]


def test_goodput_target_of_one_keeps_burn_rates_finite() -> None:
    assert burn_rate(1_000_000, 1, 1.0) == pytest.approx(1.0)
    assert burn_rate(0, 0, 1.0) == 0.0


def test_page_is_self_contained_and_reproducible() -> None:
    series = source(minute(8, cell(100)), minute(1, cell(50, refused=50)))
    report = report_of(series)
    points = build_timeline([series], SERVICE, Rank.MOST_URGENT, 600, NOW_S)
    page = render_page(report, [RowTimeline(report.rows[0], points)])
    assert page.count("<svg") == 1
    assert "preljev / motritelj (most_urgent)" in page
    assert 'href="http' not in page
    assert "<script" not in page
    assert page == render_page(report, [RowTimeline(report.rows[0], points)])
    assert len(column_headings(report)) == len(row_cells(report.rows[0]))
