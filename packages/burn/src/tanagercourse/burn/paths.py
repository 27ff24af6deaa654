"""Where the platform keeps each source's series: one object for each tier."""

from collections.abc import Iterable
from dataclasses import replace

from tanagercourse.burn.series import Series
from tanagercourse.burn.tiers import Tier, merge_intervals
from tanagercourse.core.ids import ObjectPath
from tanagercourse.settings.paths import STATUS_PREFIX

BURN = ObjectPath(f"{STATUS_PREFIX}burn/")


def burn_path(source: str, tier: Tier) -> ObjectPath:
    """Return the path of a source's intervals of one tier.

    >>> burn_path("entry-1", Tier(60, 660))
    '/system/status/burn/entry-1/60'
    """
    return ObjectPath(f"{BURN}{source}/{tier.length_s}")


def select_tier(series: Series, tier: Tier) -> Series:
    """Return a series with the intervals of one tier only."""
    intervals = tuple(i for i in series.intervals if i.length_s == tier.length_s)
    return replace(series, intervals=intervals)


def merge_tiers(parts: Iterable[Series]) -> tuple[Series, ...]:
    """Return each source's series from the parts that its tiers published."""
    joined: dict[str, Series] = {}
    for part in parts:
        other = joined.get(part.source)
        joined[part.source] = part if other is None else _join(other, part)
    return tuple(joined[source] for source in sorted(joined))


def _join(one: Series, other: Series) -> Series:
    stops = [s.stopped_at_s for s in (one, other) if s.stopped_at_s is not None]
    drains = sorted({*one.drains, *other.drains}, key=lambda drain: drain.ended_at_s)
    return replace(
        one,
        started_at_s=min(one.started_at_s, other.started_at_s),
        intervals=merge_intervals((*one.intervals, *other.intervals)),
        stopped_at_s=max(stops, default=None),
        drains=tuple(drains),
    )
