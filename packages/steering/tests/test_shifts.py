"""Shift limiter and ramps: moves stay within the cap and follow observed health."""

from collections.abc import Mapping, Sequence

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tanagercourse.core.ids import RegionId
from tanagercourse.steering.ramps import (
    INITIAL_LEVEL,
    MAX_ASSUMED_AGE_S,
    DestinationHealth,
    DestinationRamp,
    Ramp,
)
from tanagercourse.steering.shifts import DEAD_BAND, ShiftCap, ShiftLimiter, Weights

REGIONS = tuple(RegionId(name) for name in ("jadran", "panonija", "gorje"))
HOME, NEAR, FAR = REGIONS
ALL_HOME = {HOME: 1.0}
CAP = ShiftCap(0.2, 5.0)


def normalise(counts: Sequence[int]) -> Weights:
    total = sum(counts)
    return {
        region: count / total for region, count in zip(REGIONS, counts, strict=True)
    }


TARGETS = (
    st.tuples(*[st.integers(0, 4)] * 3)
    .filter(lambda counts: sum(counts) > 0)
    .map(normalise)
)
STEPS = st.lists(st.tuples(st.floats(0.0, 4.0), TARGETS, st.booleans()), max_size=60)


def moved_share(before: Weights, after: Weights) -> float:
    return sum(
        max(0.0, after.get(region, 0.0) - before.get(region, 0.0)) for region in REGIONS
    )


@settings(derandomize=True, max_examples=150, deadline=None)
@given(STEPS)
def test_no_interval_moves_more_than_the_cap(
    steps: Sequence[tuple[float, Weights, bool]],
) -> None:
    now_s = 0.0
    limiter = ShiftLimiter(CAP, ALL_HOME, now_s)
    history = [(now_s, limiter.active_weights)]
    for elapsed_s, target, is_restart in steps:
        now_s += elapsed_s
        if is_restart:
            limiter = ShiftLimiter(CAP, limiter.active_weights, now_s)
        history.append((now_s, limiter.step(target, now_s)))
        assert sum(limiter.active_weights.values()) == pytest.approx(1.0)
        assert min(limiter.active_weights.values()) >= -1e-9
    for index, (begin_s, _) in enumerate(history):
        window = [
            weights
            for at_s, weights in history[index:]
            if at_s < begin_s + CAP.interval_s
        ]
        total = sum(
            moved_share(earlier, later)
            for earlier, later in zip(window, window[1:], strict=False)
        )
        assert total <= CAP.share + 1e-6


@settings(derandomize=True, max_examples=50, deadline=None)
@given(TARGETS, st.integers(1, 9))
def test_repeated_steps_at_the_same_time_move_nothing_further(
    target: Weights, repetitions: int
) -> None:
    single = ShiftLimiter(CAP, ALL_HOME, 0.0)
    repeated = ShiftLimiter(CAP, ALL_HOME, 0.0)
    for now_s in range(0, 40, 5):
        expected = single.step(target, float(now_s))
        for _ in range(repetitions):
            actual = repeated.step(target, float(now_s))
        assert moved_share(expected, actual) == pytest.approx(0.0, abs=1e-9)


@settings(derandomize=True, max_examples=50, deadline=None)
@given(TARGETS)
def test_steady_target_is_reached(target: Weights) -> None:
    limiter = ShiftLimiter(CAP, ALL_HOME, 0.0)
    for now_s in range(60):
        limiter.step(target, float(now_s))
    assert moved_share(limiter.active_weights, target) <= DEAD_BAND


def test_nothing_moves_in_the_first_interval_after_a_restart() -> None:
    limiter = ShiftLimiter(CAP, ALL_HOME, 10.0)
    assert limiter.step({NEAR: 1.0}, 14.9) == ALL_HOME
    assert limiter.step({NEAR: 1.0}, 15.0)[NEAR] == pytest.approx(0.2)


def test_edited_cap_counts_earlier_moves() -> None:
    limiter = ShiftLimiter(CAP, ALL_HOME, 0.0)
    limiter.step({NEAR: 1.0}, 5.0)
    limiter.change_cap(ShiftCap(0.3, 5.0))
    assert limiter.step({NEAR: 1.0}, 6.0)[NEAR] == pytest.approx(0.3)


