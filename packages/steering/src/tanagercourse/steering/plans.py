"""Foretell the traffic that an edit of a service would move, and how long it takes."""

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from tanagercourse.core.ids import UpstreamId

# Smaller moves are rounding errors of the shares.
MIN_MOVED_SHARE = 1e-9


@dataclass(frozen=True)
class Capacity:
    """An upstream and the slots that it offers to new work; 0 while it drains."""

    id: UpstreamId
    slots: int


@dataclass(frozen=True)
class ShareChange:
    """How an upstream's share of its service's traffic changes."""

    id: UpstreamId
    before: float
    after: float


@dataclass(frozen=True)
class ShiftPlan:
    """What an edit would move.

    Attributes:
        changes: Each upstream whose share changes.
        moved_share: Share of the service's traffic that moves.
        cap_share: Share that may move in one interval.
        interval_ms: That interval, in milliseconds.
        intervals: How many intervals the move takes; None when it never ends,
            because the cap is 0 or nothing would serve.
    """

    changes: tuple[ShareChange, ...]
    moved_share: float
    cap_share: float
    interval_ms: int
    intervals: int | None

    @property
    def duration_s(self) -> float | None:
        """Return how long the move takes, in seconds, None when it never ends."""
        if self.intervals is None:
            return None
        return self.intervals * self.interval_ms / 1_000


def plan_shift(
    before: Sequence[Capacity],
    after: Sequence[Capacity],
    cap_share: float,
    interval_ms: int,
) -> ShiftPlan:
    """Foretell a shift, taking traffic to be spread by slots.

    Args:
        before: The service's upstreams now.
        after: Its upstreams after the edit.
        cap_share: Share of traffic that may move in one interval.
        interval_ms: That interval, in milliseconds.
    """
    old = _shares(before)
    new = _shares(after)
    changes = tuple(
        ShareChange(upstream, old.get(upstream, 0.0), new.get(upstream, 0.0))
        for upstream in sorted(old.keys() | new.keys())
        if abs(old.get(upstream, 0.0) - new.get(upstream, 0.0)) > MIN_MOVED_SHARE
    )
    losses = sum(max(0.0, change.before - change.after) for change in changes)
    gains = sum(max(0.0, change.after - change.before) for change in changes)
    moved = max(losses, gains)
    intervals = _intervals(moved, cap_share) if any(new.values()) or not old else None
    return ShiftPlan(changes, moved, cap_share, interval_ms, intervals)


def _shares(capacities: Sequence[Capacity]) -> Mapping[UpstreamId, float]:
    total = sum(capacity.slots for capacity in capacities)
    return {
        capacity.id: capacity.slots / total if total else 0.0 for capacity in capacities
    }


def _intervals(moved_share: float, cap_share: float) -> int | None:
    if moved_share <= MIN_MOVED_SHARE:
        return 0
    if cap_share <= 0:
        return None
    return math.ceil(moved_share / cap_share - MIN_MOVED_SHARE)
