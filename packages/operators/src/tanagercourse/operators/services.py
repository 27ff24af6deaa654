"""Extract services and entry instances from the platform's lists."""

from collections.abc import Iterable
from dataclasses import dataclass

from returns.result import Failure

from tanagercourse.core.ids import ObjectPath, Version
from tanagercourse.platform.store import Machine, StoredObject
from tanagercourse.settings.check import decode_service
from tanagercourse.settings.schema import ServiceSettings


@dataclass(frozen=True)
class StoredServiceSettings:
    """A service's settings as stored on the platform.

    Attributes:
        path: The path of the settings.
        version: The version of the object at that path.
        settings: The decoded settings.
    """

    path: ObjectPath
    version: Version
    settings: ServiceSettings


def decode_services(
    objects: Iterable[StoredObject],
) -> tuple[StoredServiceSettings, ...]:
    """Return the settings of every service among objects, skipping undecodable ones."""
    services = []
    for stored in objects:
        decoded = decode_service(stored.path, stored.value)
        if not isinstance(decoded, Failure):
            services.append(
                StoredServiceSettings(stored.path, stored.version, decoded.unwrap())
            )
    return tuple(services)


def select_entry_instances(
    machines: Iterable[Machine], services: Iterable[StoredServiceSettings]
) -> tuple[Machine, ...]:
    """Return the entry instances: machines that are not an upstream of any service."""
    upstream_ids = {
        upstream.id for service in services for upstream in service.settings.upstreams
    }
    return tuple(machine for machine in machines if machine.id not in upstream_ids)