def test_longer_interval_counts_moves_of_the_shorter_one() -> None:
    limiter = ShiftLimiter(ShiftCap(0.2, 1.0), ALL_HOME, 0.0)
    for now_s in (1.0, 2.0, 3.0):
        limiter.step({NEAR: 1.0}, now_s)
    limiter.change_cap(CAP)
    assert limiter.step({NEAR: 1.0}, 4.0)[NEAR] == pytest.approx(0.6)
    assert limiter.step({NEAR: 1.0}, 8.0)[NEAR] == pytest.approx(0.8)


def test_failed_region_is_evacuated_at_once_and_refilled_under_the_cap() -> None:
    limiter = ShiftLimiter(CAP, ALL_HOME, 0.0)
    remote_only = {NEAR: 0.5, FAR: 0.5}
    assert limiter.step(remote_only, 1.0, failed={HOME}) == pytest.approx(remote_only)
    assert limiter.step(ALL_HOME, 2.0) == pytest.approx(remote_only)
    assert limiter.step(ALL_HOME, 6.0)[HOME] == pytest.approx(0.2)


def test_failed_region_without_alternative_keeps_its_weight() -> None:
    limiter = ShiftLimiter(CAP, ALL_HOME, 0.0)
    assert limiter.step(ALL_HOME, 6.0, failed={HOME}) == ALL_HOME


def test_flapping_target_causes_few_changes() -> None:
    limiter = ShiftLimiter(ShiftCap(0.2, 5.0), ALL_HOME, 0.0)
    changes, last_weight = 0, 0.0
    for tick in range(200):
        target = {NEAR: 0.2, HOME: 0.8} if tick % 2 else ALL_HOME
        weight = limiter.step(target, 5.0 + tick * 0.25).get(NEAR, 0.0)
        changes += weight != last_weight
        last_weight = weight
    assert changes <= 200 * 0.25 / 5.0 + 1


def ramp_levels(
    healths: Sequence[DestinationHealth], times_s: Sequence[float]
) -> list[float]:
    ramp = Ramp(0.0)
    pairs = zip(healths, times_s, strict=True)
    return [ramp.step(health, 1.0, now_s) for health, now_s in pairs]


@pytest.mark.parametrize(
    ("health", "first_level", "last_level"),
    [
        ({"latency_ratio": 1.0, "shed_share": 0.0}, INITIAL_LEVEL, 0.6),
        ({"latency_ratio": 2.0, "shed_share": 0.0}, INITIAL_LEVEL, INITIAL_LEVEL),
        ({"latency_ratio": 1.0, "shed_share": 0.2}, INITIAL_LEVEL, INITIAL_LEVEL),
    ],
)
def test_ramp_grows_only_while_the_destination_is_healthy(
    health: Mapping[str, float], first_level: float, last_level: float
) -> None:
    times_s = [float(tick) for tick in range(6)]
    levels = ramp_levels(
        [DestinationHealth(at_s, **health) for at_s in times_s], times_s
    )
    assert levels[0] == pytest.approx(first_level)
    assert levels[-1] == pytest.approx(last_level)


def test_ramp_holds_then_drops_to_zero_without_observations() -> None:
    ramp = Ramp(0.0)
    health = DestinationHealth(2.0, 1.0, 0.0)
    level = ramp.step(health, 1.0, 2.0)
    assert ramp.step(health, 1.0, 30.0) == level
    assert ramp.step(health, 1.0, 2.5 + MAX_ASSUMED_AGE_S) == 0.0


@pytest.mark.parametrize(("service_time_s", "expected"), [(0.05, 60), (0.5, 10)])
def test_destination_ramp_grows_only_at_usual_latency(
    service_time_s: float, expected: int
) -> None:
    begin_s = 1_000_000.0
    ramp = DestinationRamp(100, 0.05, begin_s)
    for second in range(1, 6):
        ramp.observe(service_time_s, False, begin_s + second)
        limit = ramp.slot_limit(begin_s + second)
    assert limit == expected
    assert ramp.slot_limit(begin_s + 2 * MAX_ASSUMED_AGE_S) == 1
