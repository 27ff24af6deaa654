"""What an entry instance's handlers share."""

from dataclasses import dataclass
from enum import Enum, unique
from random import Random

import structlog

from tanagercourse.burn.recorder import BurnRecorder
from tanagercourse.core.ids import Incarnation, InstanceId, ZoneId
from tanagercourse.core.work import Clock
from tanagercourse.entry.active_settings import ActiveSettings, ServiceInForce
from tanagercourse.entry.deduplication import RequestsInHand
from tanagercourse.entry.dispatch import Dispatcher
from tanagercourse.entry.instance_directory import InstanceDirectory
from tanagercourse.entry.lookup import Lookups
from tanagercourse.entry.metrics import EntryMetrics
from tanagercourse.entry.pool import PoolDependencies
from tanagercourse.entry.remote_regions import away_of
from tanagercourse.entry.service_spill import SpillParts
from tanagercourse.entry.spill_manager import Spilling
from tanagercourse.entry.steer import Route
from tanagercourse.entry.topology import Topology
from tanagercourse.settings.schema import Duty
from tanagercourse.steering.retries import RetryBudget, RetryPolicy
from tanagercourse.steering.shares import ShareHolderId
from tanagercourse.steering.upstreams import prefer_own_slots
from tanagercourse.wire.connections import HttpClients

# Sheds of borrowed slots that each request earns.
SHED_POLICY = RetryPolicy(share=0.1, burst=20.0)

_log = structlog.get_logger()


@unique
class Phase(Enum):
    """Phase of an entry instance's life."""

    STARTING = "starting"
    SERVING = "serving"
    LEAVING = "leaving"


@dataclass(frozen=True)
class Place:
    """Which instance this is and where it stands."""

    instance: InstanceId
    zone: ZoneId
    incarnation: Incarnation = Incarnation(0)


class EntryState:
    """All that an entry instance's handlers share."""

    def __init__(
        self,
        place: Place,
        connections: HttpClients,
        clock: Clock,
        random: Random,
        recorder: BurnRecorder,
    ) -> None:
        self.recorder = recorder
        self.random = random
        self.clock = clock
        self.phase = Phase.STARTING
        self.roster = InstanceDirectory()
        self.in_hand = RequestsInHand(clock)
        self.in_force = ActiveSettings(self._configure)
        self.lookups = Lookups(self.in_force, self.roster, random)
        sheds = RetryBudget(SHED_POLICY, random)
        self.surroundings = Topology(
            place.instance, place.zone, lambda: self.in_force, self.roster
        )
        self.spilling = self._make_spilling(place, random)
        self.dispatcher = Dispatcher(self._parts(sheds, random))
        retries = RetryBudget(RetryPolicy(), random)
        self.metrics = EntryMetrics()
        self.route = Route(
            self.dispatcher, connections, retries, sheds, clock, self.metrics.retried
        )

    def observe(self) -> EntryMetrics:
        """Return the counts with what is in flight and waiting right now."""
        for service, pool in self.dispatcher.pools().items():
            waiting = self.dispatcher.waiting(service)
            self.metrics.observe(service, pool.in_flight, waiting)
        return self.metrics

    def _make_spilling(self, place: Place, random: Random) -> Spilling:
        me = ShareHolderId(place.instance, place.incarnation)
        away = away_of(self.in_force, self.surroundings)
        parts = SpillParts(self.surroundings.home, away, self.clock, random)
        return Spilling(me, parts)

    def _parts(self, sheds: RetryBudget, random: Random) -> PoolDependencies:
        choose = prefer_own_slots(random, sheds.has_balance)
        is_leaving = self.roster.is_leaving
        return PoolDependencies(
            choose,
            self.surroundings,
            is_leaving,
            self.clock,
            random,
            self.spilling.port(),
        )

    def _configure(self, service: ServiceInForce) -> None:
        settings = service.settings
        self.spilling.configure(settings)
        self.dispatcher.configure(settings)
        draining = [each.id for each in settings.upstreams if each.duty is Duty.DRAIN]
        _log.info(
            "upstreams_in_force",
            service=settings.service,
            version=service.version,
            upstreams=len(settings.upstreams),
            draining=draining,
        )
