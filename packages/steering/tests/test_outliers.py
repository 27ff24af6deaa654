"""Outlier ejection: floor of the pool, jittered readmission and slow start."""

import math
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tanagercourse.core.ids import UpstreamId
from tanagercourse.core.states import UpstreamState
from tanagercourse.steering.outliers import (
    OutlierDetector,
    OutlierPolicy,
    UpstreamHealth,
    eject_without_floor,
    scale_weights,
)

POOL = tuple(UpstreamId(f"upstream-{index}") for index in range(6))
POLICY = OutlierPolicy()
# Each step is an upstream and its latency, or None for a failure.
STEPS = st.lists(
    st.tuples(st.sampled_from(POOL), st.none() | st.floats(0.001, 10.0)), max_size=80
)


def states(detector: OutlierDetector, now_s: float) -> dict[UpstreamId, UpstreamState]:
    return {health.upstream: health.state for health in detector.evaluate(POOL, now_s)}


def fail_until_ejected(
    detector: OutlierDetector, upstream: UpstreamId, now_s: float
) -> None:
    for _ in range(POLICY.max_failures):
        detector.record_failure(upstream, now_s)


@pytest.fixture
def detector() -> OutlierDetector:
    return OutlierDetector(POLICY, Random(1))


@given(steps=STEPS)
@settings(derandomize=True, max_examples=100, deadline=None)
def test_floor_of_the_pool_is_never_ejected(
    steps: list[tuple[UpstreamId, float | None]],
) -> None:
    detector = OutlierDetector(POLICY, Random(1))
    for index, (upstream, latency_s) in enumerate(steps):
        now_s = index * 0.02
        if latency_s is None:
            detector.record_failure(upstream, now_s)
        else:
            detector.record_response(upstream, latency_s, now_s)
        healths = detector.evaluate(POOL, now_s)
        in_use = [
            health for health in healths if health.state is not UpstreamState.EJECTED
        ]
        assert len(in_use) >= math.ceil(POLICY.floor_share * len(POOL))
        assert all(health.weight > 0.0 for health in in_use)


@given(count=st.integers(0, 3))
@settings(derandomize=True, max_examples=10, deadline=None)
def test_ejections_above_the_floor_match_the_baseline(count: int) -> None:
    detector = OutlierDetector(POLICY, Random(1))
    failed = POOL[:count]
    for upstream in failed:
        fail_until_ejected(detector, upstream, 0.0)
    states_by_id = states(detector, 0.0)
    live = tuple(
        upstream for upstream in POOL if states_by_id[upstream] is UpstreamState.LIVE
    )
    assert live == eject_without_floor(failed, POOL)


def test_slow_upstream_is_ejected(detector: OutlierDetector) -> None:
    for _ in range(POLICY.min_responses + 6):
        for upstream in POOL:
            detector.record_response(
                upstream, 1.0 if upstream == POOL[0] else 0.05, 0.0
            )
    assert states(detector, 0.0)[POOL[0]] is UpstreamState.EJECTED
    assert states(detector, 0.0)[POOL[1]] is UpstreamState.LIVE


def test_new_upstream_warms_up_and_is_not_ejected_while_slow(
    detector: OutlierDetector,
) -> None:
    detector.record_join(POOL[0], 0.0)
    for _ in range(POLICY.min_responses + 6):
        for upstream in POOL:
            detector.record_response(
                upstream, 1.0 if upstream == POOL[0] else 0.05, 0.1
            )
    weights = [
        detector.evaluate(POOL, at_s)[0].weight for at_s in (0.0, 0.5, POLICY.warmup_s)
    ]
    assert weights == sorted(weights)
    assert weights[0] < 0.1 and weights[-1] == 1.0


def test_one_failure_after_readmission_ejects_again(detector: OutlierDetector) -> None:
    fail_until_ejected(detector, POOL[0], 0.0)
    readmitted_at_s = POLICY.max_ejection_s
    assert states(detector, readmitted_at_s)[POOL[0]] is UpstreamState.WARMING
    detector.record_failure(POOL[0], readmitted_at_s)
    assert states(detector, readmitted_at_s)[POOL[0]] is UpstreamState.EJECTED


def test_readmission_times_are_jittered() -> None:
    readmission_times_s = set()
    for seed in range(10):
        detector = OutlierDetector(POLICY, Random(seed))
        fail_until_ejected(detector, POOL[0], 0.0)
        times_s = [index / 100 for index in range(60)]
        readmission_times_s.add(
            next(
                at_s
                for at_s in times_s
                if states(detector, at_s)[POOL[0]] is not UpstreamState.EJECTED
            )
        )
    assert len(readmission_times_s) >= 5


def test_cold_group_is_scaled_to_full_weight() -> None:
    cold = [UpstreamHealth(upstream, UpstreamState.WARMING, 0.25) for upstream in POOL]
    assert {health.weight for health in scale_weights(cold)} == {1.0}
    mixed = [*cold, UpstreamHealth(UpstreamId("warm"), UpstreamState.LIVE, 1.0)]
    assert scale_weights(mixed) == tuple(mixed)
