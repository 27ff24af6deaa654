"""Serve one request of a caller, from its head to the end of its answer."""

import time

import anyio
from returns.result import Failure

from tanagercourse.core.ids import Version
from tanagercourse.core.problems import Refusal
from tanagercourse.core.states import Execution, RefusalReason
from tanagercourse.entry.burn import record_end
from tanagercourse.entry.deduplication import Progress
from tanagercourse.entry.forward import Exchange, UpstreamAnswer
from tanagercourse.entry.request_parsing import ReadRequest, read_request
from tanagercourse.entry.responses import (
    STATUS_BODY_TOO_LONG,
    body_too_long,
    pass_on,
    refuse,
    refuse_field,
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

# Time to tell a caller that its request was cut short by the end of a planned stop.
LAST_WORD_S = 0.2


async def serve_request(
    state: EntryState, request: HttpRequest, receive: Receive, send: Send
) -> None:
    """Serve one request: read it, steer it, and refuse it where that fails."""
    read = read_request(state, request)
    if isinstance(read, Failure):
        await refuse(send, read.failure())
        return
    found = read.unwrap()
    try:
        with anyio.move_on_after(found.work.remaining_s(state.clock())) as in_time:
            body = await read_body(receive)
    except CallerDisconnectedError:
        return
    except BodyTooLargeError:
        await refuse_field(send, body_too_long("request"), STATUS_BODY_TOO_LONG)
        return
    if in_time.cancelled_caught:
        await refuse(send, _late(found))
        return
    exchange = Exchange(
        found.work, request.method, found.target, dict(request.headers), body
    )
    with state.in_hand.holding(found.work) as held:
        if isinstance(held, Failure):
            await refuse(send, held.failure())
            return
        progress = held.unwrap()
        await _serve_held(state, found, exchange, progress, receive, send)


async def _serve_held(
    state: EntryState,
    found: ReadRequest,
    exchange: Exchange,
    progress: Progress,
    receive: Receive,
    send: Send,
) -> None:
    began_s = state.clock()

    def count(ended: Refusal | None) -> None:
        took_s = state.clock() - began_s
        record_end(state.recorder, found.work, ended, took_s, time.time())
        state.metrics.ended(found.work, ended)

    version = found.service.version
    try:
        ended = await _steer(state, exchange, version, progress, receive, send)
    except anyio.get_cancelled_exc_class():
        cut_short = _known_of(progress, RefusalReason.LEAVING)
        count(cut_short)
        await _refuse_stopped(progress, cut_short, send)
        raise
    count(ended)
    if ended is None or ended.reason is RefusalReason.CANCELLED:
        return
    if progress.is_answering:
        abort_response()
    await refuse(send, ended)


async def _steer(
    state: EntryState,
    exchange: Exchange,
    version: Version,
    progress: Progress,
    receive: Receive,
    send: Send,
) -> Refusal | None:
    """Steer a request until it ends or its caller hangs up, which cancels it."""
    ends: list[Refusal | None] = []

    async def pass_answer_on(answer: UpstreamAnswer) -> Refusal | None:
        return await pass_on(send, progress, answer)

    async def serve() -> None:
        route = state.route
        ends.append(await steer(route, exchange, version, progress, pass_answer_on))

    await run_while_connected(receive, serve)
    return ends[0] if ends else _known_of(progress, RefusalReason.CANCELLED)


async def _refuse_stopped(progress: Progress, refusal: Refusal, send: Send) -> None:
    """Tell a caller what is known when the set time of a planned stop is over."""
    if progress.is_answering:
        return
    with anyio.move_on_after(LAST_WORD_S, shield=True):
        await refuse(send, refusal)


def _known_of(progress: Progress, reason: RefusalReason) -> Refusal:
    return Refusal(progress.work.request_id, reason, progress.execution)


def _late(found: ReadRequest) -> Refusal:
    reason = RefusalReason.DEADLINE
    return Refusal(found.work.request_id, reason, Execution.NOT_RUN)
