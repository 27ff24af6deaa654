"""Decide which requests spill to remote regions, with slowly changing shares.

Each service has a share of requests that spill. The share starts from the region's part
of all slots and follows the utilization of the region's upstreams at a limited rate.
Each instance applies the limit to its own requests, so the region's shares stay within
it as well.

As far as the shares allow, the requests that spill are for the same objects, so that
each upstream receives few objects and keeps them warm.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

from tanagercourse.core.ids import AffinityKey, RegionId, ServiceId
from tanagercourse.routing.affinity import hash_to_unit_interval

# Maximum change of a service's share, per second.
MAX_SHARE_CHANGE_PER_S = 0.045
# The share grows while the region's utilization is above GROW_UTILIZATION, and shrinks
# while the utilization is below SHRINK_UTILIZATION.
GROW_UTILIZATION = 0.8
SHRINK_UTILIZATION = 0.5
# Maximum rate at which the share falls below the planned share, relative to the rate of
# other changes. Objects that return are cold at first, and a lull must not bring them
# back just before the next peak.
BELOW_PLAN_CHANGE_RATIO = 0.2
# Load that a region is planned to serve, as a multiple of the load that its slots would
# receive if all slots were loaded evenly.
LOCAL_CAPACITY_FACTOR = 1.3
# Initial share of a service, as a multiple of the planned share.
INITIAL_SHARE_FACTOR = 1.0
# Number of load reports below which the utilization counts as unknown; the share then
# returns to the planned share.
MIN_REPORT_COUNT = 2.0
# Maximum excess of the share over the planned share.
MAX_SHARE_ABOVE_PLAN = 0.1
# Minimum difference by which the remote regions' utilization must be lower for the
# share to grow or persist.
MIN_UTILIZATION_GAP = 0.15
# Time constant of the average utilization, in seconds.
UTILIZATION_TIME_CONSTANT_S = 0.7
# Share of requests that may spill in addition if their region has no free slot, and the
# maximum burst of such requests.
OVERFLOW_SHARE = 0.04
MAX_OVERFLOW_CREDIT = 1.0
# Spill credit that a request needs, in requests: the credit of its service plus that of
# all services. The threshold is lowest for objects that usually spill and highest for
# objects that usually stay.
SPILLING_OBJECT_THRESHOLD = 0.0
NO_OBJECT_THRESHOLD = 1.0
STAYING_OBJECT_THRESHOLD = 2.0


@dataclass(frozen=True)
class RegionView:
    """Slots and utilization of a service's upstreams, as seen from this region.

    Attributes:
        local_slots: Slots in this region.
        total_slots: Slots in all regions.
        region_count: Number of regions that have slots.
        utilization: Estimated requests per slot at this region's upstreams.
        remote_utilization: Estimated requests per slot at all other upstreams.
        local_report_count: Number of load reports from this region that the estimate
            rests on; a report counts less the older it is.
        short_regions: Remote regions that are planned to spill requests themselves.
    """

    local_slots: int
    total_slots: int
    region_count: int
    utilization: float
    remote_utilization: float
    local_report_count: float
    short_regions: frozenset[RegionId] = frozenset()


@dataclass
class _SpillState:
    """The share of one service's requests that spill, and its inputs.

    Each request adds the share to the credit, and each spilled request subtracts 1.
    """

    share: float
    updated_at_s: float
    average_utilization: float
    credit: float = field(default=0.0)


class SpillShares:
    """The share of each service's requests that spill to remote regions."""

    def __init__(self) -> None:
        self._states: dict[ServiceId, _SpillState] = {}
        self._overflow_credit = 0.0

    def record_arrival(
        self,
        service: ServiceId,
        key: AffinityKey | None,
        view: RegionView,
        now_s: float,
    ) -> bool:
        """Record a request, update the share and decide whether the request spills.

        Args:
            service: Service of the request.
            key: Affinity key of the request, None if it names no object.
            view: Slots and utilization of the service's upstreams.
            now_s: Current time on the monotonic clock, in seconds.

        Returns:
            Whether the request is to be sent to a remote region.
        """
        self._overflow_credit = min(
            MAX_OVERFLOW_CREDIT, self._overflow_credit + OVERFLOW_SHARE
        )
        if view.local_slots == 0 or view.total_slots == view.local_slots:
            return False
        state = self._states.get(service)
        if state is None:
            initial_share = INITIAL_SHARE_FACTOR * planned_share(view)
            state = self._states[service] = _SpillState(
                initial_share, now_s, view.utilization
            )
        _update_share(state, view, now_s)
        if state.share <= 0.0:
            state.credit = 0.0
            return False
        state.credit += state.share
        total_credit = sum(
            service_state.credit for service_state in self._states.values()
        )
        if state.credit + total_credit < _spill_threshold(key, state.share):
            return False
        state.credit -= 1.0
        return True

    def share(self, service: ServiceId) -> float:
        """Return the current share of a service's requests that spill."""
        state = self._states.get(service)
        return state.share if state else 0.0

    def has_overflow_credit(self) -> bool:
        """Return whether a request without a free local slot may spill in addition."""
        return self._overflow_credit >= 1.0

    def consume_overflow_credit(self) -> None:
        """Count a request that spilled in addition to the share."""
        self._overflow_credit = max(0.0, self._overflow_credit - 1.0)


