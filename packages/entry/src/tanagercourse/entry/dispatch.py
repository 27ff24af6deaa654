"""Allocate upstream slots to waiting requests of all services, by rank."""

from collections.abc import Iterator, Mapping, Sequence
from contextlib import contextmanager

import anyio
from returns.result import Failure, Result, Success

from tanagercourse.core.ids import RequestId, ServiceId, UpstreamId
from tanagercourse.core.problems import Refusal
from tanagercourse.core.states import RANKS, Execution, Rank, RefusalReason
from tanagercourse.core.work import Work
from tanagercourse.entry.pool import PoolDependencies, ServicePool, Slot, SlotOutcome
from tanagercourse.settings.schema import ServiceSettings
from tanagercourse.steering.admission import AdmissionPolicy, AdmissionQueue
from tanagercourse.steering.ranking import RankFloor, RankView, priority_with_floors

# Maximum number of requests that one instance runs at once, over all services.
MAX_CONCURRENT_REQUESTS = 24
# How often a waiting request checks for a free slot while no cooldown is running. Slots
# can become free without an event, such as when a share of another region is granted.
RECHECK_INTERVAL_S = 0.25


class _Waiter:
    """A request in the wait queue, and the slot or refusal that ends its wait."""

    def __init__(self, work: Work) -> None:
        self.work = work
        self.result_ready = anyio.Event()
        self.result: Result[Slot, Refusal] = Failure(
            _refuse(work, RefusalReason.DEADLINE)
        )

    def set_result(self, result: Result[Slot, Refusal]) -> None:
        self.result = result
        self.result_ready.set()


class Dispatcher:
    """The wait queue and the upstream pools of one instance."""

    def __init__(self, deps: PoolDependencies) -> None:
        self._deps = deps
        self._rank_floors: dict[Rank, float] = {}
        self._queue = AdmissionQueue(
            AdmissionPolicy(max_running=MAX_CONCURRENT_REQUESTS), self._choose_rank
        )
        self._pools: dict[ServiceId, ServicePool] = {}
        self._settings: dict[ServiceId, ServiceSettings] = {}
        self._waiters: dict[RequestId, _Waiter] = {}
        self._chosen_upstreams: dict[ServiceId, UpstreamId] = {}

    def pools(self) -> Mapping[ServiceId, ServicePool]:
        """Return the pool of each configured service."""
        return self._pools

    def waiting_count(self, service: ServiceId) -> int:
        """Return the number of a service's requests in the wait queue."""
        waiters = self._waiters.values()
        return sum(waiter.work.service == service for waiter in waiters)

    def configure(self, settings: ServiceSettings) -> None:
        """Apply new settings of a service."""
        service = settings.service_id
        self._settings[service] = settings
        self._pools.setdefault(service, ServicePool(self._deps)).configure(settings)
        self._rank_floors = _rank_floor_shares(self._settings)
        self.dispatch()

    async def acquire(
        self, work: Work, was_shed: bool = False
    ) -> Result[Slot, Refusal]:
        """Wait for a slot until the request's deadline.

        Args:
            work: The request.
            was_shed: Whether an upstream shed the previous attempt. Such a request is
                already admitted and goes back into the queue.

        Returns:
            The slot, to be released through `holding`, or a refusal of a request that
            did not run.
        """
        pool = self._pools.get(work.service)
        if pool is None or pool.is_empty:
            return Failure(_refuse(work, RefusalReason.NO_UPSTREAM))
        now_s = self._deps.clock()
        if was_shed:
            self._queue.requeue(work, now_s)
        else:
            self._deps.spill.record_arrival(work)
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
        return waiter.result

    @contextmanager
    def holding(self, slot: Slot) -> Iterator[Slot]:
        """Release a slot when the block ends, also after an exception."""
        try:
            yield slot
        finally:
            self._release(slot)

    def dispatch(self) -> None:
        """Allocate free slots to waiting requests until slots or requests run out."""
        while True:
            work = self._queue.take(self._deps.clock(), self._choose_upstream)
            for expired in self._queue.pop_expired():
                refusal = _refuse(expired, RefusalReason.DEADLINE)
                self._waiters.pop(expired.request_id).set_result(Failure(refusal))
            if work is None:
                return
            slot = self._pools[work.service].allocate(
                self._chosen_upstreams[work.service], work
            )
            self._waiters.pop(work.request_id).set_result(Success(slot))

    async def _wait(self, waiter: _Waiter, pool: ServicePool) -> None:
        """Wait for a slot; try again when an upstream's cooldown ends."""
        while not waiter.result_ready.is_set():
            self.dispatch()
            now_s = self._deps.clock()
            remaining_s = waiter.work.remaining_s(now_s)
            if remaining_s <= 0 and not waiter.result_ready.is_set():
                self._abandon(waiter)
                return
            cooldown_s = pool.cooldown_ends_at_s - now_s
            wait_s = min(
                remaining_s, cooldown_s if cooldown_s > 0 else RECHECK_INTERVAL_S
            )
            with anyio.move_on_after(wait_s):
                await waiter.result_ready.wait()

    def _release(self, slot: Slot) -> None:
        self._pools[slot.work.service].release(slot)
        is_answered = slot.outcome is SlotOutcome.ANSWERED
        self._queue.finish(slot.work, self._deps.clock(), is_answered)
        self.dispatch()

    def _choose_upstream(self, work: Work) -> bool:
        upstream = self._pools[work.service].choose_upstream(work)
        if upstream is not None:
            self._chosen_upstreams[work.service] = upstream
        return upstream is not None

    def _choose_rank(self, views: Sequence[RankView]) -> Rank | None:
        floors = [RankFloor(rank, share) for rank, share in self._rank_floors.items()]
        return priority_with_floors(floors, MAX_CONCURRENT_REQUESTS)(views)

    def _abandon(self, waiter: _Waiter) -> None:
        self._queue.remove_waiting(waiter.work.request_id)
        self._waiters.pop(waiter.work.request_id, None)
        if isinstance(waiter.result, Success):
            self._release(waiter.result.unwrap())


def _rank_floor_shares(
    settings: Mapping[ServiceId, ServiceSettings],
) -> dict[Rank, float]:
    """Return each rank's reserved share of capacity: the maximum of its services."""
    shares: dict[Rank, float] = {}
    for service in settings.values():
        shares[service.rank] = max(shares.get(service.rank, 0.0), service.floor_share)
    return {rank: shares[rank] for rank in RANKS if rank in shares}


def _refuse(work: Work, reason: RefusalReason) -> Refusal:
    return Refusal(work.request_id, reason, Execution.NOT_RUN)
