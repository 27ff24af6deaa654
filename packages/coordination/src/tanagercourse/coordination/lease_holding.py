"""A task that acquires a lease, renews it and reports each change."""

from collections.abc import Callable
from random import Random

import anyio
import structlog
from returns.result import Failure

from tanagercourse.coordination.claims import Claim, Lease, Sighting
from tanagercourse.coordination.leases import HeldByOther, acquire, release, renew
from tanagercourse.core.work import Clock
from tanagercourse.platform.store import Conflict, Store

# Maximum pause before a failed renewal is retried, and time limit of a release.
RETRY_INTERVAL_S = 1.0
# A holder renews its lease, and a contender tries again to acquire it, after this share
# of the lease's duration; contenders add jitter.
RENEW_AFTER_SHARE = 1 / 3

# Called with the lease when it is acquired or renewed, and with None when it is lost.
OnLease = Callable[[Lease | None], None]

_log = structlog.get_logger()


async def hold_lease(
    store: Store, claim: Claim, clock: Clock, random: Random, on_lease: OnLease
) -> None:
    """Acquire a lease and renew it until cancelled, then release it.

    Work done under the lease has to check `Lease.is_held` itself, because this task
    may be paused together with that work.

    Args:
        store: The platform.
        claim: The lease to hold and its holder.
        clock: A monotonic clock.
        random: Source of the jitter between attempts.
        on_lease: Called with each change of the lease.
    """
    held: Lease | None = None
    try:
        while True:
            held = await _acquire_with_retries(store, claim, clock, random)
            _log.info("lease_acquired", path=claim.path, fence=held.fence)
            while held is not None:
                on_lease(held)
                held = await _renew_before_expiry(store, held, clock, random)
            on_lease(None)
            _log.warning("lease_lost", path=claim.path)
    finally:
        on_lease(None)
        if held is not None:
            with anyio.move_on_after(RETRY_INTERVAL_S, shield=True):
                await release(store, held)


async def _acquire_with_retries(
    store: Store, claim: Claim, clock: Clock, random: Random
) -> Lease:
    sighting: Sighting | None = None
    while True:
        acquired = await acquire(store, claim, sighting, clock)
        if not isinstance(acquired, Failure):
            return acquired.unwrap()
        problem = acquired.failure()
        if isinstance(problem, HeldByOther):
            sighting = problem.sighting
        await anyio.sleep(_poll_interval_s(claim) * (1 + random.random()))


async def _renew_before_expiry(
    store: Store, held: Lease, clock: Clock, random: Random
) -> Lease | None:
    """Return the renewed lease, or None if it expired or was taken over."""
    await anyio.sleep(_poll_interval_s(held.claim))
    while held.is_held(clock()):
        with anyio.move_on_after(max(0.0, held.held_until_s - clock())):
            renewed = await renew(store, held, clock)
            if not isinstance(renewed, Failure):
                return renewed.unwrap()
            if isinstance(renewed.failure(), Conflict):
                return None
            await anyio.sleep(RETRY_INTERVAL_S * random.random())
    return None


def _poll_interval_s(claim: Claim) -> float:
    return claim.duration_ms / 1_000 * RENEW_AFTER_SHARE
