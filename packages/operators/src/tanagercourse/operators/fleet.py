"""Read the settings and machines that decide how a service's requests are routed."""

from collections.abc import Mapping
from dataclasses import dataclass

from returns.result import Failure, Result, Success

from tanagercourse.core.ids import ObjectPath, ServiceId, SiteId, ZoneId
from tanagercourse.core.problems import InvalidField
from tanagercourse.operators.services import (
    StoredServiceSettings,
    decode_services,
    select_entry_instances,
)
from tanagercourse.platform.store import (
    Machine,
    NotFound,
    ObjectState,
    Store,
    StoredObject,
    StoreProblem,
)
from tanagercourse.settings.blocks import decode_manifest, decode_part, join_parts
from tanagercourse.settings.check import FLEET_PATH, decode_fleet
from tanagercourse.settings.paths import (
    TEAMS_PREFIX,
    blocks_part_path,
    blocks_path,
    team_of,
)
from tanagercourse.settings.schema import FleetSettings
from tanagercourse.steering.blocks import Address, BlockMap


@dataclass(frozen=True)
class ClientMap:
    """A team's map from client blocks to sites, and from sites to zones.

    Attributes:
        blocks: The site of each client block.
        zones: The availability zone that serves each site.
    """

    blocks: BlockMap
    zones: Mapping[SiteId, ZoneId]


@dataclass(frozen=True)
class FleetSnapshot:
    """The settings and machines that routing decisions about one service depend on.

    Attributes:
        settings: The fleet's settings: zones and regions.
        service: The service's settings, None if no team has settings for it.
        client_map: The owning team's map of client blocks, None if it is missing,
            incomplete or damaged.
        instances: The entry instances, live and leaving.
        machines: All machines that the platform lists, including upstreams.
        objects: The fleet's settings and all objects of the teams.
    """

    settings: FleetSettings
    service: StoredServiceSettings | None
    client_map: ClientMap | None
    instances: tuple[Machine, ...]
    machines: tuple[Machine, ...]
    objects: tuple[StoredObject, ...]

    def site_of(self, address: Address) -> SiteId | None:
        """Return the site of an address, None if no client block contains it."""
        return self.client_map.blocks.site_of(address) if self.client_map else None

    def zone_of(self, address: Address) -> ZoneId | None:
        """Return the zone that serves an address's site, None if it has no site."""
        site = self.site_of(address)
        return self.client_map.zones.get(site) if self.client_map and site else None


async def read_fleet_snapshot(
    store: Store, service: ServiceId
) -> Result[FleetSnapshot, InvalidField | StoreProblem]:
    """Read the settings and machines that decisions about a service depend on.

    Returns:
        The snapshot, or why the platform could not be read.
    """
    read = await _read_fleet_settings(store)
    if isinstance(read, Failure):
        return read
    settings, fleet_objects = read.unwrap()
    listed = await store.list_all(TEAMS_PREFIX)
    if isinstance(listed, Failure):
        return listed
    machines = await store.list_machines()
    if isinstance(machines, Failure):
        return machines
    present = {
        stored.path: stored
        for stored in listed.unwrap().objects
        if stored.state is ObjectState.PRESENT
    }
    services = decode_services(present.values())
    stored_service = next(
        (stored for stored in services if stored.settings.service == service), None
    )
    return Success(
        FleetSnapshot(
            settings,
            stored_service,
            _find_client_map(present, stored_service),
            select_entry_instances(machines.unwrap(), services),
            machines.unwrap(),
            (*fleet_objects, *present.values()),
        )
    )


async def _read_fleet_settings(
    store: Store,
) -> Result[
    tuple[FleetSettings, tuple[StoredObject, ...]], InvalidField | StoreProblem
]:
    """Return the fleet's settings and the object that holds them, if there is one."""
    found = await store.read(FLEET_PATH)
    if isinstance(found, Failure):
        problem = found.failure()
        if isinstance(problem, NotFound):
            return Success((FleetSettings(), ()))
        return Failure(problem)
    stored = found.unwrap()
    return decode_fleet(FLEET_PATH, stored.value).map(lambda fleet: (fleet, (stored,)))


def _find_client_map(
    present: Mapping[ObjectPath, StoredObject],
    stored_service: StoredServiceSettings | None,
) -> ClientMap | None:
    """Return the owning team's client map, None if missing, incomplete or damaged."""
    team = team_of(stored_service.path) if stored_service else None
    if team is None or blocks_path(team) not in present:
        return None
    path = blocks_path(team)
    manifest = decode_manifest(path, present[path].value)
    if isinstance(manifest, Failure):
        return None
    parts = {}
    for digest in manifest.unwrap().digests():
        stored = present.get(blocks_part_path(team, digest))
        part = decode_part(stored.path, stored.value) if stored else None
        if part is None or isinstance(part, Failure):
            return None
        parts[digest] = part.unwrap()
    joined = join_parts(path, manifest.unwrap(), parts)
    if isinstance(joined, Failure):
        return None
    return ClientMap(joined.unwrap(), manifest.unwrap().zones())
