"""Spill one service's requests to remote regions, within the shares held there."""

from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from random import Random

from returns.result import Failure, Result

from tanagercourse.coordination.sharing import ShareProblem, destination_of
from tanagercourse.core.ids import RegionId, RequestId, ServiceId
from tanagercourse.core.work import Clock, Work
from tanagercourse.entry.pool import EndShareUse, HomeCapacity, SlotOutcome
from tanagercourse.entry.remote_regions import RemoteRegion, ShareRequestOrder
from tanagercourse.steering.averages import DecayingAverage
from tanagercourse.steering.holder import ShareHolder
from tanagercourse.steering.ramps import DestinationRamp
from tanagercourse.steering.shares import (
    SHARE_RENEWAL_S,
    ShareGrant,
    ShareHolderId,
    ShareRelease,
    ShareRequest,
)
from tanagercourse.steering.shifts import ShiftCap
from tanagercourse.steering.spill import (
    Destination,
    SpillGate,
    divide_wanted_slots,
    nearest_within_deadline,
)

# Maximum number of regions that one instance requests shares of a service from at each
# renewal.
MAX_DESTINATIONS = 2
# Wanted slots fall to no less than this share of their previous number per renewal.
DEMAND_DECAY_FACTOR = 0.9
# Service time that is assumed until a response has been measured.
INITIAL_SERVICE_TIME_S = 0.05
SERVICE_TIME_HALF_LIFE_S = 5.0


@dataclass(frozen=True)
class ShareCalls:
    """Calls to the granters of remote regions.

    Attributes:
        request_share: Requests a share from a region's granter, or renews it.
        release: Releases a share to a region's granter.
    """

    request_share: Callable[
        [RegionId, ShareRequest], Awaitable[Result[ShareGrant, ShareProblem]]
    ]
    release: Callable[[RegionId, ShareRelease], Awaitable[Result[None, ShareProblem]]]


@dataclass(frozen=True)
class SpillDependencies:
    """Dependencies of the spill of all services.

    Attributes:
        home_region: Returns this instance's region.
        remote_regions: Returns the remote regions with upstreams of a service.
        clock: A monotonic clock, in seconds.
        random: Source of the jitter on renewals.
    """

    home_region: Callable[[], RegionId]
    remote_regions: Callable[[ServiceId], Sequence[RemoteRegion]]
    clock: Clock
    random: Random


