"""Shifts stay under their cap, whatever operators edit and however often asked."""

from collections.abc import Mapping, Sequence

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tanagercourse.core.ids import RegionId
from tanagercourse.steering.ramps import (
    ASSUMED_S,
    FIRST_LEVEL,
    DestinationRamp,
    Health,
    Ramp,
)
from tanagercourse.steering.shifts import DEAD_BAND, ShiftCap, ShiftLimiter, Weights

REGIONS = tuple(RegionId(name) for name in ("jadran", "panonija", "gorje"))
HOME, NEXT, LAST = REGIONS
ALL_HOME = {HOME: 1.0}
CAP = ShiftCap(0.2, 5.0)


def normalise(parts: Sequence[int]) -> Weights:
    total = sum(parts)
    return {r: part / total for r, part in zip(REGIONS, parts, strict=True)}


TARGETS = (
    st.tuples(*[st.integers(0, 4)] * 3)
    .filter(lambda parts: sum(parts) > 0)
    .map(normalise)
)
STEPS = st.lists(st.tuples(st.floats(0.0, 4.0), TARGETS, st.booleans()), max_size=60)


def moved(one: Weights, other: Weights) -> float:
    return sum(max(0.0, other.get(r, 0.0) - one.get(r, 0.0)) for r in REGIONS)


@settings(derandomize=True, max_examples=150, deadline=None)
@given(STEPS)
def test_no_interval_moves_more_than_the_cap(
    steps: Sequence[tuple[float, Weights, bool]],
) -> None:
    now_s = 0.0
    limiter = ShiftLimiter(CAP, ALL_HOME, now_s)
    history = [(now_s, limiter.in_force)]
    for passed_s, target, restarts in steps:
        now_s += passed_s
        if restarts:
            limiter = ShiftLimiter(CAP, limiter.in_force, now_s)
        history.append((now_s, limiter.step(target, now_s)))
        assert sum(limiter.in_force.values()) == pytest.approx(1.0)
        assert min(limiter.in_force.values()) >= -1e-9
    for index, (begin_s, _) in enumerate(history):
        window = [w for at_s, w in history[index:] if at_s < begin_s + CAP.interval_s]
        total = sum(moved(a, b) for a, b in zip(window, window[1:], strict=False))
        assert total <= CAP.share + 1e-6


@settings(derandomize=True, max_examples=50, deadline=None)
@given(TARGETS, st.integers(1, 9))
def test_asking_more_often_moves_no_more(target: Weights, times: int) -> None:
    once = ShiftLimiter(CAP, ALL_HOME, 0.0)
    often = ShiftLimiter(CAP, ALL_HOME, 0.0)
    for now_s in range(0, 40, 5):
        wanted = once.step(target, float(now_s))
        for _ in range(times):
            got = often.step(target, float(now_s))
        assert moved(wanted, got) == pytest.approx(0.0, abs=1e-9)


@settings(derandomize=True, max_examples=50, deadline=None)
@given(TARGETS)
def test_steady_target_is_reached(target: Weights) -> None:
    limiter = ShiftLimiter(CAP, ALL_HOME, 0.0)
    for now_s in range(60):
        limiter.step(target, float(now_s))
    assert moved(limiter.in_force, target) <= DEAD_BAND


def test_nothing_moves_in_the_first_interval_after_a_restart() -> None:
    limiter = ShiftLimiter(CAP, ALL_HOME, 10.0)
    assert limiter.step({NEXT: 1.0}, 14.9) == ALL_HOME
    assert limiter.step({NEXT: 1.0}, 15.0)[NEXT] == pytest.approx(0.2)


def test_edited_cap_counts_what_moved_already() -> None:
    limiter = ShiftLimiter(CAP, ALL_HOME, 0.0)
    limiter.step({NEXT: 1.0}, 5.0)
    limiter.change_cap(ShiftCap(0.3, 5.0))
    assert limiter.step({NEXT: 1.0}, 6.0)[NEXT] == pytest.approx(0.3)


