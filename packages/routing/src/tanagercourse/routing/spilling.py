"""Decide which requests leave their region, so that shares change only slowly.

Each service has a share of requests that leave. It starts from the region's part of
the slots and follows how busy the region's upstreams are, never faster than a bound.
Each instance keeps the bound for its own requests, so a region's shares keep it too.

As far as the shares allow, it is always the same objects whose requests leave, so that
an upstream sees few objects and keeps them warm.
"""

from dataclasses import dataclass, field

from tanagercourse.core.ids import AffinityKey, ServiceId
from tanagercourse.routing.affinity import find_position

# How fast a share changes, in shares a second.
SHARE_CHANGE_PER_S = 0.045
# The share grows while the region's upstreams are busier than the first, and falls
# while they are less busy than the second.
BUSY = 0.8
IDLE = 0.5
# A region is planned to serve this much more than its even part of all slots.
HOME_SURPLUS = 1.3
# Part of the planned share with which a service starts.
START_PART = 1.0
# How far the share may pass the planned one.
MOST_BEYOND_PLAN = 0.1
# Requests leave only where others are less busy by this much.
LESS_BUSY = 0.15
# How fast the view of busy upstreams follows, in seconds.
BUSY_TIME_S = 0.7
# Share of requests that may leave besides, when their region has no room.
OVERFLOW_SHARE = 0.04
MAX_OVERFLOW = 1.0
# What must be owed before a request leaves, in requests, of its own service and of all
# services together: least for objects that usually leave, most for those that stay.
OWED_BY_LEAVING = 0.0
OWED_BY_ANY = 1.0
OWED_BY_STAYING = 2.0


@dataclass(frozen=True)
class RegionView:
    """A service's upstreams as one region sees them.

    Attributes:
        home_slots: Slots in the own region.
        all_slots: Slots in all regions.
        regions: Regions that have slots.
        busy: Requests held in the own region for each of its slots.
        far_busy: The same for the other regions, as far as is known.
    """

    home_slots: int
    all_slots: int
    regions: int
    busy: float
    far_busy: float


@dataclass
class _Share:
    share: float
    changed_at_s: float
    busy: float
    owed: float = field(default=0.0)


class SpillShares:
    """The share of each service's requests that leave the region."""

    def __init__(self) -> None:
        self._shares: dict[ServiceId, _Share] = {}
        self._overflow = 0.0

    def note_arrival(
        self,
        service: ServiceId,
        key: AffinityKey | None,
        view: RegionView,
        now_s: float,
    ) -> bool:
        """Count a request; return whether it is one of those that leave.

        Args:
            service: Who serves it.
            key: Its object, if it names one.
            view: How the service's upstreams are spread, and how busy they are.
            now_s: The monotonic clock, in seconds.
        """
        self._overflow = min(MAX_OVERFLOW, self._overflow + OVERFLOW_SHARE)
        if view.home_slots == 0 or view.all_slots == view.home_slots:
            return False
        kept = self._shares.get(service)
        if kept is None:
            start = START_PART * planned_share(view)
            kept = self._shares[service] = _Share(start, now_s, view.busy)
        _follow_busy(kept, view, now_s)
        if kept.share <= 0.0:
            kept.owed = 0.0
            return False
        kept.owed += kept.share
        all_owed = sum(each.owed for each in self._shares.values())
        if kept.owed + all_owed < _needed(key, kept.share):
            return False
        kept.owed -= 1.0
        return True

    def share(self, service: ServiceId) -> float:
        """Return a service's share now."""
        kept = self._shares.get(service)
        return kept.share if kept else 0.0

    def has_overflow(self) -> bool:
        """Return whether a request that finds no room may leave besides."""
        return self._overflow >= 1.0

    def note_overflow(self) -> None:
        """Count a request that left besides."""
        self._overflow = max(0.0, self._overflow - 1.0)


def _needed(key: AffinityKey | None, share: float) -> float:
    """Return what must be owed before a request for an object leaves."""
    if key is None:
        return OWED_BY_ANY
    return OWED_BY_LEAVING if find_position(key) < share else OWED_BY_STAYING


def planned_share(view: RegionView) -> float:
    """Return the share to leave if every region had the same load.

    >>> planned_share(RegionView(8, 56, 3, 0.0, 0.0)) > 0.4
    True
    >>> planned_share(RegionView(24, 56, 3, 0.0, 0.0))
    0.0
    """
    even = view.home_slots * view.regions / view.all_slots
    return max(0.0, 1.0 - HOME_SURPLUS * even)


def _follow_busy(kept: _Share, view: RegionView, now_s: float) -> None:
    passed_s = max(0.0, now_s - kept.changed_at_s)
    kept.changed_at_s = now_s
    kept.busy += min(1.0, passed_s / BUSY_TIME_S) * (view.busy - kept.busy)
    most = SHARE_CHANGE_PER_S * min(1.0, passed_s)
    limit = planned_share(view) + MOST_BEYOND_PLAN
    is_relief = view.far_busy < kept.busy - LESS_BUSY
    if kept.busy > BUSY and is_relief and kept.share < limit:
        kept.share = min(limit, kept.share + most)
    elif kept.busy < IDLE or not is_relief or kept.share > limit:
        kept.share = max(0.0, kept.share - most)
