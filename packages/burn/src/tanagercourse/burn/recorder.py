"""Count finished requests in intervals, with one recorder per entry instance."""

from dataclasses import dataclass, replace

from hdrh.histogram import HdrHistogram

from tanagercourse.burn.latency import encode_histogram, new_histogram, record_latency
from tanagercourse.burn.series import Cell, CompletedDrain, Interval, Outcome, Series
from tanagercourse.burn.tiers import FINEST_INTERVAL_S, merge_intervals, roll_up
from tanagercourse.core.ids import ServiceId, ZoneId
from tanagercourse.core.states import Rank

# A longer time between two ticks means that the process was paused. The time between
# them then counts as not measured.
MAX_TICK_GAP_S = 15.0
# Number of drains kept; the oldest are dropped first.
MAX_DRAINS = 50


class _OpenCell:
    """The counts of one service and rank in the current interval."""

    def __init__(self) -> None:
        self.counts = dict.fromkeys(Outcome, 0)
        self.busy_s = 0.0
        self.latency: HdrHistogram = new_histogram()

    def close(self, service: ServiceId, rank: Rank) -> Cell:
        return Cell(
            service,
            rank,
            self.counts[Outcome.ANSWERED],
            self.counts[Outcome.REFUSED],
            self.counts[Outcome.FAILED],
            self.busy_s,
            encode_histogram(self.latency),
        )


@dataclass
class _OpenInterval:
    """The current interval, whose counts still grow.

    Attributes:
        start_s: Its start, in seconds since 1970.
        measured_s: How much of it was measured so far, in seconds.
        cells: The counts by service and rank.
    """

    start_s: int
    measured_s: float
    cells: dict[tuple[ServiceId, Rank], _OpenCell]

    def close(self) -> Interval:
        cells = tuple(cell.close(*key) for key, cell in self.cells.items())
        return Interval(self.start_s, FINEST_INTERVAL_S, self.measured_s, cells)


class BurnRecorder:
    """Counts one source's requests in intervals, and rolls up the closed ones.

    Args:
        source: The id of the source.
        zone: The availability zone of the source.
        now_s: The wall clock, in seconds since 1970.
    """

    def __init__(self, source: str, zone: ZoneId, now_s: float) -> None:
        self._series = Series(source, zone, now_s)
        self._ticked_at_s = now_s
        self._open = _OpenInterval(_interval_start_s(now_s), 0.0, {})

    def record(
        self,
        service: ServiceId,
        rank: Rank,
        outcome: Outcome,
        latency_s: float,
        now_s: float,
    ) -> None:
        """Count one finished request.

        Args:
            service: The request's service.
            rank: The request's rank.
            outcome: The request's outcome.
            latency_s: Time from the arrival of the request to the end of its
                response, in seconds.
            now_s: The wall clock, in seconds since 1970.
        """
        self.tick(now_s)
        cell = self._open.cells.get((service, rank))
        if cell is None:
            cell = self._open.cells[service, rank] = _OpenCell()
        cell.counts[outcome] += 1
        if outcome is not Outcome.REFUSED:
            cell.busy_s += latency_s
        if outcome is Outcome.ANSWERED:
            record_latency(cell.latency, latency_s)

    def record_drain(self, drain: CompletedDrain) -> None:
        """Record a completed drain: no request of this source is left at the server."""
        drains = (*self._series.drains, drain)[-MAX_DRAINS:]
        self._series = replace(self._series, drains=drains)

    def tick(self, now_s: float) -> None:
        """Count the time since the previous tick as measured.

        Call this every few seconds: if the previous tick is more than MAX_TICK_GAP_S
        seconds ago, or the clock went back, the time in between counts as not
        measured.
        """
        elapsed_s = now_s - self._ticked_at_s
        from_s = self._ticked_at_s if 0.0 <= elapsed_s <= MAX_TICK_GAP_S else now_s
        self._ticked_at_s = now_s
        while _interval_start_s(now_s) > self._open.start_s:
            end_s = self._open.start_s + FINEST_INTERVAL_S
            self._open.measured_s += max(0.0, end_s - from_s)
            from_s = max(from_s, end_s)
            self._close(max(end_s, _interval_start_s(from_s)))
        self._open.measured_s += max(0.0, now_s - max(from_s, self._open.start_s))

    def series(self, now_s: float) -> Series:
        """Return the retained measurements until now, with the current interval."""
        self.tick(now_s)
        intervals = (*self._series.intervals, self._open.close())
        return replace(self._series, intervals=roll_up(intervals, now_s))

    def restore(self, earlier: Series) -> None:
        """Add the series that this source published before its restart.

        The time between the last publication and the restart remains a gap.

        Args:
            earlier: The published series of this source.
        """
        intervals = (*earlier.intervals, *self._series.intervals)
        drains = (*earlier.drains, *self._series.drains)[-MAX_DRAINS:]
        merged = merge_intervals(intervals)
        self._series = replace(
            self._series,
            started_at_s=min(earlier.started_at_s, self._series.started_at_s),
            intervals=merged,
            drains=drains,
        )

    def stop(self, now_s: float) -> None:
        """Mark the series as stopped by a graceful shutdown."""
        self.tick(now_s)
        self._series = replace(self._series, stopped_at_s=now_s)

    def _close(self, next_start_s: int) -> None:
        closed = (*self._series.intervals, self._open.close())
        intervals = roll_up(closed, next_start_s)
        self._series = replace(self._series, intervals=intervals)
        self._open = _OpenInterval(next_start_s, 0.0, {})


def _interval_start_s(now_s: float) -> int:
    return int(now_s // FINEST_INTERVAL_S) * FINEST_INTERVAL_S