class ServiceSpill:
    """Decides which requests of one service spill, and holds shares of remote regions.

    Args:
        service: The service.
        cap: Limit on how much of the service's traffic may shift between regions.
        home_region: This instance's region.
        holder_id: Identifies this run of the instance to granters.
        deps: Dependencies of the spill of all services.
    """

    def __init__(
        self,
        service: ServiceId,
        cap: ShiftCap,
        home_region: RegionId,
        holder_id: ShareHolderId,
        deps: SpillDependencies,
    ) -> None:
        now_s = deps.clock()
        self.service = service
        self.home_region = home_region
        self._cap = cap
        self._holder_id = holder_id
        self._deps = deps
        self._gate = SpillGate(home_region, cap, now_s)
        self._holders: dict[RegionId, ShareHolder] = {}
        self._ramps: dict[RegionId, DestinationRamp] = {}
        self._request_order = ShareRequestOrder(f"{holder_id.instance} {service}")
        self._service_time_s = DecayingAverage(
            SERVICE_TIME_HALF_LIFE_S, now_s, INITIAL_SERVICE_TIME_S
        )
        self._overflow_requests: set[RequestId] = set()
        self._wanted_slots = 0.0
        self._decided_at_s = now_s

    def reconfigure(self, home_region: RegionId, cap: ShiftCap) -> None:
        """Apply a changed cap or home region, with a new gate.

        Shares are kept, because the sequence numbers of their requests must continue
        during this run of the instance.
        """
        if (home_region, cap) != (self.home_region, self._cap):
            self.home_region, self._cap = home_region, cap
            self._gate = SpillGate(home_region, cap, self._deps.clock())

    def record_arrival(self) -> None:
        """Count a request that a caller sent."""
        self._gate.record_arrival(self._deps.clock())

    def choose_region(self, work: Work, home_capacity: HomeCapacity) -> RegionId | None:
        """Return the remote region to send a request to, or None for the home region.

        The cap on shifts is ignored while no upstream of the home region is live.
        """
        now_s = self._decided_at_s = self._deps.clock()
        self._gate.set_home_failed(home_capacity is HomeCapacity.NONE, now_s)
        if home_capacity is not HomeCapacity.HAS_SLOT:
            self._overflow_requests.add(work.request_id)
        destinations = self._destinations(work.expires_at_s, now_s)
        if home_capacity is HomeCapacity.NONE:
            return nearest_within_deadline(work, destinations, now_s)
        has_slot = home_capacity is HomeCapacity.HAS_SLOT
        chosen = self._gate.regions(work, has_slot, destinations, now_s)
        return next((region for region in chosen if region != self.home_region), None)

    def begin_share_use(self, work: Work, region: RegionId) -> EndShareUse:
        """Use a share's slot for the request just passed to `choose_region`.

        Returns:
            The function that frees the slot, given the outcome of its use.

        Raises:
            RuntimeError: The share has no free slot, so `choose_region` did not choose
                this region for the request.
        """
        holder = self._holders[region]
        if not holder.try_acquire_slot(self._decided_at_s, work.expires_at_s):
            raise RuntimeError(
                f"share of {holder.destination} has no free slot"
                f" for request {work.request_id}"
            )
        started_at_s = self._deps.clock()
        self._overflow_requests.discard(work.request_id)
        self._gate.record_spill(started_at_s)

        def end_share_use(outcome: SlotOutcome) -> None:
            holder.release_slot()
            self._record_outcome(region, outcome, self._deps.clock() - started_at_s)

        return end_share_use

    def slots_to_request(self) -> dict[RegionId, int]:
        """Return how many slots to request from each region; 0 releases its share."""
        now_s = self._deps.clock()
        remote_regions = {
            remote.region: remote for remote in self._deps.remote_regions(self.service)
        }
        in_use = sum(holder.in_use for holder in self._holders.values())
        missing_slots = self._missing_slots(now_s)
        self._wanted_slots = max(
            in_use + missing_slots, self._wanted_slots * DEMAND_DECAY_FACTOR
        )
        regions = self._request_order.next_regions(
            MAX_DESTINATIONS, remote_regions.values()
        )
        held_slot_counts = [self._held_slots(region, now_s) for region in regions]
        wanted_slot_counts = divide_wanted_slots(
            round(self._wanted_slots), held_slot_counts
        )
        slots_to_request_by_region = {
            region: min(
                slots, self._ramp(remote_regions[region], now_s).slot_limit(now_s)
            )
            for region, slots in zip(regions, wanted_slot_counts, strict=True)
        }
        regions_to_release = dict.fromkeys(
            self._holders.keys() - slots_to_request_by_region.keys(), 0
        )
        slots_by_region = {**regions_to_release, **slots_to_request_by_region}
        return {
            region: slots
            for region, slots in slots_by_region.items()
            if slots or self._held_slots(region, now_s)
        }

    async def request_share(
        self, calls: ShareCalls, region: RegionId, slots: int
    ) -> None:
        """Request a share from a region's granter, or release it if `slots` is 0."""
        holder = self._holders.setdefault(region, self._make_holder(region))
        release = holder.release() if slots == 0 else None
        if release is not None:
            await calls.release(region, release)
            return
        request = holder.request(slots, self._deps.clock())
        granted = await calls.request_share(region, request)
        has_granted_slots = False
        if not isinstance(granted, Failure):
            grant = granted.unwrap()
            has_granted_slots = holder.accept(grant) and grant.slots > 0
        if not has_granted_slots:
            # Another region may have free slots, so request from this one last.
            self._request_order.move_to_end(region)

    def held_slots(self) -> dict[RegionId, int]:
        """Return the number of slots held in each region now."""
        now_s = self._deps.clock()
        return {region: self._held_slots(region, now_s) for region in self._holders}

    def _held_slots(self, region: RegionId, now_s: float) -> int:
        holder = self._holders.get(region)
        return holder.held_slots(now_s) if holder else 0

    def _make_holder(self, region: RegionId) -> ShareHolder:
        return ShareHolder(
            destination_of(self.service, region), self._holder_id, self.home_region
        )

    def _ramp(self, remote: RemoteRegion, now_s: float) -> DestinationRamp:
        ramp = self._ramps.get(remote.region)
        if ramp is None:
            ramp = DestinationRamp(remote.slots, self._service_time_s.value, now_s)
            self._ramps[remote.region] = ramp
        return ramp

    def _destinations(self, until_s: float, now_s: float) -> list[Destination]:
        """Return the regions with a held share, and its free slots until `until_s`."""
        return [
            Destination(
                remote.region,
                remote.one_way_s,
                self._service_time_s.value,
                self._holders[remote.region].free_slots(now_s, until_s),
            )
            for remote in self._deps.remote_regions(self.service)
            if remote.region in self._holders
        ]

    def _missing_slots(self, now_s: float) -> float:
        """Return how many slots the requests without a home slot would have used.

        The requests since the previous call are counted. While the home region recovers
        from a failure, the result covers at least the traffic that must stay remote.
        """
        remote_regions = self._deps.remote_regions(self.service)
        round_trip_s = 2 * min(
            (remote.one_way_s for remote in remote_regions), default=0.0
        )
        duration_s = self._service_time_s.value + round_trip_s
        missing_slots = len(self._overflow_requests) * duration_s / SHARE_RENEWAL_S
        if self._overflow_requests:
            missing_slots = max(1.0, missing_slots)
        self._overflow_requests.clear()
        return max(missing_slots, self._gate.required_remote_per_s(now_s) * duration_s)

    def _record_outcome(
        self, region: RegionId, outcome: SlotOutcome, duration_s: float
    ) -> None:
        now_s = self._deps.clock()
        is_answered = outcome is SlotOutcome.ANSWERED
        if not is_answered:
            self._gate.cancel_spill(now_s)
        remote_regions = [
            remote
            for remote in self._deps.remote_regions(self.service)
            if remote.region == region
        ]
        for remote in remote_regions:
            service_time_s = max(0.0, duration_s - 2 * remote.one_way_s)
            if is_answered:
                self._service_time_s.observe(service_time_s, now_s)
            self._ramp(remote, now_s).observe(service_time_s, not is_answered, now_s)
