"""Draw a service's goodput and latency over time as SVG, with gaps shaded."""

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
# A fixed salt makes the ids of matplotlib's SVG elements the same in each run.
matplotlib.rcParams["svg.hashsalt"] = "tanagercourse"


@dataclass(frozen=True)
class _Curve:
    """The values of one measure over time, and its target.

    Attributes:
        title: The label of the vertical axis, with the unit.
        values: One value per point, NaN where too little was measured.
        target: The target, drawn as a horizontal line.
    """

    title: str
    values: list[float]
    target: float


def draw_svg(row: BurnRow, points: Sequence[TimelinePoint], now_s: float) -> str:
    """Return a service's plots as an SVG element.

    Args:
        row: The service's row of the report.
        points: The points of the service's timeline, oldest first.
        now_s: The wall clock, in seconds since 1970.
    """
    buffer = io.StringIO()
    figure = draw_figure(row, points, now_s)
    figure.savefig(buffer, format="svg", metadata={"Date": None})
    svg = buffer.getvalue()
    return svg[svg.index("<svg") :]


def draw_figure(row: BurnRow, points: Sequence[TimelinePoint], now_s: float) -> Figure:
    """Return a figure with the goodput above the latency. Arguments as `draw_svg`."""
    figure = Figure(figsize=SIZE_INCHES, layout="constrained")
    upper, lower = figure.subplots(2, 1, sharex=True)
    attained = [_value_or_nan(point, point.attained) for point in points]
    latency = [_value_or_nan(point, point.p99_ms) for point in points]
    times_min = [(point.start_s - now_s) / MINUTE_S for point in points]
    goodput = _Curve("answered in time", attained, row.target)
    p99 = _Curve("p99, ms", latency, row.latency_target_ms)
    for axes, curve in ((upper, goodput), (lower, p99)):
        _draw_curve(axes, curve, times_min)
        _shade_gaps(axes, points, now_s)
    upper.set_ylim(-0.05, 1.05)
    lower.set_ylim(bottom=0.0)
    lower.set_xlabel("minutes before this report; grey: not measured")
    return figure


def _value_or_nan(point: TimelinePoint, value: float | None) -> float:
    """Return a point's value, NaN if it is missing or too little was measured."""
    if value is None or point.measured_share < MIN_MEASURED_SHARE:
        return math.nan
    return value


def _draw_curve(axes: Axes, curve: _Curve, times_min: list[float]) -> None:
    axes.plot(times_min, curve.values, marker=".", drawstyle="steps-post")
    axes.axhline(curve.target, linestyle="--", color="tab:red", label="target")
    axes.set_ylabel(curve.title)
    axes.legend(loc="lower left", fontsize="small")
    axes.grid(alpha=0.3)


def _shade_gaps(axes: Axes, points: Sequence[TimelinePoint], now_s: float) -> None:
    for point in points:
        if point.measured_share < MIN_MEASURED_SHARE:
            start_min = (point.start_s - now_s) / MINUTE_S
            end_min = start_min + point.length_s / MINUTE_S
            axes.axvspan(start_min, end_min, color=GAP_COLOUR, linewidth=0)
