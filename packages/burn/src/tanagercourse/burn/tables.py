"""Put the report's rows into cells of text, for a terminal or a page."""

from tanagercourse.burn.alerts import DAY_S, HOUR_S, MINUTE_S, WindowBurn
from tanagercourse.burn.report import BurnReport, BurnRow

NOT_MEASURED = "not measured"
NONE = "-"
# A share measured below this is shown beside the figure that rests on it.
WHOLE_SHARE = 0.9995


def headings(report: BurnReport) -> tuple[str, ...]:
    """Return the headings of the report's table."""
    burns = report.rows[0].burns if report.rows else ()
    return (
        "customer",
        "service",
        "rank",
        "target",
        "attained",
        "budget left",
        *(f"burn {_window(burn.window_s)}" for burn in burns),
        "alert",
        "p50 ms",
        "p99 ms",
        "p99.9 ms",
        "headroom",
        "drain s",
        "kept in flood",
        "measured",
    )


def cells(row: BurnRow) -> tuple[str, ...]:
    """Return a row's cells under those headings."""
    return (
        row.customer,
        row.service,
        row.rank.value,
        f"{row.target:.3%}",
        _share(row.attained, 3),
        _share(row.budget_left, 1),
        *(_burn(burn) for burn in row.burns),
        row.alert.value,
        _figure(row.latency.p50_ms),
        _figure(row.latency.p99_ms),
        _figure(row.latency.p999_ms),
        _share(row.headroom, 1),
        _figure(row.drain_s),
        _share(row.kept_in_flood, 1),
        f"{row.measured_share:.1%}",
    )


def _burn(burn: WindowBurn) -> str:
    if burn.rate is None:
        return NOT_MEASURED
    if burn.measured_share >= WHOLE_SHARE:
        return f"{burn.rate:.2f}"
    return f"{burn.rate:.2f} ({burn.measured_share:.0%} measured)"


def _share(value: float | None, digits: int) -> str:
    return NONE if value is None else f"{value:.{digits}%}"


def _figure(value: float | None) -> str:
    return NONE if value is None else f"{value:.1f}"


def _window(window_s: int) -> str:
    """Return a window's length as people say it.

    >>> _window(300), _window(21_600), _window(259_200)
    ('5m', '6h', '3d')
    """
    for unit_s, name in ((DAY_S, "d"), (HOUR_S, "h")):
        if window_s % unit_s == 0:
            return f"{window_s // unit_s}{name}"
    return f"{window_s // MINUTE_S}m"
