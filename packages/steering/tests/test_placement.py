"""Placement: callers spread evenly, few move, and their own zone comes first."""

from collections import Counter

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tanagercourse.core.ids import InstanceId, RegionId, ZoneId
from tanagercourse.steering.placement import (
    ANSWER_INSTANCES,
    BUCKET_COUNT,
    LOAD_SLACK,
    CallerLocation,
    Candidate,
    Placement,
    assign_bounded,
    assign_rendezvous,
)

REGIONS = ("jadran", "panonija", "gorje")


def candidate(number: int, zone: int = 0) -> Candidate:
    region = RegionId(REGIONS[zone // 2])
    return Candidate(InstanceId(f"entry-{number}"), ZoneId(f"zone-{zone}"), region)


FLEETS = st.lists(st.integers(0, 5), max_size=12).map(
    lambda zones: [candidate(number, zone) for number, zone in enumerate(zones)]
)


@pytest.mark.parametrize("count", [1, 2, 3, 10, 43])
def test_no_instance_is_past_its_bound(count: int) -> None:
    chosen = assign_bounded([candidate(number) for number in range(count)])
    loads = Counter(candidate.id for candidate in chosen)
    assert max(loads.values()) <= BUCKET_COUNT / count * (1 + LOAD_SLACK) + 1


@pytest.mark.parametrize("count", [2, 3, 10, 43])
def test_few_callers_move_when_an_instance_goes(count: int) -> None:
    fleet = [candidate(number) for number in range(count)]
    before = assign_bounded(fleet)
    for gone in fleet[:3]:
        after = assign_bounded([other for other in fleet if other != gone])
        moved = sum(one != two for one, two in zip(before, after, strict=True))
        assert moved <= 2 * BUCKET_COUNT / count


@settings(derandomize=True, max_examples=10, deadline=None)
@given(st.integers(1, 6))
def test_without_a_bound_it_is_plain_rendezvous(count: int) -> None:
    fleet = [candidate(number) for number in range(count)]
    assert assign_bounded(fleet, slack=float(count)) == assign_rendezvous(fleet)


@settings(derandomize=True, max_examples=150, deadline=None)
@given(FLEETS, st.integers(0, 5), st.integers(0, BUCKET_COUNT - 1))
def test_orders_are_near_first_distinct_and_reach_another_zone(
    fleet: list[Candidate], zone: int, bucket: int
) -> None:
    place = CallerLocation(ZoneId(f"zone-{zone}"), RegionId(REGIONS[zone // 2]))
    order = Placement(fleet).candidates_for(place, bucket)
    assert len(order) == min(ANSWER_INSTANCES, len(fleet))
    assert len(set(order)) == len(order)
    distances = [_distance(place, one) for one in order]
    assert distances == sorted(distances)
    if order:
        assert distances[0] == min(_distance(place, one) for one in fleet)
        zones = {one.zone for one in order}
        assert len(zones) > 1 or len({one.zone for one in fleet}) == 1


def _distance(place: CallerLocation, one: Candidate) -> int:
    return (place.zone != one.zone) + (place.region != one.region)
