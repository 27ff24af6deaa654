"""Spill to other regions: local first, within held shares, deadline and shift cap.

An instance keeps one `SpillGate` for each service. The gate says which regions a
request may use now; who holds the shares, and how they are asked for, is elsewhere.
"""

import math
from collections.abc import Sequence
from dataclasses import dataclass
from itertools import accumulate

from tanagercourse.core.ids import RegionId
from tanagercourse.core.work import Work
from tanagercourse.steering.averages import SLICES, DecayingAverage, SlidingCount
from tanagercourse.steering.ramps import ASSUMED_S
from tanagercourse.steering.shifts import ShiftCap

# Traffic that leaves keeps to this part of the cap, for what instances see
# differently: together they stay under the whole of it.
STEP_PART = 0.75
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


class ShortageDetector:
    """Whether a home region as a whole has too few slots, without flapping."""

    def __init__(self, now_s: float) -> None:
        self.is_short = False
        self._load = DecayingAverage(SHORTAGE_HALF_LIFE_S, now_s)

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

    The part that other regions serve differs between one interval and the next by no
    more than the cap. A request that home can serve stays. While home comes back from
    a failure, what others serve comes back under the cap too; what finds no share
    elsewhere, and would be refused, may stay at once.
    """

    def __init__(self, home: RegionId, cap: ShiftCap, now_s: float) -> None:
        self.home = home
        self._cap = cap
        self._has_failed = False
        self._probed_at_s = now_s
        # Whether home failed and has not got back all of its traffic yet.
        self._returns = False
        self._arrived = SlidingCount(cap.interval_s)
        self._spilled = SlidingCount(cap.interval_s)

    def regions(
        self,
        work: Work,
        has_home_slot: bool,
        destinations: Sequence[Destination],
        now_s: float,
    ) -> tuple[RegionId, ...]:
        """Return the regions that a request may use now.

        Args:
            work: The request.
            has_home_slot: Whether a slot at home that is this instance's own is free;
                without one, and without a share elsewhere, home may still lend one.
            destinations: Other regions with a held share.
            now_s: A monotonic clock, in seconds.
        """
        away = nearest_within_deadline(work, destinations, now_s)
        if self._has_failed:
            has_home_slot = self._may_probe(now_s)
        if has_home_slot and (away is None or not self._is_owed(now_s)):
            return (self.home,)
        if away is not None and (self._has_failed or self._may_leave(now_s)):
            return (away,)
        return () if self._has_failed else (self.home,)

    def required_remote_per_s(self, now_s: float) -> float:
        """Return how many requests a second others must go on serving for a while."""
        if not self._returns or self._has_failed:
            return 0.0
        part = self._part_before(now_s) - self._step
        return max(0.0, part) * self._arrived.last(now_s) / self._cap.interval_s

    def record_arrival(self, now_s: float) -> None:
        """Note that a caller's request arrived."""
        self._arrived.add(now_s, 1)

    def record_spill(self, now_s: float) -> None:
        """Note that a request was sent to another region."""
        self._spilled.add(now_s, 1)

    def cancel_spill(self, now_s: float) -> None:
        """Note that a request which was sent to another region was not served."""
        self._spilled.add(now_s, -1)

    def set_home_failed(self, has_failed: bool, now_s: float) -> None:
        """Take whether home can serve nothing at all now."""
        self._has_failed = has_failed
        if has_failed:
            self._returns = True
        elif self._part_before(now_s) <= self._step:
            self._returns = False

    @property
    def _step(self) -> float:
        """Return by how much the part that leaves may change in an interval."""
        return self._cap.share * STEP_PART

    def _part_before(self, now_s: float) -> float:
        """Return the part of traffic that left in the interval before the last."""
        return self._spilled.before(now_s) / max(1, self._arrived.before(now_s))

    def _may_leave(self, now_s: float) -> bool:
        """Whether one more may leave in each interval that holds this moment.

        An interval that begins at a slice of the last one is compared with the one
        before it; as many requests as in the last interval are taken to arrive in it.
        """
        record_arrival = list(accumulate(self._arrived.slices(now_s), initial=0))
        spilled = list(accumulate(self._spilled.slices(now_s), initial=0))
        expected = record_arrival[-1] - record_arrival[SLICES] + 1
        for begin in range(SLICES, 2 * SLICES):
            left = spilled[begin] - spilled[begin - SLICES]
            part = left / max(1, record_arrival[begin] - record_arrival[begin - SLICES])
            if spilled[-1] - spilled[begin] + 1 > (part + self._step) * expected:
                return False
        return True

    def _is_owed(self, now_s: float) -> bool:
        """Whether others are to serve more, so that home comes back under the cap."""
        if not self._returns:
            return False
        part = self._part_before(now_s) - self._step
        return self._spilled.last(now_s) < part * self._arrived.last(now_s)

    def _may_probe(self, now_s: float) -> bool:
        """Whether a request may try a failed home region, to see if it is back."""
        if now_s - self._probed_at_s < PROBE_INTERVAL_S:
            return False
        self._probed_at_s = now_s
        return True


def nearest_within_deadline(
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


def divide_wanted_slots(wanted: int, held: Sequence[int]) -> tuple[int, ...]:
    """Divide the slots wanted elsewhere among the other regions.

    Args:
        wanted: Slots wanted in all.
        held: Slots held now in each region.

    Returns:
        Slots to ask of each region: what it gives already and an even part of what
        is missing, so that one that is full leaves its part to the others.

    >>> divide_wanted_slots(6, (1, 1))
    (3, 3)
    >>> divide_wanted_slots(2, (5, 1))
    (3, 0)
    """
    missing = wanted - sum(held)
    if missing >= 0:
        more = math.ceil(missing / len(held)) if held else 0
        return tuple(has + more for has in held)
    less = -missing // len(held)
    return tuple(max(0, has - less) for has in held)
