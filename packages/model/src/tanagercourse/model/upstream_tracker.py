"""What a modelled entry instance knows of upstreams, by its own requests."""

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

from tanagercourse.core.ids import InstanceId, RegionId, ServiceId, UpstreamId
from tanagercourse.core.states import UpstreamState
from tanagercourse.core.work import Work
from tanagercourse.model.fleet import ServiceModel, Zone
from tanagercourse.model.policy import Policy
from tanagercourse.model.simulation import LENT, World
from tanagercourse.model.upstream import Ending, ModelUpstream
from tanagercourse.steering.cooldowns import ShedCooldowns
from tanagercourse.steering.outliers import (
    OutlierDetector,
    OutlierPolicy,
    UpstreamHealth,
    scale_weights,
)
from tanagercourse.steering.slots import (
    Demand,
    DemandAverage,
    UpstreamSlots,
    proportional_share,
)
from tanagercourse.steering.upstreams import UpstreamView

Judgements = dict[UpstreamId, UpstreamHealth]


@dataclass(frozen=True)
class Attempt:
    """One copy of a request on its way to an upstream.

    Attributes:
        work: The request.
        upstream: Where the copy went.
        started_at_s: When it was sent, in seconds.
    """

    work: Work
    upstream: ModelUpstream
    started_at_s: float


class Knowledge:
    """Requests in flight, shares of slots, rests and judgements of one instance."""

    def __init__(
        self, id: InstanceId, zone: Zone, world: World, policy: Policy, random: Random
    ) -> None:
        self._id = id
        self._zone = zone
        self._world = world
        self._ejects = policy.ejects_outliers
        self._rests = policy.rests_upstreams
        self._shares_slots = policy.shares_slots
        self._random = random
        self._resting = ShedCooldowns(random)
        self._outliers = {
            service.service: OutlierDetector(OutlierPolicy(), random)
            for service in world.fleet.services
        }
        self._demand = {
            service.service: DemandAverage() for service in world.fleet.services
        }
        self._judged: dict[ServiceId, tuple[float, Judgements]] = {}
        self._in_flight: dict[UpstreamId, int] = {}
        self._shares: dict[UpstreamId, int] = {}
        # Slots that each upstream's region lends to others; no one at home uses them.
        self._lent: dict[UpstreamId, int] = {}

    def running(self, service: ServiceId) -> int:
        """Return how many of this instance's requests are at upstreams at home."""
        upstreams = self._world.in_region(service, self._zone.region)
        return sum(self._in_flight.get(upstream.id, 0) for upstream in upstreams)

    def renew_shares(self, service: ServiceModel, waiting: int) -> None:
        """Tell what this instance wants and share out slots by what all told."""
        average = self._demand[service.service]
        running = self.running(service.service)
        wanted = average.update(running + waiting, self._world.now_s())
        demand = Demand(self._id, wanted)
        self._world.tell_wanted(service.service, self._zone.region, demand)
        if self._shares_slots:
            self._share_out(service)

    def _share_out(self, service: ServiceModel) -> None:
        """Share out slots at home, and those that other regions lend."""
        for region in self._world.regions:
            upstreams = self._world.in_region(service.service, region)
            counts = [
                UpstreamSlots(upstream.id, service.slots) for upstream in upstreams
            ]
            demands = self._world.demands(service.service, region)
            lent = proportional_share(counts, demands, LENT)
            self._lent.update(lent)
            if region == self._zone.region:
                lent = proportional_share(counts, demands, self._id)
            self._shares.update(lent)

    def sent(self, work: Work, upstream: ModelUpstream) -> Attempt:
        """Note a request that goes out now."""
        self._in_flight[upstream.id] = self._in_flight.get(upstream.id, 0) + 1
        self._world.meter(work.service, upstream.zone.region).send(1)
        return Attempt(work, upstream, self._world.now_s())

    def ended(self, attempt: Attempt, ending: Ending) -> float:
        """Note how an attempt ended.

        Returns:
            How long its upstream is to rest, in seconds.
        """
        now_s, upstream = self._world.now_s(), attempt.upstream
        service = attempt.work.service
        self._in_flight[upstream.id] -= 1
        self._world.meter(service, upstream.zone.region).send(-1)
        self._judged.pop(service, None)
        if ending is Ending.ANSWERED:
            self._resting.record_success(upstream.id)
            latency_s = now_s - attempt.started_at_s
            self._outliers[service].record_response(upstream.id, latency_s, now_s)
            return 0.0
        if ending is not Ending.SHED:
            self._outliers[service].record_failure(upstream.id, now_s)
        if not self._rests:
            return 0.0
        return self._resting.record_shed(upstream.id, now_s) - now_s

    def views(self, service: ServiceId, region: RegionId) -> list[UpstreamView]:
        """Return what is known of a region's upstreams that this instance may use.

        At home that is all but the lent slots; of another region, its lent ones.
        Instances elsewhere start from different ones, so that they do not meet.
        """
        upstreams = self._world.in_region(service, region)
        views = self._view_all(service, upstreams)
        if region == self._zone.region:
            return [view for view in views if view.slots > 0]
        if not self._shares_slots:
            return views
        self._random.shuffle(views)
        return [view for view in views if view.has_own_slot]

    def _view_all(
        self, service: ServiceId, upstreams: Sequence[ModelUpstream]
    ) -> list[UpstreamView]:
        if not self._ejects:
            return [self._view(upstream) for upstream in upstreams]
        judged = self._judge(service)
        scaled = scale_weights([judged[upstream.id] for upstream in upstreams])
        pairs = zip(upstreams, scaled, strict=True)
        return [self._view(upstream, judgement) for upstream, judgement in pairs]

    def _judge(self, service: ServiceId) -> Judgements:
        """Return the judgements of a service's upstreams, kept while time stands."""
        now_s = self._world.now_s()
        judged_at_s, judged = self._judged.get(service, (-1.0, {}))
        if judged_at_s != now_s:
            pool = [upstream.id for upstream in self._world.upstreams[service]]
            judgements = self._outliers[service].evaluate(pool, now_s)
            judged = {judgement.upstream: judgement for judgement in judgements}
            self._judged[service] = (now_s, judged)
        return judged

    def _view(
        self, upstream: ModelUpstream, judgement: UpstreamHealth | None = None
    ) -> UpstreamView:
        world = self._world
        state = judgement.state if judgement else UpstreamState.LIVE
        if upstream.faults.is_draining:
            state = UpstreamState.DRAINING
        return UpstreamView(
            upstream.id,
            upstream.zone.id,
            state,
            self._slots_of(upstream),
            self._in_flight.get(upstream.id, 0),
            share=self._shares.get(upstream.id),
            distance_s=world.fleet.one_way_s(self._zone, upstream.zone),
            weight=judgement.weight if judgement else 1.0,
            is_in_cooldown=self._resting.is_in_cooldown(upstream.id, world.now_s()),
        )

    def _slots_of(self, upstream: ModelUpstream) -> int:
        """Return an upstream's slots; at home, without those that are lent."""
        is_home = upstream.zone.region == self._zone.region
        lent = self._lent.get(upstream.id, 0) if is_home else 0
        return upstream.service.slots - lent