def _spill_threshold(key: AffinityKey | None, share: float) -> float:
    """Return the spill credit that a request for an object needs to spill."""
    if key is None:
        return NO_OBJECT_THRESHOLD
    return (
        SPILLING_OBJECT_THRESHOLD
        if hash_to_unit_interval(key) < share
        else STAYING_OBJECT_THRESHOLD
    )


def planned_share(view: RegionView) -> float:
    """Return the share that spills if every region receives the same load.

    >>> planned_share(RegionView(8, 56, 3, 0.0, 0.0, 0.0)) > 0.4
    True
    >>> planned_share(RegionView(24, 56, 3, 0.0, 0.0, 0.0))
    0.0
    """
    return _planned_share(view.local_slots, view.total_slots, view.region_count)


def _planned_share(region_slots: int, total_slots: int, region_count: int) -> float:
    part_of_average = region_slots * region_count / total_slots
    return max(0.0, 1.0 - LOCAL_CAPACITY_FACTOR * part_of_average)


def find_short_regions(slots: Mapping[RegionId, int]) -> frozenset[RegionId]:
    """Return the regions that are planned to spill if all receive the same load.

    >>> sorted(find_short_regions({"a": 24, "b": 24, "c": 8}))
    ['c']
    """
    total_slots = sum(slots.values())
    return frozenset(
        region
        for region, region_slots in slots.items()
        if _planned_share(region_slots, total_slots, len(slots)) > 0.0
    )


def _update_share(state: _SpillState, view: RegionView, now_s: float) -> None:
    elapsed_s = max(0.0, now_s - state.updated_at_s)
    state.updated_at_s = now_s
    max_change = MAX_SHARE_CHANGE_PER_S * min(1.0, elapsed_s)
    if view.local_report_count < MIN_REPORT_COUNT:
        difference = planned_share(view) - state.share
        state.share += max(-max_change, min(max_change, difference))
        return
    state.average_utilization += min(1.0, elapsed_s / UTILIZATION_TIME_CONSTANT_S) * (
        view.utilization - state.average_utilization
    )
    state.share = _next_share(state, view, max_change)


def _next_share(state: _SpillState, view: RegionView, max_change: float) -> float:
    """Return the share after one step of at most `max_change` towards its target."""
    share, utilization = state.share, state.average_utilization
    planned = planned_share(view)
    max_share = planned + MAX_SHARE_ABOVE_PLAN
    is_remote_better = view.remote_utilization < utilization - MIN_UTILIZATION_GAP
    is_remote_full = view.remote_utilization > GROW_UTILIZATION and not is_remote_better
    if is_remote_full or share > max_share:
        return max(0.0, share - max_change)
    if utilization > GROW_UTILIZATION and is_remote_better:
        return min(max_share, share + max_change)
    if share > planned:
        is_needed = utilization >= SHRINK_UTILIZATION and is_remote_better
        return share if is_needed else max(planned, share - max_change)
    # Below the plan, the share shrinks only if the region could serve all its requests.
    if utilization < SHRINK_UTILIZATION * (1.0 - share):
        return max(0.0, share - BELOW_PLAN_CHANGE_RATIO * max_change)
    return share
