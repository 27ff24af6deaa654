"""Tests of client connections without a gateway."""

from contextlib import suppress
from functools import partial

import anyio
import pytest
from anyio.abc import SocketStream
from returns.result import Failure, Result, Success

from tanagercourse.gateway.body_budget import BodyBudget
from tanagercourse.gateway.connection_pool import ConnectionPool, Reuse
from tanagercourse.gateway.connections import (
    HttpConnection,
    OpenReason,
    OutboundRequest,
)
from tanagercourse.gateway.messages import Lost, NotSent, Response
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
            connection = HttpConnection(stream, BodyBudget())
            result = await connection.exchange_with_timeout(ORDER, 2.0, "late")
            await anyio.sleep(0.05)
        tasks.cancel_scope.cancel()
    assert isinstance(result, Failure) and isinstance(result.failure(), NotSent)
    assert received == []


async def test_call_after_a_lost_response_uses_a_new_connection(
    time_limit: anyio.CancelScope,
) -> None:
    """All open connections went silent; each further idle one cost a time limit."""
    silent_after = 3
    opened = 0

    async def respond(stream: SocketStream) -> None:
        nonlocal opened
        opened += 1
        is_old = opened <= silent_after
        async with stream:
            with suppress(anyio.EndOfStream, anyio.BrokenResourceError):
                await stream.receive()
                while opened < silent_after:
                    await anyio.sleep(0.01)
                await stream.send(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                await stream.receive()
                if is_old:
                    await anyio.sleep_forever()

    read = OutboundRequest(b"GET", b"/", ((b"Host", b"h"),), b"")
    pool = ConnectionPool(anyio.current_time, 2.0)
    async with anyio.create_task_group() as tasks:
        port = await tasks.start(partial(serve_on_free_port, respond))
        with time_limit:
            async with anyio.create_task_group() as calls:
                for _ in range(silent_after):
                    calls.start_soon(pool.exchange, "127.0.0.1", port, read, 5.0)
            lost = await pool.exchange("127.0.0.1", port, read, 0.1)
            repeated = await pool.exchange("127.0.0.1", port, read, 5.0)
        tasks.cancel_scope.cancel()
    assert isinstance(lost, Failure) and isinstance(repeated, Success)


@pytest.mark.parametrize(
    ("rest_s", "reuse", "response_id", "reason"),
    [
        (0.0, Reuse.SAFE, b"r0", None),
        (1.0, Reuse.ANY, b"r0", None),
        (1.0, Reuse.SAFE, b"r0", OpenReason.UNSAFE),
        # A response without an id is not accepted on a reused connection.
        (0.0, Reuse.SAFE, b"", OpenReason.UNSAFE),
        (0.0, Reuse.NEVER, b"r0", OpenReason.UNSAFE),
        (10.0, Reuse.ANY, b"r0", OpenReason.STALE),
    ],
)
async def test_request_that_would_be_lost_gets_a_new_connection(
    rest_s: float, reuse: Reuse, response_id: bytes, reason: OpenReason | None
) -> None:
    # The server may close an idle connection, and then nobody knows whether a request
    # that is not idempotent ran.
    now_s = [0.0]
    pool = ConnectionPool(lambda: now_s[0], 2.0)
    id_line = b"X-Id: " + response_id + b"\r\n" if response_id else b""

    async def respond(stream: SocketStream) -> None:
        async with stream:
            with suppress(anyio.EndOfStream):
                while await stream.receive():
                    head = b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n" + id_line
                    await stream.send(head + b"\r\n")

    async with anyio.create_task_group() as tasks:
        port = await tasks.start(partial(serve_on_free_port, respond))
        await pool.exchange("127.0.0.1", port, ORDER, 5.0)
        now_s[0] += rest_s
        connection = (
            await pool.acquire(f"127.0.0.1:{port}", "127.0.0.1", port, reuse)
        ).unwrap()
        opened_for = connection.open_reason if connection.is_unused else None
        assert opened_for is reason
        tasks.cancel_scope.cancel()


async def test_connection_that_is_being_discarded_is_not_reused(
    time_limit: anyio.CancelScope,
) -> None:
    """A request met a connection that had been closed a moment before.

    "file descriptor cannot be a negative integer" would have ended the process in a
    call to the store.
    """
    opened = 0

    async def respond(stream: SocketStream) -> None:
        nonlocal opened
        opened += 1
        number = opened
        async with stream:
            with suppress(anyio.EndOfStream, anyio.BrokenResourceError):
                while await stream.receive():
                    await anyio.sleep(0.05 * number)
                    await stream.send(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                    if number == 2:
                        return

    pool = ConnectionPool(anyio.current_time, 2.0)
    read = OutboundRequest(b"GET", b"/", ((b"Host", b"h"),), b"")
    results: list[Result[Response, NotSent | Lost]] = []

    async def call(port: int) -> None:
        results.append(await pool.exchange("127.0.0.1", port, read, 5.0))

    async with anyio.create_task_group() as tasks:
        port = await tasks.start(partial(serve_on_free_port, respond))
        with time_limit:
            async with anyio.create_task_group() as calls:
                calls.start_soon(call, port)
                calls.start_soon(call, port)
            await anyio.sleep(0.05)
            async with anyio.create_task_group() as calls:
                # The call closes the stale second connection, and waits for that.
                calls.start_soon(call, port)
                calls.start_soon(pool.discard_idle, f"127.0.0.1:{port}")
        tasks.cancel_scope.cancel()
    assert [type(result) for result in results] == [Success] * 3
