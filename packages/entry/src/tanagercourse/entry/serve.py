"""Serve one request of a caller, from its head to the end of the response."""

import time

import anyio
from returns.result import Failure

from tanagercourse.core.ids import Version
from tanagercourse.core.problems import Refusal
from tanagercourse.core.states import Execution, RefusalReason
from tanagercourse.entry.burn import record_outcome
from tanagercourse.entry.deduplication import RequestProgress
from tanagercourse.entry.forward import UpstreamRequest, UpstreamResponse
from tanagercourse.entry.request_parsing import ParsedRequest, parse_request
from tanagercourse.entry.responses import (
    STATUS_BODY_TOO_LARGE,
    body_too_large,
    relay_response,
    send_invalid_field,
    send_refusal,
)
from tanagercourse.entry.state import EntryState
from tanagercourse.entry.steer import steer
from tanagercourse.web.asgi import (
    BodyTooLargeError,
    CallerDisconnectedError,
    HttpRequest,
    Receive,
    Send,
    abort_response,
    read_body,
    run_while_connected,
)

# Time limit for refusing a request that the end of a planned stop interrupted.
STOP_REFUSAL_TIMEOUT_S = 0.2


async def serve_request(
    state: EntryState, request: HttpRequest, receive: Receive, send: Send
) -> None:
    """Serve one request: read it, steer it, and send a refusal if either fails."""
    parse_result = parse_request(state, request)
    if isinstance(parse_result, Failure):
        await send_refusal(send, parse_result.failure())
        return
    parsed = parse_result.unwrap()
    try:
        with anyio.move_on_after(
            parsed.work.remaining_s(state.clock())
        ) as deadline_scope:
            body = await read_body(receive)
    except CallerDisconnectedError:
        return
    except BodyTooLargeError:
        await send_invalid_field(send, body_too_large("request"), STATUS_BODY_TOO_LARGE)
        return
    if deadline_scope.cancelled_caught:
        await send_refusal(send, _refuse_expired(parsed))
        return
    upstream_request = UpstreamRequest(
        parsed.work, request.method, parsed.target, dict(request.headers), body
    )
    with state.deduplicator.tracking(parsed.work) as tracked:
        if isinstance(tracked, Failure):
            await send_refusal(send, tracked.failure())
            return
        progress = tracked.unwrap()
        await _serve_tracked(state, parsed, upstream_request, progress, receive, send)


async def _serve_tracked(
    state: EntryState,
    parsed: ParsedRequest,
    upstream_request: UpstreamRequest,
    progress: RequestProgress,
    receive: Receive,
    send: Send,
) -> None:
    started_at_s = state.clock()

    def count_request(refusal: Refusal | None) -> None:
        duration_s = state.clock() - started_at_s
        record_outcome(state.recorder, parsed.work, refusal, duration_s, time.time())
        state.metrics.record_outcome(parsed.work, refusal)

    version = parsed.service.version
    try:
        refusal = await _steer(
            state, upstream_request, version, progress, receive, send
        )
    except anyio.get_cancelled_exc_class():
        interrupted = _refusal_for(progress, RefusalReason.LEAVING)
        count_request(interrupted)
        await _send_stop_refusal(progress, interrupted, send)
        raise
    count_request(refusal)
    if refusal is None or refusal.reason is RefusalReason.CANCELLED:
        return
    if progress.has_response_started:
        abort_response()
    await send_refusal(send, refusal)


async def _steer(
    state: EntryState,
    upstream_request: UpstreamRequest,
    version: Version,
    progress: RequestProgress,
    receive: Receive,
    send: Send,
) -> Refusal | None:
    """Steer a request; cancel it when its caller disconnects."""
    outcomes: list[Refusal | None] = []

    async def relay_to_caller(response: UpstreamResponse) -> Refusal | None:
        return await relay_response(send, progress, response)

    async def serve() -> None:
        steering = state.steering
        outcomes.append(
            await steer(steering, upstream_request, version, progress, relay_to_caller)
        )

    await run_while_connected(receive, serve)
    return outcomes[0] if outcomes else _refusal_for(progress, RefusalReason.CANCELLED)


async def _send_stop_refusal(
    progress: RequestProgress, refusal: Refusal, send: Send
) -> None:
    """Refuse a request that is still running when a planned stop times out."""
    if progress.has_response_started:
        return
    with anyio.move_on_after(STOP_REFUSAL_TIMEOUT_S, shield=True):
        await send_refusal(send, refusal)


def _refusal_for(progress: RequestProgress, reason: RefusalReason) -> Refusal:
    return Refusal(progress.work.request_id, reason, progress.execution)


def _refuse_expired(parsed: ParsedRequest) -> Refusal:
    reason = RefusalReason.DEADLINE
    return Refusal(parsed.work.request_id, reason, Execution.NOT_RUN)
