"""Keep the fleet in step with the upstreams' entries.

Entries that lapsed while the platform was away come back soon after it does, if their
upstreams live. So what is missing then may be used a little longer, where nothing else
is there, and only then is gone.
"""

from collections.abc import Callable

import structlog
from returns.result import Failure, Result

from tanagercourse.core.ids import ObjectPath, UpstreamId
from tanagercourse.core.problems import Problem
from tanagercourse.following.watching import Follower
from tanagercourse.platform.store import ObjectState, StoredObject
from tanagercourse.routing.fleet import Duty, Fleet, UpstreamRegistration

# How long an entry that lapsed in an outage is awaited, in seconds.
LAPSE_GRACE_S = 2.0

Log = structlog.typing.FilteringBoundLogger
DecodeEntry = Callable[[StoredObject], Result[UpstreamRegistration, Problem]]
# Told of an upstream that takes no new requests any more.
Leave = Callable[[UpstreamId], None]


class FleetFeed:
    """Entries of upstreams, as they are listed and watched."""

    def __init__(
        self,
        fleet: Fleet,
        decode: DecodeEntry,
        leave: Leave,
        log: Log,
        clock: Callable[[], float],
    ) -> None:
        """Create a feed that has heard nothing.

        Args:
            fleet: What to keep in step.
            decode: Reads an entry.
            leave: Told of upstreams that leave.
            log: Takes a line for each change.
            clock: A monotonic clock, in seconds.
        """
        self.is_known = False
        self._fleet = fleet
        self._decode = decode
        self._leave = leave
        self._log = log
        self._clock = clock
        self._grace_until_s = 0.0
        self._missing: dict[UpstreamId, float] = {}

    def follower(self) -> Follower:
        """Return what takes the news of the upstreams' prefix."""
        return Follower(self.replace, self.change, regained=self._begin_grace)

    def replace(self, objects: tuple[StoredObject, ...]) -> None:
        """Take a listing of all entries."""
        listed = set()
        for stored in objects:
            upstream = _name_of(stored.path)
            listed.add(upstream)
            self._put(upstream, stored)
        for record in self._fleet:
            if record.registration.upstream not in listed:
                self._miss(record.registration.upstream)
        self.is_known = True

    def change(self, stored: StoredObject) -> None:
        """Take an entry that was written or removed."""
        upstream = _name_of(stored.path)
        if stored.state is ObjectState.DELETED:
            self._miss(upstream)
        else:
            self._put(upstream, stored)

    def drop_missing(self) -> None:
        """Forget upstreams whose entries did not come back in time."""
        now_s = self._clock()
        for upstream, until_s in tuple(self._missing.items()):
            if now_s >= until_s:
                del self._missing[upstream]
                self._drop(upstream, "entry did not come back")

    def _begin_grace(self) -> None:
        self._grace_until_s = self._clock() + LAPSE_GRACE_S

    def _miss(self, upstream: UpstreamId) -> None:
        record = self._fleet.get(upstream)
        if record is None:
            return
        if self._clock() >= self._grace_until_s:
            self._drop(upstream, "entry removed")
        elif upstream not in self._missing:
            record.is_missing = True
            self._missing[upstream] = self._clock() + LAPSE_GRACE_S
            self._log.info("entry_missing", upstream=upstream)

    def _drop(self, upstream: UpstreamId, detail: str) -> None:
        if self._fleet.remove(upstream) is not None:
            self._log.info("upstream_gone", upstream=upstream, detail=detail)
            self._leave(upstream)

    def _put(self, upstream: UpstreamId, stored: StoredObject) -> None:
        decoded = self._decode(stored)
        if isinstance(decoded, Failure):
            detail = decoded.failure().describe()
            self._log.warning("entry_unreadable", upstream=upstream, detail=detail)
            self._missing.pop(upstream, None)
            self._drop(upstream, "entry unreadable")
            return
        self._missing.pop(upstream, None)
        entry = decoded.unwrap()
        before = self._fleet.get(upstream)
        record = self._fleet.put(entry, self._clock())
        if before is not record:
            self._log.info(
                "upstream_joined",
                upstream=upstream,
                service=entry.service,
                zone=entry.zone,
                duty=entry.duty.value,
                cold_s=entry.cold_s,
                version=stored.version,
            )
        elif entry.duty is Duty.DRAINING:
            self._log.info("upstream_drains", upstream=upstream, version=stored.version)
        if entry.duty is Duty.DRAINING:
            self._leave(upstream)


def _name_of(path: ObjectPath) -> UpstreamId:
    return UpstreamId(path.rsplit("/", 1)[-1])
