"""Spill to other regions: local first, within held shares, deadline and shift cap.

An instance keeps one `SpillGate` for each service. The gate says which regions a
request may use now; who holds the shares, and how they are asked for, is elsewhere.
"""

import math
from collections.abc import Sequence, Set
from dataclasses import dataclass

from tanagercourse.core.ids import RegionId
from tanagercourse.core.work import Work
from tanagercourse.steering.averages import Average, FadingCount
from tanagercourse.steering.ramps import ASSUMED_S
from tanagercourse.steering.shifts import ShiftCap, ShiftLimiter, Weights

# Of a cap, this part is for weights to move; the rest lets traffic vary around them.
MOVING_PART = 0.5
# Traffic is averaged over this part of the cap's interval.
AVERAGED_PART = 0.25
# A failed home region is tried again so often, with one request.
PROBE_INTERVAL_S = 0.25
# A region is short from one load over its slots until it falls below the other.
SHORT_FROM = 0.9
SHORT_UNTIL = 0.8
SHORTAGE_HALF_LIFE_S = 0.5
# A destination keeps back this share of its slots beyond its own demand.
SPARE_MARGIN = 0.05


@dataclass(frozen=True)
class Destination:
    """A region that this instance holds a share of.

    Attributes:
        region: The region.
        one_way_s: One-way time to it, in seconds.
        service_s: How long a request is expected to take there, in seconds.
        free_slots: Held slots that are not in use.
    """

    region: RegionId
    one_way_s: float
    service_s: float
    free_slots: int


class Shortage:
    """Whether a home region as a whole has too few slots, without flapping."""

    def __init__(self, now_s: float) -> None:
        self.is_short = False
        self._load = Average(SHORTAGE_HALF_LIFE_S, now_s)

    def observe(self, wanted: float, slots: int, now_s: float) -> None:
        """Take what callers of the region want now.

        Args:
            wanted: Slots that its callers want: requests that run or wait.
            slots: Slots that it has.
            now_s: A monotonic clock, in seconds.
        """
        load = self._load.observe(wanted / max(1, slots), now_s)
        self.is_short = load > (SHORT_UNTIL if self.is_short else SHORT_FROM)


