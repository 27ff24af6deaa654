"""Short-lived cached summaries of all upstreams of a service.

A service may have hundreds of upstreams. A request examines only the few candidates for
its object and uses the cached summary of all other upstreams.
"""

from collections import Counter, OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass

from tanagercourse.core.ids import AffinityKey, RegionId, ServiceId
from tanagercourse.routing.affinity import rendezvous_weight
from tanagercourse.routing.fleet import (
    MAX_LOAD_PER_SLOT,
    Fleet,
    Reachability,
    UpstreamRecord,
)
from tanagercourse.routing.spilling import RegionView, find_short_regions
from tanagercourse.routing.topology import Distance, Location

# Time for which a view is cached, in seconds.
VIEW_TTL_S = 0.05
# Upstreams in cooldown are skipped only if at least this share of the service's
# reachable upstreams is not in cooldown.
MIN_AVAILABLE_SHARE = 0.5
# Maximum number of cached rankings.
MAX_CACHED_RANKINGS = 4096
# Stands for the regions of zones that the settings don't name.
UNKNOWN_REGION = RegionId("")


@dataclass(frozen=True)
class ServiceView:
    """A summary of a service's upstreams at one time.

    Attributes:
        epoch: Epoch of the fleet for this service.
        created_at_s: Time of creation on the monotonic clock, in seconds.
        skips_cooldown: Whether upstreams in cooldown are not usable.
        uses_missing: Whether upstreams whose registrations lapsed are usable.
        local_warm_count: Number of usable upstreams in this region that are not in a
            cold start.
        own_zone_cold: Usable upstreams in this zone that are in a cold start.
        region: Slots and utilization of the upstreams.
    """

    epoch: int
    created_at_s: float
    skips_cooldown: bool
    uses_missing: bool
    local_warm_count: int
    own_zone_cold: tuple[UpstreamRecord, ...]
    region: RegionView

    def is_usable(self, record: UpstreamRecord, now_s: float) -> bool:
        """Return whether an upstream may receive requests now."""
        if record.reachability is not Reachability.UP or record.is_paused(now_s):
            return False
        if self.skips_cooldown and record.is_in_cooldown(now_s):
            return False
        return self.uses_missing or not record.is_missing


@dataclass(frozen=True)
class Ranking:
    """A service's upstreams by descending rendezvous weight for an object.

    Attributes:
        epoch: Epoch of the fleet for the service.
        local: Upstreams in this region, the object's owner first.
        remote: Upstreams in other regions.
    """

    epoch: int
    local: tuple[UpstreamRecord, ...]
    remote: tuple[UpstreamRecord, ...]


class ServiceViewCache:
    """Caches views of services, and the ranking of upstreams for each object."""

    def __init__(self, location: Location, fleet: Fleet) -> None:
        """Create an empty cache.

        Args:
            location: Location of this instance.
            fleet: All registered upstreams.
        """
        self._location = location
        self._fleet = fleet
        self._views: dict[ServiceId, ServiceView] = {}
        self._rankings: OrderedDict[tuple[ServiceId, AffinityKey | None], Ranking] = (
            OrderedDict()
        )

    def get(self, service: ServiceId, now_s: float) -> ServiceView:
        """Return a service's cached view, or a new one if that is stale or missing."""
        cached = self._views.get(service)
        is_fresh = cached is not None and 0 <= now_s - cached.created_at_s < VIEW_TTL_S
        if cached is None or not is_fresh or cached.epoch != self._fleet.epoch(service):
            return self.refresh(service, now_s)
        return cached

    def refresh(self, service: ServiceId, now_s: float) -> ServiceView:
        """Create and cache a new view of all upstreams of a service."""
        view = _make_view(self._location, self._fleet, service, now_s)
        self._views[service] = view
        return view

    def rank(self, service: ServiceId, key: AffinityKey | None) -> Ranking:
        """Return a service's upstreams by weight for an object; unordered if None."""
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
                key=lambda record: rendezvous_weight(record.registration.upstream, key),
                reverse=True,
            )
        return Ranking(
            self._fleet.epoch(service),
            tuple(record for record in records if is_local(self._location, record)),
            tuple(record for record in records if not is_local(self._location, record)),
        )


def is_local(location: Location, record: UpstreamRecord) -> bool:
    """Return whether an upstream is in this instance's region."""
    return location.distance_to(record.registration.zone) is not Distance.OTHER_REGION


def _make_view(
    location: Location, fleet: Fleet, service: ServiceId, now_s: float
) -> ServiceView:
    reachable = [
        record
        for record in fleet.serving(service)
        if record.reachability is Reachability.UP
    ]
    paused = [record for record in reachable if record.is_paused(now_s)]
    accepting = [record for record in reachable if not record.is_paused(now_s)]
    available = [record for record in accepting if not record.is_in_cooldown(now_s)]
    skips_cooldown = len(available) >= MIN_AVAILABLE_SHARE * len(accepting)
    candidates = available if skips_cooldown else accepting
    usable = [record for record in candidates if not record.is_missing] or candidates
    cold = [record for record in usable if record.is_cold(now_s)]
    warm = [record for record in usable if not record.is_cold(now_s)]
    return ServiceView(
        epoch=fleet.epoch(service),
        created_at_s=now_s,
        skips_cooldown=skips_cooldown,
        uses_missing=bool(usable) and usable[0].is_missing,
        local_warm_count=sum(1 for record in warm if is_local(location, record)),
        own_zone_cold=tuple(
            record for record in cold if record.registration.zone == location.zone
        ),
        region=_make_region_view(
            location,
            [record for record in (*warm, *paused) if not record.is_missing],
            now_s,
        ),
    )


@dataclass
class _LoadSample:
    """The load of some upstreams, weighted by the age of their load reports.

    An instance that sends few requests hears from few upstreams, and must not take
    those that it hasn't heard from for idle ones.
    """

    slots: int = 0
    report_count: float = 0.0
    weighted_slots: float = 0.0
    weighted_load: float = 0.0

    def add(self, record: UpstreamRecord, now_s: float) -> None:
        slots = record.registration.slots
        # An upstream that wants no requests has no free slot. Its slots still count, so
        # that the share that spills does not jump for a pause.
        is_paused = record.is_paused(now_s)
        weight = 1.0 if is_paused else record.report_weight(now_s)
        load = record.last_known_load()
        if is_paused:
            load = max(load, float(slots))
        self.slots += slots
        self.report_count += weight
        self.weighted_slots += weight * slots
        self.weighted_load += weight * min(load, MAX_LOAD_PER_SLOT * slots)

    def utilization(self) -> float:
        if self.weighted_slots == 0.0:
            return 0.0
        return self.weighted_load / self.weighted_slots


def _make_region_view(
    location: Location, records: Iterable[UpstreamRecord], now_s: float
) -> RegionView:
    """Sum up the slots and the load of upstreams in this region and in all others."""
    local, remote = _LoadSample(), _LoadSample()
    slots: Counter[RegionId] = Counter()
    for record in records:
        region = location.region_of(record.registration.zone)
        slots[region or UNKNOWN_REGION] += record.registration.slots
        sample = local if is_local(location, record) else remote
        sample.add(record, now_s)
    return RegionView(
        local.slots,
        local.slots + remote.slots,
        len(slots),
        local.utilization(),
        remote.utilization(),
        local.report_count,
        find_short_regions(slots),
    )
