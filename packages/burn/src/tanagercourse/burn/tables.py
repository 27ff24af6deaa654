"""Format the report's rows as table cells for the terminal and the HTML page."""

from tanagercourse.burn.alerts import DAY_S, HOUR_S, MINUTE_S, WindowBurn
from tanagercourse.burn.report import BurnReport, BurnRow

NOT_MEASURED = "not measured"
NO_VALUE = "-"
# Below this measured share of a window, the share is shown next to the burn rate that
# is based on it.
FULLY_MEASURED_SHARE = 0.9995


def column_headings(report: BurnReport) -> tuple[str, ...]:
    """Return the headings of the report's table."""
    burns = report.rows[0].burns if report.rows else ()
    return (
        "customer",
        "service",
        "rank",
        "target",
        "attained",
        "budget left",
        *(f"burn {_format_window(burn.window_s)}" for burn in burns),
        "alert",
        "p50 ms",
        "p99 ms",
        "p99.9 ms",
        "headroom",
        "drain s",
        "kept in flood",
        "measured",
    )


def row_cells(row: BurnRow) -> tuple[str, ...]:
    """Return a row's cells, in the order of `column_headings`."""
    return (
        row.customer,
        row.service,
        row.rank.value,
        f"{row.target:.3%}",
        _format_share(row.attained, 3),
        _format_share(row.budget_left, 1),
        *(_format_burn(burn) for burn in row.burns),
        row.alert.value,
        _format_number(row.latency.p50_ms),
        _format_number(row.latency.p99_ms),
        _format_number(row.latency.p999_ms),
        _format_share(row.headroom, 1),
        _format_number(row.drain_s),
        _format_share(row.kept_in_flood, 1),
        f"{row.measured_share:.1%}",
    )


def _format_burn(burn: WindowBurn) -> str:
    if burn.rate is None:
        return NOT_MEASURED
    if burn.measured_share >= FULLY_MEASURED_SHARE:
        return f"{burn.rate:.2f}"
    return f"{burn.rate:.2f} ({burn.measured_share:.0%} measured)"


def _format_share(value: float | None, digits: int) -> str:
    return NO_VALUE if value is None else f"{value:.{digits}%}"


def _format_number(value: float | None) -> str:
    return NO_VALUE if value is None else f"{value:.1f}"


def _format_window(window_s: int) -> str:
    """Return a window's length in its largest whole unit.

    >>> _format_window(300), _format_window(21_600), _format_window(259_200)
    ('5m', '6h', '3d')
    """
    for unit_s, name in ((DAY_S, "d"), (HOUR_S, "h")):
        if window_s % unit_s == 0:
            return f"{window_s // unit_s}{name}"
    return f"{window_s // MINUTE_S}m"
