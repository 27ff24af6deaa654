"""The settings that an entry instance uses now."""

from collections.abc import Callable
from dataclasses import dataclass

from returns.result import Failure

from tanagercourse.core.ids import NO_VERSION, ObjectPath, ServiceId, TeamId, Version
from tanagercourse.core.problems import InvalidField
from tanagercourse.entry.blocks import ActiveBlockMaps
from tanagercourse.platform.store import ObjectState, StoredObject
from tanagercourse.settings.check import FLEET_PATH, decode_fleet, decode_service
from tanagercourse.settings.paths import TEAMS_PREFIX, is_blocks_path, team_of
from tanagercourse.settings.schema import FleetSettings, ServiceSettings


@dataclass(frozen=True)
class ActiveService:
    """Active settings of a service and their version."""

    settings: ServiceSettings
    version: Version


OnServiceApplied = Callable[[ActiveService], None]


class ActiveSettings:
    """The newest version received of each settings object.

    An older version never replaces a newer one.

    Args:
        on_service_applied: Called after new settings of a service were applied.

    Attributes:
        version: The newest version applied, over all objects.
        fleet: Settings of the fleet.
        blocks: Client block maps of the teams.
    """

    def __init__(self, on_service_applied: OnServiceApplied | None = None) -> None:
        self._on_service_applied = on_service_applied
        self.version = NO_VERSION
        self.fleet = FleetSettings()
        self.blocks = ActiveBlockMaps()
        self._versions: dict[ObjectPath, Version] = {}
        self._services: dict[ServiceId, ActiveService] = {}
        self._service_by_path: dict[ObjectPath, ServiceId] = {}

    def service(self, service: ServiceId) -> ActiveService | None:
        """Return a service's settings, or None if no team defines the service."""
        return self._services.get(service)

    def team_of_service(self, service: ServiceId) -> TeamId | None:
        """Return the team that defines a service, or None if no team does."""
        paths = (
            path
            for path, service_id in self._service_by_path.items()
            if service_id == service
        )
        return next((team_of(path) for path in paths), None)

    def services(self) -> tuple[ActiveService, ...]:
        """Return the settings of all services."""
        return tuple(self._services.values())

    def apply(self, stored: StoredObject) -> InvalidField | None:
        """Apply a settings object unless the same or a newer version is active.

        Args:
            stored: The object, or the marker of its deletion.

        Returns:
            The problem of an object that can't be applied; the previous settings stay
            active.
        """
        if stored.version <= self._versions.get(stored.path, NO_VERSION):
            return None
        self._versions[stored.path] = stored.version
        self.version = max(self.version, stored.version)
        if is_blocks_path(stored.path):
            return self.blocks.apply(stored)
        if stored.state is ObjectState.DELETED:
            self._remove(stored.path)
            return None
        if stored.path == FLEET_PATH:
            return self._apply_fleet(stored)
        if stored.path.startswith(TEAMS_PREFIX) and "/services/" in stored.path:
            return self._apply_service(stored)
        return None

    def _remove(self, path: ObjectPath) -> None:
        service = self._service_by_path.pop(path, None)
        if service is not None:
            self._services.pop(service, None)

    def _apply_fleet(self, stored: StoredObject) -> InvalidField | None:
        decoded = decode_fleet(stored.path, stored.value)
        if isinstance(decoded, Failure):
            invalid: InvalidField = decoded.failure()
            return invalid
        self.fleet = decoded.unwrap()
        return None

    def _apply_service(self, stored: StoredObject) -> InvalidField | None:
        decoded = decode_service(stored.path, stored.value)
        if isinstance(decoded, Failure):
            invalid: InvalidField = decoded.failure()
            return invalid
        settings = decoded.unwrap()
        owner_path = next(
            (
                path
                for path, service_id in self._service_by_path.items()
                if service_id == settings.service
            ),
            stored.path,
        )
        if owner_path != stored.path:
            allowed = f"a service that {owner_path} does not define"
            return InvalidField(stored.path, "service", settings.service, allowed)
        self._service_by_path[stored.path] = settings.service_id
        active_service = ActiveService(settings, stored.version)
        self._services[settings.service_id] = active_service
        if self._on_service_applied is not None:
            self._on_service_applied(active_service)
        return None
