"""What a source has measured, as a series of intervals, and its encoding.

A source is an entry instance, or a zone that merged its instances. Intervals are
aligned to wall-clock time, so that series of several sources merge. An interval
tells how much of it was measured: a request that nobody counted is a gap, which a
report shows as such.
"""

from collections.abc import Iterable
from dataclasses import dataclass, replace
from enum import Enum, unique

import msgspec
from returns.result import Failure, Result, Success

from tanagercourse.burn.latency import merge_histograms
from tanagercourse.core.ids import ObjectPath, ServiceId, UpstreamId, ZoneId
from tanagercourse.core.problems import Problem
from tanagercourse.core.states import Rank


@unique
class Outcome(Enum):
    """How a request ended, as far as its service-level target is concerned."""

    ANSWERED = "answered"
    REFUSED = "refused"
    FAILED = "failed"


@dataclass(frozen=True)
class Cell:
    """One service and rank in one interval.

    Attributes:
        service: The service.
        rank: The rank.
        answered: Requests answered whole within their deadline.
        refused: Requests refused, not run.
        failed: Requests that ended otherwise.
        busy_s: Time that requests spent being served, added up, in seconds.
        latency: Encoded histogram of the answered requests' latency.
    """

    service: ServiceId
    rank: Rank
    answered: int
    refused: int
    failed: int
    busy_s: float
    latency: str

    @property
    def total(self) -> int:
        """Return how many requests ended."""
        return self.answered + self.refused + self.failed

    @property
    def bad(self) -> int:
        """Return how many requests were not answered whole in time."""
        return self.refused + self.failed


@dataclass(frozen=True)
class Interval:
    """What was measured between two points in time.

    Attributes:
        start_s: Its start, in seconds since 1970.
        length_s: Its length, in seconds.
        measured_s: How much of it was measured, in seconds.
        cells: What was counted; nothing for a service without requests.
    """

    start_s: int
    length_s: int
    measured_s: float
    cells: tuple[Cell, ...]


@dataclass(frozen=True)
class CompletedDrain:
    """A backend server that ran out of work after it was told to drain.

    Attributes:
        service: Its service.
        upstream: The backend server.
        ended_at_s: When its last request from this source ended, in seconds since
            1970.
        took_s: How long after the drain was in force, in seconds.
    """

    service: ServiceId
    upstream: UpstreamId
    ended_at_s: float
    took_s: float


@dataclass(frozen=True)
class Series:
    """Everything that a source keeps.

    Attributes:
        source: The source's id.
        zone: Its availability zone.
        started_at_s: When it began to measure, in seconds since 1970; no gap is
            counted against it before.
        intervals: Oldest first.
        stopped_at_s: When it stopped as planned, in seconds since 1970; no gap
            is counted against it from then on.
        drains: The newest drains, oldest first.
    """

    source: str
    zone: ZoneId
    started_at_s: float
    intervals: tuple[Interval, ...] = ()
    stopped_at_s: float | None = None
    drains: tuple[CompletedDrain, ...] = ()


@dataclass(frozen=True)
class DamagedSeries(Problem):
    """A stored series can't be read."""

    path: ObjectPath
    detail: str

    def describe(self) -> str:
        """Tell a person which object can't be read."""
        return f"{self.path}: the measurements can't be read ({self.detail})"


def encode_series(series: Series) -> bytes:
    """Return a series as the JSON text that the platform keeps."""
    return msgspec.json.encode(series)


def decode_series(path: ObjectPath, value: bytes) -> Result[Series, DamagedSeries]:
    """Decode a stored series, its histograms included.

    Args:
        path: Where the platform keeps it.
        value: Its JSON text.
    """
    try:
        series = msgspec.json.decode(value, type=Series)
    except msgspec.MsgspecError as error:
        return Failure(DamagedSeries(path, str(error)))
    for interval in series.intervals:
        if merge_histograms(cell.latency for cell in interval.cells) is None:
            return Failure(DamagedSeries(path, "a damaged histogram"))
    return Success(series)


def merge_cells(cells: Iterable[Cell]) -> tuple[Cell, ...]:
    """Add up cells of the same service and rank."""
    groups: dict[tuple[ServiceId, Rank], list[Cell]] = {}
    for cell in cells:
        groups.setdefault((cell.service, cell.rank), []).append(cell)
    return tuple(_add(group) for group in groups.values())


def _add(cells: list[Cell]) -> Cell:
    if len(cells) == 1:
        return cells[0]
    merged = merge_histograms(cell.latency for cell in cells)
    return replace(
        cells[0],
        answered=sum(cell.answered for cell in cells),
        refused=sum(cell.refused for cell in cells),
        failed=sum(cell.failed for cell in cells),
        busy_s=sum(cell.busy_s for cell in cells),
        latency=merged or "",
    )
