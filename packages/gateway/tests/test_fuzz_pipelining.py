"""Fuzzing of pipelined requests: each one that is handled is answered, in order."""

import socket
from collections.abc import Iterator
from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import Any, cast

import anyio
import h11
import pytest
import structlog
from anyio.abc import SocketAttribute, SocketStream
from anyio.lowlevel import checkpoint
from hypothesis import example, given
from hypothesis import strategies as st

from tanagercourse.gateway.callers import (
    CallerConnections,
    CallerDependencies,
    serve_caller,
)
from tanagercourse.gateway.messages import CallerRequest, Response
from tanagercourse.routing.configuration import CallerLimits
from tanagercourse.testing.fuzzing import FUZZING

GET = b"GET /safe/%d HTTP/1.1\r\nHost: h\r\n\r\n"
CHUNKED = (
    b"POST /safe/%d HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"3;x=y\r\nGET\r\n0\r\nX-Trailer: 1\r\n\r\n"
)
ONCE = b"POST /once/%d HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody"
EXPECT = ONCE.replace(b"Host: h", b"Host: h\r\nExpect: 100-continue")
UPGRADE = GET.replace(b"Host: h", b"Host: h\r\nUpgrade: other\r\nConnection: upgrade")
LAST = GET.replace(b"Host: h", b"Host: h\r\nConnection: close")
OLD = GET.replace(b"1.1", b"1.0")
KINDS = (GET, CHUNKED, ONCE, EXPECT, UPGRADE, LAST, OLD)

# No example depends on a timeout.
LIMITS = CallerLimits(4096, 100_000, 60.0, 60.0)
# Turns of the event loop without a running request after which the caller leaves.
QUIET_TURNS = 20

kinds = st.lists(st.sampled_from(KINDS), min_size=1, max_size=12)
sizes = st.lists(st.integers(1, 120))
durations = st.lists(st.integers(0, 30), min_size=12, max_size=12)


@dataclass
class ScriptedCaller:
    """A caller that sends some bytes, read by read, and leaves once all is quiet.

    Attributes:
        reads: The bytes of each read.
        connections: The connections of the gateway, which count running requests.
        written: All bytes that were sent to the caller.
    """

    reads: list[bytes]
    connections: CallerConnections
    written: bytearray = field(default_factory=bytearray)
    _socket: socket.socket = field(default_factory=socket.socket)
    _is_ended: bool = False
    _transport: Any = field(
        default_factory=lambda: SimpleNamespace(pause_reading=lambda: None)
    )

    def extra(self, attribute: Any) -> socket.socket:
        assert attribute is SocketAttribute.raw_socket
        return self._socket

    async def send(self, data: bytes) -> None:
        await checkpoint()
        self.written += data

    async def receive(self, max_bytes: int) -> bytes:
        quiet_turns = 0
        while not self.reads and not self._is_ended and quiet_turns < QUIET_TURNS:
            quiet_turns = 0 if self.connections.in_hand else quiet_turns + 1
            await checkpoint()
        if self._is_ended or not self.reads:
            raise anyio.EndOfStream
        # Bytes that are there when the call is cancelled are returned, as by a socket.
        with anyio.CancelScope(shield=True):
            await checkpoint()
        return self.reads.pop(0)

    async def send_eof(self) -> None:
        self._is_ended = True

    async def aclose(self) -> None:
        self._socket.close()


@dataclass
class Handler:
    """Handles requests, each for a number of turns of the event loop.

    Attributes:
        durations: Turns by the number of the request, modulo their count.
        connections: The connections of the gateway.
        leaves_at: Number of the request after which the instance is leaving.
        handled: Targets of all requests, in the order in which they started.
    """

    durations: list[int]
    connections: CallerConnections
    leaves_at: int | None
    handled: list[bytes] = field(default_factory=list)
    _running: set[bytes] = field(default_factory=set)

    async def respond(self, request: CallerRequest) -> Response:
        target = request.target
        is_alone = not self._running or may_overlap(request)
        assert is_alone and not any(b"/once/" in other for other in self._running)
        turns = self.durations[len(self.handled) % len(self.durations)]
        self.handled.append(target)
        is_leaving = len(self.handled) == self.leaves_at
        self._running.add(target)
        for _ in range(turns):
            await checkpoint()
        self._running.discard(target)
        self.connections.is_leaving = self.connections.is_leaving or is_leaving
        return Response(200, b"OK", (), target + request.body)


def may_overlap(request: CallerRequest) -> bool:
    return b"/once/" not in request.target


def split(data: bytes, read_sizes: list[int]) -> Iterator[bytes]:
    for size in read_sizes:
        if data[:size]:
            yield data[:size]
        data = data[size:]
    if data:
        yield data


