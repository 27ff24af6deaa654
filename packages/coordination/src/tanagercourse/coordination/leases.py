"""Leases on conditional updates, with a fencing version.

Only local monotonic clocks are read, and only differences between two readings of
the same clock are used. The rates of two clocks may differ by `MAX_DRIFT`; a clock
must advance while its process is paused. A holder measures its lease from before it
sent its update, and a contender measures its wait from after it first read the
holder's last update, so that the holder's lease expires before a contender's begins.
If a clock did stop, the fencing version still separates the work of the old holder
from that of the new one.
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
        path: Path of the lease's object.
        holder: The instance that holds the lease.
        sighting: What this attempt observed, to be passed to the next attempt.
        retry_after_s: When the next attempt may succeed, in seconds from now.
    """

    path: ObjectPath
    holder: InstanceId
    sighting: Sighting
    retry_after_s: float

    def describe(self) -> str:
        """Return an error text with the path of the lease and its holder."""
        return f"{self.path}: lease is held by {self.holder}"


@dataclass(frozen=True)
class Lapsed(Problem):
    """The lease expired before it was renewed and has to be acquired again.

    Attributes:
        path: Path of the lease's object.
        fence: Fencing version of the expired lease.
    """

    path: ObjectPath
    fence: FencingVersion


LeaseProblem = HeldByOther | Lapsed | UpdateProblem


async def acquire(
    store: Store, claim: Claim, sighting: Sighting | None, clock: Clock
) -> Result[Lease, LeaseProblem]:
    """Try once to acquire a lease.

    Args:
        store: The platform.
        claim: The lease to acquire and its holder.
        sighting: The sighting in the `HeldByOther` of the last attempt; None at the
            first attempt.
        clock: This instance's monotonic clock.

    Returns:
        The lease, or why it was not acquired: `HeldByOther` if another instance may
        still hold it.
    """
    read_result = await _read_lease(store, claim.path)
    if isinstance(read_result, Failure):
        return read_result
    found = read_result.unwrap()
    now_s = clock()
    expected = NO_VERSION
    if found is not None:
        expected = found.stored.version
        current_sighting = _update_sighting(sighting, expected, now_s)
        wait_s = takeover_wait_s(found.record, current_sighting, now_s)
        if wait_s > 0.0:
            holder = found.record.holder
            return Failure(HeldByOther(claim.path, holder, current_sighting, wait_s))
    record = LeaseRecord(claim.holder, claim.duration_ms, FencingVersion(0))
    return await _write_lease(store, claim, record, expected, clock)


async def renew(
    store: Store, lease: Lease, clock: Clock
) -> Result[Lease, LeaseProblem]:
    """Renew a lease that is still held.

    Args:
        store: The platform.
        lease: The lease as last acquired or renewed.
        clock: This instance's monotonic clock.

    Returns:
        The lease with its new expiry, or why it was not renewed. After a failure the
        old lease keeps its expiry.
    """
    claim = lease.claim
    if not lease.is_held(clock()):
        return Failure(Lapsed(claim.path, lease.fence))
    record = LeaseRecord(claim.holder, claim.duration_ms, lease.fence)
    return await _write_lease(store, claim, record, lease.version, clock)


async def release(store: Store, lease: Lease) -> Result[StoredObject, UpdateProblem]:
    """Release a lease, so that a contender need not wait for its expiry.

    The caller has to stop its work first. The object remains, marked as released.
    """
    claim = lease.claim
    record = LeaseRecord(
        claim.holder, claim.duration_ms, lease.fence, LeaseState.RELEASED
    )
    return await settle_update(store, _make_update(claim, record, lease.version))


@dataclass(frozen=True)
class _StoredLease:
    stored: StoredObject
    record: LeaseRecord


async def _read_lease(
    store: Store, path: ObjectPath
) -> Result[_StoredLease | None, StoreProblem]:
    read = await store.read(path)
    if isinstance(read, Failure):
        problem: StoreProblem = read.failure()
        return Success(None) if isinstance(problem, NotFound) else Failure(problem)
    stored = read.unwrap()
    try:
        record = msgspec.json.decode(stored.value, type=LeaseRecord)
    except msgspec.MsgspecError as error:
        return Failure(Malformed(path, str(error)))
    return Success(_StoredLease(stored, record))


def _update_sighting(
    sighting: Sighting | None, version: Version, now_s: float
) -> Sighting:
    """Return the sighting of a version; a new version restarts the wait."""
    if sighting is not None and sighting.version == version:
        return sighting
    return Sighting(version, now_s)


async def _write_lease(
    store: Store, claim: Claim, record: LeaseRecord, expected: Version, clock: Clock
) -> Result[Lease, LeaseProblem]:
    sent_at_s = clock()
    written = await settle_update(store, _make_update(claim, record, expected))
    if isinstance(written, Failure):
        return written
    stored = written.unwrap()
    fence = record.fence or FencingVersion(stored.version)
    lease_s = claim.duration_ms / 1_000 * (1 - MAX_DRIFT)
    return Success(Lease(claim, fence, stored.version, sent_at_s + lease_s))


def _make_update(claim: Claim, record: LeaseRecord, expected: Version) -> Update:
    writer = WriterId(uuid.uuid4().hex)
    return Update(claim.path, expected, msgspec.json.encode(record), writer)
