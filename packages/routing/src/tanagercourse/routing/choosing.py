"""Choose the upstream that serves a request, or say that it has to wait.

The choice is by expected cost: how likely the answer misses its objective, given what
is known of each upstream's load, whether it is warm for the object, and how far it is,
and what crossing zones and regions costs. In each region the owner of an object is
taken for warm, since every instance sends the object there. An object that is carried
between zones often gets an owner in this instance's own zone besides.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from itertools import islice

from tanagercourse.core.ids import AffinityKey, ServiceId, UpstreamId
from tanagercourse.routing.configuration import Route
from tanagercourse.routing.fleet import (
    FREE_SLOT_MARGIN,
    MAX_LOAD_PER_SLOT,
    UpstreamRecord,
)
from tanagercourse.routing.observations import (
    ActiveObjects,
    CrossZoneTransfers,
    ServiceTimes,
)
from tanagercourse.routing.spilling import SpillShares
from tanagercourse.routing.topology import Distance, Location
from tanagercourse.routing.views import ServiceView, ServiceViewCache

# There and back, in seconds.
ROUND_TRIP_S = {
    Distance.SAME_ZONE: 0.0005,
    Distance.SAME_REGION: 0.002,
    Distance.OTHER_REGION: 0.042,
}
# Cost of carrying a request and its answer, as a share of its worth.
TRANSFER_COST = {
    Distance.SAME_ZONE: 0.0,
    Distance.SAME_REGION: 0.12,
    Distance.OTHER_REGION: 0.2,
}
# An answer is expected in time below the first share of the objective, late past the
# second.
ON_TIME_SHARE = 0.7
LATE_SHARE = 1.1
# Weight of plain latency beside the chance to be late, for one objective's length.
LATENCY_WEIGHT = 0.05
# Upstreams that may serve one object: in the own region, and in all others together.
# An upstream keeps few objects warm, so each is to see few.
MAX_LOCAL_CANDIDATES = 2
MAX_REMOTE_CANDIDATES = 1
# Objects that an upstream keeps warm. Where a region has more for each of its
# upstreams, every object has one upstream there.
WARM_OBJECTS_PER_UPSTREAM = 12


@dataclass(frozen=True)
class Requirements:
    """What a request needs of an upstream.

    Attributes:
        route: Its route.
        service: The part of the route that serves it.
        key: Its object, if its route is sticky and it names one.
        tried: Upstreams that it must not go to again.
        is_late: Whether its objective can't be met any more.
        spills: Whether it is one of those that leave the region.
    """

    route: Route
    service: ServiceId
    key: AffinityKey | None
    tried: frozenset[UpstreamId]
    is_late: bool
    spills: bool


@dataclass(frozen=True)
class Chosen:
    """An upstream, and what decided for it.

    Attributes:
        record: The upstream.
        is_warm: Whether it was taken for warm.
        is_known_warm: Whether this instance had seen the object there.
        expected_s: When the answer was expected, in seconds.
        load: Requests that it was taken to hold.
        report_age_s: Age of what it last said of its load, in seconds.
    """

    record: UpstreamRecord
    is_warm: bool
    is_known_warm: bool
    expected_s: float
    load: float
    report_age_s: float


@dataclass(frozen=True)
class AtCapacity:
    """Every upstream in reach has as many requests as it should."""


@dataclass(frozen=True)
class NoUpstream:
    """No upstream may be used at all."""


Choice = Chosen | AtCapacity | NoUpstream
Chooser = Callable[[Requirements, float], Choice]


@dataclass(frozen=True)
class RoutingState:
    """What a choice is made from.

    Attributes:
        location: Where this instance stands.
        views: The upstreams as seen from there.
        service_times: How long they usually work.
        transfers: How often objects were carried to another zone.
        active_objects: How many objects callers ask for.
        spill_shares: Decides which requests leave the region.
        cold_per_s: Sends a second that this instance may make to a cold upstream.
    """

    location: Location
    views: ServiceViewCache
    service_times: ServiceTimes
    transfers: CrossZoneTransfers
    active_objects: ActiveObjects
    spill_shares: SpillShares
    cold_per_s: Callable[[UpstreamRecord], float]


def make_expected_cost_chooser(state: RoutingState) -> Chooser:
    """Return a choice by expected cost."""

    def choose(requirements: Requirements, now_s: float) -> Choice:
        views = state.views
        view = views.get(requirements.service, now_s)
        groups = _group_candidates(state, requirements, view, now_s)
        if not any(groups):
            view = views.refresh(requirements.service, now_s)
            groups = _group_candidates(state, requirements, view, now_s)
        for group in groups:
            best = _find_best(state, requirements, group, now_s)
            if best is not None:
                return best
        cold = _choose_cold(state, requirements, view, now_s)
        if cold is not None:
            return cold
        ranking = views.rank(requirements.service, requirements.key)
        ranked = (*ranking.local, *ranking.remote)
        is_any_allowed = any(
            _is_allowed(state.location, requirements, each) for each in ranked
        )
        return AtCapacity() if is_any_allowed else NoUpstream()

    return choose


def _group_candidates(
    state: RoutingState, requirements: Requirements, view: ServiceView, now_s: float
) -> tuple[list[UpstreamRecord], ...]:
    """Part upstreams into those to look at first and those to look at then."""
    ranking = state.views.rank(requirements.service, requirements.key)

    def is_usable(record: UpstreamRecord) -> bool:
        is_allowed = _is_allowed(state.location, requirements, record)
        return is_allowed and view.is_usable(record, now_s)

    def is_candidate(record: UpstreamRecord) -> bool:
        return not record.is_cold(now_s) and is_usable(record)

    def take_candidates(
        records: Iterable[UpstreamRecord], max_local: int
    ) -> list[UpstreamRecord]:
        taking = filter(is_candidate, records)
        return list(taking if requirements.key is None else islice(taking, max_local))

    max_local = _max_local_candidates(state, requirements, view.local_warm_count)
    local_records = take_candidates(ranking.local, max_local)
    if max_local == MAX_LOCAL_CANDIDATES and _needs_zone_owner(state, requirements):
        own_zone_records = (
            each for each in ranking.local if _is_in_own_zone(state.location, each)
        )
        local_records += [
            each
            for each in take_candidates(own_zone_records, 1)
            if each not in local_records
        ]
    if requirements.spills:
        return (take_candidates(ranking.remote, MAX_REMOTE_CANDIDATES), local_records)
    if state.spill_shares.has_overflow_credit():
        return (local_records, take_candidates(ranking.remote, MAX_REMOTE_CANDIDATES))
    if not local_records and not any(is_usable(each) for each in ranking.local):
        return (take_candidates(ranking.remote, MAX_REMOTE_CANDIDATES),)
    return (local_records,)


def _is_allowed(
    place: Location, requirements: Requirements, record: UpstreamRecord
) -> bool:
    if record.registration.upstream in requirements.tried:
        return False
    homes = requirements.route.home_regions
    return not homes or place.region_of(record.registration.zone) in homes


def _is_in_own_zone(place: Location, record: UpstreamRecord) -> bool:
    return record.registration.zone == place.zone


def _max_local_candidates(
    state: RoutingState, requirements: Requirements, upstreams: int
) -> int:
    """Return how many of a region's upstreams share one object."""
    service = requirements.service
    staying = state.active_objects.count(service) * (
        1 - state.spill_shares.share(service)
    )
    if MAX_LOCAL_CANDIDATES * staying <= WARM_OBJECTS_PER_UPSTREAM * upstreams:
        return MAX_LOCAL_CANDIDATES
    return 1


