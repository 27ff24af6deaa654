"""Foretell the traffic that an edit of a service would move, and how long it takes."""

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

# Smaller changes of a share are rounding errors.
MIN_CHANGE = 1e-9

Id = TypeVar("Id", bound=Hashable)


@dataclass(frozen=True)
class UpstreamCapacity:
    """An upstream, its region, and the slots that it offers; 0 while it drains."""

    id: UpstreamId
    region: RegionId
    slots: int


@dataclass(frozen=True)
class ShareChange(Generic[Id]):
    """How the share of a service's traffic that goes somewhere changes."""

    id: Id
    before: float
    after: float


@dataclass(frozen=True)
class ShiftPlan:
    """What an edit would move, taking traffic to be spread by slots.

    Attributes:
        upstreams: Each upstream whose share changes.
        regions: Each region whose share changes.
        moved_share: Share of the service's traffic that changes its region.
        cap: How much of it may change its region in one interval.
        intervals: How many intervals that takes; None when it never ends, because
            the cap is 0 or nothing would serve.
    """

    upstreams: tuple[ShareChange[UpstreamId], ...]
    regions: tuple[ShareChange[RegionId], ...]
    moved_share: float
    cap: ShiftCap
    intervals: int | None

    @property
    def duration_s(self) -> float | None:
        """Return how long the move takes, in seconds, None when it never ends."""
        if self.intervals is None:
            return None
        return self.intervals * self.cap.interval_s


def plan_shift(
    before: Sequence[UpstreamCapacity], after: Sequence[UpstreamCapacity], cap: ShiftCap
) -> ShiftPlan:
    """Foretell a shift by the decision that caps it between regions.

    Args:
        before: The service's upstreams now.
        after: Its upstreams after the edit.
        cap: How much traffic may change its region in one interval.
    """
    old, new = _region_shares(before), _region_shares(after)
    regions = _changes(old, new)
    moved_share = sum(max(0.0, change.after - change.before) for change in regions)
    is_served = any(capacity.slots for capacity in after)
    intervals = _count_intervals(old, new, cap) if is_served else None
    upstreams = _changes(_upstream_shares(before), _upstream_shares(after))
    return ShiftPlan(upstreams, regions, moved_share, cap, intervals)


def _count_intervals(old: Weights, new: Weights, cap: ShiftCap) -> int | None:
    """Return in how many intervals the limiter moves traffic, None without an end."""
    if not any(old.values()):
        return 0
    limiter = ShiftLimiter(cap, old, now_s=0.0)
    intervals = 0
    while True:
        in_force = limiter.in_force
        # One interval on, the whole cap is there again.
        limiter.step(new, (intervals + 1) * cap.interval_s)
        if limiter.in_force is in_force:
            break
        intervals += 1
    left = _changes(limiter.in_force, new)
    distance = sum(max(0.0, change.after - change.before) for change in left)
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
    return tuple(c for c in changes if abs(c.after - c.before) > MIN_CHANGE)
