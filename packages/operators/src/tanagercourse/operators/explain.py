"""Tell where a caller's request would go now, by the entry instances' decisions."""

import time
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from random import Random

from returns.result import Failure, Result, Success

from tanagercourse.core.ids import (
    InstanceId,
    RegionId,
    RequestId,
    ServiceId,
    ZoneId,
)
from tanagercourse.core.problems import InvalidField
from tanagercourse.core.work import Work
from tanagercourse.entry.active_settings import ActiveSettings
from tanagercourse.entry.instance_directory import InstanceDirectory
from tanagercourse.entry.pool import NO_SPILL, PoolDependencies, ServicePool
from tanagercourse.entry.topology import Topology
from tanagercourse.operators.fleet import FleetNow, read_fleet
from tanagercourse.operators.services import OwnedSettings
from tanagercourse.platform.store import Machine, Presence, Store, StoreProblem
from tanagercourse.steering.admission import AdmissionPolicy, AdmissionQueue
from tanagercourse.steering.blocks import Address, parse_address
from tanagercourse.steering.placement import (
    CallerLocation,
    Candidate,
    Placement,
    bucket_of,
    location_of,
)
from tanagercourse.steering.upstreams import prefer_own_slots

MS_PER_S = 1_000


@dataclass(frozen=True)
class Question:
    """Whose request is to be explained.

    Attributes:
        service: The service it asks for.
        client: The caller's IP number.
        zone: The caller's availability zone, if it tells it.
        deadline_ms: Its deadline, in milliseconds; None takes the service's.
    """

    service: ServiceId
    client: str
    zone: ZoneId | None
    deadline_ms: int | None


@dataclass(frozen=True)
class Step:
    """One decision on the request's way.

    Attributes:
        question: What is decided.
        answer: How it is decided now.
        reasons: Why, in the order in which it counts.
    """

    question: str
    answer: str
    reasons: tuple[str, ...] = ()


async def explain_request(
    store: Store, question: Question
) -> Result[tuple[Step, ...], InvalidField | StoreProblem]:
    """Return each decision on a request's way, as far as the request gets."""
    parsed = parse_address(question.client, "arguments")
    if isinstance(parsed, Failure):
        return parsed
    read = await read_fleet(store, question.service)
    if isinstance(read, Failure):
        return read
    fleet = read.unwrap()
    if fleet.service is None:
        return Success((_unknown_service(question.service),))
    address = parsed.unwrap()
    place = _place(fleet, question, address)
    order = _order(fleet, address, place)
    steps = [
        _settings_step(fleet.service),
        _place_step(fleet, question, address, place),
        _instance_step(fleet, address, order),
        _admission_step(fleet.service, question),
    ]
    if order:
        steps.append(_upstream_step(fleet, fleet.service, order[0]))
    return Success(tuple(steps))


def _unknown_service(service: ServiceId) -> Step:
    reason = "no team has settings for it; create them with `settings apply`"
    return Step("settings", f"{service} is refused as unknown, not run", (reason,))


def _settings_step(owned: OwnedSettings) -> Step:
    settings = owned.settings
    return Step(
        "settings",
        f"version {owned.version} at {owned.path}",
        (
            f"rank {settings.rank.value}, {settings.idempotency.value}",
            f"{len(settings.upstreams)} upstreams",
        ),
    )


def _place(fleet: FleetNow, question: Question, address: Address) -> CallerLocation:
    regions = _regions(fleet)
    told = question.zone if question.zone in regions else None
    return location_of(regions, told or fleet.zone_of(address))


def _place_step(
    fleet: FleetNow, question: Question, address: Address, place: CallerLocation
) -> Step:
    reasons = []
    if question.zone is not None:
        is_known = question.zone in _regions(fleet)
        known = "a zone of the fleet" if is_known else "no zone of the fleet"
        reasons.append(f"the caller told {question.zone}, {known}")
    site = fleet.site_of(address)
    reasons.append(
        f"its block belongs to site {site}" if site else "no client block holds it"
    )
    where = f"{place.zone} in {place.region}" if place.zone else "nowhere known"
    return Step("the caller's place", where, tuple(reasons))


