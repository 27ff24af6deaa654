"""Give the slots of all services to waiting requests, in the order of their ranks."""

from collections.abc import Iterator, Mapping, Sequence
from contextlib import contextmanager

import anyio
from returns.result import Failure, Result, Success

from tanagercourse.core.ids import RequestId, ServiceId, UpstreamId
from tanagercourse.core.problems import Refusal
from tanagercourse.core.states import RANKS, Execution, Rank, RefusalReason
from tanagercourse.core.work import Work
from tanagercourse.entry.pool import Ending, PoolDependencies, ServicePool, Slot
from tanagercourse.settings.schema import ServiceSettings
from tanagercourse.steering.admission import AdmissionPolicy, AdmissionQueue
from tanagercourse.steering.ranking import RankFloor, RankView, priority_with_floors

# Requests that one instance runs at once.
PLACES = 24
# A waiting request looks again at least so often, in seconds.
LONGEST_WAIT_S = 0.25


class _Waiter:
    """A request that waits, and what it is given in the end."""

    def __init__(self, work: Work) -> None:
        self.work = work
        self.is_settled = anyio.Event()
        self.outcome: Result[Slot, Refusal] = Failure(
            _refuse(work, RefusalReason.DEADLINE)
        )

    def settle(self, outcome: Result[Slot, Refusal]) -> None:
        self.outcome = outcome
        self.is_settled.set()


class Dispatcher:
    """One instance's queue and pools: who waits, who runs, and where."""

    def __init__(self, parts: PoolDependencies) -> None:
        self._parts = parts
        self._floors: dict[Rank, float] = {}
        self._queue = AdmissionQueue(
            AdmissionPolicy(max_running=PLACES), self._choose_rank
        )
        self._pools: dict[ServiceId, ServicePool] = {}
        self._settings: dict[ServiceId, ServiceSettings] = {}
        self._waiters: dict[RequestId, _Waiter] = {}
        self._found: dict[ServiceId, UpstreamId] = {}

    def pools(self) -> Mapping[ServiceId, ServicePool]:
        """Return every service's pool."""
        return self._pools

    def waiting(self, service: ServiceId) -> int:
        """Return how many requests of a service wait for a slot."""
        waiters = self._waiters.values()
        return sum(waiter.work.service == service for waiter in waiters)

    def configure(self, settings: ServiceSettings) -> None:
        """Take a service's new settings."""
        service = settings.service_id
        self._settings[service] = settings
        self._pools.setdefault(service, ServicePool(self._parts)).configure(settings)
        self._floors = _floors_of(self._settings)
        self.dispatch()

    async def acquire(
        self, work: Work, is_put_back: bool = False
    ) -> Result[Slot, Refusal]:
        """Wait for a slot until the request's deadline.

        Args:
            work: The request.
            is_put_back: Whether an upstream shed it: it has waited before.

        Returns:
            The slot, which the caller must release, or a refusal: not run.
        """
        pool = self._pools.get(work.service)
        if pool is None or pool.is_empty:
            return Failure(_refuse(work, RefusalReason.NO_UPSTREAM))
        now_s = self._parts.clock()
        if is_put_back:
            self._queue.requeue(work, now_s)
        else:
            self._parts.spill.record_arrival(work)
            offered = self._queue.offer(work, now_s)
            if isinstance(offered, Failure):
                return offered
        waiter = _Waiter(work)
        self._waiters[work.request_id] = waiter
        try:
            await self._wait(waiter, pool)
        except BaseException:
            self._abandon(waiter)
            raise
        return waiter.outcome

    @contextmanager
    def holding(self, slot: Slot) -> Iterator[Slot]:
        """Release a slot at the end of a block, however it ends."""
        try:
            yield slot
        finally:
            self._release(slot)

    def dispatch(self) -> None:
        """Give free slots to waiting requests until either runs out."""
        while True:
            work = self._queue.take(self._parts.clock(), self._is_open)
            for late in self._queue.pop_expired():
                refusal = _refuse(late, RefusalReason.DEADLINE)
                self._waiters.pop(late.request_id).settle(Failure(refusal))
            if work is None:
                return
            slot = self._pools[work.service].take(self._found[work.service], work)
            self._waiters.pop(work.request_id).settle(Success(slot))

    async def _wait(self, waiter: _Waiter, pool: ServicePool) -> None:
        """Wait for a slot, looking again when an upstream's rest is over."""
        while not waiter.is_settled.is_set():
            self.dispatch()
            now_s = self._parts.clock()
            remaining_s = waiter.work.remaining_s(now_s)
            if remaining_s <= 0 and not waiter.is_settled.is_set():
                self._abandon(waiter)
                return
            rest_s = pool.wake_at_s - now_s
            wait_s = min(remaining_s, rest_s if rest_s > 0 else LONGEST_WAIT_S)
            with anyio.move_on_after(wait_s):
                await waiter.is_settled.wait()

    def _release(self, slot: Slot) -> None:
        self._pools[slot.work.service].release(slot)
        is_answered = slot.ending is Ending.ANSWERED
        self._queue.finish(slot.work, self._parts.clock(), is_answered)
        self.dispatch()

    def _is_open(self, work: Work) -> bool:
        found = self._pools[work.service].choose_upstream(work)
        if found is not None:
            self._found[work.service] = found
        return found is not None

    def _choose_rank(self, views: Sequence[RankView]) -> Rank | None:
        floors = [RankFloor(rank, share) for rank, share in self._floors.items()]
        return priority_with_floors(floors, PLACES)(views)

    def _abandon(self, waiter: _Waiter) -> None:
        self._queue.remove_waiting(waiter.work.request_id)
        self._waiters.pop(waiter.work.request_id, None)
        if isinstance(waiter.outcome, Success):
            self._release(waiter.outcome.unwrap())


def _floors_of(settings: Mapping[ServiceId, ServiceSettings]) -> dict[Rank, float]:
    """Return the share of places that each rank keeps: its services' largest."""
    shares: dict[Rank, float] = {}
    for service in settings.values():
        shares[service.rank] = max(shares.get(service.rank, 0.0), service.floor_share)
    return {rank: shares[rank] for rank in RANKS if rank in shares}


def _refuse(work: Work, reason: RefusalReason) -> Refusal:
    return Refusal(work.request_id, reason, Execution.NOT_RUN)
