"""Spill: local first, only in time, only within shares and the cap."""

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tanagercourse.core.ids import RegionId, RequestId, ServiceId
from tanagercourse.core.states import Idempotency, Rank
from tanagercourse.core.work import Work
from tanagercourse.steering.ramps import ASSUMED_S
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
PER_SECOND = 20


def work(deadline_s: float) -> Work:
    return Work(
        RequestId("r"),
        ServiceId("motritelj"),
        Rank.MOST_URGENT,
        Idempotency.IDEMPOTENT,
        deadline_s,
    )


def destination(region: RegionId, free: int, one_way_s: float = 0.02) -> Destination:
    return Destination(region, one_way_s, 0.05, free)


@pytest.fixture
def gate() -> SpillGate:
    return SpillGate(HOME, CAP, 0.0)


def test_home_goes_first(gate: SpillGate) -> None:
    assert gate.regions(work(9.0), True, [destination(NEAR, 9)], 0.0) == (HOME,)


def test_nothing_leaves_without_a_share(gate: SpillGate) -> None:
    assert gate.regions(work(9.0), False, [destination(NEAR, 0)], 0.0) == (HOME,)


@pytest.mark.parametrize(
    ("deadline_s", "expected"), [(0.08, None), (0.1, NEAR), (1.0, NEAR)]
)
def test_nearest_with_time_left_is_taken(
    deadline_s: float, expected: RegionId | None
) -> None:
    places = [destination(FAR, 9, 0.04), destination(NEAR, 1)]
    assert nearest_within_deadline(work(deadline_s), places, 0.0) == expected


@settings(derandomize=True, max_examples=20, deadline=None)
@given(st.integers(0, 2**32), st.lists(st.booleans(), min_size=4, max_size=30))
def test_adjacent_intervals_differ_by_less_than_the_cap(
    seed: int, shortages: list[bool]
) -> None:
    """Whenever home is short, for a second each, what leaves grows under the cap."""
    random, gate = Random(seed), SpillGate(HOME, CAP, 0.0)
    left = []
    for tick in range(len(shortages) * PER_SECOND):
        now_s = tick / PER_SECOND
        gate.record_arrival(now_s)
        has_slot = not shortages[int(now_s)] or random.random() < 0.3
        places = [destination(NEAR, 9)]
        regions = gate.regions(work(now_s + 9), has_slot, places, now_s)
        left.append(regions == (NEAR,))
        if left[-1]:
            gate.record_spill(now_s)
    width = int(CAP.interval_s * PER_SECOND)
    parts = [sum(left[at : at + width]) / width for at in range(len(left) - width)]
    growth = [later - one for one, later in zip(parts, parts[width:], strict=False)]
    assert max([parts[0] if parts else 0.0, *growth]) <= CAP.share


def test_failed_home_is_left_at_once_and_probed(gate: SpillGate) -> None:
    places = [destination(NEAR, 9)]
    gate.set_home_failed(True, 1.0)
    taken: list[RegionId] = []
    for tick in range(100):
        now_s = 1.0 + tick * TICK_S
        gate.record_arrival(now_s)
        regions = gate.regions(work(now_s + 9), True, places, now_s)
        taken += regions
        if regions == (NEAR,):
            gate.record_spill(now_s)
    assert taken.count(NEAR) >= 95
    assert 1 <= taken.count(HOME) <= 5


def test_failed_home_without_shares_elsewhere_waits(gate: SpillGate) -> None:
    gate.set_home_failed(True, 0.1)
    assert gate.regions(work(9.0), True, [], 0.1) == ()


def test_shortage_does_not_flap() -> None:
    shortage = ShortageDetector(0.0)
    steps = ((8.5, False), (9.5, True), (8.5, True), (7.0, False))
    for step, (wanted, expected) in enumerate(steps, start=1):
        shortage.observe(wanted, 10, step * 60.0)
        assert shortage.is_short is expected


@pytest.mark.parametrize(
    ("slots", "demand", "age_s", "expected"),
    [(20, 10.0, 0.0, 9), (20, 30.0, 0.0, 0), (20, 10.0, ASSUMED_S + 1, 0)],
)
def test_spare_is_what_home_leaves(
    slots: int, demand: float, age_s: float, expected: int
) -> None:
    assert spare_slots(slots, demand, age_s) == expected


@settings(derandomize=True, max_examples=100, deadline=None)
@given(st.integers(0, 40), st.lists(st.integers(0, 20), min_size=1, max_size=5))
def test_division_asks_for_all_that_is_wanted(wanted: int, held: list[int]) -> None:
    asked = divide_wanted_slots(wanted, held)
    assert sum(asked) >= wanted
    assert sum(asked) <= max(wanted + len(held) - 1, sum(held))
