"""Serving on a TCP address: socket options and graceful shutdown."""

import socket

import anyio
import pytest

from tanagercourse.web.asgi import Receive, Scope, Send, read_body, send_response
from tanagercourse.web.serving import (
    ShutdownPlan,
    address_of,
    listen,
    serve_application,
)


async def respond_after_body(scope: Scope, receive: Receive, send: Send) -> None:
    await read_body(receive)
    await send_response(send, 200, b"complete")


def test_accepted_connection_has_tcp_nodelay() -> None:
    with listen("127.0.0.1", 0) as listener:
        with socket.create_connection(address_of(listener)):
            listener.setblocking(True)
            accepted, _ = listener.accept()
        with accepted:
            assert accepted.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)


@pytest.mark.anyio
async def test_request_sent_before_the_shutdown_is_answered() -> None:
    listener = listen("127.0.0.1", 0)
    stop = anyio.Event()
    stop.set()
    caller = await anyio.connect_tcp(*address_of(listener))
    await caller.send(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
    await serve_application(
        respond_after_body, listener, stop.wait, ShutdownPlan(1.0, 5.0)
    )
    received = b""
    async with caller:
        try:
            while True:
                received += await caller.receive()
        except anyio.EndOfStream:
            pass
    assert b"connection: close" in received
    assert received.endswith(b"complete")
