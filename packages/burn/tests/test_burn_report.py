"""The report against figures worked out by hand."""

import pytest

from tanagercourse.burn.alerts import Alert, burn_rate
from tanagercourse.burn.latency import encode_histogram, new_histogram, record_latency
from tanagercourse.burn.page import PlottedRow, write_page
from tanagercourse.burn.report import BurnReport, BurnRow, OwnedService, build_report
from tanagercourse.burn.series import Cell, CompletedDrain, Interval, Series
from tanagercourse.burn.tables import cells, headings
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
    histogram = new_histogram()
    for count in range(answered):
        record_latency(histogram, 0.010 if count % 100 else 0.500)
    busy_s = 0.1 * (answered + failed)
    rank = Rank.MOST_URGENT if service == SERVICE else Rank.LEAST_URGENT
    latency = encode_histogram(histogram)
    name = ServiceId(service)
    return Cell(name, rank, answered, refused, failed, busy_s, latency)


def minute(minutes_ago: int, *counted: Cell, measured_s: float = 60.0) -> Interval:
    return Interval(int(NOW_S) - 60 * minutes_ago, 60, measured_s, counted)


def ten_minutes(tens_ago: int, *counted: Cell) -> Interval:
    return Interval(int(NOW_S) - 600 * tens_ago, 600, 600.0, counted)


def source(*intervals: Interval, drains: tuple[CompletedDrain, ...] = ()) -> Series:
    started_at_s = float(intervals[0].start_s) if intervals else 0.0
    return Series("entry-1", ZONE, started_at_s, intervals, drains=drains)


def report_of(*series: Series, over_s: int = 600) -> BurnReport:
    services = [owned(SERVICE, Rank.MOST_URGENT)]
    return build_report(series, services, over_s, NOW_S)


def only_row(report: BurnReport) -> BurnRow:
    assert len(report.rows) == 1
    return report.rows[0]


def test_burn_budget_and_attained() -> None:
    # 1000 requests a minute for ten minutes, 20 bad in each of the last five:
    # 100 bad of 10000 is 1% of them, hence the whole budget of a 99% target.
    quiet = [minute(ago, cell(1_000)) for ago in range(10, 5, -1)]
    bad = [minute(ago, cell(980, refused=15, failed=5)) for ago in range(5, 0, -1)]
    row = only_row(report_of(source(*quiet, *bad)))
    assert row.attained == 0.99
    assert row.budget_left == pytest.approx(0.0)
    rates = {burn.window_s: burn.rate for burn in row.burns}
    assert rates[300] == pytest.approx(2.0)
    assert rates[1_800] == pytest.approx(1.0)
    assert row.measured_share == 1.0


def test_latency_is_exact_to_the_histograms_precision() -> None:
    # Of 10000 answers, one in a hundred took 500 ms and the others 10 ms.
    latency = only_row(report_of(source(minute(1, cell(10_000))))).latency
    assert latency.p50_ms == pytest.approx(10.0, rel=0.01)
    assert latency.p99_ms == pytest.approx(10.0, rel=0.01)
    assert latency.p999_ms == pytest.approx(500.0, rel=0.01)


def test_headroom_is_that_of_the_fullest_interval() -> None:
    # Ten slots for 60 s offer 600 s; 3000 answers of 0.1 s each take 300 s.
    series = source(minute(2, cell(1_000)), minute(1, cell(3_000)))
    assert only_row(report_of(series)).headroom == pytest.approx(0.5)


def test_two_sources_share_the_same_slots() -> None:
    series = source(minute(1, cell(1_500)))
    other = Series("entry-2", ZONE, series.started_at_s, series.intervals)
    assert only_row(report_of(series, other)).headroom == pytest.approx(0.5)


def test_longest_drain() -> None:
    drains = tuple(
        CompletedDrain(SERVICE, UpstreamId("u-1"), NOW_S - ago_s, took_s)
        for ago_s, took_s in ((5_000, 99.0), (500, 3.5), (100, 2.0))
    )
    series = source(minute(1, cell(1)), drains=drains)
    assert only_row(report_of(series)).drain_s == 3.5


def test_kept_in_flood() -> None:
    # Two floods of ten times the usual work: urgent work keeps 99 of 100 there.
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
    kept = [row.kept_in_flood for row in report.rows]
    assert kept == [pytest.approx(0.99), pytest.approx(300 / 1_900)]


@pytest.mark.parametrize(
    ("bad_until_min_ago", "alert"),
    [(70, Alert.NONE), (40, Alert.TICKET), (10, Alert.PAGE), (0, Alert.PAGE)],
)
def test_alert_needs_both_windows(bad_until_min_ago: int, alert: Alert) -> None:
    # A fifth of the requests is bad, 20 times the budget, from 70 minutes ago on.
    # Once it has stopped for 30 minutes only the six-hour window still burns; ten
    # minutes after its end 400 of 3000 in that half hour are 13 times the budget.
    earlier = [
        ten_minutes(ago, cell(800, refused=200) if bad else cell(1_000))
        for ago in range(7, 1, -1)
        for bad in [ago * 10 > bad_until_min_ago]
    ]
    now = [
        minute(ago, cell(80, refused=20) if bad_until_min_ago == 0 else cell(100))
        for ago in range(10, 0, -1)
    ]
    assert only_row(report_of(source(*earlier, *now))).alert is alert


def test_nothing_measured_is_never_good() -> None:
    row = only_row(report_of(Series("entry-1", ZONE, 0.0)))
    assert (row.alert, row.attained, row.budget_left) == (Alert.UNKNOWN, None, None)
    assert {burn.rate for burn in row.burns} == {None}
    assert row.headroom is None
    assert "not measured" in cells(row)


def test_gap_makes_quiet_unknown_and_is_shown() -> None:
    series = source(minute(8, cell(100)), minute(1, cell(100), measured_s=30.0))
    row = only_row(report_of(series))
    assert row.alert is Alert.UNKNOWN
    assert row.measured_share == pytest.approx(90 / 480)
    assert "0.00 (10% measured)" in cells(row)
    points = build_timeline([series], SERVICE, Rank.MOST_URGENT, 480, NOW_S)
    shares = [point.measured_share for point in points]
    assert shares == [1.0, 0, 0, 0, 0, 0, 0, 0.5]


def test_target_of_everything_keeps_rates_finite() -> None:
    assert burn_rate(1_000_000, 1, 1.0) == pytest.approx(1.0)
    assert burn_rate(0, 0, 1.0) == 0.0


def test_page_stands_alone() -> None:
    series = source(minute(8, cell(100)), minute(1, cell(50, refused=50)))
    report = report_of(series)
    points = build_timeline([series], SERVICE, Rank.MOST_URGENT, 600, NOW_S)
    page = write_page(report, [PlottedRow(report.rows[0], points)])
    assert page.count("<svg") == 1
    assert "preljev / motritelj (most_urgent)" in page
    assert 'href="http' not in page
    assert "<script" not in page
    assert page == write_page(report, [PlottedRow(report.rows[0], points)])
    assert len(headings(report)) == len(cells(report.rows[0]))
