"""Tiers of intervals of increasing length and retention.

Tiers overlap in time. When a longer interval has ended, it is summed up from the
shorter ones inside it, which are retained until the retention of their own tier
expires. A reader uses the longest intervals that its window allows, and shorter ones
for the time that those do not cover yet.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace
from itertools import pairwise

from tanagercourse.burn.series import Interval, merge_cells


@dataclass(frozen=True)
class Tier:
    """The length and retention of one tier's intervals.

    Attributes:
        length_s: Length of an interval, in seconds.
        retention_s: How long an interval is retained after its end, in seconds.
    """

    length_s: int
    retention_s: int


FINEST_INTERVAL_S = 60
# Each tier is retained for the longest window that it covers (10 minutes, 6 hours and
# 3 days) and one more interval.
TIERS = (Tier(FINEST_INTERVAL_S, 660), Tier(600, 22_200), Tier(3_600, 262_800))
# The period of the error budget, three days, which is the longest window of a report.
BUDGET_PERIOD_S = 259_200
# The time after an interval's end within which every source has published it.
PUBLISH_GRACE_S = 20.0


def roll_up(intervals: Iterable[Interval], now_s: float) -> tuple[Interval, ...]:
    """Add the longer intervals that have ended, and drop intervals past retention.

    Args:
        intervals: Intervals of any tier.
        now_s: The wall clock, in seconds since 1970.

    Returns:
        The intervals sorted by start and then by length.
    """
    all_intervals = list(merge_intervals(intervals))
    for finer, coarser in pairwise(TIERS):
        all_intervals.extend(
            _roll_up_tier(all_intervals, finer.length_s, coarser.length_s, now_s)
        )
    retention_s = {tier.length_s: tier.retention_s for tier in TIERS}
    retained = [
        interval
        for interval in all_intervals
        if now_s - interval_end_s(interval) <= retention_s[interval.length_s]
    ]
    return merge_intervals(retained)


def select_intervals(
    intervals: Sequence[Interval], max_length_s: int
) -> tuple[Interval, ...]:
    """Select intervals that do not overlap, preferring the longest allowed ones.

    Args:
        intervals: Intervals of all tiers.
        max_length_s: The maximum length of a selected interval, in seconds.

    Returns:
        The selected intervals, sorted by start.
    """
    selected: list[Interval] = []
    for tier in reversed(TIERS):
        if tier.length_s > max_length_s:
            continue
        covered = {(interval.start_s, interval.length_s) for interval in selected}
        selected.extend(
            interval
            for interval in intervals
            if interval.length_s == tier.length_s and not _is_covered(interval, covered)
        )
    return tuple(sorted(selected, key=lambda interval: interval.start_s))


def interval_length_for(window_s: int) -> int:
    """Return the shortest interval length that is retained for a window, in seconds.

    Windows longer than the retention of every tier get the longest intervals.
    """
    for tier in TIERS:
        if window_s <= tier.retention_s - tier.length_s:
            return tier.length_s
    return TIERS[-1].length_s


def latest_settled_s(now_s: float) -> float:
    """Return the latest point in time up to which every source has published.

    A report that ended later would show intervals not yet published as gaps.

    >>> latest_settled_s(1_198_870.0), latest_settled_s(1_198_881.0)
    (1198800.0, 1198860.0)
    """
    return (now_s - PUBLISH_GRACE_S) // FINEST_INTERVAL_S * FINEST_INTERVAL_S


def merge_intervals(intervals: Iterable[Interval]) -> tuple[Interval, ...]:
    """Return intervals sorted by start, those of the same start and length added up."""
    groups: dict[tuple[int, int], list[Interval]] = {}
    for interval in intervals:
        groups.setdefault((interval.start_s, interval.length_s), []).append(interval)
    return tuple(_merge_group(groups[key]) for key in sorted(groups))


def interval_end_s(interval: Interval) -> int:
    """Return an interval's end, in seconds since 1970."""
    return interval.start_s + interval.length_s


def _roll_up_tier(
    intervals: Iterable[Interval], finer_s: int, coarser_s: int, now_s: float
) -> list[Interval]:
    """Return the coarser intervals that have ended but are not in `intervals` yet."""
    present_starts_s = {
        interval.start_s for interval in intervals if interval.length_s == coarser_s
    }
    widened = [
        replace(
            interval,
            start_s=_align(interval.start_s, coarser_s),
            length_s=coarser_s,
        )
        for interval in intervals
        if interval.length_s == finer_s
    ]
    return [
        interval
        for interval in merge_intervals(widened)
        if interval_end_s(interval) <= now_s
        and interval.start_s not in present_starts_s
    ]


def _is_covered(interval: Interval, covered: set[tuple[int, int]]) -> bool:
    return any(
        (_align(interval.start_s, tier.length_s), tier.length_s) in covered
        for tier in TIERS
    )


def _align(start_s: int, length_s: int) -> int:
    return start_s // length_s * length_s


def _merge_group(intervals: list[Interval]) -> Interval:
    if len(intervals) == 1:
        return intervals[0]
    cells = [cell for interval in intervals for cell in interval.cells]
    return replace(
        intervals[0],
        measured_s=sum(interval.measured_s for interval in intervals),
        cells=merge_cells(cells),
    )
