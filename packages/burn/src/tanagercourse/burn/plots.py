"""Draw a service's goodput and latency over time as SVG, gaps shaded."""

import io
import math
from collections.abc import Sequence
from dataclasses import dataclass

import matplotlib
from matplotlib.axes import Axes
from matplotlib.figure import Figure

from tanagercourse.burn.alerts import MIN_MEASURED_SHARE
from tanagercourse.burn.report import BurnRow
from tanagercourse.burn.timeline import TimelinePoint

SIZE_INCHES = (9.0, 3.6)
MINUTE_S = 60
GAP_COLOUR = "0.8"
# Without a fixed salt, matplotlib gives its elements other ids in each run.
matplotlib.rcParams["svg.hashsalt"] = "tanagercourse"


@dataclass(frozen=True)
class _Curve:
    """One measure over time and its target."""

    title: str
    values: list[float]
    target: float


def draw_svg(row: BurnRow, points: Sequence[TimelinePoint], now_s: float) -> str:
    """Return a service's plots as an SVG element.

    Args:
        row: The service's row of the report.
        points: Its points, oldest first.
        now_s: The wall clock, in seconds since 1970.
    """
    text = io.StringIO()
    figure = draw_figure(row, points, now_s)
    figure.savefig(text, format="svg", metadata={"Date": None})
    svg = text.getvalue()
    return svg[svg.index("<svg") :]


def draw_figure(row: BurnRow, points: Sequence[TimelinePoint], now_s: float) -> Figure:
    """Return a service's plots as a figure."""
    figure = Figure(figsize=SIZE_INCHES, layout="constrained")
    upper, lower = figure.subplots(2, 1, sharex=True)
    attained = [_value_or_nan(point, point.attained) for point in points]
    latency = [_value_or_nan(point, point.p99_ms) for point in points]
    times = [(point.start_s - now_s) / MINUTE_S for point in points]
    goodput = _Curve("answered in time", attained, row.target)
    p99 = _Curve("p99, ms", latency, row.latency_target_ms)
    for axes, line in ((upper, goodput), (lower, p99)):
        _draw_curve(axes, line, times)
        _shade_gaps(axes, points, now_s)
    upper.set_ylim(-0.05, 1.05)
    lower.set_ylim(bottom=0.0)
    lower.set_xlabel("minutes before this report; grey: not measured")
    return figure


def _value_or_nan(point: TimelinePoint, value: float | None) -> float:
    """Return a value, or no number where too little was measured to show one."""
    if value is None or point.measured_share < MIN_MEASURED_SHARE:
        return math.nan
    return value


def _draw_curve(axes: Axes, line: _Curve, times: list[float]) -> None:
    axes.plot(times, line.values, marker=".", drawstyle="steps-post")
    axes.axhline(line.target, linestyle="--", color="tab:red", label="target")
    axes.set_ylabel(line.title)
    axes.legend(loc="lower left", fontsize="small")
    axes.grid(alpha=0.3)


def _shade_gaps(axes: Axes, points: Sequence[TimelinePoint], now_s: float) -> None:
    for point in points:
        if point.measured_share < MIN_MEASURED_SHARE:
            start = (point.start_s - now_s) / MINUTE_S
            end = start + point.length_s / MINUTE_S
            axes.axvspan(start, end, color=GAP_COLOUR, linewidth=0)