def read_responses(written: bytes) -> list[tuple[int, bytes]]:
    """Return status and body of all responses; nothing else may be between them."""
    responses = []
    while written:
        parser = h11.Connection(h11.CLIENT)
        parser.send(h11.Request(method="GET", target="/", headers=[("Host", "h")]))
        parser.send(h11.EndOfMessage())
        parser.receive_data(written)
        event, body = parser.next_event(), b""
        while isinstance(event, h11.InformationalResponse):
            event = parser.next_event()
        assert isinstance(event, h11.Response)
        status = event.status_code
        while not isinstance(event := parser.next_event(), h11.EndOfMessage):
            assert isinstance(event, h11.Data)
            body += event.data
        responses.append((status, body))
        written = parser.trailing_data[0]
    return responses


def serve(
    data: bytes, read_sizes: list[int], turns: list[int], leaves_at: int | None = None
) -> tuple[bytes, Handler]:
    """Serve a caller that sends some bytes; return what it read."""

    async def run() -> None:
        with anyio.fail_after(30.0):
            await serve_caller(deps, cast(SocketStream, stream))

    connections = CallerConnections()
    handler = Handler(turns, connections, leaves_at)
    stream = ScriptedCaller(list(split(data, read_sizes)), connections)
    deps = CallerDependencies(
        handler.respond,
        lambda: LIMITS,
        connections,
        anyio.current_time,
        structlog.get_logger(),
        may_overlap,
    )
    anyio.run(run)
    assert connections.budget.held_bytes == connections.in_hand == 0
    return bytes(stream.written), handler


def encode(chosen: list[bytes]) -> bytes:
    return b"".join(kind % number for number, kind in enumerate(chosen))


@given(chosen=kinds, read_sizes=sizes, turns=durations)
@example(chosen=[GET] * 12, read_sizes=[1] * 1000, turns=[9, 0, 5, 0] * 3)
@FUZZING
def test_pipelined_requests_are_answered_in_order_however_they_are_split(
    chosen: list[bytes], read_sizes: list[int], turns: list[int]
) -> None:
    written, handler = serve(encode(chosen), read_sizes, turns)
    ends = [number for number, kind in enumerate(chosen) if kind in (LAST, OLD)]
    served = chosen[: ends[0] + 1] if ends else chosen
    expected = []
    for number, kind in enumerate(served):
        target = kind.split(b" ")[1] % number
        body = {CHUNKED: b"GET", ONCE: b"body", EXPECT: b"body"}.get(kind, b"")
        expected.append((200, target + body))
    assert read_responses(written) == expected
    assert len(handler.handled) == len(expected)


@given(chosen=kinds, read_sizes=sizes, turns=durations, leaves_at=st.integers(1, 12))
@FUZZING
def test_last_response_of_a_leaving_instance_closes_and_nothing_runs_behind_it(
    chosen: list[bytes], read_sizes: list[int], turns: list[int], leaves_at: int
) -> None:
    written, handler = serve(encode(chosen), read_sizes, turns, leaves_at)
    bodies = [body for _, body in read_responses(written)]
    assert len(bodies) == len(handler.handled)
    assert all(map(bytes.startswith, bodies, handler.handled))
    if len(handler.handled) >= leaves_at:
        _, _, last = written.rpartition(b"HTTP/1.1 200")
        assert b"Connection: close" in last


def test_nothing_runs_behind_a_tunnel() -> None:
    """A body after a response to CONNECT would be read as bytes of the tunnel."""
    connect = b"CONNECT /safe/0 HTTP/1.1\r\nHost: h\r\n\r\n"
    written, handler = serve(connect + GET % 1, [], [0])
    assert handler.handled == [b"/safe/0"]
    assert written.startswith(b"HTTP/1.1 200") and written.endswith(b"\r\n\r\n")


@pytest.mark.parametrize("is_cut_off", [False, True])
@given(
    chosen=kinds,
    read_sizes=sizes,
    turns=durations,
    edits=st.lists(
        st.tuples(st.integers(0, 600), st.integers(0, 3), st.binary(max_size=4)),
        max_size=3,
    ),
)
@FUZZING
def test_every_handled_request_of_edited_bytes_is_answered(
    chosen: list[bytes],
    read_sizes: list[int],
    turns: list[int],
    edits: list[tuple[int, int, bytes]],
    is_cut_off: bool,
) -> None:
    """At most one refusal follows the responses, and it ends the connection."""
    data = encode(chosen)
    for position, removed, inserted in edits:
        rest = b"" if is_cut_off else data[position + removed :]
        data = data[:position] + inserted + rest
    written, handler = serve(data, read_sizes, turns)
    responses = read_responses(written)
    served, refusals = len(handler.handled), responses[len(handler.handled) :]
    assert [status for status, _ in responses[:served]] == [200] * served
    for target, (_, body) in zip(handler.handled, responses, strict=False):
        assert body.startswith(target)
    assert len(refusals) <= 1 and all(status >= 400 for status, _ in refusals)
