"""Read from the platform what the entry instances would decide by now."""

from collections.abc import Mapping
from dataclasses import dataclass

from returns.result import Failure, Result, Success

from tanagercourse.core.ids import ObjectPath, ServiceId, SiteId, ZoneId
from tanagercourse.core.problems import InvalidField
from tanagercourse.operators.services import OwnedSettings, instances_in, services_in
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
    """A team's map from client blocks to sites, and each site's zone."""

    blocks: BlockMap
    zones: Mapping[SiteId, ZoneId]


@dataclass(frozen=True)
class FleetNow:
    """What decisions about one service rest on.

    Attributes:
        settings: Zones and regions.
        service: The service's settings, None when no team has any.
        clients: Its team's map of client blocks, None when there is none.
        instances: Entry instances, live and leaving.
        machines: All machines that the platform lists, upstreams among them.
        objects: All settings that are there, the fleet's and the teams'.
    """

    settings: FleetSettings
    service: OwnedSettings | None
    clients: ClientMap | None
    instances: tuple[Machine, ...]
    machines: tuple[Machine, ...]
    objects: tuple[StoredObject, ...]

    def site_of(self, address: Address) -> SiteId | None:
        """Return the site of an address's block, None when no block holds it."""
        return self.clients.blocks.site_of(address) if self.clients else None

    def zone_of(self, address: Address) -> ZoneId | None:
        """Return the zone that serves an address by its block."""
        site = self.site_of(address)
        return self.clients.zones.get(site) if self.clients and site else None


async def read_fleet(
    store: Store, service: ServiceId
) -> Result[FleetNow, InvalidField | StoreProblem]:
    """Read what decisions about a service rest on."""
    read = await _read_settings(store)
    if isinstance(read, Failure):
        return read
    settings, fleet = read.unwrap()
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
    services = services_in(present.values())
    owned = next((each for each in services if each.settings.service == service), None)
    return Success(
        FleetNow(
            settings,
            owned,
            _find_clients(present, owned),
            instances_in(machines.unwrap(), services),
            machines.unwrap(),
            (*fleet, *present.values()),
        )
    )


async def _read_settings(
    store: Store,
) -> Result[
    tuple[FleetSettings, tuple[StoredObject, ...]], InvalidField | StoreProblem
]:
    """Return the fleet's settings and their object, if there is one."""
    found = await store.read(FLEET_PATH)
    if isinstance(found, Failure):
        problem = found.failure()
        if isinstance(problem, NotFound):
            return Success((FleetSettings(), ()))
        return Failure(problem)
    stored = found.unwrap()
    return decode_fleet(FLEET_PATH, stored.value).map(lambda fleet: (fleet, (stored,)))


def _find_clients(
    present: Mapping[ObjectPath, StoredObject], owned: OwnedSettings | None
) -> ClientMap | None:
    """Return the service's team's map, None when it has none or it is not whole."""
    team = team_of(owned.path) if owned else None
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
