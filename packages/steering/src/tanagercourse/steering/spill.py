"""Spill requests to other regions, within held shares, deadline and shift cap.

An instance keeps one `SpillGate` for each service. The gate decides which regions a
request may use now. Shares are requested and held elsewhere.
"""

import math
from collections.abc import Sequence
from dataclasses import dataclass
from itertools import accumulate

from tanagercourse.core.ids import RegionId
from tanagercourse.core.work import Work
from tanagercourse.steering.averages import (
    SLICES_PER_WINDOW,
    DecayingAverage,
    SlidingWindowCount,
)
from tanagercourse.steering.ramps import MAX_ASSUMED_AGE_S
from tanagercourse.steering.shifts import ShiftCap

# Fraction of the cap that an instance uses. The rest covers differences between the
# views of instances, so that together they stay within the cap.
CAP_USE_FRACTION = 0.75
# Interval at which one request probes a failed home region.
PROBE_INTERVAL_S = 0.25
# A shortage starts above the first ratio of demand to slots and ends at the second.
SHORTAGE_START_LOAD = 0.9
SHORTAGE_END_LOAD = 0.8
# Half-life of the average of that ratio.
SHORTAGE_HALF_LIFE_S = 0.5
# Share of a destination's slots that it reserves in addition to its own demand.
SPARE_MARGIN = 0.05


@dataclass(frozen=True)
class Destination:
    """A remote region in which this instance holds a share.

    Attributes:
        region: The region.
        one_way_s: One-way network delay to the region, in seconds.
        service_time_s: Expected service time there, in seconds.
        free_slots: Held slots that are not in use.
    """

    region: RegionId
    one_way_s: float
    service_time_s: float
    free_slots: int


class ShortageDetector:
    """Detects, with hysteresis, that a home region has too few slots for its demand.

    Args:
        now_s: A monotonic clock, in seconds.

    Attributes:
        is_short: Whether the region has a shortage.
    """

    def __init__(self, now_s: float) -> None:
        self.is_short = False
        self._load = DecayingAverage(SHORTAGE_HALF_LIFE_S, now_s)

    def observe(self, demand: float, slots: int, now_s: float) -> None:
        """Update the average load and `is_short`.

        Args:
            demand: Requests of the region's callers that run or wait.
            slots: Slots of the region.
            now_s: A monotonic clock, in seconds.
        """
        load = self._load.observe(demand / max(1, slots), now_s)
        self.is_short = load > (
            SHORTAGE_END_LOAD if self.is_short else SHORTAGE_START_LOAD
        )


