"""Count finished requests in intervals; one recorder for each entry instance."""

from dataclasses import dataclass, replace

from hdrh.histogram import HdrHistogram

from tanagercourse.burn.latency import encode_histogram, new_histogram, record_latency
from tanagercourse.burn.series import Cell, CompletedDrain, Interval, Outcome, Series
from tanagercourse.burn.tiers import FINEST_INTERVAL_S, merge_intervals, roll
from tanagercourse.core.ids import ServiceId, ZoneId
from tanagercourse.core.states import Rank

# A recorder that is not ticked for longer was paused: nothing was measured.
MAX_TICK_S = 15.0
MAX_DRAINS = 50


class _OpenCell:
    """Counts of one service and rank while their interval lasts."""

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
    """The interval that is being counted now."""

    start_s: int
    measured_s: float
    cells: dict[tuple[ServiceId, Rank], _OpenCell]

    def close(self) -> Interval:
        cells = tuple(cell.close(*key) for key, cell in self.cells.items())
        return Interval(self.start_s, FINEST_INTERVAL_S, self.measured_s, cells)


class BurnRecorder:
    """A source's counts: the interval that is open and the closed ones before it.

    Args:
        source: The source's id.
        zone: Its availability zone.
        now_s: The wall clock, in seconds since 1970.
    """

    def __init__(self, source: str, zone: ZoneId, now_s: float) -> None:
        self._series = Series(source, zone, now_s)
        self._ticked_at_s = now_s
        self._open = _OpenInterval(_start_of(now_s), 0.0, {})

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
            service: Its service.
            rank: Its rank.
            outcome: How it ended.
            latency_s: From its arrival to the end of its answer, in seconds.
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
        """Note a backend server that has no more requests of this source."""
        drains = (*self._series.drains, drain)[-MAX_DRAINS:]
        self._series = replace(self._series, drains=drains)

    def tick(self, now_s: float) -> None:
        """Note that measurement went on until now; call it every few seconds.

        Time since a tick that lies too far back was not measured.
        """
        elapsed_s = now_s - self._ticked_at_s
        from_s = self._ticked_at_s if 0.0 <= elapsed_s <= MAX_TICK_S else now_s
        self._ticked_at_s = now_s
        while _start_of(now_s) > self._open.start_s:
            end_s = self._open.start_s + FINEST_INTERVAL_S
            self._open.measured_s += max(0.0, end_s - from_s)
            from_s = max(from_s, end_s)
            self._close(max(end_s, _start_of(from_s)))
        self._open.measured_s += max(0.0, now_s - max(from_s, self._open.start_s))

    def series(self, now_s: float) -> Series:
        """Return everything counted until now, the open interval included."""
        self.tick(now_s)
        intervals = (*self._series.intervals, self._open.close())
        return replace(self._series, intervals=roll(intervals, now_s))

    def restore(self, earlier: Series) -> None:
        """Take over what this source had published before it was restarted.

        The time between is left as a gap.
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
        """Note a planned stop."""
        self.tick(now_s)
        self._series = replace(self._series, stopped_at_s=now_s)

    def _close(self, next_start_s: int) -> None:
        closed = (*self._series.intervals, self._open.close())
        intervals = roll(closed, next_start_s)
        self._series = replace(self._series, intervals=intervals)
        self._open = _OpenInterval(next_start_s, 0.0, {})


def _start_of(now_s: float) -> int:
    return int(now_s // FINEST_INTERVAL_S) * FINEST_INTERVAL_S
