"""What several sources measured together in a window of time."""

from collections.abc import Sequence
from dataclasses import dataclass, replace

from tanagercourse.burn.latency import encode_histogram, new_histogram
from tanagercourse.burn.series import Cell, Interval, Series, merge_cells
from tanagercourse.burn.tiers import merge_intervals, select
from tanagercourse.core.ids import ServiceId
from tanagercourse.core.states import Rank


@dataclass(frozen=True)
class Window:
    """A stretch of wall-clock time, in seconds since 1970."""

    start_s: float
    end_s: float


@dataclass(frozen=True)
class Measured:
    """Series in intervals that do not overlap.

    Attributes:
        series: Each source's own.
        intervals: Those of all sources added up, in their order in time.
    """

    series: tuple[Series, ...]
    intervals: tuple[Interval, ...]


def merge_series(series: Sequence[Series], step_s: int) -> Measured:
    """Return series in intervals of a step, and shorter ones where need be.

    Args:
        series: Each source's intervals of all tiers.
        step_s: The longest interval to take, in seconds.
    """
    selected = tuple(
        replace(source, intervals=select(source.intervals, step_s)) for source in series
    )
    merged = merge_intervals(each for source in selected for each in source.intervals)
    return Measured(selected, merged)


def count_requests(
    intervals: Sequence[Interval], window: Window, service: ServiceId, rank: Rank
) -> Cell:
    """Return what was counted of a service and rank in a window."""
    empty = Cell(service, rank, 0, 0, 0, 0.0, encode_histogram(new_histogram()))
    cells = [
        cell
        for interval in intervals
        if is_inside(interval, window)
        for cell in interval.cells
        if (cell.service, cell.rank) == (service, rank)
    ]
    return merge_cells([empty, *cells])[0]


def is_inside(interval: Interval, window: Window) -> bool:
    """Whether an interval counts towards a window: its middle lies in there.

    The interval that is still open counts as well.
    """
    middle_s = interval.start_s + interval.length_s / 2
    return window.start_s <= middle_s and interval.start_s < window.end_s


def measured_share(series: Sequence[Series], window: Window) -> float:
    """Return how much of a window was measured, from 0 to 1.

    A source is expected to measure from its start until it stopped as planned.
    """
    expected_s = sum(_expected_s(source, window) for source in series)
    if expected_s <= 0:
        return 0.0
    measured_s = sum(
        _measured_s(interval, window)
        for source in series
        for interval in source.intervals
    )
    return min(1.0, measured_s / expected_s)


def _expected_s(source: Series, window: Window) -> float:
    start_s = max(window.start_s, source.started_at_s)
    end_s = window.end_s
    if source.stopped_at_s is not None:
        end_s = min(end_s, source.stopped_at_s)
    return max(0.0, end_s - start_s)


def _measured_s(interval: Interval, window: Window) -> float:
    end_s = min(interval.start_s + interval.length_s, window.end_s)
    overlap_s = end_s - max(interval.start_s, window.start_s)
    if overlap_s <= 0:
        return 0.0
    return interval.measured_s * overlap_s / (end_s - interval.start_s)
