"""Apply the upstreams' registrations to the fleet.

Registrations may expire during an outage of the platform. Live upstreams register again
soon after the outage ends. An upstream whose registration is missing after an outage is
therefore kept for a grace period, in which it is used only when no other upstream is
available, and is removed when that period ends. The same holds after the store came
back from an older copy, which lacks the latest registrations.
"""

from collections.abc import Callable

import structlog
from returns.result import Failure, Result

from tanagercourse.core.ids import ObjectPath, UpstreamId
from tanagercourse.core.problems import Problem
from tanagercourse.following.watching import ObjectHandlers
from tanagercourse.platform.reading import Era, VersionedObject
from tanagercourse.platform.store import ObjectState
from tanagercourse.routing.fleet import Duty, Fleet, UpstreamRegistration

# Grace period for registrations that lapsed in an outage. A registration that is found
# missing within this time after a recovery counts as lapsed.
LAPSED_REGISTRATION_GRACE_S = 2.0

Log = structlog.typing.FilteringBoundLogger
DecodeRegistration = Callable[[VersionedObject], Result[UpstreamRegistration, Problem]]
# Called with an upstream that must get no new requests: it drains or was removed.
OnLeave = Callable[[UpstreamId], None]


class FleetUpdater:
    """Applies listings and changes of registrations to the fleet.

    Attributes:
        has_listing: Whether a complete listing has been applied.
    """

    def __init__(
        self,
        fleet: Fleet,
        decode: DecodeRegistration,
        on_leave: OnLeave,
        log: Log,
        clock: Callable[[], float],
    ) -> None:
        """Start without any registrations.

        Args:
            fleet: The fleet to update.
            decode: Decodes a registration.
            on_leave: Called with each upstream that drains or is removed.
            log: Logger for changes of the fleet.
            clock: A monotonic clock, in seconds.
        """
        self.has_listing = False
        self._fleet = fleet
        self._decode = decode
        self._on_leave = on_leave
        self._log = log
        self._clock = clock
        self._grace_until_s = 0.0
        self._missing_until_s: dict[UpstreamId, float] = {}

    def handlers(self) -> ObjectHandlers:
        """Return the handlers for the registrations' prefix."""
        return ObjectHandlers(
            self.apply_listing,
            self.apply_change,
            on_recovery=self._begin_grace,
            on_new_era=self._begin_era,
        )

    def apply_listing(self, objects: tuple[VersionedObject, ...]) -> None:
        """Apply a complete listing; upstreams that it lacks are missing."""
        listed_upstreams = set()
        for stored in objects:
            upstream = _upstream_of(stored.path)
            listed_upstreams.add(upstream)
            self._apply_registration(upstream, stored)
        for record in self._fleet:
            if record.registration.upstream not in listed_upstreams:
                self._handle_missing(record.registration.upstream)
        self.has_listing = True

    def apply_change(self, stored: VersionedObject) -> None:
        """Apply a registration that was written or deleted."""
        upstream = _upstream_of(stored.path)
        if stored.state is ObjectState.DELETED:
            self._handle_missing(upstream)
        else:
            self._apply_registration(upstream, stored)

    def remove_expired(self) -> None:
        """Remove missing upstreams whose grace period has ended."""
        now_s = self._clock()
        for upstream, expires_at_s in tuple(self._missing_until_s.items()):
            if now_s >= expires_at_s:
                del self._missing_until_s[upstream]
                self._remove(upstream, "registration did not reappear after an outage")

    def _begin_grace(self) -> None:
        self._grace_until_s = self._clock() + LAPSED_REGISTRATION_GRACE_S

    def _begin_era(self, era: Era) -> None:
        self._begin_grace()

    def _handle_missing(self, upstream: UpstreamId) -> None:
        record = self._fleet.get(upstream)
        if record is None:
            return
        if self._clock() >= self._grace_until_s:
            self._remove(upstream, "registration deleted")
        elif upstream not in self._missing_until_s:
            record.is_missing = True
            self._missing_until_s[upstream] = (
                self._clock() + LAPSED_REGISTRATION_GRACE_S
            )
            self._log.info("registration_missing", upstream=upstream)

    def _remove(self, upstream: UpstreamId, detail: str) -> None:
        if self._fleet.remove(upstream) is not None:
            self._log.info("upstream_gone", upstream=upstream, detail=detail)
            self._on_leave(upstream)

    def _apply_registration(
        self, upstream: UpstreamId, stored: VersionedObject
    ) -> None:
        decoded = self._decode(stored)
        if isinstance(decoded, Failure):
            detail = decoded.failure().describe()
            self._log.warning(
                "registration_unreadable", upstream=upstream, detail=detail
            )
            self._missing_until_s.pop(upstream, None)
            self._remove(upstream, "registration is invalid")
            return
        self._missing_until_s.pop(upstream, None)
        registration = decoded.unwrap()
        previous = self._fleet.get(upstream)
        record = self._fleet.put(registration, self._clock())
        if previous is not record:
            self._log.info(
                "upstream_joined",
                upstream=upstream,
                service=registration.service,
                zone=registration.zone,
                duty=registration.duty.value,
                cold_s=registration.cold_s,
                version=stored.version,
            )
        elif registration.duty is Duty.DRAINING:
            self._log.info(
                "upstream_draining", upstream=upstream, version=stored.version
            )
        if registration.duty is Duty.DRAINING:
            self._on_leave(upstream)


def _upstream_of(path: ObjectPath) -> UpstreamId:
    return UpstreamId(path.rsplit("/", 1)[-1])
