"""Keep the operator's configuration and evacuations in force."""

from collections.abc import Callable

import structlog
from returns.result import Failure, Result

from tanagercourse.core.ids import ObjectPath, ServiceId, ZoneId
from tanagercourse.core.problems import Problem
from tanagercourse.following.watching import Follower
from tanagercourse.platform.store import ObjectState, StoredObject
from tanagercourse.routing.configuration import (
    DEFAULT_LIMITS,
    CallerLimits,
    Configuration,
)
from tanagercourse.routing.fleet import Fleet

Log = structlog.typing.FilteringBoundLogger
DecodeConfiguration = Callable[[StoredObject], Result[Configuration, Problem]]


class ConfigurationInForce:
    """The newest configuration that could be read; an older one never replaces it."""

    def __init__(self, path: ObjectPath, decode: DecodeConfiguration, log: Log) -> None:
        """Create a holder without a configuration.

        Args:
            path: The object that holds it.
            decode: Reads it.
            log: Takes a line for each change.
        """
        self._path = path
        self._decode = decode
        self._log = log
        self._current: Configuration | None = None

    def current(self) -> Configuration | None:
        """Return the configuration in force, None before there is one."""
        return self._current

    def limits(self) -> CallerLimits:
        """Return the limits on callers in force."""
        return self._current.limits if self._current else DEFAULT_LIMITS

    def cold_starts_s(self) -> dict[ServiceId, float]:
        """Return how long upstreams of each service stay cold, in seconds."""
        services = self._current.services.values() if self._current else ()
        return {traits.service: traits.cold_start_s for traits in services}

    def health_path(self, service: ServiceId) -> str:
        """Return the path of a service's health check."""
        traits = self._current.services.get(service) if self._current else None
        return traits.health_path if traits else "/health"

    def follower(self) -> Follower:
        """Return what takes the news of the configuration's prefix."""

        def replace(objects: tuple[StoredObject, ...]) -> None:
            for stored in objects:
                self.take(stored)

        return Follower(replace, self.take)

    def take(self, stored: StoredObject) -> None:
        """Take an object; whatever can't be read leaves the old one in force."""
        if stored.path != self._path:
            return
        if stored.state is ObjectState.DELETED:
            self._log.warning("configuration_deleted", version=stored.version)
            return
        decoded = self._decode(stored)
        if isinstance(decoded, Failure):
            detail = decoded.failure().describe()
            self._log.error("configuration_unreadable", detail=detail)
            return
        configuration = decoded.unwrap()
        if self._current and configuration.version <= self._current.version:
            return
        self._current = configuration
        self._log.info(
            "configuration_in_force",
            configuration=configuration.version,
            version=stored.version,
            hosts=len(configuration.hosts),
        )


def follow_evacuations(
    fleet: Fleet,
    cold_starts_s: Callable[[], dict[ServiceId, float]],
    log: Log,
    clock: Callable[[], float],
) -> Follower:
    """Return what takes the news of zones that are to get nothing.

    Args:
        fleet: Where zones are marked.
        cold_starts_s: How long upstreams of each service stay cold, in seconds.
        log: Takes a line for each change.
        clock: A monotonic clock, in seconds.
    """

    def begin(zone: ZoneId) -> None:
        if zone not in fleet.evacuated:
            fleet.begin_evacuation(zone)
            log.info("zone_evacuated", zone=zone)

    def end(zone: ZoneId) -> None:
        if zone in fleet.evacuated:
            fleet.end_evacuation(zone, cold_starts_s(), clock())
            log.info("zone_taken_back", zone=zone)

    def replace(objects: tuple[StoredObject, ...]) -> None:
        wanted = {_zone_of(stored) for stored in objects}
        for zone in fleet.evacuated - wanted:
            end(zone)
        for zone in wanted:
            begin(zone)

    def change(stored: StoredObject) -> None:
        if stored.state is ObjectState.DELETED:
            end(_zone_of(stored))
        else:
            begin(_zone_of(stored))

    return Follower(replace, change)


def _zone_of(stored: StoredObject) -> ZoneId:
    return ZoneId(stored.path.rsplit("/", 1)[-1])
