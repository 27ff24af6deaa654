"""Steer one request: admit it, choose an upstream, send it, pass the answer on."""

from collections.abc import Awaitable, Callable

import anyio
import httpx
import structlog
from returns.result import Failure, Result
from tanagercourse.core.problems import Refusal
from tanagercourse.core.states import Execution, Idempotency
from tanagercourse.core.work import Clock, Work
from tanagercourse.entry.forward import Connections, Exchange, send_once
from tanagercourse.entry.pool import ServicePool

MAX_ATTEMPTS = 3

PassOn = Callable[[httpx.Response], Awaitable[None]]

_log = structlog.get_logger()


async def steer(
    pool: ServicePool,
    connections: Connections,
    exchange: Exchange,
    clock: Clock,
    pass_on: PassOn,
) -> Refusal | None:
    """Serve one request.

    Args:
        pool: The service's upstreams.
        connections: Clients towards them.
        exchange: What the caller asked for.
        clock: A monotonic clock, in seconds.
        pass_on: Streams an upstream's whole answer to the caller.

    Returns:
        None when the answer was passed on, else why there is none.
    """
    for attempt in range(1, MAX_ATTEMPTS + 1):
        acquired = await pool.acquire(exchange.work)
        if isinstance(acquired, Failure):
            refused: Refusal = acquired.failure()
            return refused
        with pool.holding(acquired.unwrap()) as slot:
            now_s = clock()
            sent: Result[httpx.Response, Refusal]
            sent = await send_once(connections, slot.upstream, exchange, now_s)
            if not isinstance(sent, Failure):
                await _pass_on(sent.unwrap(), pass_on)
                return None
        refusal: Refusal = sent.failure()
        _log.info(
            "attempt_failed",
            request_id=exchange.work.request_id,
            upstream=slot.upstream.id,
            attempt=attempt,
            reason=refusal.reason.value,
            execution=refusal.execution.value,
        )
        if not _may_repeat(exchange.work, refusal, clock()):
            return refusal
    return refusal


async def _pass_on(response: httpx.Response, pass_on: PassOn) -> None:
    try:
        await pass_on(response)
    finally:
        with anyio.CancelScope(shield=True):
            await response.aclose()


def _may_repeat(work: Work, refusal: Refusal, now_s: float) -> bool:
    """Tell whether a request may be sent again without running twice."""
    if work.remaining_s(now_s) <= 0:
        return False
    if refusal.execution is Execution.NOT_RUN:
        return True
    return work.idempotency is Idempotency.IDEMPOTENT
