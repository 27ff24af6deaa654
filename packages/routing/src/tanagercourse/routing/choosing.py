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
from tanagercourse.routing.fleet import FREE_MARGIN, MOST_HELD, UpstreamRecord
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
CROSSING_COST = {
    Distance.SAME_ZONE: 0.0,
    Distance.SAME_REGION: 0.12,
    Distance.OTHER_REGION: 0.2,
}
# An answer is expected in time below the first share of the objective, late past the
# second.
SURE_SHARE = 0.7
LATE_SHARE = 1.1
# Weight of plain latency beside the chance to be late, for one objective's length.
LATENCY_COST = 0.05
# Upstreams that may serve one object: in the own region, and in all others together.
# An upstream keeps few objects warm, so each is to see few.
NEAR_CANDIDATES = 2
FAR_CANDIDATES = 1
# Objects that an upstream keeps warm. Where a region has more for each of its
# upstreams, every object has one upstream there.
WARM_OBJECTS = 12


@dataclass(frozen=True)
class Wanted:
    """What a request needs of an upstream.

    Attributes:
        route: Its route.
        service: The part of the route that serves it.
        key: Its object, if its route is sticky and it names one.
        tried: Upstreams that it must not go to again.
        is_late: Whether its objective can't be met any more.
        leaves: Whether it is one of those that leave the region.
    """

    route: Route
    service: ServiceId
    key: AffinityKey | None
    tried: frozenset[UpstreamId]
    is_late: bool
    leaves: bool


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
class Full:
    """Every upstream in reach has as many requests as it should."""


@dataclass(frozen=True)
class NoUpstream:
    """No upstream may be used at all."""


Choice = Chosen | Full | NoUpstream
Choose = Callable[[Wanted, float], Choice]


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


def make_expected_cost_chooser(knowledge: RoutingState) -> Choose:
    """Return a choice by expected cost."""

    def choose(wanted: Wanted, now_s: float) -> Choice:
        views = knowledge.views
        view = views.of(wanted.service, now_s)
        groups = _group(knowledge, wanted, view, now_s)
        if not any(groups):
            view = views.refresh(wanted.service, now_s)
            groups = _group(knowledge, wanted, view, now_s)
        for group in groups:
            best = _find_best(knowledge, wanted, group, now_s)
            if best is not None:
                return best
        cold = _take_cold(knowledge, wanted, view, now_s)
        if cold is not None:
            return cold
        ranking = views.rank(wanted.service, wanted.key)
        every = (*ranking.near, *ranking.far)
        is_any = any(_is_allowed(knowledge.location, wanted, each) for each in every)
        return Full() if is_any else NoUpstream()

    return choose


def _group(
    knowledge: RoutingState, wanted: Wanted, view: ServiceView, now_s: float
) -> tuple[list[UpstreamRecord], ...]:
    """Part upstreams into those to look at first and those to look at then."""
    ranking = knowledge.views.rank(wanted.service, wanted.key)

    def is_used(record: UpstreamRecord) -> bool:
        is_allowed = _is_allowed(knowledge.location, wanted, record)
        return is_allowed and view.uses(record, now_s)

    def takes(record: UpstreamRecord) -> bool:
        return not record.is_cold(now_s) and is_used(record)

    def first(records: Iterable[UpstreamRecord], most: int) -> list[UpstreamRecord]:
        taking = filter(takes, records)
        return list(taking if wanted.key is None else islice(taking, most))

    most = _near_candidates(knowledge, wanted, view.near_warm)
    near = first(ranking.near, most)
    if most == NEAR_CANDIDATES and _wants_copy(knowledge, wanted):
        own = (each for each in ranking.near if _is_own(knowledge.location, each))
        near += [each for each in first(own, 1) if each not in near]
    if wanted.leaves:
        return (first(ranking.far, FAR_CANDIDATES), near)
    if knowledge.spill_shares.has_overflow():
        return (near, first(ranking.far, FAR_CANDIDATES))
    if not near and not any(is_used(each) for each in ranking.near):
        return (first(ranking.far, FAR_CANDIDATES),)
    return (near,)


def _is_allowed(place: Location, wanted: Wanted, record: UpstreamRecord) -> bool:
    if record.registration.upstream in wanted.tried:
        return False
    homes = wanted.route.home_regions
    return not homes or place.region_of(record.registration.zone) in homes


