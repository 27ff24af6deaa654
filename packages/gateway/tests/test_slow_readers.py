"""Tests of callers and upstreams that pause while they read."""

import asyncio
import socket
import time
from collections.abc import AsyncIterator

import anyio
import pytest
from anyio.abc import SocketStream

from tanagercourse.testing.gateway_harness import MakeGateway, make_registration
from tanagercourse.testing.scripted import (
    ScriptedUpstream,
    encode_get,
    encode_post,
    encode_response,
    send_complete_response,
)

pytestmark = pytest.mark.anyio

# Longer than the time after which unacknowledged data ends a connection, in seconds.
PAUSE_S = 2.5
# What a peer reads before it pauses, and the receive buffer of its socket, in bytes.
FIRST_BYTES = 4096
RECEIVE_BUFFER_BYTES = 8192
RESPONSE_BODY = b"r" * 540_000
REQUEST_BODY = b"q" * 90_000


async def read_with_pause(reader: asyncio.StreamReader, size_bytes: int) -> bytes:
    """Read some bytes, pause once, and read on up to a size or the end."""
    data = await reader.read(FIRST_BYTES)
    await asyncio.sleep(PAUSE_S)
    while len(data) < size_bytes and (part := await reader.read(FIRST_BYTES)):
        data += part
    return data


async def send_long_response(
    upstream: ScriptedUpstream, stream: SocketStream, request: bytes
) -> None:
    await stream.send(encode_response(request, RESPONSE_BODY))


@pytest.mark.parametrize("extra", [b"", b"Connection: close\r\n"])
async def test_caller_that_pauses_while_it_reads_gets_the_whole_response(
    make_gateway: MakeGateway, time_limit: anyio.CancelScope, extra: bytes
) -> None:
    """A caller that paused for 2.5 s lost the rest of its response (review/8)."""
    gateway = await make_gateway(ScriptedUpstream("u0", send_long_response))
    raw_socket = socket.socket()
    raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    raw_socket.setblocking(False)
    with time_limit:
        address = ("127.0.0.1", gateway.port)
        await asyncio.get_running_loop().sock_connect(raw_socket, address)
        reader, writer = await asyncio.open_connection(
            sock=raw_socket, limit=FIRST_BYTES
        )
        writer.write(encode_get(extra=extra))
        head = await reader.readuntil(b"\r\n\r\n")
        body = await read_with_pause(reader, len(RESPONSE_BODY))
        writer.close()
    assert head.startswith(b"HTTP/1.1 200")
    assert body == RESPONSE_BODY


@pytest.fixture
async def pausing_upstream(anyio_backend: str) -> AsyncIterator[ScriptedUpstream]:
    """Serve an upstream that pauses while it reads the body of a request."""
    upstream = ScriptedUpstream("u0", send_complete_response)

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        body = await read_with_pause(reader, len(REQUEST_BODY))
        upstream.requests.append(head + body)
        writer.write(encode_response(head))
        await writer.drain()

    listener = socket.socket()
    # Accepted sockets inherit the size of the buffer.
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    listener.bind(("127.0.0.1", 0))
    server = await asyncio.start_server(serve, sock=listener, limit=FIRST_BYTES)
    async with server:
        upstream.port = listener.getsockname()[1]
        yield upstream


async def test_upstream_that_pauses_while_it_reads_gets_the_whole_request(
    make_gateway: MakeGateway,
    time_limit: anyio.CancelScope,
    pausing_upstream: ScriptedUpstream,
) -> None:
    """An order whose upstream paused for 2.5 s ended as 502, though it ran."""
    gateway = await make_gateway()
    gateway.fleet.put(make_registration(pausing_upstream), time.monotonic())
    with time_limit:
        response = await gateway.exchange(encode_post(REQUEST_BODY))
    assert response.startswith(b"HTTP/1.1 200")
    (request,) = pausing_upstream.requests
    assert request.endswith(REQUEST_BODY)
