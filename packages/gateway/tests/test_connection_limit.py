"""Tests of the limit on accepted connections."""

import asyncio
import errno
import socket
from typing import Any

import anyio
import pytest
from anyio.abc import SocketAttribute, SocketStream

from tanagercourse.gateway.connection_limit import ConnectionLimit
from tanagercourse.gateway.sockets import serve_until_cancelled
from tanagercourse.testing.gateway_harness import Gateway, MakeGateway
from tanagercourse.testing.scripted import (
    ScriptedUpstream,
    encode_get,
    read_response,
    send_complete_response,
)

pytestmark = pytest.mark.anyio

MAX_OPEN = 3
MAX_REFUSED = 1


@pytest.fixture
async def release() -> anyio.Event:
    """Return the event that lets the upstream respond."""
    return anyio.Event()


@pytest.fixture
async def limited(make_gateway: MakeGateway, release: anyio.Event) -> Gateway:
    """Return a gateway with a low limit, whose upstream responds when released."""

    async def respond(
        upstream: ScriptedUpstream, stream: SocketStream, request: bytes
    ) -> None:
        await release.wait()
        await send_complete_response(upstream, stream, request)

    gateway = await make_gateway(ScriptedUpstream("u0", respond))
    limit = gateway.connections.limit
    limit.max_open, limit.max_refused = MAX_OPEN, MAX_REFUSED
    return gateway


async def request(stream: SocketStream) -> bytes:
    await stream.send(encode_get())
    return await read_response(stream)


async def wait_for_open(gateway: Gateway, count: int) -> None:
    while gateway.connections.open_count < count:
        await anyio.sleep(0.01)


async def test_new_connection_replaces_the_longest_idle_one(
    limited: Gateway, release: anyio.Event, time_limit: anyio.CancelScope
) -> None:
    """A process that ran out of descriptors ended, with its requests (review/7)."""
    release.set()
    with time_limit:
        streams = [await limited.connect() for _ in range(MAX_OPEN)]
        for stream in streams:
            assert (await request(stream)).startswith(b"HTTP/1.1 200")
        # The first is now the one that was used last.
        await request(streams[0])
        async with await limited.connect() as stream:
            assert (await request(stream)).startswith(b"HTTP/1.1 200")
        assert await read_response(streams[1]) == b""
        for stream in (streams[0], streams[2]):
            assert (await request(stream)).startswith(b"HTTP/1.1 200")
            await stream.aclose()
        await streams[1].aclose()


async def test_new_connection_is_refused_if_no_other_is_idle(
    limited: Gateway, release: anyio.Event, time_limit: anyio.CancelScope
) -> None:
    """The caller learns that its request has not run, and when to come back."""
    responses: list[bytes] = []

    async def send_request() -> None:
        async with await limited.connect() as stream:
            responses.append(await request(stream))

    with time_limit:
        async with anyio.create_task_group() as tasks:
            for _ in range(MAX_OPEN):
                tasks.start_soon(send_request)
            await wait_for_open(limited, MAX_OPEN)
            async with await limited.connect() as refused:
                response = await request(refused)
                async with await limited.connect() as closed:
                    assert await request(closed) == b""
            release.set()
    assert response.startswith(b"HTTP/1.1 503")
    assert b"Retry-After: " in response and b"Connection: close" in response
    assert [r.startswith(b"HTTP/1.1 200") for r in responses] == [True] * MAX_OPEN
    while limited.connections.limit.open_count:
        await anyio.sleep(0.01)


async def test_connection_beyond_the_limit_that_sends_nothing_is_closed(
    limited: Gateway, release: anyio.Event, time_limit: anyio.CancelScope
) -> None:
    with time_limit:
        async with anyio.create_task_group() as tasks:
            for _ in range(MAX_OPEN):
                tasks.start_soon(limited.exchange, encode_get())
            await wait_for_open(limited, MAX_OPEN)
            async with await limited.connect() as silent:
                assert await read_response(silent) == b""
            release.set()


@pytest.mark.parametrize("code", [errno.EMFILE, errno.ENOBUFS, errno.ECONNABORTED])
async def test_error_of_accept_does_not_end_the_listener(
    time_limit: anyio.CancelScope, code: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """It ended the task group of the process."""
    errors: list[Exception] = []
    served = anyio.Event()
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    port = listener.extra(SocketAttribute.local_port)
    loop = asyncio.get_running_loop()
    sock_accept = loop.sock_accept

    async def fail_twice(raw_socket: socket.socket) -> tuple[socket.socket, Any]:
        if len(errors) < 2:
            raise OSError(code, "injected")
        return await sock_accept(raw_socket)

    async def serve(stream: SocketStream) -> None:
        served.set()
        await stream.aclose()

    monkeypatch.setattr(loop, "sock_accept", fail_twice)
    async with anyio.create_task_group() as tasks, anyio.create_task_group() as serving:
        serving.start_soon(serve_until_cancelled, listener, serve, tasks, errors.append)
        with time_limit:
            async with await anyio.connect_tcp("127.0.0.1", port):
                await served.wait()
        serving.cancel_scope.cancel()
    codes = [error.errno for error in errors if isinstance(error, OSError)]
    assert codes == [code, code]


def test_limits_leave_sockets_for_outbound_connections() -> None:
    limit = ConnectionLimit(1335)
    assert limit.max_open + limit.max_refused <= 0.7 * 1335
