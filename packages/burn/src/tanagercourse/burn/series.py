"""The series of intervals that a source has measured, and its encoding.

A source is an entry instance. Intervals are aligned to wall-clock time, so that the
series of several sources can be merged. Each interval records how much of it was
measured. The rest is a gap: requests may have gone uncounted, and a report shows it.
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
    """The outcome of a request with respect to its service-level target."""

    ANSWERED = "answered"
    REFUSED = "refused"
    FAILED = "failed"


@dataclass(frozen=True)
class Cell:
    """The counts of one service and rank in one interval.

    Attributes:
        service: The service.
        rank: The rank.
        answered: Requests answered completely within their deadline.
        refused: Requests refused without having run.
        failed: Requests with any other outcome.
        busy_s: Total time that requests spent being served, in seconds.
        latency: Encoded histogram of the latency of the answered requests.
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
        """Return the number of finished requests."""
        return self.answered + self.refused + self.failed

    @property
    def bad(self) -> int:
        """Return the number of requests without a complete response in time."""
        return self.refused + self.failed


@dataclass(frozen=True)
class Interval:
    """The measurements between two points in time.

    Attributes:
        start_s: The start of the interval, in seconds since 1970.
        length_s: The length of the interval, in seconds.
        measured_s: How much of the interval was measured, in seconds.
        cells: The counts of each service and rank that had requests.
    """

    start_s: int
    length_s: int
    measured_s: float
    cells: tuple[Cell, ...]


@dataclass(frozen=True)
class CompletedDrain:
    """The completed drain of a backend server, as one source observed it.

    Attributes:
        service: The service of the backend server.
        upstream: The backend server.
        ended_at_s: When the last request from this source finished, in seconds since
            1970.
        took_s: Time from the activation of the drain to that point, in seconds.
    """

    service: ServiceId
    upstream: UpstreamId
    ended_at_s: float
    took_s: float


@dataclass(frozen=True)
class Series:
    """All retained measurements of one source.

    Attributes:
        source: The id of the source.
        zone: The availability zone of the source.
        started_at_s: When the source began to measure, in seconds since 1970. The
            time before does not count as a gap.
        intervals: The intervals, oldest first.
        stopped_at_s: When the source shut down gracefully, in seconds since 1970.
            The time after it does not count as a gap.
        drains: The most recent completed drains, oldest first.
    """

    source: str
    zone: ZoneId
    started_at_s: float
    intervals: tuple[Interval, ...] = ()
    stopped_at_s: float | None = None
    drains: tuple[CompletedDrain, ...] = ()


@dataclass(frozen=True)
class DamagedSeries(Problem):
    """A stored series cannot be decoded.

    Attributes:
        path: The path of the stored series.
        detail: Why it cannot be decoded.
    """

    path: ObjectPath
    detail: str

    def describe(self) -> str:
        """Return a message that names the object and the decoding error."""
        return f"{self.path}: the measurements cannot be decoded ({self.detail})"


def encode_series(series: Series) -> bytes:
    """Return a series as the JSON text that the platform stores."""
    return msgspec.json.encode(series)


def decode_series(path: ObjectPath, value: bytes) -> Result[Series, DamagedSeries]:
    """Decode a stored series and check that its histograms can be decoded.

    Args:
        path: The path of the stored series, named in the problem.
        value: The JSON text of the series.
    """
    try:
        series = msgspec.json.decode(value, type=Series)
    except msgspec.MsgspecError as error:
        return Failure(DamagedSeries(path, str(error)))
    for interval in series.intervals:
        if merge_histograms(cell.latency for cell in interval.cells) is None:
            return Failure(DamagedSeries(path, "invalid latency histogram"))
    return Success(series)


def merge_cells(cells: Iterable[Cell]) -> tuple[Cell, ...]:
    """Return cells with those of the same service and rank added up."""
    groups: dict[tuple[ServiceId, Rank], list[Cell]] = {}
    for cell in cells:
        groups.setdefault((cell.service, cell.rank), []).append(cell)
    return tuple(_merge_group(group) for group in groups.values())


def _merge_group(cells: list[Cell]) -> Cell:
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
