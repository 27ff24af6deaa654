"""An entry instance's view of upstreams in virtual time, from its own requests."""

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

from tanagercourse.core.ids import InstanceId, RegionId, ServiceId, UpstreamId
from tanagercourse.core.states import UpstreamState
from tanagercourse.core.work import Work
from tanagercourse.model.fleet import ServiceModel, Zone
from tanagercourse.model.policy import Policy
from tanagercourse.model.simulation import REMOTE_HOLDERS, Simulation
from tanagercourse.model.upstream import AttemptOutcome, ModelUpstream
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

HealthByUpstream = dict[UpstreamId, UpstreamHealth]


@dataclass(frozen=True)
class Attempt:
    """One copy of a request that was sent to an upstream.

    Attributes:
        work: The request.
        upstream: The upstream that the copy was sent to.
        started_at_s: When the copy was sent, in seconds.
    """

    work: Work
    upstream: ModelUpstream
    started_at_s: float


class UpstreamTracker:
    """Per-upstream state of one instance: in-flight requests, shares and health."""

    def __init__(
        self,
        id: InstanceId,
        zone: Zone,
        simulation: Simulation,
        policy: Policy,
        random: Random,
    ) -> None:
        self._id = id
        self._zone = zone
        self._simulation = simulation
        self._ejects_outliers = policy.ejects_outliers
        self._uses_cooldowns = policy.uses_cooldowns
        self._shares_slots = policy.shares_slots
        self._random = random
        self._cooldowns = ShedCooldowns(random)
        self._outlier_detectors = {
            service.service: OutlierDetector(OutlierPolicy(), random)
            for service in simulation.fleet.services
        }
        self._demand_averages = {
            service.service: DemandAverage() for service in simulation.fleet.services
        }
        self._health: dict[ServiceId, tuple[float, HealthByUpstream]] = {}
        self._in_flight: dict[UpstreamId, int] = {}
        self._shares: dict[UpstreamId, int] = {}
        # Slots of each upstream that are granted to remote holders; instances of its
        # region do not use them.
        self._granted_slots: dict[UpstreamId, int] = {}

    def running_at_home(self, service: ServiceId) -> int:
        """Return how many of this instance's attempts are in flight at home."""
        upstreams = self._simulation.upstreams_in(service, self._zone.region)
        return sum(self._in_flight.get(upstream.id, 0) for upstream in upstreams)

    def update_shares(self, service: ServiceModel, waiting: int) -> None:
        """Report this instance's demand and update its shares by all reported demands.

        Args:
            service: The service.
            waiting: Requests of the service that wait at this instance.
        """
        average = self._demand_averages[service.service]
        running = self.running_at_home(service.service)
        wanted = average.update(running + waiting, self._simulation.now_s())
        demand = Demand(self._id, wanted)
        self._simulation.report_demand(service.service, self._zone.region, demand)
        if self._shares_slots:
            self._update_slot_shares(service)

    def _update_slot_shares(self, service: ServiceModel) -> None:
        """Update the shares at home and the slots granted in every region."""
        for region in self._simulation.regions:
            upstreams = self._simulation.upstreams_in(service.service, region)
            upstream_slots = [
                UpstreamSlots(upstream.id, service.slots_per_upstream)
                for upstream in upstreams
            ]
            demands = self._simulation.demands(service.service, region)
            slots_by_upstream = proportional_share(
                upstream_slots, demands, REMOTE_HOLDERS
            )
            self._granted_slots.update(slots_by_upstream)
            if region == self._zone.region:
                slots_by_upstream = proportional_share(
                    upstream_slots, demands, self._id
                )
            self._shares.update(slots_by_upstream)

    def record_sent(self, work: Work, upstream: ModelUpstream) -> Attempt:
        """Record a request that is sent to an upstream now."""
        self._in_flight[upstream.id] = self._in_flight.get(upstream.id, 0) + 1
        self._simulation.meter(work.service, upstream.zone.region).change_outstanding(1)
        return Attempt(work, upstream, self._simulation.now_s())

    def record_outcome(self, attempt: Attempt, outcome: AttemptOutcome) -> float:
        """Record the outcome of an attempt.

        Returns:
            Cooldown of the upstream, in seconds; 0.0 for none.
        """
        now_s, upstream = self._simulation.now_s(), attempt.upstream
        service = attempt.work.service
        self._in_flight[upstream.id] -= 1
        self._simulation.meter(service, upstream.zone.region).change_outstanding(-1)
        self._health.pop(service, None)
        if outcome is AttemptOutcome.ANSWERED:
            self._cooldowns.record_success(upstream.id)
            latency_s = now_s - attempt.started_at_s
            self._outlier_detectors[service].record_response(
                upstream.id, latency_s, now_s
            )
            return 0.0
        if outcome is not AttemptOutcome.SHED:
            self._outlier_detectors[service].record_failure(upstream.id, now_s)
        if not self._uses_cooldowns:
            return 0.0
        return self._cooldowns.record_shed(upstream.id, now_s) - now_s

    def usable_views(self, service: ServiceId, region: RegionId) -> list[UpstreamView]:
        """Return views of a region's upstreams that this instance may use.

        In the home region, slots granted to remote holders are left out. In a remote
        region, only upstreams with a free granted slot are returned, in random order,
        so that instances do not collide there. A policy that does not share slots uses
        all upstreams of a remote region.
        """
        upstreams = self._simulation.upstreams_in(service, region)
        views = self._make_views(service, upstreams)
        if region == self._zone.region:
            return [view for view in views if view.slots > 0]
        if not self._shares_slots:
            return views
        self._random.shuffle(views)
        return [view for view in views if view.has_own_slot]

    def _make_views(
        self, service: ServiceId, upstreams: Sequence[ModelUpstream]
    ) -> list[UpstreamView]:
        if not self._ejects_outliers:
            return [self._make_view(upstream) for upstream in upstreams]
        health = self._evaluate_health(service)
        scaled_health = scale_weights([health[upstream.id] for upstream in upstreams])
        upstreams_with_health = zip(upstreams, scaled_health, strict=True)
        return [
            self._make_view(upstream, upstream_health)
            for upstream, upstream_health in upstreams_with_health
        ]

    def _evaluate_health(self, service: ServiceId) -> HealthByUpstream:
        """Return the health of a service's upstreams, cached for the current time."""
        now_s = self._simulation.now_s()
        evaluated_at_s, health = self._health.get(service, (-1.0, {}))
        if evaluated_at_s != now_s:
            upstream_ids = [
                upstream.id for upstream in self._simulation.upstreams[service]
            ]
            evaluated = self._outlier_detectors[service].evaluate(upstream_ids, now_s)
            health = {
                upstream_health.upstream: upstream_health
                for upstream_health in evaluated
            }
            self._health[service] = (now_s, health)
        return health

    def _make_view(
        self, upstream: ModelUpstream, upstream_health: UpstreamHealth | None = None
    ) -> UpstreamView:
        simulation = self._simulation
        state = upstream_health.state if upstream_health else UpstreamState.LIVE
        if upstream.faults.is_draining:
            state = UpstreamState.DRAINING
        return UpstreamView(
            upstream.id,
            upstream.zone.id,
            state,
            self._usable_slots(upstream),
            self._in_flight.get(upstream.id, 0),
            share=self._shares.get(upstream.id),
            distance_s=simulation.fleet.one_way_s(self._zone, upstream.zone),
            weight=upstream_health.weight if upstream_health else 1.0,
            is_in_cooldown=self._cooldowns.is_in_cooldown(
                upstream.id, simulation.now_s()
            ),
        )

    def _usable_slots(self, upstream: ModelUpstream) -> int:
        """Return an upstream's slots; in the home region, without the granted ones."""
        is_home = upstream.zone.region == self._zone.region
        granted = self._granted_slots.get(upstream.id, 0) if is_home else 0
        return upstream.service.slots_per_upstream - granted