def _is_own(place: Location, record: UpstreamRecord) -> bool:
    return record.registration.zone == place.zone


def _near_candidates(knowledge: RoutingState, wanted: Wanted, upstreams: int) -> int:
    """Return how many of a region's upstreams share one object."""
    service = wanted.service
    staying = knowledge.active_objects.count(service) * (
        1 - knowledge.spill_shares.share(service)
    )
    if NEAR_CANDIDATES * staying <= WARM_OBJECTS * upstreams:
        return NEAR_CANDIDATES
    return 1


def _wants_copy(knowledge: RoutingState, wanted: Wanted) -> bool:
    """Return whether the object is to have an owner in the own zone besides."""
    if wanted.key is None:
        return False
    return knowledge.transfers.wants_copy(wanted.service, wanted.key)


def _find_best(
    knowledge: RoutingState,
    wanted: Wanted,
    records: list[UpstreamRecord],
    now_s: float,
) -> Chosen | None:
    owners = _find_owners(knowledge, wanted, records)
    best: Chosen | None = None
    best_cost = 0.0
    for record in records:
        chosen = _judge(knowledge, wanted, record, owners, now_s)
        if chosen is None:
            continue
        cost = _cost(knowledge.location, wanted, chosen)
        if best is None or cost < best_cost:
            best, best_cost = chosen, cost
    return best


def _find_owners(
    knowledge: RoutingState, wanted: Wanted, records: list[UpstreamRecord]
) -> frozenset[UpstreamId]:
    """Return an object's owner, and the one in the own zone if it wants one.

    Args:
        knowledge: What a choice is made from.
        wanted: The request.
        records: Upstreams in the object's order.
    """
    if wanted.key is None or not records:
        return frozenset()
    owners = records[:1]
    if _wants_copy(knowledge, wanted):
        owners += [each for each in records if _is_own(knowledge.location, each)][:1]
    return frozenset(owner.registration.upstream for owner in owners)


def _judge(
    knowledge: RoutingState,
    wanted: Wanted,
    record: UpstreamRecord,
    owners: frozenset[UpstreamId],
    now_s: float,
) -> Chosen | None:
    load = record.load(now_s)
    slots = record.registration.slots
    is_known_warm = wanted.key is not None and record.is_warm(wanted.key, now_s)
    is_warm = is_known_warm or record.registration.upstream in owners
    work_s = knowledge.service_times.expect_s(wanted.service, wanted.route, is_warm)
    usual_s = knowledge.service_times.expect_s(wanted.service, wanted.route, True)
    waits = max(0.0, load - slots + 1)
    slowness = max(1.0, record.slowness(now_s))
    expected_s = (work_s + waits * usual_s / slots) * slowness
    if load > slots - FREE_MARGIN:
        # No free slot: worth it only where the answer is still expected in time.
        is_in_time = expected_s <= wanted.route.target_latency_s and not wanted.is_late
        if not is_in_time or load >= MOST_HELD * slots:
            return None
    age_s = record.report_age_s(now_s)
    return Chosen(record, is_warm, is_known_warm, expected_s, load, age_s)


def _cost(place: Location, wanted: Wanted, chosen: Chosen) -> float:
    distance = place.distance_to(chosen.record.registration.zone)
    objective_s = wanted.route.target_latency_s
    share = (chosen.expected_s + ROUND_TRIP_S[distance]) / objective_s
    late = (share - SURE_SHARE) / (LATE_SHARE - SURE_SHARE)
    chance = min(1.0, max(0.0, late))
    return chance + CROSSING_COST[distance] + LATENCY_COST * share


def _take_cold(
    knowledge: RoutingState,
    wanted: Wanted,
    view: ServiceView,
    now_s: float,
) -> Chosen | None:
    """Use a cold upstream of this zone, within this instance's part of its bound."""
    for record in view.own_cold:
        is_used = view.uses(record, now_s) and record.is_cold(now_s)
        if not is_used or not _is_allowed(knowledge.location, wanted, record):
            continue
        load = record.load(now_s)
        if load >= record.registration.slots:
            continue
        if record.take_cold_send(knowledge.cold_per_s(record), now_s):
            work_s = knowledge.service_times.expect_s(
                wanted.service, wanted.route, False
            )
            age_s = record.report_age_s(now_s)
            return Chosen(record, False, False, 2 * work_s, load, age_s)
    return None
