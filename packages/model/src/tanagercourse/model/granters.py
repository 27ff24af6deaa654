"""Granters of slot shares in virtual time, one for each region and service."""

from tanagercourse.core.ids import FencingVersion, RegionId, ServiceId
from tanagercourse.model.fleet import ServiceModel
from tanagercourse.model.simulation import REMOTE_HOLDERS, Simulation
from tanagercourse.steering.averages import DecayingAverage
from tanagercourse.steering.ledger import ShareLedger
from tanagercourse.steering.shares import (
    DestinationCapacity,
    DestinationId,
    GranterLease,
    link_slots,
)
from tanagercourse.steering.slots import Demand, DemandAverage
from tanagercourse.steering.spill import spare_slots

LEASE_TERM_S = 10.0
# Capacity of the link between two regions, and sizes of a request and a response.
LINK_MBIT_S = 4_000.0
REQUEST_BYTES = 2_000.0
RESPONSE_BYTES = 100_000.0
DEMAND_HALF_LIFE_S = 1.0
# Interval at which granters recompute the slots that they may grant.
CAPACITY_INTERVAL_S = 0.25


class Granter:
    """Grants slots of one service in one region to holders in other regions."""

    def __init__(
        self, simulation: Simulation, service: ServiceModel, region: RegionId
    ) -> None:
        self.region = region
        self.zone = next(
            zone for zone in simulation.fleet.zones if zone.region == region
        )
        self._simulation = simulation
        self._service = service
        self._home_demand_average = DecayingAverage(DEMAND_HALF_LIFE_S, 0.0)
        self._granted_average = DemandAverage()
        destination = DestinationId(f"{service.service}@{region}")
        lease = GranterLease(FencingVersion(1), 0.0, LEASE_TERM_S, 0.0)
        self.ledger = ShareLedger(destination, DestinationCapacity(0, region), lease)

    def update_capacity(self) -> None:
        """Renew the lease and recompute the slots that may be granted."""
        now_s = self._simulation.now_s()
        self.ledger.renew(now_s + LEASE_TERM_S)
        slots = self._simulation.result.meters[self._service.service, self.region].slots
        demands = self._simulation.demands(self._service.service, self.region)
        home_demand = sum(
            demand.wanted_slots
            for demand in demands
            if demand.instance != REMOTE_HOLDERS
        )
        mean_demand = self._home_demand_average.observe(home_demand, now_s)
        age_s = now_s - self._simulation.reports.made_at_s
        spare = spare_slots(slots, mean_demand, age_s)
        slots_by_link = link_slots(
            LINK_MBIT_S, REQUEST_BYTES, RESPONSE_BYTES, self._service.service_time_s
        )
        links = dict.fromkeys(self._simulation.regions, slots_by_link)
        self.ledger.capacity = DestinationCapacity(slots, self.region, spare, links)
        # The demand of remote holders is averaged, so that granted slots stay reserved
        # for a while: each change of it moves the slot shares of every instance here.
        remote_demand = Demand(
            REMOTE_HOLDERS,
            self._granted_average.update(1.5 * self.ledger.live_slots(now_s), now_s),
        )
        self._simulation.report_demand(
            self._service.service, self.region, remote_demand
        )


class Granters:
    """The granters of all services in all regions; updates them periodically."""

    def __init__(self, simulation: Simulation) -> None:
        self._simulation = simulation
        self._granters = {
            (service.service, region): Granter(simulation, service, region)
            for service in simulation.fleet.services
            for region in simulation.regions
        }
        self._update_capacities()

    def granter_of(self, service: ServiceId, region: RegionId) -> Granter:
        """Return the granter of a service in a region."""
        return self._granters[service, region]

    def _update_capacities(self) -> None:
        for granter in self._granters.values():
            granter.update_capacity()
        self._simulation.scheduler.schedule_after(
            CAPACITY_INTERVAL_S, self._update_capacities
        )
