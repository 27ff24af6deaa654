"""Placement: even spread, few moves, and the caller's own zone first."""

from collections import Counter

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tanagercourse.core.ids import InstanceId, RegionId, ZoneId
from tanagercourse.steering.placement import (
    BUCKET_COUNT,
    INSTANCES_PER_RESPONSE,
    LOAD_SLACK,
    CallerLocation,
    Candidate,
    Placement,
    assign_bounded,
    assign_rendezvous,
)

REGIONS = ("jadran", "panonija", "gorje")


def candidate(index: int, zone: int = 0) -> Candidate:
    region = RegionId(REGIONS[zone // 2])
    return Candidate(InstanceId(f"entry-{index}"), ZoneId(f"zone-{zone}"), region)


FLEETS = st.lists(st.integers(0, 5), max_size=12).map(
    lambda zones: [candidate(index, zone) for index, zone in enumerate(zones)]
)


@pytest.mark.parametrize("count", [1, 2, 3, 10, 43])
def test_no_instance_exceeds_its_load_limit(count: int) -> None:
    chosen = assign_bounded([candidate(index) for index in range(count)])
    loads = Counter(candidate.id for candidate in chosen)
    assert max(loads.values()) <= BUCKET_COUNT / count * (1 + LOAD_SLACK) + 1


@pytest.mark.parametrize("count", [2, 3, 10, 43])
def test_few_buckets_move_when_an_instance_leaves(count: int) -> None:
    fleet = [candidate(index) for index in range(count)]
    before = assign_bounded(fleet)
    for removed in fleet[:3]:
        after = assign_bounded([instance for instance in fleet if instance != removed])
        moved = sum(old != new for old, new in zip(before, after, strict=True))
        assert moved <= 2 * BUCKET_COUNT / count


@settings(derandomize=True, max_examples=10, deadline=None)
@given(st.integers(1, 6))
def test_unbounded_assignment_is_plain_rendezvous_hashing(count: int) -> None:
    fleet = [candidate(index) for index in range(count)]
    assert assign_bounded(fleet, slack=float(count)) == assign_rendezvous(fleet)


@settings(derandomize=True, max_examples=150, deadline=None)
@given(FLEETS, st.integers(0, 5), st.integers(0, BUCKET_COUNT - 1))
def test_orders_are_nearest_first_distinct_and_include_another_zone(
    fleet: list[Candidate], zone: int, bucket: int
) -> None:
    location = CallerLocation(ZoneId(f"zone-{zone}"), RegionId(REGIONS[zone // 2]))
    order = Placement(fleet).candidates_for(location, bucket)
    assert len(order) == min(INSTANCES_PER_RESPONSE, len(fleet))
    assert len(set(order)) == len(order)
    distances = [_distance(location, instance) for instance in order]
    assert distances == sorted(distances)
    if order:
        assert distances[0] == min(_distance(location, instance) for instance in fleet)
        zones = {instance.zone for instance in order}
        assert len(zones) > 1 or len({instance.zone for instance in fleet}) == 1


def _distance(location: CallerLocation, instance: Candidate) -> int:
    return (location.zone != instance.zone) + (location.region != instance.region)
