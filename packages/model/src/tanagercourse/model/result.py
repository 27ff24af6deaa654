"""Counts of a model run, by rank and by region."""

from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

from tanagercourse.core.ids import RegionId, ServiceId
from tanagercourse.core.states import RANKS, Rank

US_PER_MS = 1_000.0
MAX_LATENCY_US = 60_000_000
LATENCY_SIGNIFICANT_DIGITS = 3


def _make_histogram() -> HdrHistogram:
    return HdrHistogram(1, MAX_LATENCY_US, LATENCY_SIGNIFICANT_DIGITS)


@dataclass
class RankTally:
    """Counts and latencies of the requests of one rank.

    Attributes:
        sent: Requests that callers sent.
        good: Requests answered within their deadline.
        late: Requests answered after their deadline.
        refused: Requests refused and certain not to have run.
        lost: Requests without a response that may have run.
        retries: Attempts after the first of each request, without hedges.
        hedges: Second attempts sent while a slow first one was in flight.
        sheds: Attempts that an upstream shed.
        spills: Attempts sent to another region.
        latency_us: Latency of answered requests as seen by callers, in microseconds.
    """

    sent: int = 0
    good: int = 0
    late: int = 0
    refused: int = 0
    lost: int = 0
    retries: int = 0
    hedges: int = 0
    sheds: int = 0
    spills: int = 0
    latency_us: HdrHistogram = field(default_factory=_make_histogram)

    @property
    def goodput(self) -> float:
        """Return the share of requests answered within the deadline."""
        return self.good / self.sent if self.sent else 1.0

    def percentile_ms(self, percentile: float) -> float:
        """Return a percentile of the latency of answered requests, in milliseconds."""
        return float(self.latency_us.get_value_at_percentile(percentile)) / US_PER_MS


@dataclass
class SlotMeter:
    """Utilisation of one service's slots in one region.

    Attributes:
        slots: Slots of upstreams that are up and not draining.
        busy_slots: Slots in use now.
        waiting: Requests that wait for a slot now.
        outstanding: Requests in transit to, at, or in transit from the upstreams.
        max_outstanding: Maximum number of outstanding requests so far.
        offered_slot_s: Slot-seconds available while requests waited.
        used_slot_s: Slot-seconds in use while requests waited.
    """

    slots: int = 0
    busy_slots: int = 0
    waiting: int = 0
    outstanding: int = 0
    max_outstanding: int = 0
    offered_slot_s: float = 0.0
    used_slot_s: float = 0.0
    _advanced_to_s: float = 0.0

    def advance_to(self, now_s: float) -> None:
        """Add the time since the last call; call before each change of a count."""
        if self.waiting > 0:
            elapsed_s = now_s - self._advanced_to_s
            self.offered_slot_s += self.slots * elapsed_s
            self.used_slot_s += min(self.busy_slots, self.slots) * elapsed_s
        self._advanced_to_s = now_s

    def change_outstanding(self, change: int) -> None:
        """Count requests that are sent (1) or end (-1)."""
        self.outstanding += change
        self.max_outstanding = max(self.max_outstanding, self.outstanding)


@dataclass
class RunResult:
    """Counts of one run, by rank, and by service and region."""

    ranks: dict[Rank, RankTally] = field(
        default_factory=lambda: {rank: RankTally() for rank in RANKS}
    )
    meters: dict[tuple[ServiceId, RegionId], SlotMeter] = field(default_factory=dict)

    def slot_utilisation(self, service: ServiceId) -> float:
        """Return the share of a service's slots in use while its requests waited."""
        meters = [meter for key, meter in self.meters.items() if key[0] == service]
        offered_slot_s = sum(meter.offered_slot_s for meter in meters)
        used_slot_s = sum(meter.used_slot_s for meter in meters)
        return used_slot_s / offered_slot_s if offered_slot_s else 1.0

    def max_region_load(self) -> float:
        """Return the maximum of outstanding requests per slot over all meters."""
        loads = [
            meter.max_outstanding / meter.slots
            for meter in self.meters.values()
            if meter.slots
        ]
        return max(loads, default=0.0)
