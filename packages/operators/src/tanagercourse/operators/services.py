"""Tell services and entry instances apart in what the platform lists."""

from collections.abc import Iterable
from dataclasses import dataclass

from returns.result import Failure

from tanagercourse.core.ids import ObjectPath, Version
from tanagercourse.platform.store import Machine, StoredObject
from tanagercourse.settings.check import decode_service
from tanagercourse.settings.schema import ServiceSettings


@dataclass(frozen=True)
class StoredServiceSettings:
    """A service's settings, where they stand, and their version."""

    path: ObjectPath
    version: Version
    settings: ServiceSettings


def decode_services(
    objects: Iterable[StoredObject],
) -> tuple[StoredServiceSettings, ...]:
    """Return every service among objects whose settings can be read."""
    found = []
    for stored in objects:
        decoded = decode_service(stored.path, stored.value)
        if not isinstance(decoded, Failure):
            found.append(
                StoredServiceSettings(stored.path, stored.version, decoded.unwrap())
            )
    return tuple(found)


def select_entry_instances(
    machines: Iterable[Machine], services: Iterable[StoredServiceSettings]
) -> tuple[Machine, ...]:
    """Return the machines that are no upstream of any service: entry instances."""
    upstreams = {u.id for each in services for u in each.settings.upstreams}
    return tuple(each for each in machines if each.id not in upstreams)
