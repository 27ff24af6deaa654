"""The state that the request handlers of an entry instance share."""

from dataclasses import dataclass
from enum import Enum, unique
from random import Random

import structlog

from tanagercourse.burn.recorder import BurnRecorder
from tanagercourse.core.ids import Incarnation, InstanceId, ZoneId
from tanagercourse.core.work import Clock
from tanagercourse.entry.active_settings import ActiveService, ActiveSettings
from tanagercourse.entry.deduplication import RequestDeduplicator
from tanagercourse.entry.dispatch import Dispatcher
from tanagercourse.entry.instance_directory import InstanceDirectory
from tanagercourse.entry.lookup import Lookups
from tanagercourse.entry.metrics import EntryMetrics
from tanagercourse.entry.pool import PoolDependencies
from tanagercourse.entry.remote_regions import remote_region_finder
from tanagercourse.entry.service_spill import SpillDependencies
from tanagercourse.entry.spill_manager import SpillManager
from tanagercourse.entry.steer import SteeringDependencies
from tanagercourse.entry.topology import Topology
from tanagercourse.settings.schema import Duty
from tanagercourse.steering.retries import RetryBudget, RetryPolicy
from tanagercourse.steering.shares import ShareHolderId
from tanagercourse.steering.upstreams import prefer_own_slots
from tanagercourse.wire.connections import HttpClients

# Budget for requests shed from borrowed slots. Each request adds `share`, up to a
# balance of `burst`.
SHED_BUDGET_POLICY = RetryPolicy(share=0.1, burst=20.0)

_log = structlog.get_logger()


@unique
class Phase(Enum):
    """Phases from the start to the planned stop of an entry instance."""

    STARTING = "starting"
    SERVING = "serving"
    LEAVING = "leaving"


@dataclass(frozen=True)
class InstanceIdentity:
    """Id, location and incarnation of an entry instance.

    Attributes:
        instance: The instance's id.
        zone: The instance's availability zone.
        incarnation: Distinguishes this run from earlier runs of the same instance.
    """

    instance: InstanceId
    zone: ZoneId
    incarnation: Incarnation = Incarnation(0)


class EntryState:
    """Creates and holds the state that the request handlers share.

    Args:
        identity: Id, location and incarnation of the instance.
        connections: HTTP clients for upstreams.
        clock: A monotonic clock, in seconds.
        random: Source of all random choices and jitter.
        recorder: Counts requests for the burn report.
    """

    def __init__(
        self,
        identity: InstanceIdentity,
        connections: HttpClients,
        clock: Clock,
        random: Random,
        recorder: BurnRecorder,
    ) -> None:
        self.recorder = recorder
        self.random = random
        self.clock = clock
        self.phase = Phase.STARTING
        self.directory = InstanceDirectory()
        self.deduplicator = RequestDeduplicator(clock)
        self.active_settings = ActiveSettings(self._apply_service)
        self.lookups = Lookups(self.active_settings, self.directory, random)
        shed_budget = RetryBudget(SHED_BUDGET_POLICY, random)
        self.topology = Topology(
            identity.instance,
            identity.zone,
            lambda: self.active_settings,
            self.directory,
        )
        self.spill_manager = self._make_spill_manager(identity, random)
        self.dispatcher = Dispatcher(self._make_pool_dependencies(shed_budget, random))
        retry_budget = RetryBudget(RetryPolicy(), random)
        self.metrics = EntryMetrics()
        self.steering = SteeringDependencies(
            self.dispatcher,
            connections,
            retry_budget,
            shed_budget,
            clock,
            self.metrics.record_retry,
        )

    def collect_metrics(self) -> EntryMetrics:
        """Update the gauges of running and waiting requests; return all metrics."""
        for service, pool in self.dispatcher.pools().items():
            waiting_count = self.dispatcher.waiting_count(service)
            self.metrics.set_load(service, pool.in_flight, waiting_count)
        return self.metrics

    def _make_spill_manager(
        self, identity: InstanceIdentity, random: Random
    ) -> SpillManager:
        holder_id = ShareHolderId(identity.instance, identity.incarnation)
        find_remote_regions = remote_region_finder(self.active_settings, self.topology)
        deps = SpillDependencies(
            self.topology.home_region, find_remote_regions, self.clock, random
        )
        return SpillManager(holder_id, deps)

    def _make_pool_dependencies(
        self, shed_budget: RetryBudget, random: Random
    ) -> PoolDependencies:
        choose_view = prefer_own_slots(random, shed_budget.has_balance)
        is_leaving = self.directory.is_leaving
        return PoolDependencies(
            choose_view,
            self.topology,
            is_leaving,
            self.clock,
            random,
            self.spill_manager.hooks(),
        )

    def _apply_service(self, service: ActiveService) -> None:
        settings = service.settings
        self.spill_manager.configure(settings)
        self.dispatcher.configure(settings)
        draining = [
            upstream.id
            for upstream in settings.upstreams
            if upstream.duty is Duty.DRAIN
        ]
        _log.info(
            "upstreams_applied",
            service=settings.service,
            version=service.version,
            upstreams=len(settings.upstreams),
            draining=draining,
        )
