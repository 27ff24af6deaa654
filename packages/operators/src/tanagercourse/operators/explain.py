"""Explain how a caller's request would be routed now.

Runs the decision code of the entry instances on the settings and machines that the
platform lists.
"""

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
from tanagercourse.operators.fleet import FleetSnapshot, read_fleet_snapshot
from tanagercourse.operators.services import StoredServiceSettings
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
class RouteQuery:
    """The request whose routing is to be explained.

    Attributes:
        service: The requested service.
        client: The caller's IP address as text.
        zone: The availability zone that the caller reports, None if it reports none.
        deadline_ms: The request's deadline in milliseconds, None for the service's
            default.
    """

    service: ServiceId
    client: str
    zone: ZoneId | None
    deadline_ms: int | None


@dataclass(frozen=True)
class Step:
    """One decision in the routing of a request.

    Attributes:
        question: What is decided.
        answer: The decision.
        reasons: The reasons for it, the most important first.
    """

    question: str
    answer: str
    reasons: tuple[str, ...] = ()


async def explain_request(
    store: Store, query: RouteQuery
) -> Result[tuple[Step, ...], InvalidField | StoreProblem]:
    """Return the decisions made in routing a request, in order.

    Args:
        store: The platform's store.
        query: The request.

    Returns:
        The steps, or why the address is invalid or the platform could not be read.
        An unknown service has one step only; without a live entry instance there is
        no upstream step.
    """
    parsed = parse_address(query.client, "arguments")
    if isinstance(parsed, Failure):
        return parsed
    read = await read_fleet_snapshot(store, query.service)
    if isinstance(read, Failure):
        return read
    fleet = read.unwrap()
    if fleet.service is None:
        return Success((_unknown_service_step(query.service),))
    address = parsed.unwrap()
    location = _locate_caller(fleet, query, address)
    ranked = _rank_instances(fleet, address, location)
    steps = [
        _settings_step(fleet.service),
        _location_step(fleet, query, address, location),
        _instance_step(fleet, address, ranked),
        _admission_step(fleet.service, query),
    ]
    if ranked:
        steps.append(_upstream_step(fleet, fleet.service, ranked[0]))
    return Success(tuple(steps))


def _unknown_service_step(service: ServiceId) -> Step:
    reason = "no team has settings for it; create them with `settings apply`"
    return Step("settings", f"{service} is refused as unknown, not run", (reason,))


def _settings_step(stored_service: StoredServiceSettings) -> Step:
    settings = stored_service.settings
    return Step(
        "settings",
        f"version {stored_service.version} at {stored_service.path}",
        (
            f"rank {settings.rank.value}, {settings.idempotency.value}",
            f"{len(settings.upstreams)} upstreams",
        ),
    )


def _locate_caller(
    fleet: FleetSnapshot, query: RouteQuery, address: Address
) -> CallerLocation:
    regions = _regions_by_zone(fleet)
    reported_zone = query.zone if query.zone in regions else None
    return location_of(regions, reported_zone or fleet.zone_of(address))


def _location_step(
    fleet: FleetSnapshot, query: RouteQuery, address: Address, location: CallerLocation
) -> Step:
    reasons = []
    if query.zone is not None:
        is_listed = query.zone in _regions_by_zone(fleet)
        verdict = "a zone of the fleet" if is_listed else "not a zone of the fleet"
        reasons.append(f"the caller reported zone {query.zone}, {verdict}")
    site = fleet.site_of(address)
    reasons.append(
        f"its client block belongs to site {site}"
        if site
        else "no client block contains its address"
    )
    location_text = (
        f"{location.zone} in {location.region}" if location.zone else "nowhere known"
    )
    return Step("the caller's place", location_text, tuple(reasons))


