"""Spill to remote regions within granted shares and shift caps, in virtual time."""

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
from tanagercourse.model.policy import Policy, RegionView, SpillHooks
from tanagercourse.model.simulation import REMOTE_HOLDERS, Simulation
from tanagercourse.model.upstream import AttemptOutcome
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

# At most a fifth of a home region's traffic moves between regions in 5 s.
SHIFT_CAP = ShiftCap(0.2, 5.0)
# Slots wanted in remote regions shrink by at most this factor per renewal.
WANTED_DECAY = 0.9
# After this many requests in a row that reached no upstream, the home region counts as
# failed.
HOME_FAILURE_REQUESTS = 5


class InstanceSpill:
    """Spill state of one instance: shares of remote regions, spill gates and ramps."""

    def __init__(
        self, simulation: Simulation, granters: Granters, id: InstanceId, zone: Zone
    ) -> None:
        self._simulation = simulation
        self._granters = granters
        self._zone = zone
        self._remote_regions = [
            region for region in simulation.regions if region != zone.region
        ]
        holder_id = ShareHolderId(id, Incarnation(1))
        self._holders = {
            (service.service, region): ShareHolder(
                granters.granter_of(service.service, region).ledger.destination,
                holder_id,
                zone.region,
            )
            for service in simulation.fleet.services
            for region in self._remote_regions
        }
        self._gates = {
            service.service: SpillGate(zone.region, SHIFT_CAP, 0.0)
            for service in simulation.fleet.services
        }
        self._ramps = {
            (service.service, region): DestinationRamp(
                sum(
                    upstream.service.slots_per_upstream
                    for upstream in simulation.upstreams_in(service.service, region)
                ),
                service.service_time_s,
                0.0,
            )
            for service in simulation.fleet.services
            for region in self._remote_regions
        }
        self._unreached_in_a_row = {
            service.service: 0 for service in simulation.fleet.services
        }
        self._shortage_detectors = {
            service.service: ShortageDetector(0.0)
            for service in simulation.fleet.services
        }
        self._requests_without_slot: dict[ServiceId, set[RequestId]] = {
            service.service: set() for service in simulation.fleet.services
        }
        self._wanted_slots = {
            service.service: 0.0 for service in simulation.fleet.services
        }
        self._service_time_s = {
            service.service: service.service_time_s
            for service in simulation.fleet.services
        }

    def choose_regions(
        self,
        work: Work,
        home_view: RegionView,
        remote_views: Sequence[RegionView],
        now_s: float,
    ) -> tuple[RegionId, ...]:
        """Return the regions that a request may use now.

        A request that finds no capacity at home is counted as missing a slot.
        """
        is_short = self._has_home_failed(work.service) or (
            self._shortage_detectors[work.service].is_short
            and not home_view.has_own_slot
        )
        if is_short:
            self._requests_without_slot[work.service].add(work.request_id)
        gate = self._gates[work.service]
        destinations = self._make_destinations(work.service, work.expires_at_s)
        return gate.regions(work, not is_short, destinations, now_s)

    def record_arrival(self, work: Work) -> None:
        """Record a caller's request that arrived in the home region."""
        self._gates[work.service].record_arrival(self._simulation.now_s())

    def record_start(self, work: Work, region: RegionId) -> None:
        """Acquire a slot of the region's share and record the spill, unless at home.

        Raises:
            AssertionError: The request was sent to a remote region without a free slot
                of this instance's share.
        """
        now_s = self._simulation.now_s()
        if region != self._zone.region:
            self._gates[work.service].record_spill(now_s)
            holder = self._holders[work.service, region]
            assert holder.try_acquire_slot(now_s, work.expires_at_s)

    def record_completion(
        self, work: Work, region: RegionId, duration_s: float, outcome: AttemptOutcome
    ) -> None:
        """Release the slot of a remote attempt, or count failures in a row at home."""
        if region != self._zone.region:
            self._holders[work.service, region].release_slot()
            if outcome is not AttemptOutcome.ANSWERED:
                self._gates[work.service].cancel_spill(self._simulation.now_s())
            self._observe_destination(work.service, region, duration_s, outcome)
            return
        if outcome is AttemptOutcome.ANSWERED:
            self._unreached_in_a_row[work.service] = 0
        elif outcome is not AttemptOutcome.SHED:
            self._unreached_in_a_row[work.service] += 1

    def renew_shares(self, service: ServiceId, waiting: int, running: int) -> None:
        """Request shares from remote regions, and update shortage and spill gate.

        Args:
            service: The service.
            waiting: Requests of the service that wait at this instance; unused.
            running: Requests of the service that run at home; unused.
        """
        now_s = self._simulation.now_s()
        self._shortage_detectors[service].observe(*self._home_load(service), now_s)
        holders = [self._holders[service, region] for region in self._remote_regions]
        in_use = sum(holder.in_use for holder in holders)
        needed_slots = self._needed_remote_slots(service)
        decayed_slots = self._wanted_slots[service] * WANTED_DECAY
        self._wanted_slots[service] = max(in_use + needed_slots, decayed_slots)
        held = [holder.held_slots(now_s) for holder in holders]
        wanted = divide_wanted_slots(round(self._wanted_slots[service]), held)
        for region, slots in zip(self._remote_regions, wanted, strict=True):
            if slots or self._holders[service, region].held_slots(now_s):
                limit = self._ramps[service, region].slot_limit(now_s)
                self._request_share(service, region, min(slots, limit))
        self._gates[service].set_home_failed(self._has_home_failed(service), now_s)

    def _has_home_failed(self, service: ServiceId) -> bool:
        """Return whether the service's upstreams at home appear unreachable."""
        return self._unreached_in_a_row[service] >= HOME_FAILURE_REQUESTS

    def _home_load(self, service: ServiceId) -> tuple[float, int]:
        """Return the slots wanted by the home region's instances and its slots."""
        home = self._zone.region
        demands = self._simulation.demands(service, home)
        wanted = sum(
            demand.wanted_slots
            for demand in demands
            if demand.instance != REMOTE_HOLDERS
        )
        return wanted, self._simulation.result.meters[service, home].slots

    def _needed_remote_slots(self, service: ServiceId) -> float:
        """Return the remote slots needed for requests that found no slot at home.

        The slots needed to shift traffic back gradually are the lower bound.
        """
        request_ids = self._requests_without_slot[service]
        duration_s = (
            self._service_time_s[service] + 2 * self._simulation.fleet.region_one_way_s
        )
        needed_slots = len(request_ids) * duration_s / SHARE_INTERVAL_S
        request_ids.clear()
        required_slots = (
            self._gates[service].required_remote_per_s(self._simulation.now_s())
            * duration_s
        )
        return max(needed_slots, required_slots)

    def _request_share(self, service: ServiceId, region: RegionId, slots: int) -> None:
        """Send a share request, which is lost if the granter cannot be reached.

        Request and grant each arrive after the one-way time.
        """
        holder = self._holders[service, region]
        granter = self._granters.granter_of(service, region)
        request = holder.request(slots, self._simulation.now_s())
        one_way_s = self._simulation.fleet.one_way_s(self._zone, granter.zone)

        def deliver() -> None:
            if not self._simulation.can_reach(self._zone, granter.zone):
                return
            result = granter.ledger.grant(request, self._simulation.now_s())
            if not isinstance(result, Failure):
                grant = result.unwrap()
                self._simulation.scheduler.schedule_after(
                    one_way_s, lambda: _accept_grant(holder, grant)
                )

        self._simulation.scheduler.schedule_after(one_way_s, deliver)

    def _observe_destination(
        self,
        service: ServiceId,
        region: RegionId,
        duration_s: float,
        outcome: AttemptOutcome,
    ) -> None:
        ramp = self._ramps[service, region]
        round_trip_s = 2 * self._simulation.fleet.region_one_way_s
        has_failed = outcome is not AttemptOutcome.ANSWERED
        ramp.observe(duration_s - round_trip_s, has_failed, self._simulation.now_s())

    def _make_destinations(
        self, service: ServiceId, expires_at_s: float
    ) -> list[Destination]:
        return [
            Destination(
                region,
                self._simulation.fleet.region_one_way_s,
                self._service_time_s[service],
                self._holders[service, region].free_slots(
                    self._simulation.now_s(), expires_at_s
                ),
            )
            for region in self._remote_regions
        ]


def with_spill(policy: Policy) -> Policy:
    """Return a policy with spill within granted shares and shift caps added."""

    def make_for_run(
        simulation: Simulation,
    ) -> Callable[[InstanceId, Zone], SpillHooks]:
        granters = Granters(simulation)

        def make_for_instance(id: InstanceId, zone: Zone) -> SpillHooks:
            instance_spill = InstanceSpill(simulation, granters, id, zone)
            return SpillHooks(
                instance_spill.choose_regions,
                instance_spill.record_arrival,
                instance_spill.record_start,
                instance_spill.record_completion,
                instance_spill.renew_shares,
            )

        return make_for_instance

    return replace(policy, make_spill_hooks=make_for_run)


def _accept_grant(holder: ShareHolder, grant: ShareGrant) -> None:
    holder.accept(grant)
