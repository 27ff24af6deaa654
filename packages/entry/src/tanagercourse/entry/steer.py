"""Steer one request: wait for a slot, send it, and pass on the response or retry."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace

import anyio
import structlog
from returns.result import Failure

from tanagercourse.core.ids import Version
from tanagercourse.core.problems import Refusal
from tanagercourse.core.states import Execution, RefusalReason
from tanagercourse.core.work import Clock, Work
from tanagercourse.entry.deduplication import RequestProgress
from tanagercourse.entry.dispatch import Dispatcher
from tanagercourse.entry.forward import UpstreamRequest, UpstreamResponse, send_once
from tanagercourse.entry.pool import Slot, SlotOutcome
from tanagercourse.steering.retries import FailedAttempt, RetryBudget
from tanagercourse.wire.connections import HttpClients

# Refusals after which an immediate retry would be refused again.
_NON_RETRYABLE = (
    RefusalReason.OVERLOADED,
    RefusalReason.NO_UPSTREAM,
    RefusalReason.DEADLINE,
)

# Passes a response to the caller; returns why it was truncated, or None if complete.
RelayResponse = Callable[[UpstreamResponse], Awaitable[Refusal | None]]

_log = structlog.get_logger()


@dataclass(frozen=True)
class SteeringDependencies:
    """Dependencies of steering, the same for all requests of an instance.

    Attributes:
        dispatcher: Allocates upstream slots.
        connections: HTTP clients for upstreams.
        retry_budget: Limits retries.
        shed_budget: Charged for each request that an upstream shed; while it has a
            balance, slots beyond an instance's own share may be used.
        clock: A monotonic clock, in seconds.
        on_retry: Called before each retry with the refusal that caused it.
    """

    dispatcher: Dispatcher
    connections: HttpClients
    retry_budget: RetryBudget
    shed_budget: RetryBudget
    clock: Clock
    on_retry: Callable[[Work, Refusal], None]


async def steer(
    deps: SteeringDependencies,
    upstream_request: UpstreamRequest,
    version: Version,
    progress: RequestProgress,
    relay_response: RelayResponse,
) -> Refusal | None:
    """Send a request to an upstream, with retries, and pass on the response.

    Args:
        deps: Dependencies of steering.
        upstream_request: The caller's request.
        version: Version of the service's settings when the request arrived.
        progress: Updated with each attempt.
        relay_response: Passes an upstream's response to the caller.

    Returns:
        None if the complete response was passed on, else the reason why not.
    """
    deps.retry_budget.deposit()
    deps.shed_budget.deposit()
    attempt = 1
    was_shed = False
    while True:
        refusal = await _attempt(
            deps, upstream_request, progress, relay_response, was_shed
        )
        if refusal is None:
            return None
        failed_attempt = FailedAttempt(upstream_request.work, refusal, attempt)
        delay_s = (
            None
            if progress.has_response_started
            else _retry_delay_s(deps, failed_attempt)
        )
        _log_failed(failed_attempt, version, delay_s)
        if delay_s is None:
            return replace(refusal, execution=progress.execution)
        deps.on_retry(upstream_request.work, refusal)
        await anyio.sleep(delay_s)
        was_shed = refusal.reason is RefusalReason.UPSTREAM_SHED
        attempt += 1


def _retry_delay_s(
    deps: SteeringDependencies, failed_attempt: FailedAttempt
) -> float | None:
    """Return the delay before the next attempt, or None for no further attempt."""
    if failed_attempt.refusal.reason in _NON_RETRYABLE:
        return None
    if failed_attempt.refusal.reason is RefusalReason.UPSTREAM_SHED:
        deps.shed_budget.try_withdraw()
    return deps.retry_budget.decide(failed_attempt, deps.clock())


def _log_failed(
    failed_attempt: FailedAttempt, version: Version, delay_s: float | None
) -> None:
    _log.info(
        "attempt_failed",
        request_id=failed_attempt.work.request_id,
        service=failed_attempt.work.service,
        version=version,
        attempt=failed_attempt.attempt,
        reason=failed_attempt.refusal.reason.value,
        execution=failed_attempt.refusal.execution.value,
        retry_after_s=delay_s,
    )


async def _attempt(
    deps: SteeringDependencies,
    upstream_request: UpstreamRequest,
    progress: RequestProgress,
    relay_response: RelayResponse,
    was_shed: bool,
) -> Refusal | None:
    work = upstream_request.work
    acquired = await deps.dispatcher.acquire(work, was_shed)
    if isinstance(acquired, Failure):
        admission_refusal: Refusal = acquired.failure()
        return admission_refusal
    with deps.dispatcher.holding(acquired.unwrap()) as slot:
        progress.begin_attempt()
        refusal: Refusal | None = Refusal(
            work.request_id, RefusalReason.DEADLINE, Execution.MAY_HAVE_RUN
        )
        with anyio.move_on_after(work.remaining_s(deps.clock())):
            refusal = await _send_and_relay(
                deps, slot, upstream_request, relay_response
            )
        progress.end_attempt(refusal.execution if refusal else Execution.RAN)
        slot.outcome = _slot_outcome(refusal)
    return refusal


def _slot_outcome(refusal: Refusal | None) -> SlotOutcome:
    if refusal is None:
        return SlotOutcome.ANSWERED
    if refusal.reason is RefusalReason.UPSTREAM_LOST:
        return SlotOutcome.LOST
    was_not_run = refusal.execution is Execution.NOT_RUN
    return SlotOutcome.SHED if was_not_run else SlotOutcome.BROKEN_OFF


async def _send_and_relay(
    deps: SteeringDependencies,
    slot: Slot,
    upstream_request: UpstreamRequest,
    relay_response: RelayResponse,
) -> Refusal | None:
    now_s = deps.clock()
    may_retry = deps.retry_budget.has_balance()
    opening = await send_once(
        deps.connections, slot.upstream, upstream_request, now_s, may_retry
    )
    if isinstance(opening, Failure):
        refusal: Refusal = opening.failure()
        return refusal
    open_response = opening.unwrap()
    try:
        return await relay_response(open_response.response)
    finally:
        await open_response.close()
