"""Shares of slots: together never more than there are, close to the demand."""

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
    lambda wanted: [
        Demand(InstanceId(f"entry-{index:02}"), each)
        for index, each in enumerate(wanted)
    ]
)


@given(upstreams=UPSTREAMS, demands=DEMANDS)
@settings(derandomize=True, max_examples=100, deadline=None)
def test_instances_that_heard_the_same_share_out_each_slot_once(
    upstreams: list[UpstreamSlots], demands: list[Demand]
) -> None:
    shares = [proportional_share(upstreams, demands, each.instance) for each in demands]
    for upstream in upstreams:
        together = sum(share[upstream.upstream] for share in shares)
        assert together == upstream.slots


@given(upstreams=UPSTREAMS, count=st.integers(1, 10))
@settings(derandomize=True, max_examples=50, deadline=None)
def test_equal_demands_give_the_static_partition(
    upstreams: list[UpstreamSlots], count: int
) -> None:
    instances = [InstanceId(f"entry-{index:02}") for index in range(count)]
    demands = [Demand(instance, 7.0) for instance in instances]
    total = sum(upstream.slots for upstream in upstreams)
    for me in instances:
        share = proportional_share(upstreams, demands, me)
        assert share == equal_share(upstreams, instances, me)
        assert abs(sum(share.values()) - total / count) <= 1.0


def test_an_instance_that_nobody_heard_of_has_no_share() -> None:
    upstreams = [UpstreamSlots(UpstreamId("upstream-00"), 4)]
    share = proportional_share(upstreams, [], InstanceId("entry-00"))
    assert share == {UpstreamId("upstream-00"): 0}


def test_average_moves_most_of_the_way_in_its_time_constant() -> None:
    average = DemandAverage(time_constant_s=5.0)
    assert average.update(0.0, 0.0) == 0.0
    assert 0.6 < average.update(1.0, 5.0) < 0.7
