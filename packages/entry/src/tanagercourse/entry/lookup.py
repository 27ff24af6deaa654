"""Answer look-ups of the entry instances that a caller should use."""

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
# Validity times are shortened by up to this share at random, so that callers do not
# renew their look-ups at the same moment.
VALIDITY_JITTER = 0.2


@dataclass(frozen=True)
class _FleetSnapshot:
    """Live instances and zones, with the responses encoded for them so far.

    Attributes:
        regions_by_zone: The region of each availability zone.
        machines: The live entry instances by id.
        placement: Orders instances for a caller.
        encoded_by_bucket: Encoded lists of instances, by caller location and bucket.
    """

    regions_by_zone: dict[ZoneId, RegionId]
    machines: dict[str, Machine]
    placement: Placement
    encoded_by_bucket: dict[tuple[CallerLocation, Bucket], EncodedInstances]


@dataclass(frozen=True)
class _CallerOrigin:
    """Site and availability zone of an address, if a block map has them."""

    site: SiteId | None
    zone: ZoneId | None


_UNKNOWN_ORIGIN = _CallerOrigin(None, None)


class Lookups:
    """Answers look-ups, with a cached list for each location and bucket of callers.

    Args:
        active_settings: Source of zones, block maps and upstreams.
        directory: Source of the live instances.
        random: Source of the jitter on validity times.
    """

    def __init__(
        self,
        active_settings: ActiveSettings,
        directory: InstanceDirectory,
        random: Random,
    ) -> None:
        self._active_settings = active_settings
        self._directory = directory
        self._random = random
        self._snapshot_key: tuple[int, int] | None = None
        self._snapshot = _FleetSnapshot({}, {}, Placement(()), {})

    def look_up(
        self, client: str, zone: str | None = None, service: str | None = None
    ) -> Result[EncodedLookupResponse, InvalidField]:
        """Return the instances that a caller should use, in order of preference.

        Args:
            client: The caller's IP address.
            zone: The caller's availability zone. If it is None or not a zone of the
                fleet, the zone of the caller's client block is used.
            service: The service that the caller wants to use, whose team's block map
                is searched; None searches the maps of all teams.
        """
        parsed = parse_address(client, "look-up")
        if isinstance(parsed, Failure):
            return parsed
        address = parsed.unwrap()
        snapshot = self._current_snapshot()
        stated_zone = ZoneId(zone) if zone in snapshot.regions_by_zone else None
        caller_zone = stated_zone or self._zone_of(address, service)
        instances = _encoded_instances(snapshot, address, caller_zone)
        response = EncodedLookupResponse(
            instances, self._valid_for_ms(), self._active_settings.version
        )
        return Success(response)

    def look_up_batch(
        self, batch: BatchLookup
    ) -> Result[EncodedBatchResponse, InvalidField]:
        """Return the sites and the instances for a batch of callers."""
        parsed = _parse_all(batch.clients)
        if isinstance(parsed, Failure):
            return parsed
        addresses = parsed.unwrap()
        snapshot = self._current_snapshot()
        origins = _find_origins(self._maps_for(batch.service), addresses)
        list_indices: dict[bytes, int] = {}
        list_of = []
        for address, origin in zip(addresses, origins, strict=True):
            instances = bytes(_encoded_instances(snapshot, address, origin.zone))
            list_of.append(list_indices.setdefault(instances, len(list_indices)))
        return Success(
            EncodedBatchResponse(
                tuple(origin.site for origin in origins),
                tuple(EncodedInstances(instances) for instances in list_indices),
                tuple(list_of),
                self._valid_for_ms(),
                self._active_settings.version,
            )
        )

    def _current_snapshot(self) -> _FleetSnapshot:
        """Return the current snapshot, replaced only when the fleet has changed."""
        snapshot_key = (self._active_settings.version, self._directory.revision)
        if snapshot_key != self._snapshot_key:
            self._snapshot_key = snapshot_key
            snapshot = _make_snapshot(self._active_settings, self._directory)
            if not _is_same_fleet(snapshot, self._snapshot):
                self._snapshot = snapshot
        return self._snapshot

    def _valid_for_ms(self) -> int:
        return int(VALID_FOR_MS * (1.0 - VALIDITY_JITTER * self._random.random()))

    def _maps_for(self, service: str | None) -> tuple[TeamBlocks, ...]:
        """Return the block maps to search: the map of a service's team, or all maps."""
        blocks = self._active_settings.blocks
        if service is None:
            return blocks.teams()
        team = self._active_settings.team_of_service(ServiceId(service))
        team_blocks = blocks.team(team) if team is not None else None
        return (team_blocks,) if team_blocks is not None else ()

    def _zone_of(self, address: Address, service: str | None) -> ZoneId | None:
        zones = (team.zone_of(address) for team in self._maps_for(service))
        return next((zone for zone in zones if zone is not None), None)


def _make_snapshot(
    active_settings: ActiveSettings, directory: InstanceDirectory
) -> _FleetSnapshot:
    regions_by_zone = {
        ZoneId(zone.zone): zone.region_id for zone in active_settings.fleet.zones
    }
    upstreams = {
        upstream.id
        for service in active_settings.services()
        for upstream in service.settings.upstreams
    }
    machines: dict[str, Machine] = {
        machine.id: machine for machine in directory.live_instances(upstreams)
    }
    candidates = [
        _to_candidate(machine, regions_by_zone) for machine in machines.values()
    ]
    return _FleetSnapshot(regions_by_zone, machines, Placement(candidates), {})


def _is_same_fleet(snapshot: _FleetSnapshot, previous: _FleetSnapshot) -> bool:
    return (
        snapshot.regions_by_zone == previous.regions_by_zone
        and snapshot.machines == previous.machines
    )


def _to_candidate(
    machine: Machine, regions_by_zone: dict[ZoneId, RegionId]
) -> Candidate:
    region = regions_by_zone.get(machine.zone, RegionId(""))
    return Candidate(InstanceId(machine.id), machine.zone, region)


def _encoded_instances(
    snapshot: _FleetSnapshot, address: Address, zone: ZoneId | None
) -> EncodedInstances:
    location = location_of(snapshot.regions_by_zone, zone)
    bucket = bucket_of(address.packed)
    encoded_instances = snapshot.encoded_by_bucket.get((location, bucket))
    if encoded_instances is None:
        order = snapshot.placement.candidates_for(location, bucket)
        machines = (snapshot.machines[candidate.id] for candidate in order)
        encoded_instances = encode_instances(
            tuple(_to_offered(machine) for machine in machines)
        )
        snapshot.encoded_by_bucket[location, bucket] = encoded_instances
    return encoded_instances


def _to_offered(machine: Machine) -> OfferedInstance:
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


def _find_origins(
    maps: Sequence[TeamBlocks], addresses: Sequence[Address]
) -> tuple[_CallerOrigin, ...]:
    """Return the origin of each address, from the first map that contains it."""
    origins = [_UNKNOWN_ORIGIN] * len(addresses)
    for team in maps:
        for row, site in enumerate(team.blocks.sites_of(addresses)):
            if site is not None and origins[row] is _UNKNOWN_ORIGIN:
                origins[row] = _CallerOrigin(site, team.zones.get(site))
    return tuple(origins)