def _rank_instances(
    fleet: FleetSnapshot, address: Address, location: CallerLocation
) -> tuple[Candidate, ...]:
    """Return the entry instances that a look-up offers, most preferred first."""
    regions = _regions_by_zone(fleet)
    live = [machine for machine in fleet.instances if machine.presence is Presence.LIVE]
    candidates = [_to_candidate(machine, regions) for machine in live]
    return Placement(candidates).candidates_for(location, bucket_of(address.packed))


def _instance_step(
    fleet: FleetSnapshot, address: Address, ranked: Sequence[Candidate]
) -> Step:
    leaving = tuple(
        f"{machine.id} is left out: it is leaving"
        for machine in fleet.instances
        if machine.presence is Presence.LEAVING
    )
    names = ", ".join(f"{candidate.id} ({candidate.zone})" for candidate in ranked)
    reasons = (
        "nearest first: the caller's zone, its region, then other regions",
        f"hash bucket {bucket_of(address.packed)} decides among equally near instances",
        *leaving,
    )
    return Step("entry instances to use, in order", names or "none is live", reasons)


def _admission_step(stored_service: StoredServiceSettings, query: RouteQuery) -> Step:
    settings = stored_service.settings
    deadline_ms = query.deadline_ms or settings.deadline_ms
    now_s = time.monotonic()
    work = Work(
        RequestId("explained"),
        settings.service_id,
        settings.rank,
        settings.idempotency,
        now_s + deadline_ms / MS_PER_S,
    )
    admitted = AdmissionQueue(AdmissionPolicy()).offer(work, now_s)
    reasons = (f"deadline {deadline_ms} ms", "assuming an empty wait queue")
    if isinstance(admitted, Failure):
        return Step("admission", admitted.failure().describe(), reasons)
    return Step("admission", f"admitted as {settings.rank.value}", reasons)


def _upstream_step(
    fleet: FleetSnapshot, stored_service: StoredServiceSettings, instance: Candidate
) -> Step:
    pool = _pool_of(fleet, stored_service, instance)
    views = pool.views()
    unavailable = tuple(
        f"{view.id} is left out: {view.state.value}"
        for view in views
        if not view.is_available
    )
    reasons = (
        f"as chosen by {instance.id} in {instance.zone}, assuming nothing in flight",
        "upstreams of its region; remote ones need a granted share, unknown here",
        "its own share of slots first, nearest first, then other instances' slots",
        *unavailable,
    )
    settings = stored_service.settings
    deadline_s = time.monotonic() + settings.deadline_ms / MS_PER_S
    chosen = pool.choose_upstream(
        Work(
            RequestId("explained"),
            settings.service_id,
            settings.rank,
            settings.idempotency,
            deadline_s,
        )
    )
    if chosen is None:
        return Step("upstream", "none takes new work: refused, not run", reasons)
    zone = next(view.zone for view in views if view.id == chosen)
    return Step("upstream", f"{chosen} ({zone})", reasons)


def _pool_of(
    fleet: FleetSnapshot, stored_service: StoredServiceSettings, instance: Candidate
) -> ServicePool:
    """Return the pool that an idle entry instance would have for the service."""
    active_settings = ActiveSettings()
    for stored in fleet.objects:
        active_settings.apply(stored)
    directory = InstanceDirectory()
    directory.replace(fleet.machines)
    topology = Topology(instance.id, instance.zone, lambda: active_settings, directory)
    random = Random(0)
    choose_slot = prefer_own_slots(random, lambda: True)
    deps = PoolDependencies(
        choose_slot, topology, directory.is_leaving, time.monotonic, random, NO_SPILL
    )
    pool = ServicePool(deps)
    pool.configure(stored_service.settings)
    return pool


def _to_candidate(machine: Machine, regions: Mapping[ZoneId, RegionId]) -> Candidate:
    region = regions.get(machine.zone, RegionId(""))
    return Candidate(InstanceId(machine.id), machine.zone, region)


def _regions_by_zone(fleet: FleetSnapshot) -> Mapping[ZoneId, RegionId]:
    return {ZoneId(zone.zone): zone.region_id for zone in fleet.settings.zones}
