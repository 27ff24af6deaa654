"""Compute the service-level burn report from the measured series."""

import statistics
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from tanagercourse.burn.alerts import (
    ALERT_WINDOWS_S,
    Alert,
    WindowBurn,
    burn_rate,
    highest_alert,
)
from tanagercourse.burn.latency import decode_histogram, new_histogram, percentile_ms
from tanagercourse.burn.series import Cell, Series
from tanagercourse.burn.tiers import BUDGET_PERIOD_S, interval_length_for
from tanagercourse.burn.windows import (
    MergedSeries,
    Window,
    count_requests,
    is_in_window,
    measured_share,
    merge_series,
)
from tanagercourse.core.ids import ServiceId, TeamId
from tanagercourse.core.states import RANKS, Rank
from tanagercourse.settings.schema import Duty, ServiceSettings

# An interval counts as a flood if its request rate is at least this multiple of the
# median rate.
FLOOD_FACTOR = 2.0


@dataclass(frozen=True)
class OwnedService:
    """A service's settings and the customer's team that owns the service."""

    team: TeamId
    settings: ServiceSettings


@dataclass(frozen=True)
class Latency:
    """Latency percentiles of answered requests, in milliseconds; None without any."""

    p50_ms: float | None
    p99_ms: float | None
    p999_ms: float | None


@dataclass(frozen=True)
class BurnRow:
    """One service in the report.

    The budget period is the last BUDGET_PERIOD_S seconds; the report window is the
    requested `over_s` seconds.

    Attributes:
        customer: The customer's team.
        service: The service.
        rank: The rank of the service's requests.
        target: Share of requests to be answered completely and in time.
        latency_target_ms: Upper limit for the p99 latency, in milliseconds.
        attained: Share of requests answered completely and in time during the budget
            period; None without requests.
        budget_left: Share of the error budget left in the budget period; negative if
            it is overspent, None if nothing was measured.
        measured_share: The share of the report window that was measured.
        burns: The burn in each alert window.
        alert: The alert that the burn raises.
        latency: The latency in the report window.
        headroom: The smallest share of free slots in any interval of the report
            window; None if nothing was measured or no upstream serves.
        drain_s: The longest drain that completed in the report window, in seconds;
            None if there was none.
        kept_in_flood: Share of requests answered in flood intervals of the report
            window; None without a flood.
    """

    customer: TeamId
    service: ServiceId
    rank: Rank
    target: float
    latency_target_ms: int
    attained: float | None
    budget_left: float | None
    measured_share: float
    burns: tuple[WindowBurn, ...]
    alert: Alert
    latency: Latency
    headroom: float | None
    drain_s: float | None
    kept_in_flood: float | None


@dataclass(frozen=True)
class BurnReport:
    """The burn of every service at one point in time.

    Attributes:
        made_at_s: The end of the report's windows, in seconds since 1970.
        over_s: The length of the report window, in seconds.
        sources: The number of sources that were merged.
        rows: One row per service, by customer and then by rank, most urgent first.
    """

    made_at_s: float
    over_s: int
    sources: int
    rows: tuple[BurnRow, ...]


def build_report(
    series: Sequence[Series],
    services: Sequence[OwnedService],
    over_s: int,
    now_s: float,
) -> BurnReport:
    """Compute the report.

    Args:
        series: The series of each source.
        services: Every service, with its target.
        over_s: Length of the window for latency, headroom, drains and floods, in
            seconds.
        now_s: The end of the report's windows, in seconds since 1970.
    """
    merged_by_length = {
        interval_length_for(window_s): merge_series(
            series, interval_length_for(window_s)
        )
        for window_s in (*ALERT_WINDOWS_S, over_s)
    }
    ordered = sorted(services, key=lambda s: (s.team, RANKS.index(s.settings.rank)))
    rows = tuple(
        _build_row(merged_by_length, owned, services, over_s, now_s)
        for owned in ordered
    )
    return BurnReport(now_s, over_s, len(series), rows)


