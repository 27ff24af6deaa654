"""An upstream in virtual time: slots, service times, sheds and load reports."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, unique
from random import Random

from tanagercourse.core.ids import UpstreamId
from tanagercourse.model.fleet import ServiceModel, Zone
from tanagercourse.model.scheduler import EventScheduler

# A cold upstream takes COLD_SERVICE_TIME_FACTOR times as long; the excess over the
# normal time is multiplied by COLD_PENALTY_DECAY with each request.
COLD_SERVICE_TIME_FACTOR = 4.0
COLD_PENALTY_DECAY = 0.9


@unique
class AttemptOutcome(Enum):
    """The outcome of one attempt to have an upstream serve a request.

    Attributes:
        ANSWERED: The upstream served the request.
        SHED: The upstream had no free slot and refused the request.
        UNREACHED: The upstream was down or cut off; the request did not run.
        LOST: The upstream failed while it served the request.
    """

    ANSWERED = "answered"
    SHED = "shed"
    UNREACHED = "unreached"
    LOST = "lost"


OnOutcome = Callable[[AttemptOutcome], None]
# Called with the change in the number of busy slots.
OnBusyChange = Callable[[int], None]


@dataclass
class UpstreamFaults:
    """Faults that a scenario injects into an upstream.

    Attributes:
        is_up: Whether the upstream accepts requests.
        is_draining: Whether the upstream drains and is to get no new requests.
        service_time_factor: Multiplier of service times.
        cold_penalty: Extra service time of a cold upstream, as a share of the normal
            one; shrinks with each request served.
        reported_load_override: Load to report in place of the actual one, None to
            report the actual load.
    """

    is_up: bool = True
    is_draining: bool = False
    service_time_factor: float = 1.0
    cold_penalty: float = 0.0
    reported_load_override: float | None = None


class ModelUpstream:
    """One upstream of one service, which sheds requests when no slot is free."""

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
        self._on_busy_change = on_busy_change
        # Number of failures so far; a request started before the last one is lost.
        self._epoch = 0

    @property
    def reported_load(self) -> float:
        """Return the load to report: the share of slots in use, or the override."""
        if self.faults.reported_load_override is not None:
            return self.faults.reported_load_override
        return self.busy_slots / self.service.slots_per_upstream

    def fail(self) -> None:
        """Stop at once; the requests being served are lost."""
        self.faults.is_up = False
        self._epoch += 1
        self._set_busy_slots(0)

    def restore(self) -> None:
        """Start, or restart, with cold caches."""
        self.faults.is_up = True
        self.faults.cold_penalty = COLD_SERVICE_TIME_FACTOR - 1.0

    def serve(self, on_outcome: OnOutcome) -> None:
        """Serve a request, or shed it when no slot is free.

        Args:
            on_outcome: Called once with the outcome, at once if the request is not
                served.
        """
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
        self.faults.cold_penalty *= COLD_PENALTY_DECAY
        # Erlang distribution of order 4: half the standard deviation of an exponential
        # distribution with the same mean.
        return (
            self._random.gammavariate(4.0, self.service.service_time_s / 4.0) * factor
        )

    def _set_busy_slots(self, busy_slots: int) -> None:
        self._on_busy_change(busy_slots - self.busy_slots)
        self.busy_slots = busy_slots
