"""Limit shifts of traffic between regions to a cap.

A weight is the share of a service's traffic from one home region that goes to a region.
Each instance applies its own weights to its own traffic. The cap is a share as well, so
the total traffic respects it, without coordination, if each instance does.

A new `ShiftLimiter` counts the full cap as used for one interval, so that restarts
never move more traffic than a running instance would. Repeating a step at the same time
with the same target moves nothing further, and only traffic that moved counts against
the cap.
"""

from collections import deque
from collections.abc import Mapping, Set
from dataclasses import dataclass

from tanagercourse.core.ids import RegionId

Weights = Mapping[RegionId, float]

# Longest interval that settings allow. Moves are kept for this time, because an edit
# may lengthen the interval.
MAX_INTERVAL_S = 600.0
# Moves of a smaller share of traffic are skipped, so that weights do not follow noise.
DEAD_BAND = 0.02
# Intervals to wait before a move that reverses the last one.
REVERSAL_INTERVALS = 1.0
_ROUNDING_TOLERANCE = 1e-9


@dataclass(frozen=True)
class ShiftCap:
    """Limit on the traffic that moves between regions.

    Attributes:
        share: Maximum share of traffic that moves in any interval.
        interval_s: Length of the interval, in seconds.
    """

    share: float
    interval_s: float


@dataclass(frozen=True)
class _Move:
    at_s: float
    share: float


class ShiftLimiter:
    """The active weights of one service and home region, and its recent moves.

    Args:
        cap: Limit on moves.
        active_weights: The initial weights.
        now_s: A monotonic clock, in seconds.
    """

    def __init__(self, cap: ShiftCap, active_weights: Weights, now_s: float) -> None:
        self.cap = cap
        self.active_weights: Weights = dict(active_weights)
        self._moves = deque([_Move(now_s, cap.share)])
        self._direction: dict[RegionId, float] = {}
        self._moved_at_s = now_s

    def change_cap(self, cap: ShiftCap) -> None:
        """Replace the cap; recent moves count against the new one."""
        self.cap = cap

    def step(
        self, target: Weights, now_s: float, failed: Set[RegionId] = frozenset()
    ) -> Weights:
        """Move the weights towards a target, as far as the cap allows now.

        Args:
            target: The target weights, which add up to 1.
            now_s: A monotonic clock, in seconds.
            failed: Regions that cannot serve any request. Their traffic moves
                immediately and does not count against the cap, the only exception to
                it. Moves back to them are capped.

        Returns:
            The new active weights.
        """
        self._evacuate(target, failed)
        change = {
            region: target.get(region, 0.0) - self.active_weights.get(region, 0.0)
            for region in {*target, *self.active_weights}
        }
        distance = _moved_share(change)
        is_reversal = self._is_reversal(change, now_s)
        if distance < DEAD_BAND or is_reversal:
            return self.active_weights
        share = min(distance, self._remaining_cap(now_s))
        if share <= _ROUNDING_TOLERANCE:
            return self.active_weights
        self.active_weights = {
            region: self.active_weights.get(region, 0.0) + delta * share / distance
            for region, delta in change.items()
        }
        self._moves.append(_Move(now_s, share))
        self._direction = change
        self._moved_at_s = now_s
        return self.active_weights

    def _remaining_cap(self, now_s: float) -> float:
        """Return the part of the cap that the last interval has not used."""
        while self._moves and now_s - self._moves[0].at_s >= MAX_INTERVAL_S:
            self._moves.popleft()
        window_start_s = now_s - self.cap.interval_s
        used = sum(move.share for move in self._moves if move.at_s > window_start_s)
        return max(0.0, self.cap.share - used)

    def _is_reversal(self, change: Weights, now_s: float) -> bool:
        """Return whether a change reverses the last move too soon."""
        dot_product = sum(
            delta * self._direction.get(region, 0.0) for region, delta in change.items()
        )
        wait_s = self.cap.interval_s * REVERSAL_INTERVALS
        return dot_product < 0 and now_s - self._moved_at_s < wait_s

    def _evacuate(self, target: Weights, failed: Set[RegionId]) -> None:
        """Move the weight of failed regions to the other regions of the target."""
        failed_weight = sum(self.active_weights.get(region, 0.0) for region in failed)
        remaining_target = {
            region: weight
            for region, weight in target.items()
            if region not in failed and weight > 0
        }
        if failed_weight <= _ROUNDING_TOLERANCE or not remaining_target:
            return
        total = sum(remaining_target.values())
        remaining = {
            region: weight
            for region, weight in self.active_weights.items()
            if region not in failed
        }
        self.active_weights = {
            region: remaining.get(region, 0.0)
            + failed_weight * remaining_target.get(region, 0.0) / total
            for region in {*remaining, *remaining_target}
        }
        self._direction = {}


def _moved_share(change: Weights) -> float:
    """Return the share of traffic that moves to another region."""
    return sum(delta for delta in change.values() if delta > 0)