def _needs_zone_owner(state: RoutingState, requirements: Requirements) -> bool:
    """Return whether the object is to have an owner in the own zone besides."""
    if requirements.key is None:
        return False
    return state.transfers.needs_zone_owner(requirements.service, requirements.key)


def _find_best(
    state: RoutingState,
    requirements: Requirements,
    records: list[UpstreamRecord],
    now_s: float,
) -> Chosen | None:
    owners = _find_owners(state, requirements, records)
    best: Chosen | None = None
    best_cost = 0.0
    for record in records:
        chosen = _evaluate(state, requirements, record, owners, now_s)
        if chosen is None:
            continue
        cost = _expected_cost(state.location, requirements, chosen)
        if best is None or cost < best_cost:
            best, best_cost = chosen, cost
    return best


def _find_owners(
    state: RoutingState, requirements: Requirements, records: list[UpstreamRecord]
) -> frozenset[UpstreamId]:
    """Return an object's owner, and the one in the own zone if it wants one.

    Args:
        state: What a choice is made from.
        requirements: The request.
        records: Upstreams in the object's order.
    """
    if requirements.key is None or not records:
        return frozenset()
    owners = records[:1]
    if _needs_zone_owner(state, requirements):
        owners += [each for each in records if _is_in_own_zone(state.location, each)][
            :1
        ]
    return frozenset(owner.registration.upstream for owner in owners)