def test_longer_interval_counts_moves_of_the_shorter_one() -> None:
    limiter = ShiftLimiter(ShiftCap(0.2, 1.0), ALL_HOME, 0.0)
    for now_s in (1.0, 2.0, 3.0):
        limiter.step({NEXT: 1.0}, now_s)
    limiter.change_cap(CAP)
    assert limiter.step({NEXT: 1.0}, 4.0)[NEXT] == pytest.approx(0.6)
    assert limiter.step({NEXT: 1.0}, 8.0)[NEXT] == pytest.approx(0.8)


def test_failed_region_is_left_at_once_and_returned_to_under_the_cap() -> None:
    limiter = ShiftLimiter(CAP, ALL_HOME, 0.0)
    both = {NEXT: 0.5, LAST: 0.5}
    assert limiter.step(both, 1.0, failed={HOME}) == pytest.approx(both)
    assert limiter.step(ALL_HOME, 2.0) == pytest.approx(both)
    assert limiter.step(ALL_HOME, 6.0)[HOME] == pytest.approx(0.2)


def test_region_that_fails_with_nowhere_to_go_keeps_its_weight() -> None:
    limiter = ShiftLimiter(CAP, ALL_HOME, 0.0)
    assert limiter.step(ALL_HOME, 6.0, failed={HOME}) == ALL_HOME


def test_flapping_target_moves_little() -> None:
    limiter = ShiftLimiter(ShiftCap(0.2, 5.0), ALL_HOME, 0.0)
    reversals, last = 0, 0.0
    for tick in range(200):
        target = {NEXT: 0.2, HOME: 0.8} if tick % 2 else ALL_HOME
        weight = limiter.step(target, 5.0 + tick * 0.25).get(NEXT, 0.0)
        reversals += weight != last
        last = weight
    assert reversals <= 200 * 0.25 / 5.0 + 1


def ramp_levels(healths: Sequence[Health], times_s: Sequence[float]) -> list[float]:
    ramp = Ramp(0.0)
    pairs = zip(healths, times_s, strict=True)
    return [ramp.step(health, 1.0, now_s) for health, now_s in pairs]


@pytest.mark.parametrize(
    ("health", "first", "last"),
    [
        ({"latency": 1.0, "shed_share": 0.0}, FIRST_LEVEL, 0.6),
        ({"latency": 2.0, "shed_share": 0.0}, FIRST_LEVEL, FIRST_LEVEL),
        ({"latency": 1.0, "shed_share": 0.2}, FIRST_LEVEL, FIRST_LEVEL),
    ],
)
def test_ramp_follows_health(
    health: Mapping[str, float], first: float, last: float
) -> None:
    times_s = [float(tick) for tick in range(6)]
    levels = ramp_levels([Health(at_s, **health) for at_s in times_s], times_s)
    assert levels[0] == pytest.approx(first)
    assert levels[-1] == pytest.approx(last)


def test_ramp_holds_without_measurements_and_ends_after_a_while() -> None:
    ramp = Ramp(0.0)
    health = Health(2.0, 1.0, 0.0)
    level = ramp.step(health, 1.0, 2.0)
    assert ramp.step(health, 1.0, 30.0) == level
    assert ramp.step(health, 1.0, 2.5 + ASSUMED_S) == 0.0


@pytest.mark.parametrize(("service_s", "expected"), [(0.05, 60), (0.5, 10)])
def test_destination_gets_more_only_while_it_answers_in_time(
    service_s: float, expected: int
) -> None:
    begin_s = 1_000_000.0
    ramp = DestinationRamp(100, 0.05, begin_s)
    for second in range(1, 6):
        ramp.observe(service_s, False, begin_s + second)
        limit = ramp.slot_limit(begin_s + second)
    assert limit == expected
    assert ramp.slot_limit(begin_s + 2 * ASSUMED_S) == 1
