"""Predict the traffic that an edit of a service moves, and how long that takes."""

from collections.abc import Hashable, Iterable, Mapping, Sequence
from dataclasses import dataclass
from typing import Generic, TypeVar

from tanagercourse.core.ids import RegionId, UpstreamId
from tanagercourse.steering.shifts import (
    DEAD_BAND,
    ShiftCap,
    ShiftLimiter,
    Weights,
)

# Smaller changes of a share are treated as rounding errors.
MIN_CHANGE = 1e-9

Id = TypeVar("Id", bound=Hashable)


@dataclass(frozen=True)
class UpstreamCapacity:
    """An upstream, its region and its slots, 0 while it drains."""

    id: UpstreamId
    region: RegionId
    slots: int


@dataclass(frozen=True)
class ShareChange(Generic[Id]):
    """Share of traffic that an upstream or region gets before and after an edit."""

    id: Id
    before: float
    after: float


@dataclass(frozen=True)
class ShiftPlan:
    """Predicted effect of an edit, assuming that traffic is proportional to slots.

    Attributes:
        upstreams: Upstreams whose share changes.
        regions: Regions whose share changes.
        moved_share: Share of the service's traffic that moves to another region.
        cap: Limit on moves between regions.
        intervals: Intervals of the cap that the move takes; None when it never
            completes, because the cap is 0 or no slots remain.
    """

    upstreams: tuple[ShareChange[UpstreamId], ...]
    regions: tuple[ShareChange[RegionId], ...]
    moved_share: float
    cap: ShiftCap
    intervals: int | None

    @property
    def duration_s(self) -> float | None:
        """Return how long the move takes, in seconds; None when it never completes."""
        if self.intervals is None:
            return None
        return self.intervals * self.cap.interval_s


def plan_shift(
    before: Sequence[UpstreamCapacity], after: Sequence[UpstreamCapacity], cap: ShiftCap
) -> ShiftPlan:
    """Predict a shift by simulating the limiter that caps it.

    Args:
        before: The service's upstreams now.
        after: The service's upstreams after the edit.
        cap: Limit on moves between regions.
    """
    old, new = _region_shares(before), _region_shares(after)
    regions = _changes(old, new)
    moved_share = sum(max(0.0, change.after - change.before) for change in regions)
    is_served = any(capacity.slots for capacity in after)
    intervals = _count_intervals(old, new, cap) if is_served else None
    upstreams = _changes(_upstream_shares(before), _upstream_shares(after))
    return ShiftPlan(upstreams, regions, moved_share, cap, intervals)


def _count_intervals(old: Weights, new: Weights, cap: ShiftCap) -> int | None:
    """Return the intervals that the limiter needs, None if it never completes."""
    if not any(old.values()):
        return 0
    limiter = ShiftLimiter(cap, old, now_s=0.0)
    intervals = 0
    while True:
        active_weights = limiter.active_weights
        # After a complete interval the full cap is available again.
        limiter.step(new, (intervals + 1) * cap.interval_s)
        if limiter.active_weights is active_weights:
            break
        intervals += 1
    remaining = _changes(limiter.active_weights, new)
    distance = sum(max(0.0, change.after - change.before) for change in remaining)
    return intervals if distance < DEAD_BAND else None


def _region_shares(capacities: Iterable[UpstreamCapacity]) -> Mapping[RegionId, float]:
    slots: dict[RegionId, int] = {}
    for capacity in capacities:
        slots[capacity.region] = slots.get(capacity.region, 0) + capacity.slots
    return _shares(slots)


def _upstream_shares(
    capacities: Iterable[UpstreamCapacity],
) -> Mapping[UpstreamId, float]:
    return _shares({capacity.id: capacity.slots for capacity in capacities})


def _shares(slots: Mapping[Id, int]) -> Mapping[Id, float]:
    total = sum(slots.values())
    return {key: count / total if total else 0.0 for key, count in slots.items()}


def _changes(
    old: Mapping[Id, float], new: Mapping[Id, float]
) -> tuple[ShareChange[Id], ...]:
    changes = (
        ShareChange(key, old.get(key, 0.0), new.get(key, 0.0))
        for key in sorted(old.keys() | new.keys(), key=str)
    )
    return tuple(
        change for change in changes if abs(change.after - change.before) > MIN_CHANGE
    )
