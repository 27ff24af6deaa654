"""Report how requests of one route or of all were served over time.

The report shows whether refusals come from full upstreams: it compares the requests at
the upstreams of each zone with the refusals of the same interval.
"""

from collections import Counter
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

from tanagercourse.core.ids import RouteId, ZoneId
from tanagercourse.diagnosis.log_lines import Attempt, Ending, EndingKind, FleetLog

# Range of the durations that are kept apart, in milliseconds, and their precision in
# significant digits.
MAX_DURATION_MS = 600_000
DURATION_DIGITS = 2
MS_PER_S = 1000


@dataclass(frozen=True)
class LoadInterval:
    """What happened in one interval.

    Attributes:
        start_s: Start of the interval, in seconds since the first line.
        attempts: Attempts that ended.
        succeeded: Attempts that ended with success.
        assumed_cold: Attempts at upstreams that were not assumed to be warm.
        p50_ms: Median duration of the successful attempts, in milliseconds.
        p99_ms: The 99th percentile of these durations, in milliseconds.
        refused: Refusals by reason.
        refused_retries: Refusals of callers that had come back.
        running: Average number of requests at the upstreams of each zone.
    """

    start_s: float
    attempts: int
    succeeded: int
    assumed_cold: int
    p50_ms: int
    p99_ms: int
    refused: dict[str, int]
    refused_retries: int
    running: dict[ZoneId, float]


@dataclass
class _Tally:
    """Counts of one interval."""

    attempts: int = 0
    succeeded: int = 0
    assumed_cold: int = 0
    refused_retries: int = 0
    refused: Counter[str] = field(default_factory=Counter)
    running_s: dict[ZoneId, float] = field(default_factory=dict)
    durations: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(1, MAX_DURATION_MS, DURATION_DIGITS)
    )

    def add_attempt(self, attempt: Attempt) -> None:
        self.attempts += 1
        self.assumed_cold += not attempt.is_warm
        if attempt.is_success():
            self.succeeded += 1
            duration_ms = min(max(1, attempt.took_ms), MAX_DURATION_MS)
            self.durations.record_value(duration_ms)

    def add_refusal(self, ending: Ending) -> None:
        self.refused[ending.reason or "unknown"] += 1
        self.refused_retries += ending.came_back

    def add_running(self, zone: ZoneId, duration_s: float) -> None:
        self.running_s[zone] = self.running_s.get(zone, 0.0) + duration_s

    def summarize(self, start_s: float, interval_s: float) -> LoadInterval:
        return LoadInterval(
            start_s,
            self.attempts,
            self.succeeded,
            self.assumed_cold,
            self.durations.get_value_at_percentile(50),
            self.durations.get_value_at_percentile(99),
            dict(sorted(self.refused.items())),
            self.refused_retries,
            {
                zone: round(running_s / interval_s, 2)
                for zone, running_s in sorted(self.running_s.items())
            },
        )


class _Tallies:
    """The counts of all intervals since a time."""

    def __init__(self, first_s: float, interval_s: float) -> None:
        self._first_s = first_s
        self._interval_s = interval_s
        self._tallies: dict[int, _Tally] = {}

    def add_refusal(self, refusal: Ending) -> None:
        self._tally(self._index(refusal.at_s)).add_refusal(refusal)

    def add_attempt(self, attempt: Attempt) -> None:
        start_s, end_s = started_at_s(attempt), attempt.ended_at_s
        self._tally(self._index(end_s)).add_attempt(attempt)
        for index in range(self._index(start_s), self._index(end_s) + 1):
            interval_start_s = self._first_s + index * self._interval_s
            interval_end_s = interval_start_s + self._interval_s
            overlap_s = min(end_s, interval_end_s) - max(start_s, interval_start_s)
            self._tally(index).add_running(attempt.zone, max(0.0, overlap_s))

    def summarize(self) -> tuple[LoadInterval, ...]:
        return tuple(
            self._tally(index).summarize(index * self._interval_s, self._interval_s)
            for index in range(max(self._tallies) + 1)
        )

    def _index(self, at_s: float) -> int:
        return max(0, int((at_s - self._first_s) // self._interval_s))

    def _tally(self, index: int) -> _Tally:
        return self._tallies.setdefault(index, _Tally())


def build_load_report(
    log: FleetLog, interval_s: float, route: RouteId | None
) -> tuple[LoadInterval, ...]:
    """Return the intervals from the first to the last line about a request.

    Args:
        log: Log of all instances.
        interval_s: Length of an interval, in seconds.
        route: Only requests of this route count, of all routes if None.
    """

    def is_selected(record: Attempt | Ending) -> bool:
        return route is None or record.route == route

    attempts = list(filter(is_selected, log.attempts))
    refusals = [
        ending
        for ending in filter(is_selected, log.endings)
        if ending.kind is EndingKind.REFUSED
    ]
    times_s = [
        *map(started_at_s, attempts),
        *(refusal.at_s for refusal in refusals),
    ]
    if not times_s:
        return ()
    tallies = _Tallies(min(times_s), interval_s)
    for refusal in refusals:
        tallies.add_refusal(refusal)
    for attempt in attempts:
        tallies.add_attempt(attempt)
    return tallies.summarize()


def started_at_s(attempt: Attempt) -> float:
    """Return the start of an attempt, in Unix seconds."""
    return attempt.ended_at_s - attempt.took_ms / MS_PER_S
