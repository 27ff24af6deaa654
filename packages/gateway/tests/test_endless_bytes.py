"""Tests of upstreams that send bytes without end that are no response."""

from itertools import chain, repeat

import anyio
import pytest
from anyio.abc import SocketStream

from tanagercourse.testing.gateway_harness import MakeGateway
from tanagercourse.testing.scripted import (
    ScriptedUpstream,
    encode_get,
    encode_post,
    read_request_id,
)

pytestmark = pytest.mark.anyio

BLOCK = 4096
CHUNKED = b"HTTP/1.1 200 OK\r\nX-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n"

# The start of each response, and the bytes that follow it until the caller closes.
ENDLESS = {
    "header lines": (b"HTTP/1.1 200 OK\r\n", b"X-Pad: 1\r\n" * 400),
    "one header line": (b"HTTP/1.1 200 OK\r\nX-Pad: ", b"x" * BLOCK),
    "status line": (b"HTTP/1.1 200 ", b"x" * BLOCK),
    "no HTTP": (b"", b"\x00" * BLOCK),
    "interim responses": (b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 100),
    "chunk size": (CHUNKED, b"0" * BLOCK),
    "chunk extension": (CHUNKED + b"5;", b"x" * BLOCK),
    "trailers": (CHUNKED + b"0\r\n", b"X-Pad: 1\r\n" * 400),
    "body without length": (
        b"HTTP/1.1 200 OK\r\nX-Id: %s\r\n\r\n",
        b"x" * 16 * BLOCK,
    ),
    "empty responses to others": (
        b"",
        b"HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 0\r\n\r\n" * 50,
    ),
}


def make_endless_upstream(start: bytes, block: bytes) -> ScriptedUpstream:
    async def sends_without_end(
        upstream: ScriptedUpstream, stream: SocketStream, request: bytes
    ) -> None:
        head = start % read_request_id(request) if b"%s" in start else start
        for data in chain([head], repeat(block)):
            await stream.send(data)

    return ScriptedUpstream("u0", sends_without_end)


@pytest.mark.parametrize("kind", ENDLESS)
async def test_endless_response_ends_the_connection_and_is_no_answer(
    make_gateway: MakeGateway, time_limit: anyio.CancelScope, kind: str
) -> None:
    """The caller learns that the request may have run, well before its deadline."""
    upstream = make_endless_upstream(*ENDLESS[kind])
    gateway = await make_gateway(upstream)
    with time_limit:
        response = await gateway.exchange(encode_post(b"order"))
        await upstream.closed_by_gateway.wait()
    assert response.startswith(b"HTTP/1.1 502")
    assert len(upstream.requests) == 1


async def test_response_one_byte_at_a_time_ends_at_the_deadline(
    make_gateway: MakeGateway, time_limit: anyio.CancelScope
) -> None:
    async def trickles(
        upstream: ScriptedUpstream, stream: SocketStream, request: bytes
    ) -> None:
        await stream.send(b"HTTP/1.1 200 OK\r\nX-Pad: ")
        while True:
            await stream.send(b"x")
            await anyio.sleep(0.01)

    upstream = ScriptedUpstream("u0", trickles)
    gateway = await make_gateway(upstream)
    with time_limit:
        response = await gateway.exchange(encode_get(extra=b"X-Deadline-Ms: 200\r\n"))
        await upstream.closed_by_gateway.wait()
    assert response.startswith(b"HTTP/1.1 504")
