"""Choose the upstream that serves a request, or say that it has to wait.

The choice is by expected cost: how likely the answer misses its objective, given what
is known of each upstream's load, whether it is warm for the object, and how far it is,
and what crossing zones and regions costs. In each region the owner of an object is
taken for warm, since every instance sends the object there. An object that is carried
between zones often gets an owner in this instance's own zone besides.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from heapq import nlargest

from tanagercourse.core.ids import AffinityKey, RegionId, ServiceId, UpstreamId
from tanagercourse.routing.affinity import weigh
from tanagercourse.routing.configuration import Route
from tanagercourse.routing.fleet import FREE_MARGIN, Fleet, Reach, UpstreamRecord
from tanagercourse.routing.learned import Crossings, Objects, UsualWork
from tanagercourse.routing.places import Distance, Place
from tanagercourse.routing.spilling import RegionView, SpillShares

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
# Requests that an upstream may hold, as a multiple of its slots.
MOST_HELD = 2.0
# Where fewer than this share of a service's upstreams don't rest, all are used.
MOST_RESTING = 0.5
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
class Knowledge:
    """What a choice is made from.

    Attributes:
        place: Where this instance stands.
        fleet: The upstreams.
        work: How long they usually work.
        crossings: How often objects were carried to another zone.
        objects: How many objects callers ask for.
        spill: Decides which requests leave the region.
        cold_per_s: Sends a second that this instance may make to a cold upstream.
    """

    place: Place
    fleet: Fleet
    work: UsualWork
    crossings: Crossings
    objects: Objects
    spill: SpillShares
    cold_per_s: Callable[[UpstreamRecord], float]


def by_expected_cost(knowledge: Knowledge) -> Choose:
    """Return a choice by expected cost."""

    def choose(wanted: Wanted, now_s: float) -> Choice:
        allowed = _allowed(knowledge, wanted)
        usable = _usable(allowed, now_s)
        warm = [record for record in usable if not record.is_cold(now_s)]
        for group in _group(knowledge, wanted, usable, warm):
            best = _find_best(knowledge, wanted, group, now_s)
            if best is not None:
                return best
        cold = _take_cold(knowledge, wanted, usable, now_s)
        if cold is not None:
            return cold
        return Full() if allowed else NoUpstream()

    return choose


def view_region(
    place: Place, fleet: Fleet, service: ServiceId, now_s: float
) -> RegionView:
    """Return how a service's upstreams are spread and how busy the near ones are."""
    home_slots = all_slots = 0
    held = far_held = 0.0
    regions = set()
    for record in fleet.serving(service):
        if _is_left_out(record, now_s) or record.is_missing or record.is_cold(now_s):
            continue
        slots = record.entry.slots
        all_slots += slots
        regions.add(place.region_of(record.entry.zone))
        if _is_near(place, record):
            home_slots += slots
            held += min(record.load(now_s), MOST_HELD * slots)
        else:
            far_held += min(record.load(now_s), MOST_HELD * slots)
    far_slots = all_slots - home_slots
    return RegionView(
        home_slots,
        all_slots,
        len(regions),
        held / home_slots if home_slots else 0.0,
        far_held / far_slots if far_slots else 0.0,
    )


