"""Granters of shares, one for each region and service, in virtual time."""

from tanagercourse.core.ids import FencingVersion, RegionId, ServiceId
from tanagercourse.model.fleet import ServiceModel
from tanagercourse.model.simulation import LENT, World
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
LINK_MBIT_S = 4_000.0
REQUEST_BYTES = 2_000.0
ANSWER_BYTES = 100_000.0
DEMAND_HALF_LIFE_S = 1.0
CAPACITY_INTERVAL_S = 0.25


class Granter:
    """The instance of a region that grants shares of one service there."""

    def __init__(self, world: World, service: ServiceModel, region: RegionId) -> None:
        self.region = region
        self.zone = next(zone for zone in world.fleet.zones if zone.region == region)
        self._world = world
        self._service = service
        self._demand = DecayingAverage(DEMAND_HALF_LIFE_S, 0.0)
        self._lent = DemandAverage()
        destination = DestinationId(f"{service.service}@{region}")
        tenure = GranterLease(FencingVersion(1), 0.0, LEASE_TERM_S, 0.0)
        self.book = ShareLedger(destination, DestinationCapacity(0, region), tenure)

    def set_capacity(self) -> None:
        """Renew the lease, and decide anew what other regions may have."""
        now_s = self._world.now_s()
        self.book.renew(now_s + LEASE_TERM_S)
        slots = self._world.result.meters[self._service.service, self.region].slots
        demands = self._world.demands(self._service.service, self.region)
        own = sum(each.wanted_slots for each in demands if each.instance != LENT)
        demand = self._demand.observe(own, now_s)
        age_s = now_s - self._world.reports.at_s
        spare = spare_slots(slots, demand, age_s)
        by_link = link_slots(
            LINK_MBIT_S, REQUEST_BYTES, ANSWER_BYTES, self._service.service_time_s
        )
        links = dict.fromkeys(self._world.regions, by_link)
        self.book.capacity = DestinationCapacity(slots, self.region, spare, links)
        # Slots stay lent for a while: each change moves those of every instance.
        lent = Demand(LENT, self._lent.update(1.5 * self.book.live_slots(now_s), now_s))
        self._world.tell_wanted(self._service.service, self.region, lent)


class Granters:
    """Every region's granter of every service."""

    def __init__(self, world: World) -> None:
        self._world = world
        self._granters = {
            (service.service, region): Granter(world, service, region)
            for service in world.fleet.services
            for region in world.regions
        }
        self._tick()

    def of(self, service: ServiceId, region: RegionId) -> Granter:
        """Return one granter."""
        return self._granters[service, region]

    def _tick(self) -> None:
        for granter in self._granters.values():
            granter.set_capacity()
        self._world.timeline.after(CAPACITY_INTERVAL_S, self._tick)
