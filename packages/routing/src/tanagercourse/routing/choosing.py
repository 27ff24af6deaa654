"""Choose the upstream for a request, or report that the request has to wait.

The choice minimizes expected cost: the probability that the response exceeds the
route's target latency, plus the cost of transfers between zones and regions. The
probability depends on each upstream's load and distance, and on whether the upstream is
warm for the object. In each region an object's owner is assumed to be warm, because
every instance sends the object there. An object that is often transferred between zones
gets an additional owner in this instance's zone.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from itertools import islice

from tanagercourse.core.ids import AffinityKey, RegionId, ServiceId, UpstreamId
from tanagercourse.routing.cold_starts import ColdSendLimiter
from tanagercourse.routing.configuration import Route
from tanagercourse.routing.fleet import (
    MAX_LOAD_PER_SLOT,
    Reachability,
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

# Network round-trip time by distance, in seconds.
ROUND_TRIP_S = {
    Distance.SAME_ZONE: 0.0005,
    Distance.SAME_REGION: 0.002,
    Distance.OTHER_REGION: 0.042,
}
# Cost of transferring a request and its response, as a share of the value of a response
# within the target latency.
TRANSFER_COST = {
    Distance.SAME_ZONE: 0.0,
    Distance.SAME_REGION: 0.12,
    Distance.OTHER_REGION: 0.2,
}
# Expected latency as a share of the target latency: up to ON_TIME_SHARE the probability
# of a late response is 0, from LATE_SHARE on it is 1, and it is linear in between.
ON_TIME_SHARE = 0.7
LATE_SHARE = 1.1
# Weight of the ratio of expected to target latency in the cost. A certainly late
# response has weight 1.
LATENCY_WEIGHT = 0.05
# Upstreams that may serve one object, in the local region and in all remote regions
# together. An upstream keeps few objects warm, so each should receive few of them.
MAX_LOCAL_CANDIDATES = 2
MAX_REMOTE_CANDIDATES = 1
# Requests beyond its slots from which an upstream counts as full. Load reports are old,
# and an idle slot costs more than a short wait.
FULL_EXCESS_LOAD = 1.0
# Objects that an upstream keeps warm. If a region has too many objects to keep each of
# them warm on two upstreams, each object is served by one upstream there.
WARM_OBJECTS_PER_UPSTREAM = 12


@dataclass(frozen=True)
class Requirements:
    """Properties of a request that determine which upstreams may serve it.

    Attributes:
        route: The request's route.
        service: The service of the route that serves the request.
        key: Affinity key, or None if the route is not sticky or the request names no
            object.
        tried: Upstreams that must not receive the request again.
        is_late: Whether the route's target latency can no longer be met.
        spills: Whether the request is to be sent to a remote region.
        allowed_regions: Regions that may serve the request; None for any.
    """

    route: Route
    service: ServiceId
    key: AffinityKey | None
    tried: frozenset[UpstreamId]
    is_late: bool
    spills: bool
    allowed_regions: frozenset[RegionId] | None


@dataclass(frozen=True)
class Chosen:
    """The chosen upstream and the estimates behind the choice.

    Attributes:
        record: The chosen upstream.
        is_warm: Whether the upstream was assumed to be warm for the object.
        is_known_warm: Whether the upstream recently served the object for this
            instance.
        expected_s: Expected time until the response without the network round trip, in
            seconds.
        load: Estimated number of requests at the upstream.
        report_age_s: Age of the upstream's last load report, in seconds.
    """

    record: UpstreamRecord
    is_warm: bool
    is_known_warm: bool
    expected_s: float
    load: float
    report_age_s: float


@dataclass(frozen=True)
class AtCapacity:
    """Upstreams can be reached for the request, but none can accept it now."""


@dataclass(frozen=True)
class Paused:
    """Each upstream that could be reached for the request wants none for now.

    Attributes:
        until_s: Time at which the first of them wants requests again, on the monotonic
            clock, in seconds.
    """

    until_s: float


@dataclass(frozen=True)
class NoUpstream:
    """No upstream that is allowed to serve the request can be reached."""


Choice = Chosen | AtCapacity | Paused | NoUpstream
# Called with the current time on the monotonic clock, in seconds.
Chooser = Callable[[Requirements, float], Choice]


@dataclass(frozen=True)
class RoutingState:
    """The state and estimates that a choice is based on.

    Attributes:
        location: This instance's zone and the regions of all zones.
        views: Cached views of each service's upstreams.
        service_times: Service times estimated from earlier responses.
        transfers: Cross-zone transfers of each object.
        active_objects: Objects that callers recently requested.
        spill_shares: Decides which requests spill to remote regions.
        cold_sends: Limits the requests to upstreams in their cold start.
    """

    location: Location
    views: ServiceViewCache
    service_times: ServiceTimes
    transfers: CrossZoneTransfers
    active_objects: ActiveObjects
    spill_shares: SpillShares
    cold_sends: ColdSendLimiter


def make_expected_cost_chooser(state: RoutingState) -> Chooser:
    """Return a function that chooses the upstream with the lowest expected cost."""

    def choose(requirements: Requirements, now_s: float) -> Choice:
        views = state.views
        view = views.get(requirements.service, now_s)
        groups = _group_candidates(state, requirements, view, now_s)
        if not any(groups):
            view = views.refresh(requirements.service, now_s)
            groups = _group_candidates(state, requirements, view, now_s)
        for group in groups:
            best = _find_cheapest(state, requirements, group, now_s)
            if best is not None:
                return best
        cold = _choose_cold(state, requirements, view, now_s)
        if cold is not None:
            return cold
        return _explain_no_choice(state, requirements, now_s)

    return choose


def _explain_no_choice(
    state: RoutingState, requirements: Requirements, now_s: float
) -> AtCapacity | Paused | NoUpstream:
    """Return why no upstream was chosen.

    If upstreams of this region may serve the request, only they count: a request that
    is not to spill does not wait for a free slot elsewhere.
    """
    ranking = state.views.rank(requirements.service, requirements.key)

    def find_reachable(records: Iterable[UpstreamRecord]) -> list[UpstreamRecord]:
        return [
            record
            for record in records
            if record.reachability is Reachability.UP
            and _is_allowed(state.location, requirements, record)
        ]

    reachable = find_reachable(ranking.local) or find_reachable(ranking.remote)
    if not reachable:
        return NoUpstream()
    if any(not record.is_paused(now_s) for record in reachable):
        return AtCapacity()
    return Paused(min(record.statements.paused_until_s for record in reachable))


def _group_candidates(
    state: RoutingState, requirements: Requirements, view: ServiceView, now_s: float
) -> tuple[list[UpstreamRecord], ...]:
    """Return groups of candidates, in the order in which they are to be considered."""
    ranking = state.views.rank(requirements.service, requirements.key)

    def is_usable(record: UpstreamRecord) -> bool:
        is_allowed = _is_allowed(state.location, requirements, record)
        return is_allowed and view.is_usable(record, now_s)

    def is_or_will_be_usable(record: UpstreamRecord) -> bool:
        """Include paused upstreams, or all of their requests would spill at once."""
        if not record.is_paused(now_s):
            return is_usable(record)
        is_up = record.reachability is Reachability.UP
        return is_up and _is_allowed(state.location, requirements, record)

    def is_candidate(record: UpstreamRecord) -> bool:
        return not record.is_cold(now_s) and is_usable(record)

    def select_candidates(
        records: Iterable[UpstreamRecord], max_count: int
    ) -> list[UpstreamRecord]:
        candidates = filter(is_candidate, records)
        return list(
            candidates if requirements.key is None else islice(candidates, max_count)
        )

    max_local = _max_local_candidates(state, requirements, view.local_warm_count)
    local_records = select_candidates(ranking.local, max_local)
    if max_local == MAX_LOCAL_CANDIDATES and _needs_zone_owner(state, requirements):
        own_zone_records = (
            record
            for record in ranking.local
            if _is_in_own_zone(state.location, record)
        )
        local_records += [
            record
            for record in select_candidates(own_zone_records, 1)
            if record not in local_records
        ]

    def select_remote_candidates() -> list[UpstreamRecord]:
        """Prefer regions that are not short of slots themselves."""
        preferred = (
            record
            for record in ranking.remote
            if state.location.region_of(record.registration.zone)
            not in view.region.short_regions
        )
        return select_candidates(preferred, MAX_REMOTE_CANDIDATES) or select_candidates(
            ranking.remote, MAX_REMOTE_CANDIDATES
        )

    if requirements.spills:
        return (select_remote_candidates(), local_records)
    if state.spill_shares.has_overflow_credit():
        return (local_records, select_remote_candidates())
    if not local_records and not any(map(is_or_will_be_usable, ranking.local)):
        return (select_remote_candidates(),)
    return (local_records,)


def _is_allowed(
    location: Location, requirements: Requirements, record: UpstreamRecord
) -> bool:
    if record.registration.upstream in requirements.tried:
        return False
    allowed = requirements.allowed_regions
    return allowed is None or location.region_of(record.registration.zone) in allowed


def _is_in_own_zone(location: Location, record: UpstreamRecord) -> bool:
    return record.registration.zone == location.zone


def _max_local_candidates(
    state: RoutingState, requirements: Requirements, warm_count: int
) -> int:
    """Return how many of the local region's upstreams may serve one object.

    All objects count, also those whose requests spill: under the load that makes them
    spill, the remote regions are often full as well, and then they are served here.
    """
    object_count = state.active_objects.count(requirements.service)
    if MAX_LOCAL_CANDIDATES * object_count <= WARM_OBJECTS_PER_UPSTREAM * warm_count:
        return MAX_LOCAL_CANDIDATES
    return 1


def _needs_zone_owner(state: RoutingState, requirements: Requirements) -> bool:
    """Return whether the object gets an additional owner in this instance's zone."""
    if requirements.key is None:
        return False
    return state.transfers.needs_zone_owner(requirements.service, requirements.key)


