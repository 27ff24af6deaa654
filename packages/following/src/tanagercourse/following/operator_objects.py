"""Apply the operator's configuration."""

from collections.abc import Callable

import structlog
from returns.result import Failure, Result

from tanagercourse.core.ids import ObjectPath, ServiceId
from tanagercourse.core.problems import Problem
from tanagercourse.following.watching import ObjectHandlers
from tanagercourse.platform.reading import VersionedObject
from tanagercourse.platform.store import ObjectState
from tanagercourse.routing.configuration import (
    DEFAULT_LIMITS,
    CallerLimits,
    Configuration,
)

Log = structlog.typing.FilteringBoundLogger
DecodeConfiguration = Callable[[VersionedObject], Result[Configuration, Problem]]


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

        def apply_listing(objects: tuple[VersionedObject, ...]) -> None:
            for stored in objects:
                self.apply(stored)

        return ObjectHandlers(apply_listing, self.apply)

    def apply(self, stored: VersionedObject) -> None:
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
            if configuration.version < self._current.version:
                self._log.info(
                    "configuration_outdated",
                    configuration=configuration.version,
                    active=self._current.version,
                )
            return
        self._current = configuration
        self._log.info(
            "configuration_applied",
            configuration=configuration.version,
            version=stored.version,
            hosts=len(configuration.hosts),
        )
