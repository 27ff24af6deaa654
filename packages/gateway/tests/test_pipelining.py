"""Tests of several requests on one connection, as callers and upstreams see them.

They guard against responses in the wrong order, requests that are forwarded and never
answered, and slow responses or readers that hold what others need.
"""

from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field, replace

import anyio
import pytest
from anyio.abc import SocketStream
from anyio.streams.buffered import BufferedByteReceiveStream

from tanagercourse.gateway.caller_stream import receive
from tanagercourse.gateway.callers import overlap_nothing
from tanagercourse.gateway.forwarding import make_overlap_decision
from tanagercourse.gateway.messages import CallerRequest
from tanagercourse.gateway.pipelines import MAX_HELD_BYTES, MAX_PIPELINED_REQUESTS
from tanagercourse.testing.gateway_harness import (
    Gateway,
    MakeGateway,
    gateway_factory,
    make_two_route_configuration,
    serve_on_free_port,
)
from tanagercourse.testing.scripted import (
    HOST,
    ScriptedUpstream,
    encode_get,
    encode_post,
    encode_response,
    read_request_id,
    reset_connection,
)

pytestmark = pytest.mark.anyio

SETTLE_S = 0.1
LIMITS = make_two_route_configuration().limits


@dataclass
class HeldUpstreams:
    """Upstreams that hold each response until its request is released.

    Attributes:
        held: Ids of the requests that are held until they are released.
        lost: Ids of the requests that end with the connection's reset.
        body: Body of each response after the id of its request.
        received: Ids of all requests, in the order of their arrival.
    """

    held: set[bytes] = field(default_factory=set)
    lost: set[bytes] = field(default_factory=set)
    body: bytes = b""
    received: list[bytes] = field(default_factory=list)
    _changed: anyio.Event = field(default_factory=anyio.Event)

    async def respond(
        self, upstream: ScriptedUpstream, stream: SocketStream, request: bytes
    ) -> None:
        name = read_request_id(request)
        self.received.append(name)
        while name in self.held:
            await self._changed.wait()
        if name in self.lost:
            await stream.send(b"HTTP/1.1 200 OK\r\nContent-Le")
            await reset_connection(stream)
            return
        await stream.send(encode_response(request, name + self.body))

    def release(self, *names: bytes) -> None:
        self.held.difference_update(names)
        self._changed.set()
        self._changed = anyio.Event()

    def make(self, count: int = 6) -> list[ScriptedUpstream]:
        return [ScriptedUpstream(f"u{number}", self.respond) for number in range(count)]


@dataclass
class Caller:
    """A caller that reads several responses from one connection."""

    stream: SocketStream

    def __post_init__(self) -> None:
        self._buffered = BufferedByteReceiveStream(self.stream)

    async def send(self, *requests: bytes) -> None:
        await self.stream.send(b"".join(requests))

    async def read(self) -> tuple[bytes, bytes]:
        """Return the head of the next response and its body."""
        head = await self._buffered.receive_until(b"\r\n\r\n", 65_536)
        _, has_length, length = head.partition(b"Content-Length: ")
        size_bytes = int(length.split(b"\r\n")[0]) if has_length else 0
        return head, await self._buffered.receive_exactly(size_bytes)

    async def read_all(self) -> list[tuple[int, bytes, bool]]:
        """Return status, body and whether it closes, of all until the end."""
        responses = []
        with pytest.raises((anyio.IncompleteRead, anyio.EndOfStream)):
            while True:
                head, body = await self.read()
                responses.append((int(head[9:12]), body, b"Connection: close" in head))
        return responses


@pytest.fixture
def upstreams(anyio_backend: str) -> HeldUpstreams:
    return HeldUpstreams()


@pytest.fixture
async def make_hasty_gateway(anyio_backend: str) -> AsyncIterator[MakeGateway]:
    """Return a function that starts a gateway with short limits."""
    limits = replace(LIMITS, header_timeout_s=0.2, idle_timeout_s=0.2)
    configuration = replace(make_two_route_configuration(), limits=limits)
    async with gateway_factory(configuration) as make:
        yield make


async def connect(gateway: Gateway) -> Caller:
    return Caller(await gateway.connect())


