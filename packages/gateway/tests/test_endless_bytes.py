"""Tests of upstreams that send bytes without end that are no response."""

from itertools import chain, repeat

import anyio
import pytest
from anyio.abc import SocketStream

from tanagercourse.gateway.large_bodies import (
    MAX_LARGE_BODIES_BYTES,
    SMALL_RESPONSE_BYTES,
    LargeBodies,
)
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


async def test_endless_bodies_together_stay_within_the_memory_limit(
    make_gateway: MakeGateway, time_limit: anyio.CancelScope
) -> None:
    """Six upstreams send bodies at once."""
    script = make_endless_upstream(*ENDLESS["body without length"]).script
    upstreams = [ScriptedUpstream(f"u{number}", script) for number in range(6)]
    gateway = await make_gateway(*upstreams)
    large_bodies = gateway.dependencies.pool.large_bodies
    held_bytes: list[int] = []
    responses: list[bytes] = []

    async def exchange(number: int) -> None:
        extra = b"Cookie: k=%d\r\n" % number
        responses.append(await gateway.exchange(encode_post(b"order", extra=extra)))

    async def sample() -> None:
        while True:
            held_bytes.append(large_bodies.held_bytes)
            await anyio.sleep(0.005)

    with time_limit:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(sample)
            async with anyio.create_task_group() as callers:
                for number in range(12):
                    callers.start_soon(exchange, number)
            tasks.cancel_scope.cancel()
    assert 0 < max(held_bytes) <= MAX_LARGE_BODIES_BYTES
    assert large_bodies.held_bytes == 0
    assert {response[:12] for response in responses} <= {
        b"HTTP/1.1 502",
        b"HTTP/1.1 503",
    }


def test_small_body_may_grow_while_large_bodies_fill_the_limit() -> None:
    large_bodies = LargeBodies()
    with large_bodies.track() as grow_large, large_bodies.track() as grow_small:
        assert grow_large(MAX_LARGE_BODIES_BYTES)
        assert not grow_large(MAX_LARGE_BODIES_BYTES + 1)
        assert grow_small(SMALL_RESPONSE_BYTES)
        assert not grow_small(SMALL_RESPONSE_BYTES + 1)
    assert large_bodies.held_bytes == 0


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
