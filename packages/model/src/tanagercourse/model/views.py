"""What one entry instance sees of upstreams, in virtual time."""

from random import Random

from tanagercourse.core.ids import InstanceId, RegionId, ServiceId, UpstreamId
from tanagercourse.core.states import UpstreamState
from tanagercourse.model.fleet import ServiceModel, Zone
from tanagercourse.model.upstream import ModelUpstream
from tanagercourse.model.world import LENT, World
from tanagercourse.steering.resting import Resting
from tanagercourse.steering.slots import SlotCount, demand_share
from tanagercourse.steering.upstreams import UpstreamView


class UpstreamViews:
    """An instance's shares of slots, what it has in flight, and whom it leaves alone.

    Attributes:
        in_flight: Requests of this instance on each upstream.
        resting: Upstreams that shed a moment ago.
    """

    def __init__(
        self,
        id: InstanceId,
        zone: Zone,
        world: World,
        shares_slots: bool,
        random: Random,
    ) -> None:
        self.in_flight: dict[UpstreamId, int] = {}
        self.resting = Resting(random)
        self._id = id
        self._zone = zone
        self._world = world
        self._shares_slots = shares_slots
        self._random = random
        self._shares: dict[UpstreamId, int] = {}
        # Slots that each upstream's region lends to others; no one at home uses them.
        self._lent: dict[UpstreamId, int] = {}

    def share_out(self, service: ServiceModel) -> None:
        """Share out slots at home, and those that other regions lend."""
        for region in self._world.regions:
            upstreams = self._world.in_region(service.service, region)
            counts = [SlotCount(upstream.id, service.slots) for upstream in upstreams]
            demands = self._world.demands(service.service, region)
            lent = demand_share(counts, demands, LENT)
            self._lent.update(lent)
            if region == self._zone.region:
                lent = demand_share(counts, demands, self._id)
            self._shares.update(lent)

    def of(self, service: ServiceId, region: RegionId) -> list[UpstreamView]:
        """Return a region's upstreams; of another region, those with a lent slot.

        Instances elsewhere start from different ones, so that they do not meet.
        """
        upstreams = list(self._world.in_region(service, region))
        if region == self._zone.region:
            return [
                self._view(each, each.service.slots - self._lent.get(each.id, 0))
                for each in upstreams
                if each.service.slots > self._lent.get(each.id, 0)
            ]
        if not self._shares_slots:
            return [self._view(each, each.service.slots) for each in upstreams]
        self._random.shuffle(upstreams)
        views = [self._view(each, each.service.slots) for each in upstreams]
        return [view for view in views if view.has_own_slot]

    def _view(self, upstream: ModelUpstream, slots: int) -> UpstreamView:
        world = self._world
        is_draining = upstream.faults.is_draining
        return UpstreamView(
            upstream.id,
            upstream.zone.id,
            UpstreamState.DRAINING if is_draining else UpstreamState.LIVE,
            slots,
            self.in_flight.get(upstream.id, 0),
            share=self._shares.get(upstream.id),
            distance_s=world.fleet.one_way_s(self._zone, upstream.zone),
            is_resting=self.resting.is_resting(upstream.id, world.now_s()),
        )
