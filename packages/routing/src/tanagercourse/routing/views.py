"""What a look at all upstreams of a service tells, kept for a moment.

A service may have hundreds of upstreams, so a request looks at its object's few and
takes the rest from here.
"""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass

from tanagercourse.core.ids import AffinityKey, ServiceId
from tanagercourse.routing.affinity import weigh
from tanagercourse.routing.fleet import MOST_HELD, Fleet, Reachability, UpstreamRecord
from tanagercourse.routing.spilling import RegionView
from tanagercourse.routing.topology import Distance, Location

# How long a view is kept, in seconds.
VIEW_S = 0.05
# Where fewer than this share of a service's upstreams don't rest, all are used.
MOST_RESTING = 0.5
# Objects whose order of upstreams is kept.
MAX_RANKED = 4096


@dataclass(frozen=True)
class ServiceView:
    """A service's upstreams at one moment.

    Attributes:
        epoch: Of the fleet, for this service.
        at_s: When it was taken, in seconds.
        leaves_out_resting: Whether upstreams that rest are left out.
        uses_missing: Whether upstreams whose entries lapsed are used.
        near_warm: Upstreams of the own region that are used and are not cold.
        own_cold: Cold upstreams of the own zone that are used.
        region: How the upstreams are spread, and how busy they are.
    """

    epoch: int
    at_s: float
    leaves_out_resting: bool
    uses_missing: bool
    near_warm: int
    own_cold: tuple[UpstreamRecord, ...]
    region: RegionView

    def uses(self, record: UpstreamRecord, now_s: float) -> bool:
        """Return whether an upstream is used now."""
        if record.reachability is not Reachability.UP:
            return False
        if self.leaves_out_resting and record.is_resting(now_s):
            return False
        return self.uses_missing or not record.is_missing


@dataclass(frozen=True)
class Ranking:
    """A service's upstreams in an object's order: its owner first.

    Attributes:
        epoch: Of the fleet, for the service.
        near: Those of the own region.
        far: Those of other regions.
    """

    epoch: int
    near: tuple[UpstreamRecord, ...]
    far: tuple[UpstreamRecord, ...]


class ServiceViewCache:
    """Views of services, and the order of upstreams for each object."""

    def __init__(self, place: Location, fleet: Fleet) -> None:
        """Create views of a fleet from one place."""
        self._place = place
        self._fleet = fleet
        self._views: dict[ServiceId, ServiceView] = {}
        self._rankings: OrderedDict[tuple[ServiceId, AffinityKey | None], Ranking] = (
            OrderedDict()
        )

    def of(self, service: ServiceId, now_s: float) -> ServiceView:
        """Return a view of a service that is at most a moment old."""
        kept = self._views.get(service)
        is_fresh = kept is not None and 0 <= now_s - kept.at_s < VIEW_S
        if kept is None or not is_fresh or kept.epoch != self._fleet.epoch(service):
            return self.refresh(service, now_s)
        return kept

    def refresh(self, service: ServiceId, now_s: float) -> ServiceView:
        """Look at all upstreams of a service."""
        view = _look(self._place, self._fleet, service, now_s)
        self._views[service] = view
        return view

    def rank(self, service: ServiceId, key: AffinityKey | None) -> Ranking:
        """Return a service's upstreams in an object's order, any order for none."""
        name = (service, key)
        kept = self._rankings.get(name)
        if kept is None or kept.epoch != self._fleet.epoch(service):
            kept = self._rankings[name] = self._order(service, key)
            if len(self._rankings) > MAX_RANKED:
                self._rankings.popitem(last=False)
        return kept

    def _order(self, service: ServiceId, key: AffinityKey | None) -> Ranking:
        records = list(self._fleet.serving(service))
        if key is not None:
            records.sort(
                key=lambda each: weigh(each.registration.upstream, key), reverse=True
            )
        return Ranking(
            self._fleet.epoch(service),
            tuple(each for each in records if is_near(self._place, each)),
            tuple(each for each in records if not is_near(self._place, each)),
        )


def is_near(place: Location, record: UpstreamRecord) -> bool:
    """Return whether an upstream is in this instance's region."""
    return place.distance_to(record.registration.zone) is not Distance.OTHER_REGION


def _look(
    place: Location, fleet: Fleet, service: ServiceId, now_s: float
) -> ServiceView:
    reached = [
        each for each in fleet.serving(service) if each.reachability is Reachability.UP
    ]
    up = [each for each in reached if not each.is_resting(now_s)]
    leaves_out_resting = len(up) >= MOST_RESTING * len(reached)
    candidates = up if leaves_out_resting else reached
    used = [each for each in candidates if not each.is_missing] or candidates
    cold = [each for each in used if each.is_cold(now_s)]
    warm = [each for each in used if not each.is_cold(now_s)]
    return ServiceView(
        epoch=fleet.epoch(service),
        at_s=now_s,
        leaves_out_resting=leaves_out_resting,
        uses_missing=bool(used) and used[0].is_missing,
        near_warm=sum(1 for each in warm if is_near(place, each)),
        own_cold=tuple(each for each in cold if each.registration.zone == place.zone),
        region=_view_region(
            place, [each for each in warm if not each.is_missing], now_s
        ),
    )


def _view_region(
    place: Location, records: Iterable[UpstreamRecord], now_s: float
) -> RegionView:
    """Return how upstreams are spread over regions, and how busy they are."""
    home_slots = all_slots = 0
    held = far_held = 0.0
    regions = set()
    for record in records:
        slots = record.registration.slots
        all_slots += slots
        regions.add(place.region_of(record.registration.zone))
        load = min(record.load(now_s), MOST_HELD * slots)
        if is_near(place, record):
            home_slots += slots
            held += load
        else:
            far_held += load
    far_slots = all_slots - home_slots
    return RegionView(
        home_slots,
        all_slots,
        len(regions),
        held / home_slots if home_slots else 0.0,
        far_held / far_slots if far_slots else 0.0,
    )
