"""The settings that an entry instance has in force."""

from collections.abc import Callable
from dataclasses import dataclass

from returns.result import Failure

from tanagercourse.core.ids import NO_VERSION, ObjectPath, ServiceId, TeamId, Version
from tanagercourse.core.problems import InvalidField
from tanagercourse.entry.blocks import BlocksInForce
from tanagercourse.platform.store import ObjectState, StoredObject
from tanagercourse.settings.check import FLEET_PATH, decode_fleet, decode_service
from tanagercourse.settings.paths import TEAMS_PREFIX, is_blocks_path, team_of
from tanagercourse.settings.schema import FleetSettings, ServiceSettings


@dataclass(frozen=True)
class ServiceInForce:
    """A service's settings and their version."""

    settings: ServiceSettings
    version: Version


Configure = Callable[[ServiceInForce], None]


class ActiveSettings:
    """The newest settings seen; no object ever goes back to an older version.

    Args:
        configure: Called with each service's settings as they come into force.
    """

    def __init__(self, configure: Configure | None = None) -> None:
        self._configure = configure
        self.version = NO_VERSION
        self.fleet = FleetSettings()
        self.blocks = BlocksInForce()
        self._versions: dict[ObjectPath, Version] = {}
        self._services: dict[ServiceId, ServiceInForce] = {}
        self._paths: dict[ObjectPath, ServiceId] = {}

    def service(self, service: ServiceId) -> ServiceInForce | None:
        """Return a service's settings, or None when no team has set it up."""
        return self._services.get(service)

    def team(self, service: ServiceId) -> TeamId | None:
        """Return the team whose subtree holds a service, or None when none does."""
        paths = (path for path, held in self._paths.items() if held == service)
        return next((team_of(path) for path in paths), None)

    def services(self) -> tuple[ServiceInForce, ...]:
        """Return every service's settings."""
        return tuple(self._services.values())

    def apply(self, stored: StoredObject) -> InvalidField | None:
        """Put one object in force unless a newer version of it already is.

        Args:
            stored: The object, or the marker of its deletion.

        Returns:
            What is wrong with it, when it can't be read; the older one stays.
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
        service = self._paths.pop(path, None)
        if service is not None:
            self._services.pop(service, None)

    def _apply_fleet(self, stored: StoredObject) -> InvalidField | None:
        decoded = decode_fleet(stored.path, stored.value)
        if isinstance(decoded, Failure):
            refused: InvalidField = decoded.failure()
            return refused
        self.fleet = decoded.unwrap()
        return None

    def _apply_service(self, stored: StoredObject) -> InvalidField | None:
        decoded = decode_service(stored.path, stored.value)
        if isinstance(decoded, Failure):
            refused: InvalidField = decoded.failure()
            return refused
        settings = decoded.unwrap()
        holder = next(
            (path for path, held in self._paths.items() if held == settings.service),
            stored.path,
        )
        if holder != stored.path:
            allowed = f"a service that {holder} does not hold"
            return InvalidField(stored.path, "service", settings.service, allowed)
        self._paths[stored.path] = settings.service_id
        in_force = ServiceInForce(settings, stored.version)
        self._services[settings.service_id] = in_force
        if self._configure is not None:
            self._configure(in_force)
        return None
