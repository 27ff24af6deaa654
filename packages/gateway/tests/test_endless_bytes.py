"""Tests of upstreams that send bytes without end that are no response."""

from itertools import chain, repeat

import anyio
import pytest
from anyio.abc import SocketStream

from tanagercourse.gateway.body_budget import (
    LONG_BODIES_SHARE,
    SHORT_BODY_BYTES,
    BodyBudget,
)
from tanagercourse.routing.fleet import Reachability
from tanagercourse.testing.gateway_harness import MakeGateway, MarkDown
from tanagercourse.testing.scripted import (
    ScriptedUpstream,
    encode_get,
    encode_post,
    read_request_id,
)

pytestmark = pytest.mark.anyio

BLOCK = 4096
CHUNKED = (
    b"HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Proof: p\r\nTransfer-Encoding: chunked\r\n\r\n"
)

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
        b"HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Proof: p\r\n\r\n",
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


@pytest.mark.parametrize("kind", ENDLESS)
async def test_endless_health_response_ends_the_connection_and_keeps_nothing(
    make_gateway: MakeGateway,
    mark_down: MarkDown,
    time_limit: anyio.CancelScope,
    kind: str,
) -> None:
    """A machine that kept the bytes ran out of memory, with all its requests."""
    upstream = make_endless_upstream(*ENDLESS[kind])
    gateway = await make_gateway(upstream)
    record = mark_down(gateway, "u0", "/health")
    with time_limit:
        await upstream.closed_by_gateway.wait()
    assert record.reachability is Reachability.DOWN
    assert gateway.dependencies.pool.budget.held_bytes == 0


async def test_endless_bodies_together_stay_within_the_memory_limit(
    make_gateway: MakeGateway, time_limit: anyio.CancelScope
) -> None:
    """Six upstreams send bodies at once."""
    script = make_endless_upstream(*ENDLESS["body without length"]).script
    upstreams = [ScriptedUpstream(f"u{number}", script) for number in range(6)]
    gateway = await make_gateway(*upstreams)
    budget = gateway.dependencies.pool.budget
    held_bytes: list[int] = []
    responses: list[bytes] = []

    async def exchange(number: int) -> None:
        extra = b"Cookie: k=%d\r\n" % number
        responses.append(await gateway.exchange(encode_post(b"order", extra=extra)))

    async def sample() -> None:
        while True:
            held_bytes.append(budget.held_bytes)
            await anyio.sleep(0.005)

    with time_limit:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(sample)
            async with anyio.create_task_group() as callers:
                for number in range(12):
                    callers.start_soon(exchange, number)
            tasks.cancel_scope.cancel()
    assert 0 < max(held_bytes) <= budget.limit_bytes * LONG_BODIES_SHARE
    assert budget.held_bytes == 0
    assert {response[:12] for response in responses} <= {
        b"HTTP/1.1 502",
        b"HTTP/1.1 503",
    }


def test_short_body_may_grow_while_long_bodies_fill_their_share() -> None:
    budget = BodyBudget()
    long_bytes = int(budget.limit_bytes * LONG_BODIES_SHARE)
    with budget.open() as long_body, budget.open() as short_body:
        assert long_body.try_grow(long_bytes)
        assert not long_body.try_grow(long_bytes + 1)
        assert short_body.try_grow(SHORT_BODY_BYTES)
        assert not short_body.try_grow(SHORT_BODY_BYTES + 1)
        assert budget.held_bytes == long_bytes + SHORT_BODY_BYTES
    assert budget.held_bytes == 0


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
