"""What an edit would move, against figures worked out by hand."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from tanagercourse.core.ids import UpstreamId
from tanagercourse.steering.plans import Capacity, plan_shift


def capacities(slots: list[int]) -> list[Capacity]:
    return [Capacity(UpstreamId(f"u-{i}"), count) for i, count in enumerate(slots)]


@pytest.mark.parametrize(
    ("before", "after", "cap_share", "moved_share", "intervals"),
    [
        ([4, 4], [4, 4], 0.2, 0.0, 0),
        ([4, 4], [8, 8], 0.2, 0.0, 0),
        ([4, 4], [4, 0], 0.2, 0.5, 3),
        ([4, 4, 4, 4], [4, 4, 4, 0], 0.25, 0.25, 1),
        ([1, 3], [3, 1], 0.1, 0.5, 5),
        ([4], [4, 4], 0.2, 0.5, 3),
        ([], [4], 0.5, 1.0, 2),
        ([4, 4], [0, 0], 0.5, 1.0, None),
        ([4, 4], [4, 0], 0.0, 0.5, None),
    ],
)
def test_moves_and_intervals(
    before: list[int],
    after: list[int],
    cap_share: float,
    moved_share: float,
    intervals: int | None,
) -> None:
    plan = plan_shift(capacities(before), capacities(after), cap_share, 5_000)
    assert plan.moved_share == pytest.approx(moved_share)
    assert plan.intervals == intervals
    assert plan.duration_s == (None if intervals is None else intervals * 5.0)


slots = st.lists(st.integers(0, 8), min_size=1, max_size=6)


@settings(derandomize=True, max_examples=100, deadline=None)
@given(slots, slots, st.floats(0.01, 1.0))
def test_no_interval_moves_more_than_the_cap(
    before: list[int], after: list[int], cap_share: float
) -> None:
    plan = plan_shift(capacities(before), capacities(after), cap_share, 5_000)
    assert 0.0 <= plan.moved_share <= 1.0 + 1e-9
    if plan.intervals:
        assert plan.moved_share / plan.intervals <= cap_share + 1e-9
