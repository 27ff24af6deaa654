"""The HTTP interface of an entry instance: the handler of each path."""

import msgspec
from returns.result import Failure

from tanagercourse.core.problems import InvalidField
from tanagercourse.entry.responses import (
    STATUS_BODY_TOO_LARGE,
    body_too_large,
    send_invalid_field,
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

HEALTH_PATH = "/healthz"
READY_PATH = "/readyz"
METRICS_PATH = "/metrics"

STATUS_NOT_FOUND = 404
STATUS_NOT_READY = 503


def entry_application(state: EntryState) -> Application:
    """Return the ASGI application of an entry instance."""

    async def handle(scope: Scope, receive: Receive, send: Send) -> None:
        if scope["type"] != "http":
            return
        request = read_head(scope)
        if request.path == LOOKUP_PATH:
            await _handle_lookup(state, request, send)
        elif request.path == BATCH_LOOKUP_PATH:
            await _handle_batch_lookup(state, receive, send)
        elif request.path.startswith(SERVICES_PREFIX):
            await serve_request(state, request, receive, send)
        elif request.path == HEALTH_PATH:
            await send_response(send, 200, msgspec.json.encode(state.phase))
        elif request.path == READY_PATH:
            await _handle_ready(state, send)
        elif request.path == METRICS_PATH:
            metrics = state.collect_metrics()
            content_type = metrics.content_type
            await send_response(send, 200, metrics.encode(), content_type=content_type)
        else:
            problem = InvalidField(
                "request", "path", request.path[:80], SERVICES_PREFIX
            )
            await send_invalid_field(send, problem, STATUS_NOT_FOUND)

    return handle


async def _handle_lookup(state: EntryState, request: HttpRequest, send: Send) -> None:
    query = request.query
    lookup_result = state.lookups.look_up(
        query.get("client", ""), query.get("zone"), query.get("service")
    )
    if isinstance(lookup_result, Failure):
        await send_invalid_field(send, lookup_result.failure())
        return
    await send_response(send, 200, encode_lookup_response(lookup_result.unwrap()))


async def _handle_batch_lookup(state: EntryState, receive: Receive, send: Send) -> None:
    try:
        body = await read_body(receive)
    except CallerDisconnectedError:
        return
    except BodyTooLargeError:
        await send_invalid_field(
            send, body_too_large("batch look-up"), STATUS_BODY_TOO_LARGE
        )
        return
    lookup_result = decode_batch_lookup(body).bind(state.lookups.look_up_batch)
    if isinstance(lookup_result, Failure):
        await send_invalid_field(send, lookup_result.failure())
        return
    await send_response(send, 200, encode_lookup_response(lookup_result.unwrap()))


async def _handle_ready(state: EntryState, send: Send) -> None:
    status = 200 if state.phase is Phase.SERVING else STATUS_NOT_READY
    await send_response(send, status, msgspec.json.encode(state.phase))