def _find_best(
    knowledge: Knowledge,
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
        cost = _cost(knowledge.place, wanted, chosen)
        if best is None or cost < best_cost:
            best, best_cost = chosen, cost
    return best


def _allowed(knowledge: Knowledge, wanted: Wanted) -> list[UpstreamRecord]:
    homes = wanted.route.home_regions
    return [
        record
        for record in knowledge.fleet.serving(wanted.service)
        if record.entry.upstream not in wanted.tried
        and (not homes or _region_of(knowledge.place, record) in homes)
    ]


def _usable(records: list[UpstreamRecord], now_s: float) -> list[UpstreamRecord]:
    """Leave out what is down or rests, and what lapsed while others are there.

    Where most rest, all fail alike, and each is as good as the others.
    """
    reached = [record for record in records if record.reach is Reach.UP]
    up = [record for record in reached if not record.is_resting(now_s)]
    if len(up) < MOST_RESTING * len(reached):
        up = reached
    return [record for record in up if not record.is_missing] or up


def _region_of(place: Place, record: UpstreamRecord) -> RegionId | None:
    return place.region_of(record.entry.zone)


def _group(
    knowledge: Knowledge,
    wanted: Wanted,
    usable: Iterable[UpstreamRecord],
    warm: list[UpstreamRecord],
) -> tuple[list[UpstreamRecord], ...]:
    """Part upstreams into those to look at first and those to look at then."""
    place = knowledge.place
    near_warm = [each for each in warm if _is_near(place, each)]
    most = _near_candidates(knowledge, wanted, len(near_warm))
    near = _candidates(wanted, near_warm, most)
    far = _candidates(
        wanted, [each for each in warm if not _is_near(place, each)], FAR_CANDIDATES
    )
    has_room = most == NEAR_CANDIDATES
    if has_room and _wants_copy(knowledge, wanted):
        own = [each for each in warm if each.entry.zone == place.zone]
        near += [each for each in _candidates(wanted, own, 1) if each not in near]
    if wanted.leaves:
        return (far, near)
    if knowledge.spill.has_overflow():
        return (near, far)
    if not any(_is_near(place, record) for record in usable):
        return (far,)
    return (near,)


def _near_candidates(knowledge: Knowledge, wanted: Wanted, upstreams: int) -> int:
    """Return how many of a region's upstreams share one object."""
    service = wanted.service
    staying = knowledge.objects.count(service) * (1 - knowledge.spill.share(service))
    if NEAR_CANDIDATES * staying <= WARM_OBJECTS * upstreams:
        return NEAR_CANDIDATES
    return 1


def _wants_copy(knowledge: Knowledge, wanted: Wanted) -> bool:
    """Return whether the object is to have an owner in the own zone besides."""
    if wanted.key is None:
        return False
    return knowledge.crossings.wants_copy(wanted.service, wanted.key)


def _is_near(place: Place, record: UpstreamRecord) -> bool:
    return place.distance_to(record.entry.zone) is not Distance.OTHER_REGION


def _is_left_out(record: UpstreamRecord, now_s: float) -> bool:
    return record.reach is Reach.DOWN or record.is_resting(now_s)


def _candidates(
    wanted: Wanted, records: list[UpstreamRecord], most: int
) -> list[UpstreamRecord]:
    """Return the upstreams among which an object's requests are shared."""
    key = wanted.key
    if key is None or len(records) <= most:
        return records
    return nlargest(most, records, key=lambda each: weigh(each.entry.upstream, key))


def _find_owners(
    knowledge: Knowledge, wanted: Wanted, records: list[UpstreamRecord]
) -> frozenset[UpstreamId]:
    """Return an object's owner, and the one in the own zone if it wants one."""
    key = wanted.key
    if key is None or not records:
        return frozenset()

    def weight(record: UpstreamRecord) -> int:
        return weigh(record.entry.upstream, key)

    owners = [max(records, key=weight)]
    own = [each for each in records if each.entry.zone == knowledge.place.zone]
    if own and _wants_copy(knowledge, wanted):
        owners.append(max(own, key=weight))
    return frozenset(owner.entry.upstream for owner in owners)


def _judge(
    knowledge: Knowledge,
    wanted: Wanted,
    record: UpstreamRecord,
    owners: frozenset[UpstreamId],
    now_s: float,
) -> Chosen | None:
    load = record.load(now_s)
    slots = record.entry.slots
    is_known_warm = wanted.key is not None and record.is_warm(wanted.key, now_s)
    is_warm = is_known_warm or record.entry.upstream in owners
    work_s = knowledge.work.expect_s(wanted.service, wanted.route, is_warm)
    usual_s = knowledge.work.expect_s(wanted.service, wanted.route, True)
    waits = max(0.0, load - slots + 1)
    slowness = max(1.0, record.slowness(now_s))
    expected_s = (work_s + waits * usual_s / slots) * slowness
    if load > slots - FREE_MARGIN:
        # No free slot: worth it only where the answer is still expected in time.
        is_in_time = expected_s <= wanted.route.objective_s and not wanted.is_late
        if not is_in_time or load >= MOST_HELD * slots:
            return None
    age_s = record.report_age_s(now_s)
    return Chosen(record, is_warm, is_known_warm, expected_s, load, age_s)


def _cost(place: Place, wanted: Wanted, chosen: Chosen) -> float:
    distance = place.distance_to(chosen.record.entry.zone)
    objective_s = wanted.route.objective_s
    share = (chosen.expected_s + ROUND_TRIP_S[distance]) / objective_s
    late = (share - SURE_SHARE) / (LATE_SHARE - SURE_SHARE)
    chance = min(1.0, max(0.0, late))
    return chance + CROSSING_COST[distance] + LATENCY_COST * share


def _take_cold(
    knowledge: Knowledge,
    wanted: Wanted,
    usable: Iterable[UpstreamRecord],
    now_s: float,
) -> Chosen | None:
    """Use a cold upstream of this zone, within this instance's part of its bound."""
    for record in usable:
        is_near = knowledge.place.distance_to(record.entry.zone) is Distance.SAME_ZONE
        if not is_near or not record.is_cold(now_s):
            continue
        load = record.load(now_s)
        if load >= record.entry.slots:
            continue
        if record.take_cold_send(knowledge.cold_per_s(record), now_s):
            work_s = knowledge.work.expect_s(wanted.service, wanted.route, False)
            age_s = record.report_age_s(now_s)
            return Chosen(record, False, False, 2 * work_s, load, age_s)
    return None
