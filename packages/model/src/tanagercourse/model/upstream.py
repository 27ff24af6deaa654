"""An upstream in virtual time: slots, service times, sheds and load reports."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, unique
from random import Random

from tanagercourse.core.ids import UpstreamId
from tanagercourse.model.fleet import ServiceModel, Zone
from tanagercourse.model.scheduler import Timeline

# A cold upstream takes so many times as long, falling by this factor a request.
COLD_FACTOR = 4.0
WARMING_PER_REQUEST = 0.9


@unique
class Ending(Enum):
    """How an upstream ends a request that reached it."""

    ANSWERED = "answered"
    SHED = "shed"
    UNREACHED = "unreached"
    LOST = "lost"


OnEnding = Callable[[Ending], None]
# Tells by how many the slots in use change.
OnBusy = Callable[[int], None]


@dataclass
class UpstreamFaults:
    """What a scenario does to an upstream.

    Attributes:
        is_up: Whether it answers at all.
        is_draining: Whether it asked for no new work.
        slowness: Factor of its service times.
        coldness: Factor of its service times beyond 1 that falls as it serves.
        reported_load: The load it reports whatever its true one, None for the truth.
    """

    is_up: bool = True
    is_draining: bool = False
    slowness: float = 1.0
    coldness: float = 0.0
    reported_load: float | None = None


class ModelUpstream:
    """One upstream of one service."""

    def __init__(
        self,
        id: UpstreamId,
        zone: Zone,
        service: ServiceModel,
        timeline: Timeline,
        random: Random,
        on_busy: OnBusy,
    ) -> None:
        self.id = id
        self.zone = zone
        self.service = service
        self.faults = UpstreamFaults()
        self.in_service = 0
        self.sheds = 0
        self._timeline = timeline
        self._random = random
        self._on_busy = on_busy
        self._epoch = 0

    @property
    def reported_load(self) -> float:
        """Return the share of its slots that it says are in use."""
        if self.faults.reported_load is not None:
            return self.faults.reported_load
        return self.in_service / self.service.slots

    def fail(self) -> None:
        """Stop at once; what it was serving is lost."""
        self.faults.is_up = False
        self._epoch += 1
        self._set_busy(0)

    def restore(self) -> None:
        """Start again with cold caches."""
        self.faults.is_up = True
        self.faults.coldness = COLD_FACTOR - 1.0

    def serve(self, on_ending: OnEnding) -> None:
        """Serve a request that arrives now, or shed it when no slot is free."""
        if not self.faults.is_up:
            on_ending(Ending.UNREACHED)
        elif self.in_service >= self.service.slots:
            self.sheds += 1
            on_ending(Ending.SHED)
        else:
            self._set_busy(self.in_service + 1)
            epoch = self._epoch
            service_s = self._draw_service_s()
            self._timeline.after(service_s, lambda: self._end(epoch, on_ending))

    def _end(self, epoch: int, on_ending: OnEnding) -> None:
        if epoch != self._epoch:
            on_ending(Ending.LOST)
            return
        self._set_busy(self.in_service - 1)
        on_ending(Ending.ANSWERED)

    def _draw_service_s(self) -> float:
        factor = self.faults.slowness * (1.0 + self.faults.coldness)
        self.faults.coldness *= WARMING_PER_REQUEST
        # Erlang of order 4: half the spread of an exponential.
        return (
            self._random.gammavariate(4.0, self.service.service_time_s / 4.0) * factor
        )

    def _set_busy(self, in_service: int) -> None:
        self._on_busy(in_service - self.in_service)
        self.in_service = in_service
