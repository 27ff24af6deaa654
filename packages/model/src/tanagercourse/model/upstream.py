"""An upstream in virtual time: slots, service times, sheds and load reports."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, unique
from random import Random

from tanagercourse.core.ids import UpstreamId
from tanagercourse.model.fleet import ServiceModel, Zone
from tanagercourse.model.scheduler import EventScheduler

# A cold upstream takes so many times as long, falling by this factor a request.
COLD_FACTOR = 4.0
WARMING_PER_REQUEST = 0.9


@unique
class AttemptOutcome(Enum):
    """How an upstream ends a request that reached it."""

    ANSWERED = "answered"
    SHED = "shed"
    UNREACHED = "unreached"
    LOST = "lost"


OnOutcome = Callable[[AttemptOutcome], None]
# Tells by how many the slots in use change.
OnBusyChange = Callable[[int], None]


@dataclass
class UpstreamFaults:
    """What a scenario does to an upstream.

    Attributes:
        is_up: Whether it answers at all.
        is_draining: Whether it asked for no new work.
        service_time_factor: Factor of its service times.
        cold_penalty: Factor of its service times beyond 1 that falls as it serves.
        reported_load: The load it reports whatever its true one, None for the truth.
    """

    is_up: bool = True
    is_draining: bool = False
    service_time_factor: float = 1.0
    cold_penalty: float = 0.0
    reported_load_override: float | None = None


class ModelUpstream:
    """One upstream of one service."""

    def __init__(
        self,
        id: UpstreamId,
        zone: Zone,
        service: ServiceModel,
        scheduler: EventScheduler,
        random: Random,
        on_busy_change: OnBusyChange,
    ) -> None:
        self.id = id
        self.zone = zone
        self.service = service
        self.faults = UpstreamFaults()
        self.busy_slots = 0
        self.sheds = 0
        self._scheduler = scheduler
        self._random = random
        self._on_busy = on_busy_change
        self._epoch = 0

    @property
    def reported_load(self) -> float:
        """Return the share of its slots that it says are in use."""
        if self.faults.reported_load_override is not None:
            return self.faults.reported_load_override
        return self.busy_slots / self.service.slots_per_upstream

    def fail(self) -> None:
        """Stop at once; what it was serving is lost."""
        self.faults.is_up = False
        self._epoch += 1
        self._set_busy_slots(0)

    def restore(self) -> None:
        """Start again with cold caches."""
        self.faults.is_up = True
        self.faults.cold_penalty = COLD_FACTOR - 1.0

    def serve(self, on_outcome: OnOutcome) -> None:
        """Serve a request that arrives now, or shed it when no slot is free."""
        if not self.faults.is_up:
            on_outcome(AttemptOutcome.UNREACHED)
        elif self.busy_slots >= self.service.slots_per_upstream:
            self.sheds += 1
            on_outcome(AttemptOutcome.SHED)
        else:
            self._set_busy_slots(self.busy_slots + 1)
            epoch = self._epoch
            service_time_s = self._draw_service_time_s()
            self._scheduler.schedule_after(
                service_time_s, lambda: self._complete(epoch, on_outcome)
            )

    def _complete(self, epoch: int, on_outcome: OnOutcome) -> None:
        if epoch != self._epoch:
            on_outcome(AttemptOutcome.LOST)
            return
        self._set_busy_slots(self.busy_slots - 1)
        on_outcome(AttemptOutcome.ANSWERED)

    def _draw_service_time_s(self) -> float:
        factor = self.faults.service_time_factor * (1.0 + self.faults.cold_penalty)
        self.faults.cold_penalty *= WARMING_PER_REQUEST
        # Erlang of order 4: half the spread of an exponential.
        return (
            self._random.gammavariate(4.0, self.service.service_time_s / 4.0) * factor
        )

    def _set_busy_slots(self, busy_slots: int) -> None:
        self._on_busy(busy_slots - self.busy_slots)
        self.busy_slots = busy_slots
