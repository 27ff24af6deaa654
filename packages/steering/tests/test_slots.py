"""Partition of slots among instances: each slot once, in proportion to demand."""

from hypothesis import given, settings
from hypothesis import strategies as st

from tanagercourse.core.ids import InstanceId, UpstreamId
from tanagercourse.steering.slots import (
    Demand,
    DemandAverage,
    UpstreamSlots,
    equal_share,
    proportional_share,
)

UPSTREAMS = st.lists(st.integers(1, 8), min_size=1, max_size=14).map(
    lambda slots: [
        UpstreamSlots(UpstreamId(f"upstream-{index:02}"), count)
        for index, count in enumerate(slots)
    ]
)
DEMANDS = st.lists(st.floats(0.0, 500.0), min_size=1, max_size=10).map(
    lambda demands: [
        Demand(InstanceId(f"entry-{index:02}"), demand)
        for index, demand in enumerate(demands)
    ]
)


@given(upstreams=UPSTREAMS, demands=DEMANDS)
@settings(derandomize=True, max_examples=100, deadline=None)
def test_instances_with_equal_views_assign_each_slot_once(
    upstreams: list[UpstreamSlots], demands: list[Demand]
) -> None:
    shares = [
        proportional_share(upstreams, demands, demand.instance) for demand in demands
    ]
    for upstream in upstreams:
        assigned_slots = sum(share[upstream.upstream] for share in shares)
        assert assigned_slots == upstream.slots


@given(upstreams=UPSTREAMS, count=st.integers(1, 10))
@settings(derandomize=True, max_examples=50, deadline=None)
def test_equal_demands_result_in_the_baseline_partition(
    upstreams: list[UpstreamSlots], count: int
) -> None:
    instances = [InstanceId(f"entry-{index:02}") for index in range(count)]
    demands = [Demand(instance, 7.0) for instance in instances]
    total = sum(upstream.slots for upstream in upstreams)
    for instance in instances:
        share = proportional_share(upstreams, demands, instance)
        assert share == equal_share(upstreams, instances, instance)
        assert abs(sum(share.values()) - total / count) <= 1.0


def test_unknown_instance_has_no_share() -> None:
    upstreams = [UpstreamSlots(UpstreamId("upstream-00"), 4)]
    share = proportional_share(upstreams, [], InstanceId("entry-00"))
    assert share == {UpstreamId("upstream-00"): 0}


def test_average_follows_most_of_a_change_within_its_time_constant() -> None:
    average = DemandAverage(time_constant_s=5.0)
    assert average.update(0.0, 0.0) == 0.0
    assert 0.6 < average.update(1.0, 5.0) < 0.7
