"""What a run of the model counted, by rank and by region."""

from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

from tanagercourse.core.ids import RegionId, ServiceId
from tanagercourse.core.states import RANKS, Rank

US_PER_MS = 1_000.0
MAX_LATENCY_US = 60_000_000
SIGNIFICANT_DIGITS = 3


def _histogram() -> HdrHistogram:
    return HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)


@dataclass
class RankTally:
    """Requests of one rank.

    Attributes:
        sent: Requests that callers sent.
        good: Answered within the deadline.
        late: Answered after it.
        refused: Refused, not run.
        lost: Neither answered nor surely not run.
        retries: Attempts beyond the first of each request.
        hedges: Second attempts beside a slow first one.
        sheds: Attempts that an upstream shed.
        spills: Attempts sent to another region.
        latency_us: Latency of answered requests as callers saw it.
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
    latency_us: HdrHistogram = field(default_factory=_histogram)

    @property
    def goodput(self) -> float:
        """Return the share of requests answered within the deadline."""
        return self.good / self.sent if self.sent else 1.0

    def percentile_ms(self, percentile: float) -> float:
        """Return a percentile of the latency of answered requests, in ms."""
        return float(self.latency_us.get_value_at_percentile(percentile)) / US_PER_MS


@dataclass
class SlotMeter:
    """Use of one service's slots in one region.

    Attributes:
        slots: Slots of upstreams that are up and not draining.
        busy_slots: Slots in use now.
        waiting: Requests that wait for one now.
        outstanding: Requests on their way to, in and from the upstreams.
        max_outstanding: The most that were outstanding at once.
        offered_slot_s: Slot-seconds that passed while requests waited.
        used_slot_s: How many of them were in use.
    """

    slots: int = 0
    busy_slots: int = 0
    waiting: int = 0
    outstanding: int = 0
    max_outstanding: int = 0
    offered_slot_s: float = 0.0
    used_slot_s: float = 0.0
    _since_s: float = 0.0

    def advance_to(self, now_s: float) -> None:
        """Count the time since the last change; call before each change."""
        if self.waiting > 0:
            passed_s = now_s - self._since_s
            self.offered_slot_s += self.slots * passed_s
            self.used_slot_s += min(self.busy_slots, self.slots) * passed_s
        self._since_s = now_s

    def change_outstanding(self, change: int) -> None:
        """Count requests that go out (1) or end (-1)."""
        self.outstanding += change
        self.max_outstanding = max(self.max_outstanding, self.outstanding)


@dataclass
class RunResult:
    """One run's figures."""

    ranks: dict[Rank, RankTally] = field(
        default_factory=lambda: {rank: RankTally() for rank in RANKS}
    )
    meters: dict[tuple[ServiceId, RegionId], SlotMeter] = field(default_factory=dict)

    def slot_utilisation(self, service: ServiceId) -> float:
        """Return the share of a service's slots in use while its work waited."""
        meters = [meter for key, meter in self.meters.items() if key[0] == service]
        offered_slot_s = sum(meter.offered_slot_s for meter in meters)
        used_slot_s = sum(meter.used_slot_s for meter in meters)
        return used_slot_s / offered_slot_s if offered_slot_s else 1.0

    def max_region_load(self) -> float:
        """Return the most requests outstanding at a region over its slots there."""
        loads = [
            meter.max_outstanding / meter.slots
            for meter in self.meters.values()
            if meter.slots
        ]
        return max(loads, default=0.0)
