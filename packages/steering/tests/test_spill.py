"""Spill decisions: home first, within deadlines, held shares and the shift cap."""

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tanagercourse.core.ids import RegionId, RequestId, ServiceId
from tanagercourse.core.states import Idempotency, Rank
from tanagercourse.core.work import Work
from tanagercourse.steering.ramps import MAX_ASSUMED_AGE_S
from tanagercourse.steering.shifts import ShiftCap
from tanagercourse.steering.spill import (
    Destination,
    ShortageDetector,
    SpillGate,
    divide_wanted_slots,
    nearest_within_deadline,
    spare_slots,
)

HOME, NEAR, FAR = (RegionId(name) for name in ("jadran", "panonija", "gorje"))
CAP = ShiftCap(0.2, 5.0)
TICK_S = 0.01
TICKS_PER_SECOND = 20


def work(deadline_s: float) -> Work:
    return Work(
        RequestId("r"),
        ServiceId("motritelj"),
        Rank.MOST_URGENT,
        Idempotency.IDEMPOTENT,
        deadline_s,
    )


def destination(
    region: RegionId, free_slots: int, one_way_s: float = 0.02
) -> Destination:
    return Destination(region, one_way_s, 0.05, free_slots)


@pytest.fixture
def gate() -> SpillGate:
    return SpillGate(HOME, CAP, 0.0)


def test_home_region_is_used_while_it_has_a_free_slot(gate: SpillGate) -> None:
    assert gate.regions(work(9.0), True, [destination(NEAR, 9)], 0.0) == (HOME,)


def test_no_spill_without_a_held_share(gate: SpillGate) -> None:
    assert gate.regions(work(9.0), False, [destination(NEAR, 0)], 0.0) == (HOME,)


@pytest.mark.parametrize(
    ("deadline_s", "expected"), [(0.08, None), (0.1, NEAR), (1.0, NEAR)]
)
def test_nearest_region_within_the_deadline_is_chosen(
    deadline_s: float, expected: RegionId | None
) -> None:
    destinations = [destination(FAR, 9, 0.04), destination(NEAR, 1)]
    assert nearest_within_deadline(work(deadline_s), destinations, 0.0) == expected


@settings(derandomize=True, max_examples=20, deadline=None)
@given(st.integers(0, 2**32), st.lists(st.booleans(), min_size=4, max_size=30))
def test_spilled_share_grows_by_at_most_the_cap_per_interval(
    seed: int, shortages: list[bool]
) -> None:
    """The spilled share respects the cap while the home region is short at random."""
    random, gate = Random(seed), SpillGate(HOME, CAP, 0.0)
    is_spilled_by_tick = []
    for tick in range(len(shortages) * TICKS_PER_SECOND):
        now_s = tick / TICKS_PER_SECOND
        gate.record_arrival(now_s)
        has_slot = not shortages[int(now_s)] or random.random() < 0.3
        destinations = [destination(NEAR, 9)]
        regions = gate.regions(work(now_s + 9), has_slot, destinations, now_s)
        is_spilled_by_tick.append(regions == (NEAR,))
        if is_spilled_by_tick[-1]:
            gate.record_spill(now_s)
    interval_ticks = int(CAP.interval_s * TICKS_PER_SECOND)
    spill_shares = [
        sum(is_spilled_by_tick[start : start + interval_ticks]) / interval_ticks
        for start in range(len(is_spilled_by_tick) - interval_ticks)
    ]
    growth = [
        later - earlier
        for earlier, later in zip(
            spill_shares, spill_shares[interval_ticks:], strict=False
        )
    ]
    assert max([spill_shares[0] if spill_shares else 0.0, *growth]) <= CAP.share


def test_failed_home_is_evacuated_at_once_and_probed(gate: SpillGate) -> None:
    destinations = [destination(NEAR, 9)]
    gate.set_home_failed(True, 1.0)
    chosen_regions: list[RegionId] = []
    for tick in range(100):
        now_s = 1.0 + tick * TICK_S
        gate.record_arrival(now_s)
        regions = gate.regions(work(now_s + 9), True, destinations, now_s)
        chosen_regions += regions
        if regions == (NEAR,):
            gate.record_spill(now_s)
    assert chosen_regions.count(NEAR) >= 95
    assert 1 <= chosen_regions.count(HOME) <= 5


def test_failed_home_without_remote_shares_allows_no_region(gate: SpillGate) -> None:
    gate.set_home_failed(True, 0.1)
    assert gate.regions(work(9.0), True, [], 0.1) == ()


def test_shortage_has_hysteresis() -> None:
    shortage = ShortageDetector(0.0)
    steps = ((8.5, False), (9.5, True), (8.5, True), (7.0, False))
    for step, (demand, expected) in enumerate(steps, start=1):
        shortage.observe(demand, 10, step * 60.0)
        assert shortage.is_short is expected


@pytest.mark.parametrize(
    ("slots", "demand", "age_s", "expected"),
    [(20, 10.0, 0.0, 9), (20, 30.0, 0.0, 0), (20, 10.0, MAX_ASSUMED_AGE_S + 1, 0)],
)
def test_spare_slots_exclude_home_demand_and_margin(
    slots: int, demand: float, age_s: float, expected: int
) -> None:
    assert spare_slots(slots, demand, age_s) == expected


@settings(derandomize=True, max_examples=100, deadline=None)
@given(st.integers(0, 40), st.lists(st.integers(0, 20), min_size=1, max_size=5))
def test_divided_slots_cover_the_wanted_slots(
    wanted_slots: int, held: list[int]
) -> None:
    requested = divide_wanted_slots(wanted_slots, held)
    assert sum(requested) >= wanted_slots
    assert sum(requested) <= max(wanted_slots + len(held) - 1, sum(held))
