"""Compute the points of a service's plots, with gaps where nothing was measured."""

from collections.abc import Sequence
from dataclasses import dataclass

from tanagercourse.burn.latency import decode_histogram, new_histogram, percentile_ms
from tanagercourse.burn.series import Series
from tanagercourse.burn.tiers import interval_length_for
from tanagercourse.burn.windows import (
    Window,
    count_requests,
    measured_share,
    merge_series,
)
from tanagercourse.core.ids import ServiceId
from tanagercourse.core.states import Rank


@dataclass(frozen=True)
class TimelinePoint:
    """The measurements in one step of a plot.

    Attributes:
        start_s: The start of the step, in seconds since 1970.
        length_s: The length of the step, in seconds.
        measured_share: The share of the step that was measured, from 0 to 1.
        attained: Share of requests answered completely and in time; None without
            requests.
        p99_ms: The p99 latency, in milliseconds; None without answered requests.
    """

    start_s: float
    length_s: float
    measured_share: float
    attained: float | None
    p99_ms: float | None


def build_timeline(
    series: Sequence[Series], service: ServiceId, rank: Rank, over_s: int, now_s: float
) -> tuple[TimelinePoint, ...]:
    """Return a service's points, oldest first, aligned to multiples of the step.

    Args:
        series: The series of each source.
        service: The service.
        rank: The rank of the service's requests.
        over_s: The length of time to cover, in seconds.
        now_s: The end of the timeline, in seconds since 1970.
    """
    step_s = interval_length_for(over_s)
    merged = merge_series(series, step_s)
    points = []
    start_s = float((now_s - over_s) // step_s * step_s)
    while start_s < now_s:
        window = Window(start_s, min(start_s + step_s, now_s))
        counts = count_requests(merged.intervals, window, service, rank)
        histogram = decode_histogram(counts.latency) or new_histogram()
        points.append(
            TimelinePoint(
                start_s,
                window.end_s - start_s,
                measured_share(merged.series, window),
                counts.answered / counts.total if counts.total else None,
                percentile_ms(histogram, 99.0),
            )
        )
        start_s += step_s
    return tuple(points)
