"""Steer one request: admit it, choose an upstream, send it, pass the answer on."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace

import anyio
import structlog
from returns.result import Failure
from tanagercourse.core.problems import Refusal
from tanagercourse.core.states import Execution, Idempotency, RefusalReason
from tanagercourse.core.work import Clock, Work
from tanagercourse.entry.forward import Exchange, UpstreamAnswer, send_once
from tanagercourse.entry.once import Progress
from tanagercourse.entry.pool import ServicePool, Slot
from tanagercourse.wire.connections import Connections

MAX_ATTEMPTS = 3

# Passes an answer on to the caller; returns why it broke off, None when it was whole.
PassOn = Callable[[UpstreamAnswer], Awaitable[Refusal | None]]

_log = structlog.get_logger()


@dataclass(frozen=True)
class Route:
    """Where a service's requests go.

    Attributes:
        pool: The service's upstreams.
        connections: Clients towards them.
        clock: A monotonic clock, in seconds.
        version: Version of the settings that the request was read under.
    """

    pool: ServicePool
    connections: Connections
    clock: Clock
    version: int


async def steer(
    route: Route, exchange: Exchange, progress: Progress, pass_on: PassOn
) -> Refusal | None:
    """Serve one request.

    Args:
        route: Where it may go.
        exchange: What the caller asked for.
        progress: Kept true of the request while it is served.
        pass_on: Passes an upstream's answer on to the caller.

    Returns:
        None when the whole answer was passed on, else why it was not.
    """
    attempt = 1
    while True:
        refusal = await _attempt(route, exchange, progress, pass_on)
        if refusal is None:
            return None
        if progress.is_answering or not _may_repeat(
            exchange.work, refusal, attempt, route.clock()
        ):
            return replace(refusal, execution=progress.execution)
        attempt += 1


async def _attempt(
    route: Route, exchange: Exchange, progress: Progress, pass_on: PassOn
) -> Refusal | None:
    work = exchange.work
    acquired = await route.pool.acquire(work)
    if isinstance(acquired, Failure):
        not_admitted: Refusal = acquired.failure()
        return not_admitted
    with route.pool.holding(acquired.unwrap()) as slot:
        progress.begin_attempt()
        refusal: Refusal | None = Refusal(
            work.request_id, RefusalReason.DEADLINE, Execution.MAY_HAVE_RUN
        )
        with anyio.move_on_after(work.remaining_s(route.clock())):
            refusal = await _exchange(route, slot, exchange, pass_on)
        progress.end_attempt(refusal.execution if refusal else Execution.RAN)
    if refusal is not None:
        _log.info(
            "attempt_failed",
            request_id=work.request_id,
            upstream=slot.upstream.id,
            version=route.version,
            reason=refusal.reason.value,
            execution=refusal.execution.value,
        )
    return refusal


async def _exchange(
    route: Route, slot: Slot, exchange: Exchange, pass_on: PassOn
) -> Refusal | None:
    now_s = route.clock()
    sent = await send_once(route.connections, slot.upstream, exchange, now_s)
    if isinstance(sent, Failure):
        refusal: Refusal = sent.failure()
        return refusal
    opened = sent.unwrap()
    try:
        return await pass_on(opened.answer)
    finally:
        await opened.close()


def _may_repeat(work: Work, refusal: Refusal, attempt: int, now_s: float) -> bool:
    """Tell whether a request may be sent again without running twice."""
    if attempt >= MAX_ATTEMPTS or work.remaining_s(now_s) <= 0:
        return False
    if refusal.execution is Execution.NOT_RUN:
        return True
    return work.idempotency is Idempotency.IDEMPOTENT
