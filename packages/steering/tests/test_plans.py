"""What an edit would move, against figures worked out by hand."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tanagercourse.core.ids import RegionId, UpstreamId
from tanagercourse.steering.plans import UpstreamCapacity, plan_shift
from tanagercourse.steering.shifts import DEAD_BAND, ShiftCap

INTERVAL_S = 5.0
REGIONS = ("jadran", "panonija", "gorje")


def one_a_region(slots: list[int]) -> list[UpstreamCapacity]:
    return [
        UpstreamCapacity(UpstreamId(f"u-{i}"), RegionId(REGIONS[i % 3]), count)
        for i, count in enumerate(slots)
    ]


@pytest.mark.parametrize(
    ("before", "after", "cap_share", "moved_share", "intervals"),
    [
        ([4, 4], [4, 4], 0.2, 0.0, 0),
        ([4, 4], [8, 8], 0.2, 0.0, 0),
        ([4, 4], [4, 0], 0.2, 0.5, 3),
        ([4, 4, 4], [4, 4, 0], 0.4, 1 / 3, 1),
        ([1, 3], [3, 1], 0.1, 0.5, 5),
        ([4], [4, 4], 0.2, 0.5, 3),
        ([100, 99], [100, 100], 0.2, 100 / 200 - 99 / 199, 0),
        ([], [4], 0.5, 1.0, 0),
        ([4, 4], [0, 0], 0.5, 0.0, None),
        ([4, 4], [4, 0], 0.0, 0.5, None),
    ],
)
def test_moves_between_regions(
    before: list[int],
    after: list[int],
    cap_share: float,
    moved_share: float,
    intervals: int | None,
) -> None:
    cap = ShiftCap(cap_share, INTERVAL_S)
    plan = plan_shift(one_a_region(before), one_a_region(after), cap)
    assert plan.moved_share == pytest.approx(moved_share)
    assert plan.intervals == intervals
    assert plan.duration_s == (None if intervals is None else intervals * INTERVAL_S)


def test_moves_inside_a_region_are_not_capped() -> None:
    before = one_a_region([4, 4, 4, 4, 4, 4])
    after = one_a_region([0, 4, 4, 8, 4, 4])
    plan = plan_shift(before, after, ShiftCap(0.1, INTERVAL_S))
    assert [change.id for change in plan.upstreams] == ["u-0", "u-3"]
    assert (plan.regions, plan.moved_share, plan.intervals) == ((), 0.0, 0)


slots = st.lists(st.integers(0, 8), min_size=1, max_size=6)


@settings(derandomize=True, max_examples=100, deadline=None)
@given(slots, slots, st.floats(0.01, 1.0))
def test_no_interval_moves_more_than_the_cap(
    before: list[int], after: list[int], cap_share: float
) -> None:
    cap = ShiftCap(cap_share, INTERVAL_S)
    plan = plan_shift(one_a_region(before), one_a_region(after), cap)
    assert 0.0 <= plan.moved_share <= 1.0 + 1e-9
    if plan.intervals and any(before):
        left_to_move = plan.moved_share - DEAD_BAND
        assert left_to_move / plan.intervals <= cap_share + 1e-9
