"""Answer look-ups: which entry instances a caller is to use."""

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

from returns.result import Failure, Result, Success

from tanagercourse.core.ids import InstanceId, RegionId, ServiceId, SiteId, ZoneId
from tanagercourse.core.problems import InvalidField
from tanagercourse.entry.active_settings import ActiveSettings
from tanagercourse.entry.blocks import TeamBlocks
from tanagercourse.entry.instance_directory import InstanceDirectory
from tanagercourse.platform.store import Machine
from tanagercourse.steering.blocks import Address, parse_address
from tanagercourse.steering.placement import (
    Bucket,
    CallerLocation,
    Candidate,
    Placement,
    bucket_of,
    location_of,
)
from tanagercourse.wire.lookups import (
    BatchLookup,
    EncodedBatchResponse,
    EncodedInstances,
    EncodedLookupResponse,
    OfferedInstance,
    encode_instances,
)

VALID_FOR_MS = 10_000
# Renewals spread over this share of the validity time, so that none come at once.
VALID_FOR_SPREAD = 0.2


@dataclass(frozen=True)
class _Offer:
    """What answers are made of while the fleet stays as it is."""

    regions: dict[ZoneId, RegionId]
    machines: dict[str, Machine]
    placement: Placement
    encoded: dict[tuple[CallerLocation, Bucket], EncodedInstances]


@dataclass(frozen=True)
class _Found:
    """Where an address belongs, as far as a map tells."""

    site: SiteId | None
    zone: ZoneId | None


_NOT_FOUND = _Found(None, None)


class Lookups:
    """Answers to look-ups, made once for each place and bucket of callers."""

    def __init__(
        self, in_force: ActiveSettings, roster: InstanceDirectory, random: Random
    ) -> None:
        self._in_force = in_force
        self._roster = roster
        self._random = random
        self._seen: tuple[int, int] | None = None
        self._offer = _Offer({}, {}, Placement(()), {})

    def answer(
        self, client: str, zone: str | None = None, service: str | None = None
    ) -> Result[EncodedLookupResponse, InvalidField]:
        """Return the instances that a caller is to use, in order.

        Args:
            client: The caller's address.
            zone: Its availability zone, if it knows it; else its block's is used.
            service: The service it is after, whose team's blocks are used.
        """
        parsed = parse_address(client, "look-up")
        if isinstance(parsed, Failure):
            return parsed
        address = parsed.unwrap()
        offer = self._current_offer()
        known = ZoneId(zone) if zone in offer.regions else None
        caller_zone = known or self._zone_of(address, service)
        instances = _instances(offer, address, caller_zone)
        answer = EncodedLookupResponse(
            instances, self._valid_for_ms(), self._in_force.version
        )
        return Success(answer)

    def answer_batch(
        self, batch: BatchLookup
    ) -> Result[EncodedBatchResponse, InvalidField]:
        """Return the site and the instances of each of many callers."""
        parsed = _parse_all(batch.clients)
        if isinstance(parsed, Failure):
            return parsed
        addresses = parsed.unwrap()
        offer = self._current_offer()
        found = _find_sites(self._maps_for(batch.service), addresses)
        lists: dict[bytes, int] = {}
        list_of = []
        for address, place in zip(addresses, found, strict=True):
            instances = bytes(_instances(offer, address, place.zone))
            list_of.append(lists.setdefault(instances, len(lists)))
        return Success(
            EncodedBatchResponse(
                tuple(place.site for place in found),
                tuple(EncodedInstances(instances) for instances in lists),
                tuple(list_of),
                self._valid_for_ms(),
                self._in_force.version,
            )
        )

    def _current_offer(self) -> _Offer:
        """Return what answers are made of, made anew only when the fleet changed."""
        seen = (self._in_force.version, self._roster.revision)
        if seen != self._seen:
            self._seen = seen
            offer = _make_offer(self._in_force, self._roster)
            if not _is_alike(offer, self._offer):
                self._offer = offer
        return self._offer

    def _valid_for_ms(self) -> int:
        return int(VALID_FOR_MS * (1.0 - VALID_FOR_SPREAD * self._random.random()))

    def _maps_for(self, service: str | None) -> tuple[TeamBlocks, ...]:
        """Return the maps to ask in turn: the service's team's, or every team's."""
        blocks = self._in_force.blocks
        if service is None:
            return blocks.teams()
        team = self._in_force.team(ServiceId(service))
        found = blocks.team(team) if team is not None else None
        return (found,) if found is not None else ()

    def _zone_of(self, address: Address, service: str | None) -> ZoneId | None:
        zones = (team.zone_of(address) for team in self._maps_for(service))
        return next((zone for zone in zones if zone is not None), None)


def _make_offer(in_force: ActiveSettings, roster: InstanceDirectory) -> _Offer:
    regions = {ZoneId(zone.zone): zone.region_id for zone in in_force.fleet.zones}
    upstreams = {
        upstream.id
        for service in in_force.services()
        for upstream in service.settings.upstreams
    }
    machines: dict[str, Machine] = {
        machine.id: machine for machine in roster.live_instances(upstreams)
    }
    candidates = [_to_candidate(machine, regions) for machine in machines.values()]
    return _Offer(regions, machines, Placement(candidates), {})


def _is_alike(one: _Offer, other: _Offer) -> bool:
    return one.regions == other.regions and one.machines == other.machines


def _to_candidate(machine: Machine, regions: dict[ZoneId, RegionId]) -> Candidate:
    region = regions.get(machine.zone, RegionId(""))
    return Candidate(InstanceId(machine.id), machine.zone, region)


def _instances(
    offer: _Offer, address: Address, zone: ZoneId | None
) -> EncodedInstances:
    place = location_of(offer.regions, zone)
    bucket = bucket_of(address.packed)
    encoded = offer.encoded.get((place, bucket))
    if encoded is None:
        order = offer.placement.candidates_for(place, bucket)
        machines = (offer.machines[candidate.id] for candidate in order)
        encoded = encode_instances(tuple(_offered(machine) for machine in machines))
        offer.encoded[place, bucket] = encoded
    return encoded


def _offered(machine: Machine) -> OfferedInstance:
    url = f"http://{machine.host}:{machine.port}"
    return OfferedInstance(machine.id, url, machine.zone)


def _parse_all(clients: Sequence[str]) -> Result[tuple[Address, ...], InvalidField]:
    addresses = []
    for row, client in enumerate(clients):
        parsed = parse_address(client, "batch look-up", f"clients[{row}]")
        if isinstance(parsed, Failure):
            return parsed
        addresses.append(parsed.unwrap())
    return Success(tuple(addresses))


def _find_sites(
    maps: Sequence[TeamBlocks], addresses: Sequence[Address]
) -> tuple[_Found, ...]:
    """Return each address's site in the first map that has one."""
    found = [_NOT_FOUND] * len(addresses)
    for team in maps:
        for row, site in enumerate(team.blocks.sites_of(addresses)):
            if site is not None and found[row] is _NOT_FOUND:
                found[row] = _Found(site, team.zones.get(site))
    return tuple(found)
