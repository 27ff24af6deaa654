"""Apply the upstreams' registrations to the fleet.

Registrations may expire during an outage of the platform. Live upstreams register again
soon after the outage ends. An upstream whose registration is missing after an outage is
therefore kept for a grace period, in which it is used only when no other upstream is
available, and is removed when that period ends. The same holds after the store came
back from an older copy, which lacks the latest registrations.

Such a copy also lists upstreams that have left since. They stay out of use until they
register anew, or until the platform would have removed the registration of a silent
upstream.
"""

from collections.abc import Callable

import structlog
from returns.result import Failure, Result

from tanagercourse.core.ids import ObjectPath, UpstreamId
from tanagercourse.core.problems import Problem
from tanagercourse.following.rewrites import RewriteWait
from tanagercourse.following.watching import ObjectHandlers
from tanagercourse.following.withdrawals import WithdrawnLifetimes
from tanagercourse.platform.reading import (
    ONLY_ERA,
    Era,
    Revision,
    VersionedObject,
)
from tanagercourse.platform.store import ObjectState
from tanagercourse.routing.fleet import Duty, Fleet, UpstreamRegistration

# Grace period for registrations that lapsed in an outage. A registration that is found
# missing within this time after a recovery counts as lapsed.
LAPSED_REGISTRATION_GRACE_S = 2.0
# Interval at which upstreams register if the settings state none.
DEFAULT_HEARTBEAT_INTERVAL_S = 1.5
# Heartbeat intervals after the store's return until a silent upstream's registration is
# removed and its removal is known: three of silence, and one for the removal.
EXPIRY_HEARTBEATS = 4

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
        heartbeat_interval_s: float = DEFAULT_HEARTBEAT_INTERVAL_S,
    ) -> None:
        """Start without any registrations.

        Args:
            fleet: The fleet to update.
            decode: Decodes a registration.
            on_leave: Called with each upstream that drains or is removed.
            log: Logger for changes of the fleet.
            clock: A monotonic clock, in seconds.
            heartbeat_interval_s: Interval at which upstreams register, in seconds.
        """
        self.has_listing = False
        self._fleet = fleet
        self._decode = decode
        self._on_leave = on_leave
        self._log = log
        self._clock = clock
        self._grace_until_s = 0.0
        self._missing_until_s: dict[UpstreamId, float] = {}
        self._era = ONLY_ERA
        # Revision of the registration of each upstream in the fleet.
        self._revisions: dict[UpstreamId, Revision] = {}
        self._withdrawn = WithdrawnLifetimes()
        # Registrations that an older copy may have brought back, while the wait lasts.
        self._held: dict[UpstreamId, VersionedObject] = {}
        self._wait = RewriteWait(EXPIRY_HEARTBEATS * heartbeat_interval_s, clock)

    def handlers(self) -> ObjectHandlers:
        """Return the handlers for the registrations' prefix."""
        return ObjectHandlers(
            self.apply_listing,
            self.apply_change,
            on_outage=self._wait.begin_outage,
            on_recovery=self._end_outage,
            on_new_era=self._begin_era,
        )

    def apply_listing(self, objects: tuple[VersionedObject, ...]) -> None:
        """Apply a complete listing; upstreams that it lacks are missing."""
        self._held.clear()
        listed_upstreams = set()
        for stored in objects:
            upstream = _upstream_of(stored.path)
            listed_upstreams.add(upstream)
            self._apply_listed(upstream, stored)
        for record in self._fleet:
            if record.registration.upstream not in listed_upstreams:
                self._handle_missing(record.registration.upstream)
        self.has_listing = True

    def apply_change(self, stored: VersionedObject) -> None:
        """Apply a registration that was written or deleted."""
        upstream = _upstream_of(stored.path)
        self._held.pop(upstream, None)
        if stored.state is ObjectState.DELETED:
            self._handle_missing(upstream)
        else:
            self._apply_registration(upstream, stored)

    def remove_expired(self) -> None:
        """Remove the missing upstreams, and use the held ones, whose time has ended."""
        now_s = self._clock()
        if self._wait.end_if_over():
            self._apply_held()
        for upstream, expires_at_s in tuple(self._missing_until_s.items()):
            if now_s >= expires_at_s:
                del self._missing_until_s[upstream]
                self._remove(upstream, "registration did not reappear after an outage")

    def _begin_grace(self) -> None:
        self._grace_until_s = self._clock() + LAPSED_REGISTRATION_GRACE_S

    def _end_outage(self) -> None:
        self._wait.end_outage()
        self._begin_grace()

    def _begin_era(self, era: Era) -> None:
        self._era = era
        self._wait.begin()
        self._begin_grace()

    def _apply_listed(self, upstream: UpstreamId, stored: VersionedObject) -> None:
        """Apply a registration, unless an older copy may have brought it back."""
        if self._wait.is_active and self._may_be_outdated(stored):
            self._held[upstream] = stored
            self._log.info(
                "registration_outdated", upstream=upstream, version=stored.version
            )
        else:
            self._apply_registration(upstream, stored)

    def _may_be_outdated(self, stored: VersionedObject) -> bool:
        decoded = self._decode(stored)
        if isinstance(decoded, Failure) or decoded.unwrap().duty is Duty.DRAINING:
            return False
        lifetime = decoded.unwrap().lifetime
        return self._withdrawn.may_precede_withdrawal(lifetime, stored.version)

    def _apply_held(self) -> None:
        """Apply the registrations that the platform didn't remove as silent ones."""
        while self._held:
            upstream, stored = self._held.popitem()
            self._apply_registration(upstream, stored)

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
        record = self._fleet.remove(upstream)
        if record is not None:
            self._withdraw(record.registration)
            del self._revisions[upstream]
            self._log.info("upstream_gone", upstream=upstream, detail=detail)
            self._on_leave(upstream)

    def _withdraw(self, registration: UpstreamRegistration) -> None:
        """Remember that a lifetime left, for the listing of a later era."""
        revision = self._revisions[registration.upstream]
        self._withdrawn.record(registration.lifetime, self._era, revision)

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
        self._era = stored.version.era
        registration = decoded.unwrap()
        previous = self._fleet.get(upstream)
        record = self._fleet.put(registration, self._clock())
        if previous is not None and previous is not record:
            self._withdraw(previous.registration)
        self._revisions[upstream] = stored.version.revision
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
            self._withdraw(registration)
            self._on_leave(upstream)
        else:
            self._withdrawn.forget(registration.lifetime)


def _upstream_of(path: ObjectPath) -> UpstreamId:
    return UpstreamId(path.rsplit("/", 1)[-1])