def _find_cheapest(
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
    """Return the object's owner and, if it needs one, its owner in this zone.

    Args:
        state: The state and estimates that the choice is based on.
        requirements: Requirements of the request.
        records: Candidates, by descending rendezvous weight for the object.
    """
    if requirements.key is None or not records:
        return frozenset()
    owners = records[:1]
    if _needs_zone_owner(state, requirements):
        owners += [
            record for record in records if _is_in_own_zone(state.location, record)
        ][:1]
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
    queued_time_s = state.service_times.estimate_queued_s(
        requirements.service, requirements.route
    )
    queued = max(0.0, load - slots + 1)
    slowness = max(1.0, record.slowness(now_s))
    expected_s = (service_time_s + queued * queued_time_s / slots) * slowness
    if load >= slots + FULL_EXCESS_LOAD:
        # Queue further at a full upstream only if the response is still expected within
        # the target latency.
        is_in_time = (
            expected_s <= requirements.route.target_latency_s
            and not requirements.is_late
        )
        if not is_in_time or load >= MAX_LOAD_PER_SLOT * slots:
            return None
    report_age_s = record.report_age_s(now_s)
    return Chosen(record, is_warm, is_known_warm, expected_s, load, report_age_s)


def _expected_cost(
    location: Location, requirements: Requirements, chosen: Chosen
) -> float:
    distance = location.distance_to(chosen.record.registration.zone)
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
    """Choose an upstream of this zone in its cold start, at a limited rate."""
    for record in view.own_zone_cold:
        is_usable = view.is_usable(record, now_s) and record.is_cold(now_s)
        if not is_usable or not _is_allowed(state.location, requirements, record):
            continue
        load = record.load(now_s)
        if load >= record.registration.slots:
            continue
        if state.cold_sends.try_send(record, now_s):
            service_time_s = state.service_times.estimate_s(
                requirements.service, requirements.route, False
            )
            report_age_s = record.report_age_s(now_s)
            return Chosen(record, False, False, 2 * service_time_s, load, report_age_s)
    return None