async def until(is_met: Callable[[], bool]) -> None:
    # Less than the time limit of the routes.
    with anyio.fail_after(3.0):
        while not is_met():
            await anyio.sleep(0.005)


def get(name: bytes, extra: bytes = b"") -> bytes:
    return encode_get(request_id=name, extra=extra)


def names(count: int) -> list[bytes]:
    return [b"r%d" % number for number in range(1, count + 1)]


async def test_responses_are_in_order_and_finished_ones_hold_no_slot(
    make_gateway: MakeGateway, upstreams: HeldUpstreams
) -> None:
    upstreams.held = {b"r1"}
    gateway = await make_gateway(*upstreams.make(1))
    async with (caller := await connect(gateway)).stream:
        await caller.send(*map(get, names(7)))
        await until(lambda: len(upstreams.received) == 7)
        await until(lambda: next(iter(gateway.fleet)).in_flight == 1)
        await until(lambda: gateway.connections.budget.held_bytes == 6 * len(b"r1"))
        assert gateway.connections.in_hand == 7
        upstreams.release(b"r1")
        assert [(await caller.read())[1] for _ in range(7)] == names(7)
    assert gateway.connections.in_hand == gateway.connections.budget.held_bytes == 0


@pytest.mark.parametrize(
    "last", [get(b"r2", b"Connection: close\r\n"), get(b"r2").replace(b"1.1", b"1.0")]
)
async def test_nothing_behind_a_request_that_ends_the_connection_is_forwarded(
    make_gateway: MakeGateway, upstreams: HeldUpstreams, last: bytes
) -> None:
    upstreams.held = {b"r1"}
    gateway = await make_gateway(*upstreams.make())
    async with (caller := await connect(gateway)).stream:
        await caller.send(get(b"r1"), last, get(b"r3"))
        await until(lambda: b"r2" in upstreams.received)
        upstreams.release(b"r1")
        responses = await caller.read_all()
    assert responses == [(200, b"r1", False), (200, b"r2", True)]
    assert set(upstreams.received) == {b"r1", b"r2"}


async def test_planned_stop_answers_what_was_forwarded(
    make_gateway: MakeGateway, upstreams: HeldUpstreams
) -> None:
    upstreams.held = {b"r1", b"r2"}
    gateway = await make_gateway(*upstreams.make())
    async with (caller := await connect(gateway)).stream:
        await caller.send(get(b"r1"), get(b"r2"))
        await until(lambda: len(upstreams.received) == 2)
        gateway.connections.is_leaving = True
        gateway.connections.close_idle()
        await caller.send(get(b"r3"))
        await anyio.sleep(SETTLE_S)
        upstreams.release(b"r1", b"r2")
        responses = await caller.read_all()
    assert responses == [(200, b"r1", False), (200, b"r2", True)]
    assert set(upstreams.received) == {b"r1", b"r2"}


async def test_requests_that_a_planned_exit_ends_are_answered_in_order(
    make_gateway: MakeGateway, upstreams: HeldUpstreams
) -> None:
    """Finished responses waited for them and were lost at the exit (review/15)."""
    upstreams.held = {b"r1", b"r3"}
    gateway = await make_gateway(*upstreams.make())
    async with (caller := await connect(gateway)).stream:
        await caller.send(*map(get, names(4)))
        await until(lambda: len(upstreams.received) == 4)
        await anyio.sleep(SETTLE_S)
        gateway.connections.is_leaving = True
        deps = gateway.dependencies
        assert deps.scopes.cancel_outlasting(deps.clock() + 60.0) == 0
        assert deps.scopes.cancel_outlasting(deps.clock()) == 2
        responses = await caller.read_all()
    assert responses == [
        (502, b"", False),
        (200, b"r2", False),
        (502, b"", False),
        (200, b"r4", True),
    ]
    assert not any(record.in_flight for record in gateway.fleet)