def _evaluate(
    state: RoutingState,
    requirements: Requirements,
    record: UpstreamRecord,
    owners: frozenset[UpstreamId],
    now_s: float,
) -> Chosen | None:
    load = record.load(now_s)
    slots = record.registration.slots
    is_known_warm = requirements.key is not None and record.is_warm(
        requirements.key, now_s
    )
    is_warm = is_known_warm or record.registration.upstream in owners
    service_time_s = state.service_times.estimate_s(
        requirements.service, requirements.route, is_warm
    )
    warm_time_s = state.service_times.estimate_s(
        requirements.service, requirements.route, True
    )
    queued = max(0.0, load - slots + 1)
    slowness = max(1.0, record.slowness(now_s))
    expected_s = (service_time_s + queued * warm_time_s / slots) * slowness
    if load > slots - FREE_SLOT_MARGIN:
        # No free slot: worth it only where the answer is still expected in time.
        is_in_time = (
            expected_s <= requirements.route.target_latency_s
            and not requirements.is_late
        )
        if not is_in_time or load >= MAX_LOAD_PER_SLOT * slots:
            return None
    report_age_s = record.report_age_s(now_s)
    return Chosen(record, is_warm, is_known_warm, expected_s, load, report_age_s)


def _expected_cost(
    place: Location, requirements: Requirements, chosen: Chosen
) -> float:
    distance = place.distance_to(chosen.record.registration.zone)
    target_latency_s = requirements.route.target_latency_s
    latency_ratio = (chosen.expected_s + ROUND_TRIP_S[distance]) / target_latency_s
    lateness = (latency_ratio - ON_TIME_SHARE) / (LATE_SHARE - ON_TIME_SHARE)
    late_probability = min(1.0, max(0.0, lateness))
    return late_probability + TRANSFER_COST[distance] + LATENCY_WEIGHT * latency_ratio


def _choose_cold(
    state: RoutingState,
    requirements: Requirements,
    view: ServiceView,
    now_s: float,
) -> Chosen | None:
    """Use a cold upstream of this zone, within this instance's part of its bound."""
    for record in view.own_zone_cold:
        is_usable = view.is_usable(record, now_s) and record.is_cold(now_s)
        if not is_usable or not _is_allowed(state.location, requirements, record):
            continue
        load = record.load(now_s)
        if load >= record.registration.slots:
            continue
        if record.try_cold_send(state.cold_per_s(record), now_s):
            service_time_s = state.service_times.estimate_s(
                requirements.service, requirements.route, False
            )
            report_age_s = record.report_age_s(now_s)
            return Chosen(record, False, False, 2 * service_time_s, load, report_age_s)
    return None
