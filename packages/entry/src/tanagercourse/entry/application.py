"""The entry instance's HTTP interface: which handler answers which path."""

import msgspec
from returns.result import Failure

from tanagercourse.core.problems import InvalidField
from tanagercourse.entry.responses import (
    STATUS_BODY_TOO_LONG,
    body_too_long,
    refuse_field,
)
from tanagercourse.entry.serve import serve_request
from tanagercourse.entry.state import EntryState, Phase
from tanagercourse.web.asgi import (
    Application,
    BodyTooLargeError,
    CallerDisconnectedError,
    HttpRequest,
    Receive,
    Scope,
    Send,
    read_body,
    read_head,
    send_response,
)
from tanagercourse.wire.lookups import (
    BATCH_LOOKUP_PATH,
    LOOKUP_PATH,
    SERVICES_PREFIX,
    decode_batch_lookup,
    encode_lookup_response,
)

HEALTH = "/healthz"
READY = "/readyz"
METRICS = "/metrics"

STATUS_NOT_FOUND = 404
STATUS_NOT_READY = 503


def entry_application(state: EntryState) -> Application:
    """Return the ASGI application of an entry instance."""

    async def handle(scope: Scope, receive: Receive, send: Send) -> None:
        if scope["type"] != "http":
            return
        request = read_head(scope)
        if request.path == LOOKUP_PATH:
            await _answer_lookup(state, request, send)
        elif request.path == BATCH_LOOKUP_PATH:
            await _answer_batch(state, receive, send)
        elif request.path.startswith(SERVICES_PREFIX):
            await serve_request(state, request, receive, send)
        elif request.path == HEALTH:
            await send_response(send, 200, msgspec.json.encode(state.phase))
        elif request.path == READY:
            await _answer_ready(state, send)
        elif request.path == METRICS:
            metrics = state.observe()
            text_type = metrics.content_type
            await send_response(send, 200, metrics.encode(), content_type=text_type)
        else:
            problem = InvalidField(
                "request", "path", request.path[:80], SERVICES_PREFIX
            )
            await refuse_field(send, problem, STATUS_NOT_FOUND)

    return handle


async def _answer_lookup(state: EntryState, request: HttpRequest, send: Send) -> None:
    query = request.query
    answered = state.lookups.answer(
        query.get("client", ""), query.get("zone"), query.get("service")
    )
    if isinstance(answered, Failure):
        await refuse_field(send, answered.failure())
        return
    await send_response(send, 200, encode_lookup_response(answered.unwrap()))


async def _answer_batch(state: EntryState, receive: Receive, send: Send) -> None:
    try:
        body = await read_body(receive)
    except CallerDisconnectedError:
        return
    except BodyTooLargeError:
        await refuse_field(send, body_too_long("batch look-up"), STATUS_BODY_TOO_LONG)
        return
    answered = decode_batch_lookup(body).bind(state.lookups.answer_batch)
    if isinstance(answered, Failure):
        await refuse_field(send, answered.failure())
        return
    await send_response(send, 200, encode_lookup_response(answered.unwrap()))


async def _answer_ready(state: EntryState, send: Send) -> None:
    status = 200 if state.phase is Phase.SERVING else STATUS_NOT_READY
    await send_response(send, status, msgspec.json.encode(state.phase))
