"""What a look at all upstreams of a service tells, kept for a moment.

A service may have hundreds of upstreams, so a request looks at its object's few and
takes the rest from here.
"""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass

from tanagercourse.core.ids import AffinityKey, ServiceId
from tanagercourse.routing.affinity import rendezvous_weight
from tanagercourse.routing.fleet import (
    MAX_LOAD_PER_SLOT,
    Fleet,
    Reachability,
    UpstreamRecord,
)
from tanagercourse.routing.spilling import RegionView
from tanagercourse.routing.topology import Distance, Location

# How long a view is kept, in seconds.
VIEW_TTL_S = 0.05
# Where fewer than this share of a service's upstreams don't rest, all are used.
MIN_AVAILABLE_SHARE = 0.5
# Objects whose order of upstreams is kept.
MAX_CACHED_RANKINGS = 4096


@dataclass(frozen=True)
class ServiceView:
    """A service's upstreams at one moment.

    Attributes:
        epoch: Of the fleet, for this service.
        created_at_s: When it was taken, in seconds.
        skips_cooldown: Whether upstreams that rest are left out.
        uses_missing: Whether upstreams whose entries lapsed are used.
        local_warm_count: Upstreams of the own region that are used and are not cold.
        own_zone_cold: Cold upstreams of the own zone that are used.
        region: How the upstreams are spread, and how busy they are.
    """

    epoch: int
    created_at_s: float
    skips_cooldown: bool
    uses_missing: bool
    local_warm_count: int
    own_zone_cold: tuple[UpstreamRecord, ...]
    region: RegionView

    def is_usable(self, record: UpstreamRecord, now_s: float) -> bool:
        """Return whether an upstream is used now."""
        if record.reachability is not Reachability.UP:
            return False
        if self.skips_cooldown and record.is_in_cooldown(now_s):
            return False
        return self.uses_missing or not record.is_missing


@dataclass(frozen=True)
class Ranking:
    """A service's upstreams in an object's order: its owner first.

    Attributes:
        epoch: Of the fleet, for the service.
        local: Those of the own region.
        remote: Those of other regions.
    """

    epoch: int
    local: tuple[UpstreamRecord, ...]
    remote: tuple[UpstreamRecord, ...]


class ServiceViewCache:
    """Views of services, and the order of upstreams for each object."""

    def __init__(self, location: Location, fleet: Fleet) -> None:
        """Create views of a fleet from one place."""
        self._place = location
        self._fleet = fleet
        self._views: dict[ServiceId, ServiceView] = {}
        self._rankings: OrderedDict[tuple[ServiceId, AffinityKey | None], Ranking] = (
            OrderedDict()
        )

    def get(self, service: ServiceId, now_s: float) -> ServiceView:
        """Return a view of a service that is at most a moment old."""
        cached = self._views.get(service)
        is_fresh = cached is not None and 0 <= now_s - cached.created_at_s < VIEW_TTL_S
        if cached is None or not is_fresh or cached.epoch != self._fleet.epoch(service):
            return self.refresh(service, now_s)
        return cached

    def refresh(self, service: ServiceId, now_s: float) -> ServiceView:
        """Look at all upstreams of a service."""
        view = _make_view(self._place, self._fleet, service, now_s)
        self._views[service] = view
        return view

    def rank(self, service: ServiceId, key: AffinityKey | None) -> Ranking:
        """Return a service's upstreams in an object's order, any order for none."""
        cache_key = (service, key)
        cached = self._rankings.get(cache_key)
        if cached is None or cached.epoch != self._fleet.epoch(service):
            cached = self._rankings[cache_key] = self._make_ranking(service, key)
            if len(self._rankings) > MAX_CACHED_RANKINGS:
                self._rankings.popitem(last=False)
        return cached

    def _make_ranking(self, service: ServiceId, key: AffinityKey | None) -> Ranking:
        records = list(self._fleet.serving(service))
        if key is not None:
            records.sort(
                key=lambda each: rendezvous_weight(each.registration.upstream, key),
                reverse=True,
            )
        return Ranking(
            self._fleet.epoch(service),
            tuple(each for each in records if is_local(self._place, each)),
            tuple(each for each in records if not is_local(self._place, each)),
        )


def is_local(location: Location, record: UpstreamRecord) -> bool:
    """Return whether an upstream is in this instance's region."""
    return location.distance_to(record.registration.zone) is not Distance.OTHER_REGION


def _make_view(
    location: Location, fleet: Fleet, service: ServiceId, now_s: float
) -> ServiceView:
    reachable = [
        each for each in fleet.serving(service) if each.reachability is Reachability.UP
    ]
    available = [each for each in reachable if not each.is_in_cooldown(now_s)]
    skips_cooldown = len(available) >= MIN_AVAILABLE_SHARE * len(reachable)
    candidates = available if skips_cooldown else reachable
    usable = [each for each in candidates if not each.is_missing] or candidates
    cold = [each for each in usable if each.is_cold(now_s)]
    warm = [each for each in usable if not each.is_cold(now_s)]
    return ServiceView(
        epoch=fleet.epoch(service),
        created_at_s=now_s,
        skips_cooldown=skips_cooldown,
        uses_missing=bool(usable) and usable[0].is_missing,
        local_warm_count=sum(1 for each in warm if is_local(location, each)),
        own_zone_cold=tuple(
            each for each in cold if each.registration.zone == location.zone
        ),
        region=_make_region_view(
            location, [each for each in warm if not each.is_missing], now_s
        ),
    )


def _make_region_view(
    location: Location, records: Iterable[UpstreamRecord], now_s: float
) -> RegionView:
    """Return how upstreams are spread over regions, and how busy they are."""
    home_slots = total_slots = 0
    local_load = remote_load = 0.0
    regions = set()
    for record in records:
        slots = record.registration.slots
        total_slots += slots
        regions.add(location.region_of(record.registration.zone))
        load = min(record.load(now_s), MAX_LOAD_PER_SLOT * slots)
        if is_local(location, record):
            home_slots += slots
            local_load += load
        else:
            remote_load += load
    remote_slots = total_slots - home_slots
    return RegionView(
        home_slots,
        total_slots,
        len(regions),
        local_load / home_slots if home_slots else 0.0,
        remote_load / remote_slots if remote_slots else 0.0,
    )
