"""Spill within shares and shift caps, in virtual time."""

from collections.abc import Callable, Sequence
from dataclasses import replace

from returns.result import Failure

from tanagercourse.core.ids import (
    Incarnation,
    InstanceId,
    RegionId,
    RequestId,
    ServiceId,
)
from tanagercourse.core.work import Work
from tanagercourse.model.fleet import Zone
from tanagercourse.model.granters import Granters
from tanagercourse.model.instance import SHARE_INTERVAL_S
from tanagercourse.model.policy import Policy, RegionView, Spilling
from tanagercourse.model.simulation import LENT, World
from tanagercourse.model.upstream import Ending
from tanagercourse.steering.holder import ShareHolder
from tanagercourse.steering.ramps import DestinationRamp
from tanagercourse.steering.shares import (
    ShareGrant,
    ShareHolderId,
)
from tanagercourse.steering.shifts import ShiftCap
from tanagercourse.steering.spill import (
    Destination,
    ShortageDetector,
    SpillGate,
    divide_wanted_slots,
)

CAP = ShiftCap(0.2, 5.0)
# What was wanted of other regions fades by this factor at each renewal.
WANTED_KEPT = 0.9
# So many requests in a row that reached no upstream show that a region failed.
FAILED_REQUESTS = 5


class Spiller:
    """One instance's shares of other regions, and its gates."""

    def __init__(
        self, world: World, granters: Granters, id: InstanceId, zone: Zone
    ) -> None:
        self._world = world
        self._granters = granters
        self._zone = zone
        self._others = [r for r in world.regions if r != zone.region]
        holder = ShareHolderId(id, Incarnation(1))
        self._holders = {
            (service.service, region): ShareHolder(
                granters.of(service.service, region).book.destination,
                holder,
                zone.region,
            )
            for service in world.fleet.services
            for region in self._others
        }
        self._gates = {
            service.service: SpillGate(zone.region, CAP, 0.0)
            for service in world.fleet.services
        }
        self._ramps = {
            (service.service, region): DestinationRamp(
                sum(
                    up.service.slots for up in world.in_region(service.service, region)
                ),
                service.service_time_s,
                0.0,
            )
            for service in world.fleet.services
            for region in self._others
        }
        self._unreached = {service.service: 0 for service in world.fleet.services}
        self._shortage = {
            service.service: ShortageDetector(0.0) for service in world.fleet.services
        }
        self._overflow: dict[ServiceId, set[RequestId]] = {
            service.service: set() for service in world.fleet.services
        }
        self._wanted = {service.service: 0.0 for service in world.fleet.services}
        self._service_s = {
            service.service: service.service_time_s for service in world.fleet.services
        }

    def choose(
        self, work: Work, home: RegionView, others: Sequence[RegionView], now_s: float
    ) -> tuple[RegionId, ...]:
        """Return the regions that a request may use now."""
        is_short = self._has_failed(work.service) or (
            self._shortage[work.service].is_short and not home.has_own_slot
        )
        if is_short:
            self._overflow[work.service].add(work.request_id)
        gate = self._gates[work.service]
        destinations = self._destinations(work.service, work.expires_at_s)
        return gate.regions(work, not is_short, destinations, now_s)

    def arrive(self, work: Work) -> None:
        """Count a caller's request."""
        self._gates[work.service].record_arrival(self._world.now_s())

    def begin(self, work: Work, region: RegionId) -> None:
        """Use a share, and count the request.

        Raises:
            AssertionError: A request left its region without a share.
        """
        now_s = self._world.now_s()
        if region != self._zone.region:
            self._gates[work.service].record_spill(now_s)
            holder = self._holders[work.service, region]
            assert holder.try_acquire_slot(now_s, work.expires_at_s)

    def end(self, work: Work, region: RegionId, took_s: float, ending: Ending) -> None:
        """Give a share's slot back, or tell the region's granter how it went."""
        if region != self._zone.region:
            self._holders[work.service, region].release_slot()
            if ending is not Ending.ANSWERED:
                self._gates[work.service].cancel_spill(self._world.now_s())
            self._observe(work.service, region, took_s, ending)
            return
        if ending is Ending.ANSWERED:
            self._unreached[work.service] = 0
        elif ending is not Ending.SHED:
            self._unreached[work.service] += 1

    def renew(self, service: ServiceId, waiting: int, running: int) -> None:
        """Ask every other region for shares, and move the gate's weights."""
        now_s = self._world.now_s()
        self._shortage[service].observe(*self._home_load(service), now_s)
        holders = [self._holders[service, region] for region in self._others]
        in_use = sum(holder.in_use for holder in holders)
        lacking = self._lacking(service)
        kept = self._wanted[service] * WANTED_KEPT
        self._wanted[service] = max(in_use + lacking, kept)
        held = [holder.held_slots(now_s) for holder in holders]
        wanted = divide_wanted_slots(round(self._wanted[service]), held)
        for region, slots in zip(self._others, wanted, strict=True):
            if slots or self._holders[service, region].held_slots(now_s):
                limit = self._ramps[service, region].slot_limit(now_s)
                self._ask(service, region, min(slots, limit))
        self._gates[service].set_home_failed(self._has_failed(service), now_s)

    def _has_failed(self, service: ServiceId) -> bool:
        """Whether no upstream of the service at home can be reached."""
        return self._unreached[service] >= FAILED_REQUESTS

    def _home_load(self, service: ServiceId) -> tuple[float, int]:
        """Return the slots that callers at home want, and how many it has."""
        home = self._zone.region
        demands = self._world.demands(service, home)
        wanted = sum(each.wanted_slots for each in demands if each.instance != LENT)
        return wanted, self._world.result.meters[service, home].slots

    def _lacking(self, service: ServiceId) -> float:
        """Return the slots that requests without one at home would have kept busy."""
        overflow = self._overflow[service]
        took_s = self._service_s[service] + 2 * self._world.fleet.region_one_way_s
        lacking = len(overflow) * took_s / SHARE_INTERVAL_S
        overflow.clear()
        owed = self._gates[service].required_remote_per_s(self._world.now_s()) * took_s
        return max(lacking, owed)

    def _ask(self, service: ServiceId, region: RegionId, slots: int) -> None:
        """Send a request for shares; it and its answer take their time or are lost."""
        holder = self._holders[service, region]
        granter = self._granters.of(service, region)
        request = holder.request(slots, self._world.now_s())
        one_way_s = self._world.fleet.one_way_s(self._zone, granter.zone)

        def reach() -> None:
            if not self._world.can_reach(self._zone, granter.zone):
                return
            granted = granter.book.grant(request, self._world.now_s())
            if not isinstance(granted, Failure):
                grant = granted.unwrap()
                self._world.timeline.after(one_way_s, lambda: _accept(holder, grant))

        self._world.timeline.after(one_way_s, reach)

    def _observe(
        self, service: ServiceId, region: RegionId, took_s: float, ending: Ending
    ) -> None:
        ramp = self._ramps[service, region]
        travel_s = 2 * self._world.fleet.region_one_way_s
        is_shed = ending is not Ending.ANSWERED
        ramp.observe(took_s - travel_s, is_shed, self._world.now_s())

    def _destinations(self, service: ServiceId, until_s: float) -> list[Destination]:
        return [
            Destination(
                region,
                self._world.fleet.region_one_way_s,
                self._service_s[service],
                self._holders[service, region].free_slots(self._world.now_s(), until_s),
            )
            for region in self._others
        ]


def spilling(policy: Policy) -> Policy:
    """Return a policy that spills within shares and shift caps."""

    def make(world: World) -> Callable[[InstanceId, Zone], Spilling]:
        granters = Granters(world)

        def make_one(id: InstanceId, zone: Zone) -> Spilling:
            spiller = Spiller(world, granters, id, zone)
            return Spilling(
                spiller.choose,
                spiller.arrive,
                spiller.begin,
                spiller.end,
                spiller.renew,
            )

        return make_one

    return replace(policy, make_spill=make)


def _accept(holder: ShareHolder, grant: ShareGrant) -> None:
    holder.accept(grant)
