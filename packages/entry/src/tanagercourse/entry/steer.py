"""Steer one request: admit it, choose an upstream, send it, pass the answer on."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace

import anyio
import structlog
from returns.result import Failure

from tanagercourse.core.ids import Version
from tanagercourse.core.problems import Refusal
from tanagercourse.core.states import Execution, RefusalReason
from tanagercourse.core.work import Clock, Work
from tanagercourse.entry.deduplication import Progress
from tanagercourse.entry.dispatch import Dispatcher
from tanagercourse.entry.forward import Exchange, UpstreamAnswer, send_once
from tanagercourse.entry.pool import Ending, Slot
from tanagercourse.steering.retries import FailedAttempt, RetryBudget
from tanagercourse.wire.connections import HttpClients

# Trying again at once is of no use.
_FINAL = (
    RefusalReason.OVERLOADED,
    RefusalReason.NO_UPSTREAM,
    RefusalReason.DEADLINE,
)

# Passes an answer on to the caller; returns why it broke off, None when it was whole.
PassOn = Callable[[UpstreamAnswer], Awaitable[Refusal | None]]

_log = structlog.get_logger()


@dataclass(frozen=True)
class Route:
    """What requests are steered with.

    Attributes:
        dispatcher: Gives slots of upstreams.
        connections: Clients towards upstreams.
        retries: What is left of the retry budget.
        sheds: What is left of the budget for upstreams that shed.
        clock: A monotonic clock, in seconds.
        on_retry: Told of each request that is sent again, and why.
    """

    dispatcher: Dispatcher
    connections: HttpClients
    retries: RetryBudget
    sheds: RetryBudget
    clock: Clock
    on_retry: Callable[[Work, Refusal], None]


async def steer(
    route: Route,
    exchange: Exchange,
    version: Version,
    progress: Progress,
    pass_on: PassOn,
) -> Refusal | None:
    """Serve one request.

    Args:
        route: Where it may go.
        exchange: What the caller asked for.
        version: Version of the settings that it was read under.
        progress: Kept true of the request while it is served.
        pass_on: Passes an upstream's answer on to the caller.

    Returns:
        None when the whole answer was passed on, else why it was not.
    """
    route.retries.deposit()
    route.sheds.deposit()
    attempt = 1
    was_shed = False
    while True:
        refusal = await _attempt(route, exchange, progress, pass_on, was_shed)
        if refusal is None:
            return None
        failed = FailedAttempt(exchange.work, refusal, attempt)
        wait_s = None if progress.is_answering else _decide(route, failed)
        _log_failed(failed, version, wait_s)
        if wait_s is None:
            return replace(refusal, execution=progress.execution)
        route.on_retry(exchange.work, refusal)
        await anyio.sleep(wait_s)
        was_shed = refusal.reason is RefusalReason.UPSTREAM_SHED
        attempt += 1


def _decide(route: Route, failed: FailedAttempt) -> float | None:
    """Return how long to wait before the next attempt, None for no other."""
    if failed.refusal.reason in _FINAL:
        return None
    if failed.refusal.reason is RefusalReason.UPSTREAM_SHED:
        route.sheds.try_withdraw()
    return route.retries.decide(failed, route.clock())


def _log_failed(failed: FailedAttempt, version: Version, wait_s: float | None) -> None:
    _log.info(
        "attempt_failed",
        request_id=failed.work.request_id,
        service=failed.work.service,
        version=version,
        attempt=failed.attempt,
        reason=failed.refusal.reason.value,
        execution=failed.refusal.execution.value,
        retry_after_s=wait_s,
    )


async def _attempt(
    route: Route,
    exchange: Exchange,
    progress: Progress,
    pass_on: PassOn,
    was_shed: bool,
) -> Refusal | None:
    work = exchange.work
    acquired = await route.dispatcher.acquire(work, was_shed)
    if isinstance(acquired, Failure):
        not_admitted: Refusal = acquired.failure()
        return not_admitted
    with route.dispatcher.holding(acquired.unwrap()) as slot:
        progress.begin_attempt()
        refusal: Refusal | None = Refusal(
            work.request_id, RefusalReason.DEADLINE, Execution.MAY_HAVE_RUN
        )
        with anyio.move_on_after(work.remaining_s(route.clock())):
            refusal = await _exchange(route, slot, exchange, pass_on)
        progress.end_attempt(refusal.execution if refusal else Execution.RAN)
        slot.ending = _ending_of(refusal)
    return refusal


def _ending_of(refusal: Refusal | None) -> Ending:
    if refusal is None:
        return Ending.ANSWERED
    if refusal.reason is RefusalReason.UPSTREAM_LOST:
        return Ending.LOST
    is_vouched = refusal.execution is Execution.NOT_RUN
    return Ending.SHED if is_vouched else Ending.BROKEN_OFF


async def _exchange(
    route: Route, slot: Slot, exchange: Exchange, pass_on: PassOn
) -> Refusal | None:
    now_s = route.clock()
    may_retry = route.retries.has_balance()
    sent = await send_once(route.connections, slot.upstream, exchange, now_s, may_retry)
    if isinstance(sent, Failure):
        refusal: Refusal = sent.failure()
        return refusal
    opened = sent.unwrap()
    try:
        return await pass_on(opened.answer)
    finally:
        await opened.close()