def _build_row(
    merged_by_length: Mapping[int, MergedSeries],
    owned: OwnedService,
    services: Sequence[OwnedService],
    over_s: int,
    now_s: float,
) -> BurnRow:
    settings = owned.settings
    target = settings.target.goodput
    service, rank = settings.service_id, settings.rank
    report_window = Window(now_s - over_s, now_s)
    merged = merged_by_length[interval_length_for(over_s)]
    burns = {
        window_s: _window_burn(
            merged_by_length[interval_length_for(window_s)], settings, window_s, now_s
        )
        for window_s in ALERT_WINDOWS_S
    }
    period = Window(now_s - BUDGET_PERIOD_S, now_s)
    period_counts = count_requests(
        merged_by_length[interval_length_for(BUDGET_PERIOD_S)].intervals,
        period,
        service,
        rank,
    )
    return BurnRow(
        customer=owned.team,
        service=service,
        rank=rank,
        target=target,
        latency_target_ms=settings.target.latency_ms,
        attained=(
            period_counts.answered / period_counts.total
            if period_counts.total
            else None
        ),
        budget_left=_budget_left(
            period_counts, burns[BUDGET_PERIOD_S].measured_share, target
        ),
        measured_share=measured_share(merged.series, report_window),
        burns=tuple(burns.values()),
        alert=highest_alert(burns.__getitem__),
        latency=_latency(
            count_requests(merged.intervals, report_window, service, rank)
        ),
        headroom=_min_headroom(merged, settings, report_window),
        drain_s=_longest_drain_s(merged.series, service, report_window),
        kept_in_flood=_share_answered_in_flood(merged, owned, services, report_window),
    )


def _window_burn(
    merged: MergedSeries,
    settings: ServiceSettings,
    window_s: int,
    now_s: float,
) -> WindowBurn:
    window = Window(now_s - window_s, now_s)
    counts = count_requests(
        merged.intervals, window, settings.service_id, settings.rank
    )
    share = measured_share(merged.series, window)
    rate = burn_rate(counts.total, counts.bad, settings.target.goodput)
    measured_rate = rate if share > 0 else None
    return WindowBurn(window_s, share, counts.total, counts.bad, measured_rate)


def _budget_left(counts: Cell, share: float, target: float) -> float | None:
    if share <= 0:
        return None
    return 1.0 - burn_rate(counts.total, counts.bad, target)


def _latency(counts: Cell) -> Latency:
    histogram = decode_histogram(counts.latency) or new_histogram()
    return Latency(
        percentile_ms(histogram, 50.0),
        percentile_ms(histogram, 99.0),
        percentile_ms(histogram, 99.9),
    )


def _min_headroom(
    merged: MergedSeries,
    settings: ServiceSettings,
    window: Window,
) -> float | None:
    """Return the smallest share of free slots in any interval of a window.

    The share of used slots in an interval is the time that requests spent being
    served, divided by the time that all serving slots offered.
    """
    slots = sum(u.slots for u in settings.upstreams if u.duty is Duty.SERVE)
    free_shares = []
    for interval in merged.intervals:
        end_s = min(interval.start_s + interval.length_s, window.end_s)
        covered = Window(interval.start_s, end_s)
        measured_s = measured_share(merged.series, covered) * (end_s - interval.start_s)
        if is_in_window(interval, window) and measured_s > 0 and slots:
            counts = count_requests(
                [interval], covered, settings.service_id, settings.rank
            )
            free_shares.append(1.0 - counts.busy_s / (slots * measured_s))
    return min(free_shares, default=None)


def _longest_drain_s(
    series: Sequence[Series], service: ServiceId, window: Window
) -> float | None:
    durations_s = [
        drain.took_s
        for source in series
        for drain in source.drains
        if drain.service == service
        and window.start_s <= drain.ended_at_s <= window.end_s
    ]
    return max(durations_s, default=None)


def _share_answered_in_flood(
    merged: MergedSeries,
    owned: OwnedService,
    services: Sequence[OwnedService],
    window: Window,
) -> float | None:
    """Return the share of requests answered while the customer's services were flooded.

    An interval is a flood if the request rate of all services of the customer's team
    is at least FLOOD_FACTOR times its median over the window.
    """
    team_services = {s.settings.service_id for s in services if s.team == owned.team}
    rates = {
        interval: sum(
            cell.total for cell in interval.cells if cell.service in team_services
        )
        / interval.measured_s
        for interval in merged.intervals
        if is_in_window(interval, window) and interval.measured_s > 0
    }
    median_rate = statistics.median(rates.values()) if rates else 0.0
    flood_intervals = [
        interval
        for interval, rate in rates.items()
        if median_rate > 0 and rate >= FLOOD_FACTOR * median_rate
    ]
    settings = owned.settings
    counts = count_requests(flood_intervals, window, settings.service_id, settings.rank)
    return counts.answered / counts.total if counts.total else None
