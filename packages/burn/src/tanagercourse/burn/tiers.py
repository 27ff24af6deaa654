"""Intervals of several lengths: the longer ones are kept for longer.

Tiers overlap in time. When a longer interval has ended, it is added up from the
shorter ones inside it, which stay until their own tier drops them. A reader takes
the longest intervals that its window allows and shorter ones for the rest.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace
from itertools import pairwise

from tanagercourse.burn.series import Interval, merge_cells


@dataclass(frozen=True)
class Tier:
    """Intervals of one length.

    Attributes:
        length_s: Length of its intervals, in seconds.
        kept_s: How long they are kept after their end, in seconds.
    """

    length_s: int
    kept_s: int


FINEST_INTERVAL_S = 60
TIERS = (Tier(FINEST_INTERVAL_S, 660), Tier(600, 22_200), Tier(3_600, 262_800))
# The longest window that a report looks at, in seconds.
BUDGET_PERIOD_S = 259_200
# How long after an interval's end its publication may take, in seconds.
PUBLISH_GRACE_S = 20.0


def roll(intervals: Iterable[Interval], now_s: float) -> tuple[Interval, ...]:
    """Add the longer intervals that have ended, and drop those past their time.

    Args:
        intervals: Intervals of any tier.
        now_s: The wall clock, in seconds since 1970.

    Returns:
        Intervals by start, the shorter ones first.
    """
    kept = list(merge_intervals(intervals))
    for finer, coarser in pairwise(TIERS):
        kept.extend(_ended(kept, finer.length_s, coarser.length_s, now_s))
    kept_s = {tier.length_s: tier.kept_s for tier in TIERS}
    fresh = [each for each in kept if now_s - end_of(each) <= kept_s[each.length_s]]
    return merge_intervals(fresh)


def select(intervals: Sequence[Interval], max_length_s: int) -> tuple[Interval, ...]:
    """Return intervals that do not overlap, the longest allowed first.

    Args:
        intervals: Intervals of all tiers.
        max_length_s: The longest to take, in seconds.
    """
    taken: list[Interval] = []
    for tier in reversed(TIERS):
        if tier.length_s > max_length_s:
            continue
        covered = {(each.start_s, each.length_s) for each in taken}
        taken.extend(
            each
            for each in intervals
            if each.length_s == tier.length_s and not _is_covered(each, covered)
        )
    return tuple(sorted(taken, key=lambda each: each.start_s))


def step_for(window_s: int) -> int:
    """Return the length of the shortest intervals kept for a window, in seconds."""
    for tier in TIERS:
        if window_s <= tier.kept_s - tier.length_s:
            return tier.length_s
    return TIERS[-1].length_s


def settled_at(now_s: float) -> float:
    """Return the newest point in time until which every source has published.

    A report that looked any later would call what is on its way a gap.

    >>> settled_at(1_198_870.0), settled_at(1_198_881.0)
    (1198800.0, 1198860.0)
    """
    return (now_s - PUBLISH_GRACE_S) // FINEST_INTERVAL_S * FINEST_INTERVAL_S


def merge_intervals(intervals: Iterable[Interval]) -> tuple[Interval, ...]:
    """Add up intervals of the same start and length, in their order in time."""
    groups: dict[tuple[int, int], list[Interval]] = {}
    for interval in intervals:
        groups.setdefault((interval.start_s, interval.length_s), []).append(interval)
    return tuple(_add(groups[key]) for key in sorted(groups))


def end_of(interval: Interval) -> int:
    """Return an interval's end, in seconds since 1970."""
    return interval.start_s + interval.length_s


def _ended(
    intervals: Iterable[Interval], finer_s: int, coarser_s: int, now_s: float
) -> list[Interval]:
    """Return the coarser intervals that have ended and are not there yet."""
    there = {each.start_s for each in intervals if each.length_s == coarser_s}
    widened = [
        replace(each, start_s=_align(each.start_s, coarser_s), length_s=coarser_s)
        for each in intervals
        if each.length_s == finer_s
    ]
    return [
        each
        for each in merge_intervals(widened)
        if end_of(each) <= now_s and each.start_s not in there
    ]


def _is_covered(interval: Interval, covered: set[tuple[int, int]]) -> bool:
    return any(
        (_align(interval.start_s, tier.length_s), tier.length_s) in covered
        for tier in TIERS
    )


def _align(start_s: int, length_s: int) -> int:
    return start_s // length_s * length_s


def _add(intervals: list[Interval]) -> Interval:
    if len(intervals) == 1:
        return intervals[0]
    cells = [cell for interval in intervals for cell in interval.cells]
    return replace(
        intervals[0],
        measured_s=sum(interval.measured_s for interval in intervals),
        cells=merge_cells(cells),
    )
