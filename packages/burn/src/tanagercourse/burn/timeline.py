"""Points in time for plots; where nothing was measured there is a gap."""

from collections.abc import Sequence
from dataclasses import dataclass

from tanagercourse.burn.latency import decode_histogram, new_histogram, percentile_ms
from tanagercourse.burn.series import Series
from tanagercourse.burn.tiers import step_for
from tanagercourse.burn.windows import (
    Window,
    count_requests,
    measured_share,
    merge_series,
)
from tanagercourse.core.ids import ServiceId
from tanagercourse.core.states import Rank


@dataclass(frozen=True)
class Point:
    """What was measured in one step of a plot.

    Attributes:
        start_s: The step's start, in seconds since 1970.
        length_s: Its length, in seconds.
        measured_share: How much of it was measured.
        attained: Share of requests answered whole in time; None without requests.
        p99_ms: Latency, in milliseconds; None without answered requests.
    """

    start_s: float
    length_s: float
    measured_share: float
    attained: float | None
    p99_ms: float | None


def build_timeline(
    series: Sequence[Series], service: ServiceId, rank: Rank, over_s: int, now_s: float
) -> tuple[Point, ...]:
    """Return a service's points, oldest first, each aligned to its step."""
    step_s = step_for(over_s)
    measured = merge_series(series, step_s)
    points = []
    start_s = float((now_s - over_s) // step_s * step_s)
    while start_s < now_s:
        window = Window(start_s, min(start_s + step_s, now_s))
        counted = count_requests(measured.intervals, window, service, rank)
        histogram = decode_histogram(counted.latency) or new_histogram()
        points.append(
            Point(
                start_s,
                window.end_s - start_s,
                measured_share(measured.series, window),
                counted.answered / counted.total if counted.total else None,
                percentile_ms(histogram, 99.0),
            )
        )
        start_s += step_s
    return tuple(points)
