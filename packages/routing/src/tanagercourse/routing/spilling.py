"""Decide which requests leave their region, so that shares change only slowly.

Each service has a share of requests that leave. It starts from the region's part of
the slots and follows how busy the region's upstreams are, never faster than a bound.
Each instance keeps the bound for its own requests, so a region's shares keep it too.

As far as the shares allow, it is always the same objects whose requests leave, so that
an upstream sees few objects and keeps them warm.
"""

from dataclasses import dataclass, field

from tanagercourse.core.ids import AffinityKey, ServiceId
from tanagercourse.routing.affinity import hash_to_unit_interval

# How fast a share changes, in shares a second.
MAX_SHARE_CHANGE_PER_S = 0.045
# The share grows while the region's upstreams are busier than the first, and falls
# while they are less busy than the second.
GROW_UTILIZATION = 0.8
SHRINK_UTILIZATION = 0.5
# A region is planned to serve this much more than its even part of all slots.
HOME_CAPACITY_FACTOR = 1.3
# Part of the planned share with which a service starts.
INITIAL_SHARE_FACTOR = 1.0
# How far the share may pass the planned one.
MAX_SHARE_ABOVE_PLAN = 0.1
# Requests leave only where others are less busy by this much.
MIN_UTILIZATION_GAP = 0.15
# How fast the view of busy upstreams follows, in seconds.
UTILIZATION_TIME_CONSTANT_S = 0.7
# Share of requests that may leave besides, when their region has no room.
OVERFLOW_SHARE = 0.04
MAX_OVERFLOW_CREDIT = 1.0
# What must be owed before a request leaves, in requests, of its own service and of all
# services together: least for objects that usually leave, most for those that stay.
SPILLING_OBJECT_THRESHOLD = 0.0
NO_OBJECT_THRESHOLD = 1.0
STAYING_OBJECT_THRESHOLD = 2.0


@dataclass(frozen=True)
class RegionView:
    """A service's upstreams as one region sees them.

    Attributes:
        home_slots: Slots in the own region.
        total_slots: Slots in all regions.
        region_count: Regions that have slots.
        utilization: Requests held in the own region for each of its slots.
        remote_utilization: The same for the other regions, as far as is known.
    """

    home_slots: int
    total_slots: int
    region_count: int
    utilization: float
    remote_utilization: float


@dataclass
class _SpillState:
    share: float
    changed_at_s: float
    utilization: float
    credit: float = field(default=0.0)


class SpillShares:
    """The share of each service's requests that leave the region."""

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
        """Count a request; return whether it is one of those that leave.

        Args:
            service: Who serves it.
            key: Its object, if it names one.
            view: How the service's upstreams are spread, and how busy they are.
            now_s: The monotonic clock, in seconds.
        """
        self._overflow_credit = min(
            MAX_OVERFLOW_CREDIT, self._overflow_credit + OVERFLOW_SHARE
        )
        if view.home_slots == 0 or view.total_slots == view.home_slots:
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
        total_credit = sum(each.credit for each in self._states.values())
        if state.credit + total_credit < _spill_threshold(key, state.share):
            return False
        state.credit -= 1.0
        return True

    def share(self, service: ServiceId) -> float:
        """Return a service's share now."""
        state = self._states.get(service)
        return state.share if state else 0.0

    def has_overflow_credit(self) -> bool:
        """Return whether a request that finds no room may leave besides."""
        return self._overflow_credit >= 1.0

    def consume_overflow_credit(self) -> None:
        """Count a request that left besides."""
        self._overflow_credit = max(0.0, self._overflow_credit - 1.0)


def _spill_threshold(key: AffinityKey | None, share: float) -> float:
    """Return what must be owed before a request for an object leaves."""
    if key is None:
        return NO_OBJECT_THRESHOLD
    return (
        SPILLING_OBJECT_THRESHOLD
        if hash_to_unit_interval(key) < share
        else STAYING_OBJECT_THRESHOLD
    )


def planned_share(view: RegionView) -> float:
    """Return the share to leave if every region had the same load.

    >>> planned_share(RegionView(8, 56, 3, 0.0, 0.0)) > 0.4
    True
    >>> planned_share(RegionView(24, 56, 3, 0.0, 0.0))
    0.0
    """
    home_share = view.home_slots * view.region_count / view.total_slots
    return max(0.0, 1.0 - HOME_CAPACITY_FACTOR * home_share)


def _update_share(state: _SpillState, view: RegionView, now_s: float) -> None:
    elapsed_s = max(0.0, now_s - state.changed_at_s)
    state.changed_at_s = now_s
    state.utilization += min(1.0, elapsed_s / UTILIZATION_TIME_CONSTANT_S) * (
        view.utilization - state.utilization
    )
    max_change = MAX_SHARE_CHANGE_PER_S * min(1.0, elapsed_s)
    max_share = planned_share(view) + MAX_SHARE_ABOVE_PLAN
    is_remote_less_utilized = (
        view.remote_utilization < state.utilization - MIN_UTILIZATION_GAP
    )
    if (
        state.utilization > GROW_UTILIZATION
        and is_remote_less_utilized
        and state.share < max_share
    ):
        state.share = min(max_share, state.share + max_change)
    elif (
        state.utilization < SHRINK_UTILIZATION
        or not is_remote_less_utilized
        or state.share > max_share
    ):
        state.share = max(0.0, state.share - max_change)
