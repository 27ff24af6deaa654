"""Apply the operator's evacuations of zones.

An evacuation that an older copy of the store lacks goes on until the operator has had
the time to write it again.
"""

from collections.abc import Callable

import structlog

from tanagercourse.core.ids import ServiceId, ZoneId
from tanagercourse.following.rewrites import RewriteWait
from tanagercourse.following.watching import ObjectHandlers
from tanagercourse.platform.reading import Era, VersionedObject
from tanagercourse.platform.store import ObjectState
from tanagercourse.routing.fleet import Fleet

# Time after the store's return from an older copy in which the operator writes again
# what the copy lacks, in seconds.
REWRITE_S = 10.0

Log = structlog.typing.FilteringBoundLogger


class EvacuationUpdater:
    """Applies listings and changes of evacuations to the fleet."""

    def __init__(
        self,
        fleet: Fleet,
        cold_starts_s: Callable[[], dict[ServiceId, float]],
        log: Log,
        clock: Callable[[], float],
    ) -> None:
        """Start without evacuations.

        Args:
            fleet: The fleet in which evacuated zones are marked.
            cold_starts_s: Returns the cold start duration of each service's upstreams,
                in seconds.
            log: Logger for the start and the end of evacuations.
            clock: A monotonic clock, in seconds.
        """
        self._fleet = fleet
        self._cold_starts_s = cold_starts_s
        self._log = log
        self._clock = clock
        # Evacuated zones that the latest listing lacks, while the wait lasts.
        self._kept: set[ZoneId] = set()
        self._wait = RewriteWait(REWRITE_S, clock)

    def handlers(self) -> ObjectHandlers:
        """Return the handlers for the evacuations' prefix."""
        return ObjectHandlers(
            self.apply_listing,
            self.apply_change,
            on_outage=self._wait.begin_outage,
            on_recovery=self._wait.end_outage,
            on_new_era=self._begin_era,
        )

    def apply_listing(self, objects: tuple[VersionedObject, ...]) -> None:
        """Apply a complete listing; evacuations that it lacks have ended."""
        listed = {_zone_of(stored) for stored in objects}
        unlisted = self._fleet.evacuated - listed
        if self._wait.is_active:
            self._keep(unlisted)
        else:
            for zone in unlisted:
                self._end(zone)
        for zone in listed:
            self._begin(zone)

    def apply_change(self, stored: VersionedObject) -> None:
        """Apply an evacuation that was written or deleted."""
        zone = _zone_of(stored)
        if stored.state is ObjectState.DELETED:
            self._end(zone)
        else:
            self._begin(zone)

    def remove_expired(self) -> None:
        """End the evacuations that the operator did not write again."""
        if self._wait.end_if_over():
            for zone in tuple(self._kept):
                self._end(zone)

    def _begin_era(self, era: Era) -> None:
        self._wait.begin()

    def _keep(self, zones: set[ZoneId]) -> None:
        for zone in zones - self._kept:
            self._log.info("evacuation_missing", zone=zone)
        self._kept |= zones

    def _begin(self, zone: ZoneId) -> None:
        self._kept.discard(zone)
        if zone not in self._fleet.evacuated:
            self._fleet.begin_evacuation(zone)
            self._log.info("zone_evacuated", zone=zone)

    def _end(self, zone: ZoneId) -> None:
        self._kept.discard(zone)
        if zone in self._fleet.evacuated:
            self._fleet.end_evacuation(zone, self._cold_starts_s(), self._clock())
            self._log.info("evacuation_ended", zone=zone)


def _zone_of(stored: VersionedObject) -> ZoneId:
    return ZoneId(stored.path.rsplit("/", 1)[-1])
