"""Split a source's series into one stored object per tier, and merge them again."""

from collections.abc import Iterable
from dataclasses import replace

from tanagercourse.burn.series import Series
from tanagercourse.burn.tiers import Tier, merge_intervals
from tanagercourse.core.ids import ObjectPath
from tanagercourse.settings.paths import STATUS_PREFIX

BURN_PREFIX = ObjectPath(f"{STATUS_PREFIX}burn/")


def burn_path(source: str, tier: Tier) -> ObjectPath:
    """Return the path of the object with a source's intervals of one tier.

    >>> burn_path("entry-1", Tier(60, 660))
    '/system/status/burn/entry-1/60'
    """
    return ObjectPath(f"{BURN_PREFIX}{source}/{tier.length_s}")


def select_tier(series: Series, tier: Tier) -> Series:
    """Return a copy of a series that has only the intervals of one tier."""
    intervals = tuple(i for i in series.intervals if i.length_s == tier.length_s)
    return replace(series, intervals=intervals)


def merge_tiers(tier_series: Iterable[Series]) -> tuple[Series, ...]:
    """Merge the series published for single tiers into one series per source.

    Args:
        tier_series: Series of any sources, each with the intervals of one tier.

    Returns:
        One series for each source, sorted by the source's id.
    """
    merged: dict[str, Series] = {}
    for series in tier_series:
        previous = merged.get(series.source)
        merged[series.source] = series if previous is None else _merge(previous, series)
    return tuple(merged[source] for source in sorted(merged))


def _merge(left: Series, right: Series) -> Series:
    stops = [s.stopped_at_s for s in (left, right) if s.stopped_at_s is not None]
    drains = sorted({*left.drains, *right.drains}, key=lambda drain: drain.ended_at_s)
    return replace(
        left,
        started_at_s=min(left.started_at_s, right.started_at_s),
        intervals=merge_intervals((*left.intervals, *right.intervals)),
        stopped_at_s=max(stops, default=None),
        drains=tuple(drains),
    )
