"""Fake backend server with slots, a service time and configurable faults."""

from collections import Counter
from dataclasses import dataclass, field
from enum import Enum, unique

import anyio

from tanagercourse.core.ids import RequestId
from tanagercourse.core.problems import Refusal
from tanagercourse.core.states import Execution, RefusalReason
from tanagercourse.web.asgi import (
    Application,
    Receive,
    Scope,
    Send,
    read_body,
    read_head,
    run_while_connected,
    send_response,
)
from tanagercourse.wire.headers import REQUEST_ID_HEADER, write_refusal
from tanagercourse.wire.refusals import encode_refusal


@unique
class UpstreamFault(Enum):
    """Fault in the responses of a fake upstream.

    SILENT sends no response, WRONG_REQUEST_ID one with the id of another request, and
    TRUNCATED one that ends before its stated length.
    """

    NONE = "none"
    SILENT = "silent"
    WRONG_REQUEST_ID = "wrong_request_id"
    TRUNCATED = "truncated"


@dataclass
class FakeUpstream:
    """Limits, fault and recorded runs of a fake upstream.

    Attributes:
        id: Id of the upstream, sent in the header x-upstream of each response.
        slots: Maximum number of concurrent requests; further ones are shed as not run.
        service_time_s: Duration of each request, in seconds.
        fault: Fault in its responses.
        runs: Number of runs by request id.
        runs_by_key: Number of runs by idempotency key.
        in_service: Number of requests in service.
        sheds: Number of requests shed so far.
    """

    id: str
    slots: int = 4
    service_time_s: float = 0.005
    fault: UpstreamFault = UpstreamFault.NONE
    runs: Counter[str] = field(default_factory=Counter)
    runs_by_key: Counter[str] = field(default_factory=Counter)
    in_service: int = 0
    sheds: int = 0


class _TruncatedResponseError(Exception):
    """Raised to end a request within its response."""


def upstream_application(upstream: FakeUpstream) -> Application:
    """Return the ASGI application of a fake upstream."""

    async def handle(scope: Scope, receive: Receive, send: Send) -> None:
        if scope["type"] != "http":
            return
        request = read_head(scope)
        body = await read_body(receive)
        request_id = request.headers.get(REQUEST_ID_HEADER, "")
        if upstream.in_service >= upstream.slots:
            upstream.sheds += 1
            await _shed(send, request_id)
            return
        upstream.runs[request_id] += 1
        upstream.runs_by_key[request.headers.get("idempotency-key", "")] += 1
        echoed = request.path.encode() + body
        await run_while_connected(
            receive, lambda: _serve(upstream, request_id, echoed, send)
        )

    return handle


async def _serve(
    upstream: FakeUpstream, request_id: str, echoed: bytes, send: Send
) -> None:
    upstream.in_service += 1
    try:
        await anyio.sleep(upstream.service_time_s)
        await _respond(upstream, request_id, echoed, send)
    finally:
        upstream.in_service -= 1


async def _shed(send: Send, request_id: str) -> None:
    refusal = Refusal(
        RequestId(request_id), RefusalReason.OVERLOADED, Execution.NOT_RUN
    )
    await send_response(send, 503, encode_refusal(refusal), write_refusal(refusal))


async def _respond(
    upstream: FakeUpstream, request_id: str, echoed: bytes, send: Send
) -> None:
    if upstream.fault is UpstreamFault.SILENT:
        await anyio.sleep_forever()
    if upstream.fault is UpstreamFault.WRONG_REQUEST_ID:
        request_id = "another-request"
    headers = {REQUEST_ID_HEADER: request_id, "x-upstream": upstream.id}
    if upstream.fault is UpstreamFault.TRUNCATED:
        headers["content-length"] = str(len(echoed) + 10)
        await send_response(send, 200, echoed, headers, "text/plain")
        raise _TruncatedResponseError
    await send_response(send, 200, echoed, headers, "text/plain")
