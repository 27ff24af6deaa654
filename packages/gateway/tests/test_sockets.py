"""Tests of accepting connections."""

import asyncio
import socket
from typing import Any

import anyio
import pytest
from anyio.abc import SocketAttribute, SocketStream

from tanagercourse.gateway.sockets import serve_until_cancelled

pytestmark = pytest.mark.anyio


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
