"""Tests of the memory that bodies take together.

Long bodies that were read at the same time weren't counted, and the process was killed
over its memory with all its requests (Fault, review/5).
"""

import anyio
import pytest
from anyio.abc import SocketStream

from tanagercourse.gateway.body_budget import (
    LONG_BODIES_SHARE,
    SHORT_BODY_BYTES,
    BodyBudget,
    budget_bytes,
)
from tanagercourse.gateway.request_reading import BODY_WAIT_S
from tanagercourse.testing.gateway_harness import Gateway, MakeGateway
from tanagercourse.testing.scripted import (
    ScriptedUpstream,
    encode_post,
    read_response,
    send_complete_response,
)

pytestmark = pytest.mark.anyio

LONG_BYTES = SHORT_BODY_BYTES + 1
# The harness's routes allow bodies of this size.
BODY_LIMIT_BYTES = 100_000


@pytest.fixture
def budget(anyio_backend: str) -> BodyBudget:
    return BodyBudget(4 * LONG_BYTES)


def limit_bodies(gateway: Gateway, limit_bytes: int) -> BodyBudget:
    """Set the budget of a gateway's callers, and return it."""
    budget = gateway.connections.budget
    budget.limit_bytes = limit_bytes
    return budget


def test_budget_follows_the_memory_of_the_instance() -> None:
    assert budget_bytes(300_000_000) == 90_000_000


async def test_body_waits_until_another_is_released(budget: BodyBudget) -> None:
    has_grown: list[bool] = []
    with budget.open() as first, budget.open() as second:
        assert first.try_grow(int(budget.limit_bytes * LONG_BODIES_SHARE))

        async def grow() -> None:
            has_grown.append(await second.grow(LONG_BYTES, 5.0))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(grow)
            await anyio.sleep(0.05)
            assert has_grown == []
            first.release()
    assert has_grown == [True] and budget.held_bytes == 0


async def test_body_that_can_never_fit_does_not_wait(budget: BodyBudget) -> None:
    with budget.open() as held, anyio.fail_after(1.0):
        assert not await held.grow(budget.limit_bytes, 60.0)


async def test_wait_for_room_ends(budget: BodyBudget) -> None:
    with budget.open() as first, budget.open() as second:
        assert first.try_grow(3 * LONG_BYTES)
        assert not await second.grow(LONG_BYTES, 0.01)
        assert second.size_bytes == 0


def test_complete_body_is_counted_although_there_is_no_room(budget: BodyBudget) -> None:
    with budget.hold(5 * LONG_BYTES), budget.open() as held:
        assert not held.try_grow(1)
    assert budget.held_bytes == 0


async def begin_upload(gateway: Gateway, size_bytes: int) -> SocketStream:
    """Send the head of a request and the first byte of its body."""
    stream = await gateway.connect()
    request = encode_post(bytes(size_bytes))
    await stream.send(request[: len(request) - size_bytes + 1])
    return stream


async def test_bodies_that_are_being_read_count(
    make_gateway: MakeGateway, time_limit: anyio.CancelScope
) -> None:
    """The second of two long bodies is refused truthfully, in time."""
    upstream = ScriptedUpstream("u0", send_complete_response)
    gateway = await make_gateway(upstream)
    budget = limit_bodies(gateway, BODY_LIMIT_BYTES)
    with time_limit:
        async with await begin_upload(gateway, 60_000) as first:
            while not budget.held_bytes:
                await anyio.sleep(0.01)
            started_at_s = anyio.current_time()
            refused = await gateway.exchange(encode_post(bytes(60_000)))
            elapsed_s = anyio.current_time() - started_at_s
            await first.send(bytes(59_999))
            served = await read_response(first)
    assert refused.startswith(b"HTTP/1.1 503") and b"Retry-After: " in refused
    assert elapsed_s >= BODY_WAIT_S * 0.9
    assert served.startswith(b"HTTP/1.1 200") and len(upstream.requests) == 1


async def test_body_is_served_once_there_is_room(
    make_gateway: MakeGateway, time_limit: anyio.CancelScope
) -> None:
    upstream = ScriptedUpstream("u0", send_complete_response)
    gateway = await make_gateway(upstream)
    budget = limit_bodies(gateway, BODY_LIMIT_BYTES)
    responses: list[bytes] = []

    async def exchange() -> None:
        responses.append(await gateway.exchange(encode_post(bytes(60_000))))

    with time_limit:
        async with await begin_upload(gateway, 60_000) as first:
            while not budget.held_bytes:
                await anyio.sleep(0.01)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(exchange)
                await anyio.sleep(0.1)
                await first.send(bytes(59_999))
                await read_response(first)
    assert responses[0].startswith(b"HTTP/1.1 200") and len(upstream.requests) == 2


async def test_chunked_body_without_room_is_refused(
    make_gateway: MakeGateway, time_limit: anyio.CancelScope
) -> None:
    upstream = ScriptedUpstream("u0", send_complete_response)
    gateway = await make_gateway(upstream)
    limit_bodies(gateway, 40_000)
    head = b"POST /once/x HTTP/1.1\r\nHost: h.example\r\nX-Id: r1\r\n"
    chunk = b"%x\r\n%s\r\n" % (30_000, bytes(30_000))
    with time_limit:
        response = await gateway.exchange(
            head + b"Transfer-Encoding: chunked\r\n\r\n" + 2 * chunk + b"0\r\n\r\n"
        )
    assert response.startswith(b"HTTP/1.1 503") and upstream.requests == []
    assert gateway.connections.budget.held_bytes == 0


async def test_short_requests_are_served_while_long_ones_fill_their_share(
    make_gateway: MakeGateway, time_limit: anyio.CancelScope
) -> None:
    upstream = ScriptedUpstream("u0", send_complete_response)
    gateway = await make_gateway(upstream)
    budget = limit_bodies(gateway, 4 * LONG_BYTES)
    with time_limit, budget.open() as long_body:
        assert long_body.try_grow(int(budget.limit_bytes * LONG_BODIES_SHARE))
        for _ in range(3):
            response = await gateway.exchange(encode_post(bytes(BODY_LIMIT_BYTES)))
            assert response.startswith(b"HTTP/1.1 200")


async def test_body_over_the_limit_is_refused_before_it_is_read(
    make_gateway: MakeGateway, time_limit: anyio.CancelScope
) -> None:
    gateway = await make_gateway(ScriptedUpstream("u0", send_complete_response))
    with time_limit:
        async with await begin_upload(gateway, BODY_LIMIT_BYTES + 1) as stream:
            response = await read_response(stream)
    assert response.startswith(b"HTTP/1.1 413")


@pytest.mark.parametrize("size_bytes", [65_536, 200_000, 1_000_000])
async def test_long_response_is_written_in_parts_and_arrives_whole(
    make_gateway: MakeGateway, time_limit: anyio.CancelScope, size_bytes: int
) -> None:
    body = bytes(range(256)) * (size_bytes // 256) + b"end"

    async def responds(
        upstream: ScriptedUpstream, stream: SocketStream, request: bytes
    ) -> None:
        head = (
            b"HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Proof: p\r\nContent-Length: %d\r\n\r\n"
        )
        await stream.send(head % len(body) + body)

    gateway = await make_gateway(ScriptedUpstream("u0", responds))
    with time_limit:
        response = await gateway.exchange(encode_post(b"order"))
    assert response.partition(b"\r\n\r\n")[2] == body
    assert gateway.connections.budget.held_bytes == 0