class SpillGate:
    """Which part of one service's traffic at home may leave its region now.

    A request that home can serve stays. While home comes back from a failure, what
    others serve comes back under the cap too; what finds no share elsewhere, and would
    be refused, may stay at once.
    """

    def __init__(self, home: RegionId, cap: ShiftCap, now_s: float) -> None:
        self.home = home
        self._cap = cap
        moving = ShiftCap(cap.share * MOVING_PART, cap.interval_s)
        self._limiter = ShiftLimiter(moving, {home: 1.0}, now_s)
        self._has_failed = False
        self._probed_at_s = now_s
        # Whether home failed and has not got back all of its traffic yet.
        self._returns = False
        self._play = cap.share * (1.0 - MOVING_PART) / 2.0
        self._averaged_s = cap.interval_s * AVERAGED_PART
        self._arrived = FadingCount(self._averaged_s, now_s)
        self._spilled = FadingCount(self._averaged_s, now_s)

    @property
    def in_force(self) -> Weights:
        """Return the weights in force."""
        return self._limiter.in_force

    def regions(
        self,
        work: Work,
        has_home_slot: bool,
        destinations: Sequence[Destination],
        now_s: float,
    ) -> tuple[RegionId, ...]:
        """Return the regions that a request may use now, in the order to try them.

        Args:
            work: The request.
            has_home_slot: Whether a slot at home that is this instance's own is free;
                without one, and without a share elsewhere, home may still lend one.
            destinations: Other regions with a held share.
            now_s: A monotonic clock, in seconds.
        """
        away = nearest_in_time(work, destinations, now_s)
        away_weight = 1.0 - self.in_force.get(self.home, 0.0)
        arrived = self._arrived.count(now_s)
        spilled = self._spilled.count(now_s)
        is_owed = self._returns and spilled < (away_weight - self._play) * arrived
        if self._has_failed:
            has_home_slot = self._may_probe(now_s)
        if has_home_slot and (away is None or not is_owed):
            return (self.home,)
        may_leave = spilled + 1.0 <= (away_weight + self._play) * (arrived + 1.0)
        if away is not None and may_leave:
            return (away,)
        return () if self._has_failed else (self.home,)

    def owed_per_s(self, now_s: float) -> float:
        """Return how many requests a second others must go on serving for a while."""
        if not self._returns or self._has_failed:
            return 0.0
        away_weight = 1.0 - self.in_force.get(self.home, 0.0)
        arrived_per_s = self._arrived.count(now_s) / self._averaged_s
        return max(0.0, away_weight - self._play) * arrived_per_s

    def arrived(self, now_s: float) -> None:
        """Note that a caller's request arrived."""
        self._arrived.add(now_s, 1)

    def spilled(self, now_s: float) -> None:
        """Note that a request was sent to another region."""
        self._spilled.add(now_s, 1)

    def returned(self, now_s: float) -> None:
        """Note that a request which was sent to another region was not served."""
        self._spilled.add(now_s, -1)

    def step(self, wanted: Weights, now_s: float, failed: Set[RegionId]) -> None:
        """Move the weights towards what is wanted, under the cap.

        Args:
            wanted: The weights that the home region's demand calls for.
            now_s: A monotonic clock, in seconds.
            failed: Regions that can serve nothing at all.
        """
        if self._has_failed and self.home not in failed:
            self._begin_return(now_s)
        weights = self._limiter.step(wanted, now_s, failed)
        self._has_failed = self.home in failed
        away_weight = 1.0 - weights.get(self.home, 0.0)
        if self.home in failed:
            self._returns = True
        elif away_weight <= self._play:
            self._returns = False

    def _begin_return(self, now_s: float) -> None:
        """Take what others serve in fact as the weights to come back from."""
        away = min(
            1.0, self._spilled.count(now_s) / max(1.0, self._arrived.count(now_s))
        )
        former = 1.0 - self.in_force.get(self.home, 0.0)
        scale = away / former if former else 0.0
        weights = {
            region: weight * scale
            for region, weight in self.in_force.items()
            if region != self.home
        }
        weights[self.home] = 1.0 - sum(weights.values())
        self._limiter = ShiftLimiter(self._limiter.cap, weights, now_s)

    def _may_probe(self, now_s: float) -> bool:
        """Whether a request may try a failed home region, to see if it is back."""
        if now_s - self._probed_at_s < PROBE_INTERVAL_S:
            return False
        self._probed_at_s = now_s
        return True


def nearest_in_time(
    work: Work, destinations: Sequence[Destination], now_s: float
) -> RegionId | None:
    """Return the nearest region with a free held slot that can answer in time.

    Regions at the same distance are taken by the most free slots.

    Args:
        work: The request.
        destinations: Regions with a held share.
        now_s: The same clock as the request's deadline, in seconds.
    """
    remaining_s = work.remaining_s(now_s)
    able = [
        each
        for each in destinations
        if each.free_slots > 0 and 2 * each.one_way_s + each.service_s <= remaining_s
    ]
    if not able:
        return None
    return min(able, key=lambda each: (each.one_way_s, -each.free_slots)).region


def spare_slots(slots: int, home_demand: float, age_s: float) -> int:
    """Return how many slots a destination can give to other regions.

    While measurements are missing the last demand is assumed to hold, for a while;
    then its own callers are assumed to want everything.

    Args:
        slots: Its slots that are up and not draining.
        home_demand: Slots that its own callers want, on average.
        age_s: Age of the demand, in seconds.
    """
    if age_s > ASSUMED_S:
        return 0
    return max(0, math.floor(slots * (1.0 - SPARE_MARGIN) - home_demand))


def divide_wanted(wanted: int, held: Sequence[int]) -> tuple[int, ...]:
    """Divide the slots wanted elsewhere among the other regions.

    Args:
        wanted: Slots wanted in all.
        held: Slots held now in each region.

    Returns:
        Slots to ask of each region: what it gives already and an even part of what
        is missing, so that one that is full leaves its part to the others.

    >>> divide_wanted(6, (1, 1))
    (3, 3)
    >>> divide_wanted(2, (5, 1))
    (3, 0)
    """
    missing = wanted - sum(held)
    if missing >= 0:
        more = math.ceil(missing / len(held)) if held else 0
        return tuple(has + more for has in held)
    less = -missing // len(held)
    return tuple(max(0, has - less) for has in held)