@pytest.mark.parametrize("extra", [b"", b"Connection: close\r\n"])
async def test_caller_that_leaves_cancels_all_its_requests(
    make_gateway: MakeGateway, upstreams: HeldUpstreams, extra: bytes
) -> None:
    upstreams.held = set(names(3))
    gateway = await make_gateway(*upstreams.make())
    async with (caller := await connect(gateway)).stream:
        await caller.send(get(b"r1"), get(b"r2"), get(b"r3", extra))
        await until(lambda: len(upstreams.received) == 3)
    await until(lambda: not any(record.in_flight for record in gateway.fleet))
    await until(lambda: gateway.connections.open_count == 0)
    assert gateway.connections.in_hand == gateway.connections.budget.held_bytes == 0


async def test_upstream_that_dies_costs_one_response_and_no_order(
    make_gateway: MakeGateway, upstreams: HeldUpstreams
) -> None:
    upstreams.held, upstreams.lost = {b"r1", b"r3"}, {b"r2"}
    gateway = await make_gateway(*upstreams.make())
    async with (caller := await connect(gateway)).stream:
        await caller.send(*map(get, names(3)))
        await until(lambda: upstreams.received.count(b"r2") == 2)
        upstreams.release(b"r1", b"r3")
        responses = [await caller.read() for _ in range(3)]
    assert [head[9:12] for head, _ in responses] == [b"200", b"502", b"200"]
    assert [body for _, body in responses] == [b"r1", b"", b"r3"]


async def test_non_idempotent_request_runs_alone(
    make_gateway: MakeGateway, upstreams: HeldUpstreams
) -> None:
    upstreams.held = {b"r1", b"r2"}
    gateway = await make_gateway(*upstreams.make())
    async with (caller := await connect(gateway)).stream:
        await caller.send(get(b"r1"), encode_post(b"x", request_id=b"r2"), get(b"r3"))
        await until(lambda: bool(upstreams.received))
        await anyio.sleep(SETTLE_S)
        assert upstreams.received == [b"r1"]
        upstreams.release(b"r1")
        assert (await caller.read())[1] == b"r1"
        await until(lambda: len(upstreams.received) == 2)
        await anyio.sleep(SETTLE_S)
        assert upstreams.received == [b"r1", b"r2"]
        upstreams.release(b"r2")
        assert [(await caller.read())[1] for _ in range(2)] == [b"r2", b"r3"]


async def test_caller_that_leaves_ends_what_waits_behind_a_non_idempotent_request(
    make_gateway: MakeGateway, upstreams: HeldUpstreams
) -> None:
    upstreams.held = {b"r1"}
    gateway = await make_gateway(*upstreams.make())
    async with (caller := await connect(gateway)).stream:
        await caller.send(encode_post(b"x"), get(b"r2"))
        await until(lambda: upstreams.received == [b"r1"])
    await until(lambda: gateway.connections.open_count == 0)
    assert upstreams.received == [b"r1"] and not gateway.connections.in_hand


async def test_one_of_ten_is_refused_in_its_place(
    make_gateway: MakeGateway, upstreams: HeldUpstreams
) -> None:
    upstreams.held = {b"r1"}
    gateway = await make_gateway(*upstreams.make())
    requests = [get(name) for name in names(10)]
    requests[4] = encode_get(b"/unknown/", b"r5")
    async with (caller := await connect(gateway)).stream:
        await caller.send(*requests)
        await until(lambda: b"r8" in upstreams.received)
        upstreams.release(b"r1")
        responses = [await caller.read() for _ in range(10)]
    expected = names(10)
    expected[4] = b""
    assert [body for _, body in responses] == expected
    assert responses[4][0].startswith(b"HTTP/1.1 404")


@pytest.mark.parametrize(
    ("malformed", "status"),
    [
        (b"nonsense\r\n\r\n", 400),
        (encode_post(b"x" * 200_000, b"/safe/x"), 413),
        (get(b"r3", b"X-Long: " + b"x" * 8000 + b"\r\n"), 431),
        (b"GET /safe/x HTTP", 408),
    ],
)
async def test_malformed_request_is_refused_behind_good_ones(
    make_hasty_gateway: MakeGateway,
    upstreams: HeldUpstreams,
    malformed: bytes,
    status: int,
) -> None:
    upstreams.held = {b"r1"}
    gateway = await make_hasty_gateway(*upstreams.make())
    async with (caller := await connect(gateway)).stream:
        await caller.send(get(b"r1"), get(b"r2"), malformed)
        await anyio.sleep(2 * SETTLE_S)
        upstreams.release(b"r1")
        responses = await caller.read_all()
    assert responses == [(200, b"r1", False), (200, b"r2", False), (status, b"", True)]


