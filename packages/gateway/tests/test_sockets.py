"""Tests of accepting connections."""

import asyncio
import socket
from functools import partial
from typing import Any

import anyio
import pytest
from anyio.abc import SocketAttribute, SocketStream

from tanagercourse.gateway.sockets import serve_until_cancelled
from tanagercourse.testing.gateway_harness import reserve_ports, serve_on_free_port

pytestmark = pytest.mark.anyio

# More than both ends of a loopback connection buffer in the kernel.
UNREAD_BYTES = 64 * 1024 * 1024


async def close_at_once(stream: SocketStream) -> None:
    await stream.aclose()


async def test_connection_that_arrives_with_the_cancellation_is_no_error() -> None:
    """The listener becomes readable in the same step of the loop."""
    loop, errors = asyncio.get_running_loop(), list[dict[str, Any]]()
    loop.set_exception_handler(lambda _, context: errors.append(context))
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    address = ("127.0.0.1", listener.extra(SocketAttribute.local_port))
    async with anyio.create_task_group() as tasks, anyio.create_task_group() as serving:
        serving.start_soon(serve_until_cancelled, listener, close_at_once, tasks)
        await anyio.sleep(0.05)
        with socket.create_connection(address):
            loop.call_soon(serving.cancel_scope.cancel)
            await anyio.sleep(0.05)
    assert errors == []
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(address)


@pytest.mark.parametrize("steps", range(8))
async def test_cancellation_just_after_a_connection_ends_the_listener(
    steps: int,
) -> None:
    """A call to accept that began as the listener closed never returned (a soak)."""
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    address = ("127.0.0.1", listener.extra(SocketAttribute.local_port))
    scope = anyio.CancelScope()

    async def serve() -> None:
        async with anyio.create_task_group() as tasks:
            with scope:
                await serve_until_cancelled(listener, close_at_once, tasks)

    serving = asyncio.create_task(serve())
    await anyio.sleep(0.05)
    with socket.create_connection(address):
        for _ in range(steps):
            await asyncio.sleep(0)
        scope.cancel()
        done, _ = await asyncio.wait({serving}, timeout=1.0)
    assert done == {serving}


async def test_peer_can_not_send_more_than_is_asked_for(
    time_limit: anyio.CancelScope,
) -> None:
    """Bytes that nobody had asked for filled the memory of a busy process."""
    has_sent = anyio.Event()

    async def never_receives(stream: SocketStream) -> None:
        await anyio.sleep_forever()

    async with anyio.create_task_group() as tasks:
        port = await tasks.start(partial(serve_on_free_port, never_receives))
        with time_limit:
            async with await anyio.connect_tcp("127.0.0.1", port) as stream:
                with anyio.move_on_after(1.0):
                    await stream.send(bytes(UNREAD_BYTES))
                    has_sent.set()
        tasks.cancel_scope.cancel()
    assert not has_sent.is_set()


async def test_reserved_port_is_taken_only_by_a_server_that_names_it() -> None:
    """Another process listened on the port of a test before its instance did."""
    with reserve_ports(1) as (port,):
        with socket.socket() as other, pytest.raises(OSError, match="in use"):
            other.bind(("127.0.0.1", port))
        async with await anyio.create_tcp_listener(
            local_host="127.0.0.1", local_port=port
        ):
            socket.create_connection(("127.0.0.1", port)).close()
