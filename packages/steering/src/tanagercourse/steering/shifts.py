"""Keep shifts of traffic between regions under their cap, and ramp moves by health.

A weight is the share of one service's traffic from one home region that goes to a
region. Each instance steers its own traffic by weights of its own. A cap is a share
too, so instances that each keep it keep it together, without a message.

A new `ShiftLimiter` counts the whole cap as spent for one interval: a restart, or any
number of them, never moves more than a running instance would. Deciding again with
the same target moves nothing more, and nothing is counted that did not move.
"""

from collections import deque
from collections.abc import Mapping, Set
from dataclasses import dataclass

from tanagercourse.core.ids import RegionId

Weights = Mapping[RegionId, float]

# The longest interval that settings take: moves are remembered for so long, since an
# edit may lengthen the interval.
MAX_INTERVAL_S = 600.0
# Moves smaller than this are not begun, so that weights do not follow noise.
DEAD_BAND = 0.02
# A move against the direction of the last one waits for so many intervals.
REVERSAL_INTERVALS = 1.0
_ROUNDING = 1e-9


@dataclass(frozen=True)
class ShiftCap:
    """How much traffic may move.

    Attributes:
        share: Largest share of traffic that moves in any interval.
        interval_s: Length of the interval, in seconds.
    """

    share: float
    interval_s: float


@dataclass(frozen=True)
class _Move:
    at_s: float
    share: float


class ShiftLimiter:
    """Weights in force for one service and home region, and what moved lately."""

    def __init__(self, cap: ShiftCap, in_force: Weights, now_s: float) -> None:
        self.cap = cap
        self.in_force: Weights = dict(in_force)
        self._moves = deque([_Move(now_s, cap.share)])
        self._direction: dict[RegionId, float] = {}
        self._moved_at_s = now_s

    def change_cap(self, cap: ShiftCap) -> None:
        """Take an edited cap; what moved lately counts against it."""
        self.cap = cap

    def step(
        self, target: Weights, now_s: float, failed: Set[RegionId] = frozenset()
    ) -> Weights:
        """Move weights towards a target, as far as the cap allows now.

        Args:
            target: The weights wanted; they add up to 1.
            now_s: A monotonic clock, in seconds.
            failed: Regions that can serve nothing at all. What they have moves at
                once and does not count: the one case beyond the cap. What comes
                back to them later moves under the cap.

        Returns:
            The weights in force from now on.
        """
        self._evacuate(target, failed)
        change = {
            region: target.get(region, 0.0) - self.in_force.get(region, 0.0)
            for region in {*target, *self.in_force}
        }
        distance = _moved_share(change)
        is_reversal = self._is_reversal(change, now_s)
        if distance < DEAD_BAND or is_reversal:
            return self.in_force
        share = min(distance, self._left(now_s))
        if share <= _ROUNDING:
            return self.in_force
        self.in_force = {
            region: self.in_force.get(region, 0.0) + part * share / distance
            for region, part in change.items()
        }
        self._moves.append(_Move(now_s, share))
        self._direction = change
        self._moved_at_s = now_s
        return self.in_force

    def _left(self, now_s: float) -> float:
        """Return how much may still move now: what the last interval left over."""
        while self._moves and now_s - self._moves[0].at_s >= MAX_INTERVAL_S:
            self._moves.popleft()
        begin_s = now_s - self.cap.interval_s
        spent = sum(move.share for move in self._moves if move.at_s > begin_s)
        return max(0.0, self.cap.share - spent)

    def _is_reversal(self, change: Weights, now_s: float) -> bool:
        """Whether a change undoes the last move too soon after it."""
        agreement = sum(
            part * self._direction.get(region, 0.0) for region, part in change.items()
        )
        wait_s = self.cap.interval_s * REVERSAL_INTERVALS
        return agreement < 0 and now_s - self._moved_at_s < wait_s

    def _evacuate(self, target: Weights, failed: Set[RegionId]) -> None:
        """Move the weight of failed regions to the others that the target names."""
        lost = sum(self.in_force.get(region, 0.0) for region in failed)
        others = {
            region: weight
            for region, weight in target.items()
            if region not in failed and weight > 0
        }
        if lost <= _ROUNDING or not others:
            return
        total = sum(others.values())
        kept = {r: w for r, w in self.in_force.items() if r not in failed}
        self.in_force = {
            region: kept.get(region, 0.0) + lost * others.get(region, 0.0) / total
            for region in {*kept, *others}
        }
        self._direction = {}


def _moved_share(change: Weights) -> float:
    """Return the share of traffic that changes its region."""
    return sum(part for part in change.values() if part > 0)