async def test_bodies_between_requests_arrive_whole(
    make_gateway: MakeGateway, upstreams: HeldUpstreams
) -> None:
    upstreams.held = {b"r1"}
    scripted = upstreams.make()
    gateway = await make_gateway(*scripted)
    chunked = encode_post(b"", b"/safe/x", b"r3").replace(
        b"Content-Length: 0", b"Transfer-Encoding: chunked"
    )
    async with (caller := await connect(gateway)).stream:
        await caller.send(get(b"r1"), encode_post(b"a" * 90_000, b"/safe/x", b"r2"))
        await caller.send(chunked, b"4\r\nGET \r\n", b"0\r\n\r\n", get(b"r4"))
        await until(lambda: len(upstreams.received) == 4)
        upstreams.release(b"r1")
        assert [(await caller.read())[1] for _ in range(4)] == names(4)
    bodies = {
        read_request_id(request): request.partition(b"\r\n\r\n")[2]
        for upstream in scripted
        for request in upstream.requests
    }
    assert bodies == {b"r1": b"", b"r2": b"a" * 90_000, b"r3": b"GET ", b"r4": b""}


async def test_body_is_invited_when_all_earlier_responses_are_written(
    make_hasty_gateway: MakeGateway, upstreams: HeldUpstreams
) -> None:
    """The wait for earlier responses doesn't count as the caller's time."""
    upstreams.held = {b"r1"}
    gateway = await make_hasty_gateway(*upstreams.make())
    post = encode_post(b"body", b"/safe/x", b"r2", b"Expect: 100-continue\r\n")
    async with (caller := await connect(gateway)).stream:
        await caller.send(get(b"r1"), post[:-4])
        await anyio.sleep(3 * SETTLE_S)
        upstreams.release(b"r1")
        assert (await caller.read())[1] == b"r1"
        assert (await caller.read())[0].startswith(b"HTTP/1.1 100")
        await caller.send(b"body", get(b"r3"))
        assert [(await caller.read())[1] for _ in range(2)] == [b"r2", b"r3"]


async def test_no_more_requests_run_than_the_limit(
    make_gateway: MakeGateway, upstreams: HeldUpstreams
) -> None:
    upstreams.held = set(names(12))
    gateway = await make_gateway(*upstreams.make())
    async with (caller := await connect(gateway)).stream:
        await caller.send(*map(get, names(12)))
        await until(lambda: len(upstreams.received) == MAX_PIPELINED_REQUESTS)
        await anyio.sleep(SETTLE_S)
        assert sorted(upstreams.received) == names(MAX_PIPELINED_REQUESTS)
        upstreams.release(b"r1")
        await until(lambda: len(upstreams.received) == MAX_PIPELINED_REQUESTS + 1)
        upstreams.release(*names(12))
        assert [(await caller.read())[1] for _ in range(12)] == names(12)


async def test_slow_reader_is_bounded_in_memory_and_delays_nobody(
    make_gateway: MakeGateway, upstreams: HeldUpstreams
) -> None:
    upstreams.body = b"x" * 400_000
    gateway = await make_gateway(*upstreams.make())
    budget, count = gateway.connections.budget, 30
    async with (caller := await connect(gateway)).stream:
        await caller.send(*map(get, names(count)))
        await anyio.sleep(5 * SETTLE_S)
        held_bytes = budget.held_bytes
        assert held_bytes <= MAX_HELD_BYTES + MAX_PIPELINED_REQUESTS * 400_002
        assert len(upstreams.received) < count
        with anyio.fail_after(1.0):
            other = await gateway.exchange(get(b"other"))
        assert other.startswith(b"HTTP/1.1 200")
        bodies = [(await caller.read())[1] for _ in range(count)]
    assert bodies == [name + upstreams.body for name in names(count)]
    await until(lambda: budget.held_bytes == 0)


