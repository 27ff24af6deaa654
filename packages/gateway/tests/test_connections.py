"""Tests of client connections without a gateway."""

from contextlib import suppress
from functools import partial

import anyio
import pytest
from anyio.abc import SocketStream
from returns.result import Failure

from tanagercourse.gateway.connections import HttpConnection, OutboundRequest
from tanagercourse.gateway.large_bodies import LargeBodies
from tanagercourse.gateway.messages import NotSent
from tanagercourse.gateway.sockets import connect, is_readable
from tanagercourse.testing.gateway_harness import serve_on_free_port

pytestmark = pytest.mark.anyio

ID_HEADER, REQUEST_ID = b"X-Id", b"r0"
ORDER = OutboundRequest(
    b"POST", b"/once/a", ((b"Host", b"h"),), b"order", ID_HEADER, REQUEST_ID
)
REFUSAL = b"HTTP/1.1 503 Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"


@pytest.mark.parametrize(
    "early", [REFUSAL, REFUSAL.replace(b"X-Not-Run", b"X-Id: r0\r\nX-Not-Run"), b""]
)
async def test_response_that_precedes_its_request_is_no_response(
    time_limit: anyio.CancelScope, early: bytes
) -> None:
    """The server writes a refusal, or closes, as soon as the connection is open."""
    received: list[bytes] = []

    async def write_at_once(stream: SocketStream) -> None:
        async with stream:
            if early:
                await stream.send(early)
                with suppress(anyio.EndOfStream, anyio.BrokenResourceError):
                    received.append(await stream.receive())

    async with anyio.create_task_group() as tasks:
        port = await tasks.start(partial(serve_on_free_port, write_at_once))
        with time_limit:
            stream = await connect("127.0.0.1", port, 2.0)
            while not is_readable(stream):
                await anyio.sleep(0.01)
            connection = HttpConnection(stream, LargeBodies())
            result = await connection.exchange_with_timeout(ORDER, 2.0, "late")
            await anyio.sleep(0.05)
        tasks.cancel_scope.cancel()
    assert isinstance(result, Failure) and isinstance(result.failure(), NotSent)
    assert received == []
