"""One service's upstreams and its requests that wait for a slot there."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass

import anyio
from returns.result import Failure, Result, Success
from tanagercourse.core.ids import RequestId, UpstreamId
from tanagercourse.core.problems import Refusal
from tanagercourse.core.states import Execution, RefusalReason, UpstreamState
from tanagercourse.core.work import Clock, Work
from tanagercourse.settings.schema import Duty, ServiceSettings, UpstreamSettings
from tanagercourse.steering.admission import AdmissionPolicy, AdmissionQueue
from tanagercourse.steering.upstreams import ChooseUpstream, UpstreamView


@dataclass(frozen=True)
class Slot:
    """A slot that a request holds on an upstream."""

    upstream: UpstreamSettings


# Whether the platform lists a machine as leaving, by its id.
IsLeaving = Callable[[str], bool]


class _Waiter:
    """A request that waits, and the slot that it is given."""

    def __init__(self, work: Work) -> None:
        self.work = work
        self.given = anyio.Event()
        self.slot: Slot | None = None


class ServicePool:
    """Slots of one service's upstreams, given to waiting requests in order."""

    def __init__(
        self, choose: ChooseUpstream, clock: Clock, is_leaving: IsLeaving
    ) -> None:
        self._choose = choose
        self._is_leaving = is_leaving
        self._clock = clock
        self._queue = AdmissionQueue(AdmissionPolicy())
        self._waiters: dict[RequestId, _Waiter] = {}
        self._upstreams: dict[UpstreamId, UpstreamSettings] = {}
        self._in_flight: dict[UpstreamId, int] = {}

    @property
    def in_flight(self) -> int:
        """Return how many requests hold a slot."""
        return sum(self._in_flight.values())

    @property
    def waiting(self) -> int:
        """Return how many requests wait for a slot."""
        return len(self._queue)

    def configure(self, settings: ServiceSettings) -> None:
        """Take new settings; requests in flight keep the slots they hold."""
        self._upstreams = {
            upstream.upstream_id: upstream for upstream in settings.upstreams
        }
        self._dispatch()

    async def acquire(self, work: Work) -> Result[Slot, Refusal]:
        """Wait for a slot until the request's deadline.

        Returns:
            The slot, which the caller must release, or a refusal: not run.
        """
        if not self._upstreams:
            return Failure(_refuse(work, RefusalReason.NO_UPSTREAM))
        now_s = self._clock()
        offered = self._queue.offer(work, now_s)
        if isinstance(offered, Failure):
            return offered
        waiter = _Waiter(work)
        self._waiters[work.request_id] = waiter
        self._dispatch()
        try:
            with anyio.move_on_after(work.remaining_s(now_s)):
                await waiter.given.wait()
        except BaseException:
            self._abandon(waiter)
            raise
        if waiter.slot is None:
            self._abandon(waiter)
            return Failure(_refuse(work, RefusalReason.DEADLINE))
        return Success(waiter.slot)

    def release(self, slot: Slot) -> None:
        """Give a slot back and hand it to the next request that waits."""
        self._in_flight[slot.upstream.upstream_id] -= 1
        self._dispatch()

    @contextmanager
    def holding(self, slot: Slot) -> Iterator[Slot]:
        """Release a slot at the end of a block, however it ends."""
        try:
            yield slot
        finally:
            self.release(slot)

    def views(self) -> tuple[UpstreamView, ...]:
        """Return what is known of each upstream."""
        return tuple(self._view(upstream) for upstream in self._upstreams.values())

    def _view(self, upstream: UpstreamSettings) -> UpstreamView:
        drains = upstream.duty is Duty.DRAIN or self._is_leaving(upstream.id)
        return UpstreamView(
            id=upstream.upstream_id,
            zone=upstream.zone_id,
            state=UpstreamState.DRAINING if drains else UpstreamState.LIVE,
            slots=upstream.slots,
            in_flight=self._in_flight.get(upstream.upstream_id, 0),
        )

    def _dispatch(self) -> None:
        """Give free slots to waiting requests until either runs out."""
        while len(self._queue):
            chosen = self._choose(self.views())
            if chosen is None:
                return
            work = self._queue.take(self._clock())
            if work is None:
                return
            self._give(self._waiters.pop(work.request_id), chosen.id)

    def _give(self, waiter: _Waiter, upstream: UpstreamId) -> None:
        self._in_flight[upstream] = self._in_flight.get(upstream, 0) + 1
        waiter.slot = Slot(self._upstreams[upstream])
        waiter.given.set()

    def _abandon(self, waiter: _Waiter) -> None:
        self._queue.withdraw(waiter.work.request_id)
        self._waiters.pop(waiter.work.request_id, None)
        if waiter.slot is not None:
            self.release(waiter.slot)


def _refuse(work: Work, reason: RefusalReason) -> Refusal:
    return Refusal(work.request_id, reason, Execution.NOT_RUN)