async def test_no_request_starts_while_many_bytes_are_held(
    make_gateway: MakeGateway, upstreams: HeldUpstreams
) -> None:
    upstreams.held, upstreams.body = {b"r1"}, b"x" * (MAX_HELD_BYTES + 1)
    gateway = await make_gateway(*upstreams.make())
    async with (caller := await connect(gateway)).stream:
        await caller.send(get(b"r1"), get(b"r2"))
        await until(lambda: gateway.connections.budget.held_bytes > MAX_HELD_BYTES)
        await caller.send(get(b"r3"))
        await anyio.sleep(SETTLE_S)
        assert b"r3" not in upstreams.received
        upstreams.release(b"r1")
        assert [(await caller.read())[1][:2] for _ in range(3)] == names(3)


async def test_caller_that_sends_without_end_is_read_up_to_a_limit(
    make_gateway: MakeGateway, upstreams: HeldUpstreams
) -> None:
    """The transport would read into memory whatever arrives."""
    upstreams.held = {b"r1"}
    gateway = await make_gateway(*upstreams.make())
    requests, sent_bytes = get(b"r1") * 10_000, 0
    async with (caller := await connect(gateway)).stream:
        with anyio.move_on_after(5 * SETTLE_S):
            while True:
                await caller.send(requests)
                sent_bytes += len(requests)
    # The kernel's buffers of both ends take the rest.
    assert sent_bytes < 16_000_000


async def test_cancelled_wait_for_bytes_leaves_the_transport_paused() -> None:
    """It would read without limit while the connection asks for nothing."""
    is_reading: list[bool] = []

    async def receives_in_vain(stream: SocketStream) -> None:
        with anyio.move_on_after(SETTLE_S):
            await receive(stream)
        transport = stream._transport  # type: ignore[attr-defined]
        is_reading.append(transport.is_reading())

    async with anyio.create_task_group() as tasks:
        port = await tasks.start(serve_on_free_port, receives_in_vain)
        async with await anyio.connect_tcp("127.0.0.1", port):
            await until(lambda: bool(is_reading))
        tasks.cancel_scope.cancel()
    assert is_reading == [False]


async def test_requests_do_not_overlap_while_memory_is_short(
    make_gateway: MakeGateway, upstreams: HeldUpstreams
) -> None:
    upstreams.held = {b"r1"}
    gateway = await make_gateway(*upstreams.make())
    budget = gateway.connections.budget
    async with (caller := await connect(gateway)).stream:
        with budget.hold(budget.limit_bytes * 3 // 4):
            await caller.send(*map(get, names(3)))
            await until(lambda: bool(upstreams.received))
            await anyio.sleep(SETTLE_S)
            assert upstreams.received == [b"r1"]
            upstreams.release(b"r1")
            assert [(await caller.read())[1] for _ in range(3)] == names(3)


async def test_connection_is_idle_only_when_nothing_runs(
    make_hasty_gateway: MakeGateway, upstreams: HeldUpstreams
) -> None:
    """Neither a stop nor the idle timeout cuts off requests behind a slow one."""
    upstreams.held = {b"r1"}
    gateway = await make_hasty_gateway(*upstreams.make())
    async with (caller := await connect(gateway)).stream:
        await caller.send(get(b"r1"), get(b"r2"))
        await anyio.sleep(3 * SETTLE_S)
        gateway.connections.close_idle()
        upstreams.release(b"r1")
        started_at_s = anyio.current_time()
        responses = await caller.read_all()
    assert [body for _, body, _ in responses] == [b"r1", b"r2"]
    assert anyio.current_time() - started_at_s >= 0.15


def request_to(target: bytes) -> CallerRequest:
    return CallerRequest(b"GET", target, ((b"Host", HOST),), b"", 0.0)


def test_only_idempotent_and_refused_requests_may_overlap() -> None:
    configuration = make_two_route_configuration()
    may_overlap = make_overlap_decision(lambda: configuration)
    assert may_overlap(request_to(b"/safe/x")) and may_overlap(request_to(b"/none/"))
    assert not may_overlap(request_to(b"/once/x"))
    assert make_overlap_decision(lambda: None)(request_to(b"/once/x"))
    assert not overlap_nothing(request_to(b"/safe/x"))