class SpillGate:
    """Decides which requests of one service may leave their home region.

    The share of traffic that other regions serve changes by no more than the cap
    between consecutive intervals. A request that the home region can serve stays. While
    the home region recovers from a failure, traffic returns to it under the cap as
    well. Requests that would be refused for lack of a remote share may return at once.

    Args:
        home: The home region.
        cap: Limit on moves between regions.
        now_s: A monotonic clock, in seconds.
    """

    def __init__(self, home: RegionId, cap: ShiftCap, now_s: float) -> None:
        self.home = home
        self._cap = cap
        self._has_failed = False
        self._probed_at_s = now_s
        # Whether the home region has failed and not yet regained all of its traffic.
        self._is_recovering = False
        self._arrivals = SlidingWindowCount(cap.interval_s)
        self._spills = SlidingWindowCount(cap.interval_s)

    def regions(
        self,
        work: Work,
        has_home_slot: bool,
        destinations: Sequence[Destination],
        now_s: float,
    ) -> tuple[RegionId, ...]:
        """Return the region that a request may use now, if any.

        Args:
            work: The request.
            has_home_slot: Whether a slot of this instance's share in the home region is
                free.
            destinations: Remote regions with a held share.
            now_s: A monotonic clock, in seconds.

        Returns:
            At most one region. There is none only while the home region has failed and
            no remote region can serve the request. A home region that has not failed is
            returned even without a free slot of the share if no remote region may be
            used, as a slot may be borrowed there.
        """
        remote = nearest_within_deadline(work, destinations, now_s)
        if self._has_failed:
            has_home_slot = self._try_probe(now_s)
        if has_home_slot and (remote is None or not self._must_spill(now_s)):
            return (self.home,)
        if remote is not None and (self._has_failed or self._may_spill(now_s)):
            return (remote,)
        return () if self._has_failed else (self.home,)

    def required_remote_per_s(self, now_s: float) -> float:
        """Return the rate of requests that remote regions must still serve, per second.

        The rate is 0.0 except while the home region recovers from a failure.
        """
        if not self._is_recovering or self._has_failed:
            return 0.0
        min_spill_share = self._previous_spill_share(now_s) - self._max_change
        return (
            max(0.0, min_spill_share)
            * self._arrivals.current(now_s)
            / self._cap.interval_s
        )

    def record_arrival(self, now_s: float) -> None:
        """Record the arrival of a caller's request."""
        self._arrivals.add(now_s, 1)

    def record_spill(self, now_s: float) -> None:
        """Record that a request was sent to another region."""
        self._spills.add(now_s, 1)

    def cancel_spill(self, now_s: float) -> None:
        """Record that a request sent to another region was not served there."""
        self._spills.add(now_s, -1)

    def set_home_failed(self, has_failed: bool, now_s: float) -> None:
        """Update whether the home region has failed.

        Args:
            has_failed: Whether the home region cannot serve any request now.
            now_s: A monotonic clock, in seconds.
        """
        self._has_failed = has_failed
        if has_failed:
            self._is_recovering = True
        elif self._previous_spill_share(now_s) <= self._max_change:
            self._is_recovering = False

    @property
    def _max_change(self) -> float:
        """Return the maximum change of the spilled share between intervals."""
        return self._cap.share * CAP_USE_FRACTION

    def _previous_spill_share(self, now_s: float) -> float:
        """Return the spilled share of traffic in the previous interval."""
        return self._spills.previous(now_s) / max(1, self._arrivals.previous(now_s))

    def _may_spill(self, now_s: float) -> bool:
        """Return whether one more spill respects the cap in each interval around now.

        Every interval that begins at a slice of the current one is compared with the
        interval before it, assuming that as many requests arrive in it as in the
        current interval.
        """
        arrival_sums = list(accumulate(self._arrivals.slices(now_s), initial=0))
        spill_sums = list(accumulate(self._spills.slices(now_s), initial=0))
        expected_arrivals = arrival_sums[-1] - arrival_sums[SLICES_PER_WINDOW] + 1
        for begin in range(SLICES_PER_WINDOW, 2 * SLICES_PER_WINDOW):
            window_spills = spill_sums[begin] - spill_sums[begin - SLICES_PER_WINDOW]
            spill_share = window_spills / max(
                1, arrival_sums[begin] - arrival_sums[begin - SLICES_PER_WINDOW]
            )
            if (
                spill_sums[-1] - spill_sums[begin] + 1
                > (spill_share + self._max_change) * expected_arrivals
            ):
                return False
        return True

    def _must_spill(self, now_s: float) -> bool:
        """Return whether a request must spill so that traffic returns under the cap."""
        if not self._is_recovering:
            return False
        min_spill_share = self._previous_spill_share(now_s) - self._max_change
        return self._spills.current(now_s) < min_spill_share * self._arrivals.current(
            now_s
        )

    def _try_probe(self, now_s: float) -> bool:
        """Return whether a request may probe the failed home region, and record it."""
        if now_s - self._probed_at_s < PROBE_INTERVAL_S:
            return False
        self._probed_at_s = now_s
        return True


def nearest_within_deadline(
    work: Work, destinations: Sequence[Destination], now_s: float
) -> RegionId | None:
    """Return the nearest region with a free held slot that can meet the deadline.

    Among regions at the same distance, the one with the most free slots is returned.

    Args:
        work: The request.
        destinations: Remote regions with a held share.
        now_s: The same clock as the request's deadline, in seconds.
    """
    remaining_s = work.remaining_s(now_s)
    eligible = [
        destination
        for destination in destinations
        if destination.free_slots > 0
        and 2 * destination.one_way_s + destination.service_time_s <= remaining_s
    ]
    if not eligible:
        return None
    return min(
        eligible,
        key=lambda destination: (destination.one_way_s, -destination.free_slots),
    ).region


def spare_slots(slots: int, home_demand: float, age_s: float) -> int:
    """Return the number of slots that a destination can grant to other regions.

    Up to a maximum age, the last reported demand is used. After that, the destination's
    own callers are assumed to need all slots.

    Args:
        slots: Slots of the destination that are up and not draining.
        home_demand: Average demand of the destination's own callers, in slots.
        age_s: Age of the demand report, in seconds.
    """
    if age_s > MAX_ASSUMED_AGE_S:
        return 0
    return max(0, math.floor(slots * (1.0 - SPARE_MARGIN) - home_demand))


def divide_wanted_slots(wanted: int, held: Sequence[int]) -> tuple[int, ...]:
    """Divide the slots wanted in remote regions among these regions.

    Each region's part is its held slots plus an equal part of the missing ones. A part
    that a full region does not grant is divided among all regions at the next call.

    Args:
        wanted: Total number of slots wanted.
        held: Slots held now in each region.

    Returns:
        Slots to request from each region.

    >>> divide_wanted_slots(6, (1, 1))
    (3, 3)
    >>> divide_wanted_slots(2, (5, 1))
    (3, 0)
    """
    missing = wanted - sum(held)
    if missing >= 0:
        extra = math.ceil(missing / len(held)) if held else 0
        return tuple(slots + extra for slots in held)
    surplus = -missing // len(held)
    return tuple(max(0, slots - surplus) for slots in held)
