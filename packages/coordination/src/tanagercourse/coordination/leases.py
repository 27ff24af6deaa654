"""Leases kept by conditional updates, with a fencing version.

Only local monotonic clocks are read, and only differences between two readings of
the same clock are used. Clocks may run apart by `MAX_DRIFT`; the clock must go on
while the process is paused. A holder counts from before it sent its update, and a
contender counts from after it first read the holder's last update, so that the
holder's time is over before a contender's begins. Where the clock itself was
stopped, the fencing version still tells the old holder's work from the new one's.
"""

import uuid
from dataclasses import dataclass

import msgspec
from returns.result import Failure, Result, Success

from tanagercourse.coordination.claims import (
    MAX_DRIFT,
    Claim,
    Lease,
    LeaseRecord,
    LeaseState,
    Sighting,
    takeover_wait_s,
)
from tanagercourse.core.ids import (
    NO_VERSION,
    FencingVersion,
    InstanceId,
    ObjectPath,
    Version,
    WriterId,
)
from tanagercourse.core.problems import Problem
from tanagercourse.core.work import Clock
from tanagercourse.platform.store import (
    Malformed,
    NotFound,
    Store,
    StoredObject,
    StoreProblem,
    Update,
)
from tanagercourse.platform.update import UpdateProblem, settle_update


@dataclass(frozen=True)
class HeldByOther(Problem):
    """Another instance may still hold the lease.

    Attributes:
        path: The lease's object.
        holder: Who holds it.
        sighting: To be passed to the next attempt.
        retry_after_s: When that may succeed, in seconds from now.
    """

    path: ObjectPath
    holder: InstanceId
    sighting: Sighting
    retry_after_s: float

    def describe(self) -> str:
        """Tell a person who holds the lease."""
        return f"{self.path}: held by {self.holder}"


@dataclass(frozen=True)
class Lapsed(Problem):
    """The lease's time was over before it was renewed; it has to be acquired anew."""

    path: ObjectPath
    fence: FencingVersion


LeaseProblem = HeldByOther | Lapsed | UpdateProblem


async def acquire(
    store: Store, claim: Claim, sighting: Sighting | None, clock: Clock
) -> Result[Lease, LeaseProblem]:
    """Try once to acquire a lease.

    Args:
        store: The platform.
        claim: Which lease, for whom.
        sighting: What the last attempt saw, from its `HeldByOther`; None at first.
        clock: This instance's monotonic clock.

    Returns:
        The lease, or why it could not be had; `HeldByOther` when it was held.
    """
    looked = await _look(store, claim.path)
    if isinstance(looked, Failure):
        return looked
    found = looked.unwrap()
    now_s = clock()
    expected = NO_VERSION
    if found is not None:
        expected = found.stored.version
        seen = _see(sighting, expected, now_s)
        wait_s = takeover_wait_s(found.record, seen, now_s)
        if wait_s > 0.0:
            holder = found.record.holder
            return Failure(HeldByOther(claim.path, holder, seen, wait_s))
    record = LeaseRecord(claim.holder, claim.duration_ms, FencingVersion(0))
    return await _write(store, claim, record, expected, clock)


async def renew(
    store: Store, lease: Lease, clock: Clock
) -> Result[Lease, LeaseProblem]:
    """Renew a lease that is still held.

    Args:
        store: The platform.
        lease: The lease as last acquired or renewed.
        clock: This instance's monotonic clock.

    Returns:
        The lease with its new end, or why it could not be renewed. After a failure
        the old lease keeps its end.
    """
    claim = lease.claim
    if not lease.is_held(clock()):
        return Failure(Lapsed(claim.path, lease.fence))
    record = LeaseRecord(claim.holder, claim.duration_ms, lease.fence)
    return await _write(store, claim, record, lease.version, clock)


async def release(store: Store, lease: Lease) -> Result[StoredObject, UpdateProblem]:
    """Give a lease up, so that a contender need not wait for its end.

    The caller stops its work first. The object stays, marked as released.
    """
    claim = lease.claim
    record = LeaseRecord(
        claim.holder, claim.duration_ms, lease.fence, LeaseState.RELEASED
    )
    return await settle_update(store, _update(claim, record, lease.version))


@dataclass(frozen=True)
class _Found:
    stored: StoredObject
    record: LeaseRecord


async def _look(store: Store, path: ObjectPath) -> Result[_Found | None, StoreProblem]:
    read = await store.read(path)
    if isinstance(read, Failure):
        problem: StoreProblem = read.failure()
        return Success(None) if isinstance(problem, NotFound) else Failure(problem)
    stored = read.unwrap()
    try:
        record = msgspec.json.decode(stored.value, type=LeaseRecord)
    except msgspec.MsgspecError as error:
        return Failure(Malformed(path, str(error)))
    return Success(_Found(stored, record))


def _see(sighting: Sighting | None, version: Version, now_s: float) -> Sighting:
    """Keep the first reading of a version; a new version starts the wait anew."""
    if sighting is not None and sighting.version == version:
        return sighting
    return Sighting(version, now_s)


async def _write(
    store: Store, claim: Claim, record: LeaseRecord, expected: Version, clock: Clock
) -> Result[Lease, LeaseProblem]:
    sent_at_s = clock()
    written = await settle_update(store, _update(claim, record, expected))
    if isinstance(written, Failure):
        return written
    stored = written.unwrap()
    fence = record.fence or FencingVersion(stored.version)
    held_s = claim.duration_ms / 1_000 * (1 - MAX_DRIFT)
    return Success(Lease(claim, fence, stored.version, sent_at_s + held_s))


def _update(claim: Claim, record: LeaseRecord, expected: Version) -> Update:
    writer = WriterId(uuid.uuid4().hex)
    return Update(claim.path, expected, msgspec.json.encode(record), writer)