def _order(
    fleet: FleetNow, address: Address, place: CallerLocation
) -> tuple[Candidate, ...]:
    """Return the entry instances that a look-up offers, first choice first."""
    regions = _regions(fleet)
    live = [each for each in fleet.instances if each.presence is Presence.LIVE]
    candidates = [_candidate(machine, regions) for machine in live]
    return Placement(candidates).candidates_for(place, bucket_of(address.packed))


def _instance_step(
    fleet: FleetNow, address: Address, order: Sequence[Candidate]
) -> Step:
    leaving = tuple(
        f"{machine.id} is left out: it is leaving"
        for machine in fleet.instances
        if machine.presence is Presence.LEAVING
    )
    names = ", ".join(f"{each.id} ({each.zone})" for each in order)
    reasons = (
        "nearest first: its zone, its region, the others",
        f"bucket {bucket_of(address.packed)} gives the first among equals",
        *leaving,
    )
    return Step("entry instances to use, in order", names or "none is live", reasons)


def _admission_step(owned: OwnedSettings, question: Question) -> Step:
    settings = owned.settings
    deadline_ms = question.deadline_ms or settings.deadline_ms
    now_s = time.monotonic()
    work = Work(
        RequestId("explained"),
        settings.service_id,
        settings.rank,
        settings.idempotency,
        now_s + deadline_ms / MS_PER_S,
    )
    offered = AdmissionQueue(AdmissionPolicy()).offer(work, now_s)
    reasons = (f"deadline {deadline_ms} ms", "the queue is taken as empty")
    if isinstance(offered, Failure):
        return Step("admission", offered.failure().describe(), reasons)
    return Step("admission", f"admitted as {settings.rank.value}", reasons)


def _upstream_step(fleet: FleetNow, owned: OwnedSettings, first: Candidate) -> Step:
    pool = _pool_of(fleet, owned, first)
    views = pool.views()
    closed = tuple(
        f"{view.id} is left out: {view.state.value}"
        for view in views
        if not view.is_available
    )
    reasons = (
        f"as {first.id} in {first.zone} chooses, with nothing in flight",
        "upstreams of its region; of others only within shares, not known here",
        "its own share of slots first, the nearest, then others' slots",
        *closed,
    )
    settings = owned.settings
    deadline_s = time.monotonic() + settings.deadline_ms / MS_PER_S
    found = pool.choose_upstream(
        Work(
            RequestId("explained"),
            settings.service_id,
            settings.rank,
            settings.idempotency,
            deadline_s,
        )
    )
    if found is None:
        return Step("upstream", "none takes new work: refused, not run", reasons)
    zone = next(view.zone for view in views if view.id == found)
    return Step("upstream", f"{found} ({zone})", reasons)


def _pool_of(fleet: FleetNow, owned: OwnedSettings, first: Candidate) -> ServicePool:
    """Return the service's pool as an entry instance would have it, idle."""
    in_force = ActiveSettings()
    for stored in fleet.objects:
        in_force.apply(stored)
    roster = InstanceDirectory()
    roster.replace(fleet.machines)
    surroundings = Topology(first.id, first.zone, lambda: in_force, roster)
    random = Random(0)
    choose = prefer_own_slots(random, lambda: True)
    parts = PoolDependencies(
        choose, surroundings, roster.is_leaving, time.monotonic, random, NO_SPILL
    )
    pool = ServicePool(parts)
    pool.configure(owned.settings)
    return pool


def _candidate(machine: Machine, regions: Mapping[ZoneId, RegionId]) -> Candidate:
    region = regions.get(machine.zone, RegionId(""))
    return Candidate(InstanceId(machine.id), machine.zone, region)


def _regions(fleet: FleetNow) -> Mapping[ZoneId, RegionId]:
    return {ZoneId(zone.zone): zone.region_id for zone in fleet.settings.zones}
