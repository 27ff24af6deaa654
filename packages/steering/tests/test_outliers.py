"""Outlier ejection: a floor in any history, trials apart, slow start."""

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
    eject_at_once,
    scale_weights,
)

POOL = tuple(UpstreamId(f"upstream-{index}") for index in range(6))
POLICY = OutlierPolicy()
# Each step is an upstream and its latency, or None for a failure.
STEPS = st.lists(
    st.tuples(st.sampled_from(POOL), st.none() | st.floats(0.001, 10.0)), max_size=80
)


def states(outliers: OutlierDetector, now_s: float) -> dict[UpstreamId, UpstreamState]:
    return {each.upstream: each.state for each in outliers.evaluate(POOL, now_s)}


def fail(outliers: OutlierDetector, upstream: UpstreamId, now_s: float) -> None:
    for _ in range(POLICY.max_failures):
        outliers.record_failure(upstream, now_s)


@pytest.fixture
def outliers() -> OutlierDetector:
    return OutlierDetector(POLICY, Random(1))


@given(steps=STEPS)
@settings(derandomize=True, max_examples=100, deadline=None)
def test_no_history_ejects_more_than_the_floor_allows(
    steps: list[tuple[UpstreamId, float | None]],
) -> None:
    outliers = OutlierDetector(POLICY, Random(1))
    for index, (upstream, latency_s) in enumerate(steps):
        now_s = index * 0.02
        if latency_s is None:
            outliers.record_failure(upstream, now_s)
        else:
            outliers.record_response(upstream, latency_s, now_s)
        judged = outliers.evaluate(POOL, now_s)
        used = [each for each in judged if each.state is not UpstreamState.EJECTED]
        assert len(used) >= math.ceil(POLICY.floor_share * len(POOL))
        assert all(each.weight > 0.0 for each in used)


@given(count=st.integers(0, 3))
@settings(derandomize=True, max_examples=10, deadline=None)
def test_above_the_floor_it_ejects_what_the_naive_way_does(count: int) -> None:
    outliers = OutlierDetector(POLICY, Random(1))
    bad = POOL[:count]
    for upstream in bad:
        fail(outliers, upstream, 0.0)
    judged = states(outliers, 0.0)
    kept = tuple(each for each in POOL if judged[each] is UpstreamState.LIVE)
    assert kept == eject_at_once(bad, POOL)


def test_a_slow_upstream_is_ejected(outliers: OutlierDetector) -> None:
    for _ in range(POLICY.min_answers + 6):
        for upstream in POOL:
            outliers.record_response(
                upstream, 1.0 if upstream == POOL[0] else 0.05, 0.0
            )
    assert states(outliers, 0.0)[POOL[0]] is UpstreamState.EJECTED
    assert states(outliers, 0.0)[POOL[1]] is UpstreamState.LIVE


def test_a_new_upstream_starts_slowly_and_may_be_slow(
    outliers: OutlierDetector,
) -> None:
    outliers.joined(POOL[0], 0.0)
    for _ in range(POLICY.min_answers + 6):
        for upstream in POOL:
            outliers.record_response(
                upstream, 1.0 if upstream == POOL[0] else 0.05, 0.1
            )
    weights = [
        outliers.evaluate(POOL, at_s)[0].weight for at_s in (0.0, 0.5, POLICY.warmup_s)
    ]
    assert weights == sorted(weights)
    assert weights[0] < 0.1 and weights[-1] == 1.0


def test_one_failed_trial_ejects_again(outliers: OutlierDetector) -> None:
    fail(outliers, POOL[0], 0.0)
    back_s = POLICY.longest_s
    assert states(outliers, back_s)[POOL[0]] is UpstreamState.WARMING
    outliers.record_failure(POOL[0], back_s)
    assert states(outliers, back_s)[POOL[0]] is UpstreamState.EJECTED


def test_instances_that_saw_the_same_fault_come_back_apart() -> None:
    returns_s = set()
    for seed in range(10):
        outliers = OutlierDetector(POLICY, Random(seed))
        fail(outliers, POOL[0], 0.0)
        times_s = [index / 100 for index in range(60)]
        returns_s.add(
            next(
                at_s
                for at_s in times_s
                if states(outliers, at_s)[POOL[0]] is not UpstreamState.EJECTED
            )
        )
    assert len(returns_s) >= 5


def test_a_group_that_is_cold_throughout_is_used_in_full() -> None:
    cold = [UpstreamHealth(each, UpstreamState.WARMING, 0.25) for each in POOL]
    assert {each.weight for each in scale_weights(cold)} == {1.0}
    mixed = [*cold, UpstreamHealth(UpstreamId("warm"), UpstreamState.LIVE, 1.0)]
    assert scale_weights(mixed) == tuple(mixed)
