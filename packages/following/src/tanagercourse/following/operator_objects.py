"""Apply the operator's configuration and zone evacuations."""

from collections.abc import Callable

import structlog
from returns.result import Failure, Result

from tanagercourse.core.ids import ObjectPath, ServiceId, ZoneId
from tanagercourse.core.problems import Problem
from tanagercourse.following.watching import ObjectHandlers
from tanagercourse.platform.store import ObjectState, StoredObject
from tanagercourse.routing.configuration import (
    DEFAULT_LIMITS,
    CallerLimits,
    Configuration,
)
from tanagercourse.routing.fleet import Fleet

Log = structlog.typing.FilteringBoundLogger
DecodeConfiguration = Callable[[StoredObject], Result[Configuration, Problem]]


class ActiveConfiguration:
    """The newest valid configuration; an older version never replaces it."""

    def __init__(self, path: ObjectPath, decode: DecodeConfiguration, log: Log) -> None:
        """Start without a configuration.

        Args:
            path: Path of the object that holds the configuration.
            decode: Decodes that object.
            log: Logger for changes of the configuration.
        """
        self._path = path
        self._decode = decode
        self._log = log
        self._current: Configuration | None = None

    def current(self) -> Configuration | None:
        """Return the active configuration, or None before the first one is read."""
        return self._current

    def limits(self) -> CallerLimits:
        """Return the active limits on callers' requests and connections."""
        return self._current.limits if self._current else DEFAULT_LIMITS

    def cold_starts_s(self) -> dict[ServiceId, float]:
        """Return the cold start duration of each service's upstreams, in seconds."""
        services = self._current.services.values() if self._current else ()
        return {traits.service: traits.cold_start_s for traits in services}

    def cold_requests_per_s(self, service: ServiceId) -> float:
        """Return the maximum rate of requests to a cold upstream, 0 if none is set."""
        traits = self._current.services.get(service) if self._current else None
        return max(0.0, traits.cold_per_s) if traits else 0.0

    def health_path(self, service: ServiceId) -> str:
        """Return the path of the health check of a service's upstreams."""
        traits = self._current.services.get(service) if self._current else None
        return traits.health_path if traits else "/health"

    def handlers(self) -> ObjectHandlers:
        """Return the handlers for the configuration's prefix."""

        def apply_listing(objects: tuple[StoredObject, ...]) -> None:
            for stored in objects:
                self.apply(stored)

        return ObjectHandlers(apply_listing, self.apply)

    def apply(self, stored: StoredObject) -> None:
        """Apply a changed object; only log it if it is deleted or invalid."""
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
            "configuration_applied",
            configuration=configuration.version,
            version=stored.version,
            hosts=len(configuration.hosts),
        )


def make_evacuation_handlers(
    fleet: Fleet,
    cold_starts_s: Callable[[], dict[ServiceId, float]],
    log: Log,
    clock: Callable[[], float],
) -> ObjectHandlers:
    """Return the handlers for the objects that name evacuated zones.

    Args:
        fleet: The fleet in which evacuated zones are marked.
        cold_starts_s: Returns the cold start duration of each service's upstreams, in
            seconds.
        log: Logger for the start and the end of evacuations.
        clock: A monotonic clock, in seconds.
    """

    def begin_evacuation_of(zone: ZoneId) -> None:
        if zone not in fleet.evacuated:
            fleet.begin_evacuation(zone)
            log.info("zone_evacuated", zone=zone)

    def end_evacuation_of(zone: ZoneId) -> None:
        if zone in fleet.evacuated:
            fleet.end_evacuation(zone, cold_starts_s(), clock())
            log.info("evacuation_ended", zone=zone)

    def apply_listing(objects: tuple[StoredObject, ...]) -> None:
        evacuated_zones = {_zone_of(stored) for stored in objects}
        for zone in fleet.evacuated - evacuated_zones:
            end_evacuation_of(zone)
        for zone in evacuated_zones:
            begin_evacuation_of(zone)

    def apply_change(stored: StoredObject) -> None:
        if stored.state is ObjectState.DELETED:
            end_evacuation_of(_zone_of(stored))
        else:
            begin_evacuation_of(_zone_of(stored))

    return ObjectHandlers(apply_listing, apply_change)


def _zone_of(stored: StoredObject) -> ZoneId:
    return ZoneId(stored.path.rsplit("/", 1)[-1])
