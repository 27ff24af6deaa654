"""Work out the service-level burn report from what sources measured."""

import statistics
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from tanagercourse.burn.alerts import (
    WINDOWS_S,
    Alert,
    WindowBurn,
    burn_rate,
    raise_alert,
)
from tanagercourse.burn.latency import decode_histogram, new_histogram, percentile_ms
from tanagercourse.burn.series import Cell, Series
from tanagercourse.burn.tiers import BUDGET_PERIOD_S, step_for
from tanagercourse.burn.windows import (
    Measured,
    Window,
    count_requests,
    is_inside,
    measured_share,
    merge_series,
)
from tanagercourse.core.ids import ServiceId, TeamId
from tanagercourse.core.states import RANKS, Rank
from tanagercourse.settings.schema import Duty, ServiceSettings

# An interval is in a flood when this many times the usual work comes in.
FLOOD_FACTOR = 2.0


@dataclass(frozen=True)
class OwnedService:
    """A service and the customer's team that owns it."""

    team: TeamId
    settings: ServiceSettings


@dataclass(frozen=True)
class Latency:
    """Percentiles of answered requests, in milliseconds; None without any."""

    p50_ms: float | None
    p99_ms: float | None
    p999_ms: float | None


@dataclass(frozen=True)
class BurnRow:
    """One customer's service and rank.

    Attributes:
        customer: The customer's team.
        service: The service.
        rank: The rank of its work.
        target: Share of requests to be answered whole in time.
        latency_target_ms: What p99 is to stay under, in milliseconds.
        attained: Share that was, over the kept period; None without requests.
        budget_left: Share of the error budget left over the kept period; negative
            when it is overspent, None when nothing was measured.
        measured_share: How much of the asked window was measured.
        burns: Burn over each window.
        alert: What the burn asks of operators.
        latency: Latency over the asked window.
        headroom: Least share of slots free in any interval of the asked window;
            None when it is not known.
        drain_s: The longest drain of the asked window, in seconds; None without.
        kept_in_flood: Share answered in flood intervals; None without a flood.
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
    """The report.

    Attributes:
        made_at_s: When, in seconds since 1970.
        over_s: The asked window's length, in seconds.
        sources: How many sources it comes from.
        rows: Most urgent work first, customer by customer.
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
    """Work out the report.

    Args:
        series: What each source measured.
        services: Every service, with its target.
        over_s: The window of latency, headroom and floods, in seconds.
        now_s: The wall clock, in seconds since 1970.
    """
    at_step = {
        step_for(window_s): merge_series(series, step_for(window_s))
        for window_s in (*WINDOWS_S, over_s)
    }
    order = sorted(services, key=lambda s: (s.team, RANKS.index(s.settings.rank)))
    rows = tuple(_build_row(at_step, owned, services, over_s, now_s) for owned in order)
    return BurnReport(now_s, over_s, len(series), rows)


def _build_row(
    at_step: Mapping[int, Measured],
    owned: OwnedService,
    services: Sequence[OwnedService],
    over_s: int,
    now_s: float,
) -> BurnRow:
    settings = owned.settings
    target = settings.target.goodput
    service, rank = settings.service_id, settings.rank
    asked = Window(now_s - over_s, now_s)
    measured = at_step[step_for(over_s)]
    burns = {
        window_s: _burn(at_step[step_for(window_s)], settings, window_s, now_s)
        for window_s in WINDOWS_S
    }
    period = Window(now_s - BUDGET_PERIOD_S, now_s)
    kept = count_requests(
        at_step[step_for(BUDGET_PERIOD_S)].intervals, period, service, rank
    )
    return BurnRow(
        customer=owned.team,
        service=service,
        rank=rank,
        target=target,
        latency_target_ms=settings.target.latency_ms,
        attained=kept.answered / kept.total if kept.total else None,
        budget_left=_budget_left(kept, burns[BUDGET_PERIOD_S].measured_share, target),
        measured_share=measured_share(measured.series, asked),
        burns=tuple(burns.values()),
        alert=raise_alert(burns.__getitem__),
        latency=_latency(count_requests(measured.intervals, asked, service, rank)),
        headroom=_least_headroom(measured, settings, asked),
        drain_s=_longest_drain_s(measured.series, service, asked),
        kept_in_flood=_kept_in_flood(measured, owned, services, asked),
    )


def _burn(
    measured: Measured,
    settings: ServiceSettings,
    window_s: int,
    now_s: float,
) -> WindowBurn:
    window = Window(now_s - window_s, now_s)
    counted = count_requests(
        measured.intervals, window, settings.service_id, settings.rank
    )
    share = measured_share(measured.series, window)
    rate = burn_rate(counted.total, counted.bad, settings.target.goodput)
    known = rate if share > 0 else None
    return WindowBurn(window_s, share, counted.total, counted.bad, known)


def _budget_left(kept: Cell, share: float, target: float) -> float | None:
    if share <= 0:
        return None
    return 1.0 - burn_rate(kept.total, kept.bad, target)


def _latency(counted: Cell) -> Latency:
    histogram = decode_histogram(counted.latency) or new_histogram()
    return Latency(
        percentile_ms(histogram, 50.0),
        percentile_ms(histogram, 99.0),
        percentile_ms(histogram, 99.9),
    )


def _least_headroom(
    measured: Measured,
    settings: ServiceSettings,
    asked: Window,
) -> float | None:
    """Return the least share of slots free, by time spent over time offered."""
    slots = sum(u.slots for u in settings.upstreams if u.duty is Duty.SERVE)
    shares = []
    for interval in measured.intervals:
        end_s = min(interval.start_s + interval.length_s, asked.end_s)
        whole = Window(interval.start_s, end_s)
        measured_s = measured_share(measured.series, whole) * (end_s - interval.start_s)
        if is_inside(interval, asked) and measured_s > 0 and slots:
            counted = count_requests(
                [interval], whole, settings.service_id, settings.rank
            )
            shares.append(1.0 - counted.busy_s / (slots * measured_s))
    return min(shares, default=None)


def _longest_drain_s(
    series: Sequence[Series], service: ServiceId, asked: Window
) -> float | None:
    took = [
        drain.took_s
        for source in series
        for drain in source.drains
        if drain.service == service and asked.start_s <= drain.ended_at_s <= asked.end_s
    ]
    return max(took, default=None)


def _kept_in_flood(
    measured: Measured,
    owned: OwnedService,
    services: Sequence[OwnedService],
    asked: Window,
) -> float | None:
    """Return the share answered while the customer's work came in a flood."""
    theirs = {s.settings.service_id for s in services if s.team == owned.team}
    rates = {
        interval: sum(cell.total for cell in interval.cells if cell.service in theirs)
        / interval.measured_s
        for interval in measured.intervals
        if is_inside(interval, asked) and interval.measured_s > 0
    }
    usual = statistics.median(rates.values()) if rates else 0.0
    flooded = [
        interval
        for interval, rate in rates.items()
        if usual > 0 and rate >= FLOOD_FACTOR * usual
    ]
    settings = owned.settings
    counted = count_requests(flooded, asked, settings.service_id, settings.rank)
    return counted.answered / counted.total if counted.total else None
