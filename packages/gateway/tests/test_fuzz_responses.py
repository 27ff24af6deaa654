"""Fuzzing of upstreams' bytes: a response that is right, or a typed problem."""

import socket
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import Any, cast

import anyio
import pytest
from anyio.abc import SocketAttribute, SocketStream
from hypothesis import example, given
from hypothesis import strategies as st
from returns.result import Failure, Result, Success

from tanagercourse.gateway.body_budget import BodyBudget
from tanagercourse.gateway.connections import HttpConnection, OutboundRequest
from tanagercourse.gateway.headers import find_header, read_retry_after
from tanagercourse.gateway.messages import Lost, NotSent, Response
from tanagercourse.gateway.statements import read_pause, says_leaving
from tanagercourse.testing.fuzzing import FUZZING
from tanagercourse.testing.gateway_harness import TEST_HEADER_NAMES

ORDER = OutboundRequest(
    b"POST", b"/once/a", ((b"Host", b"h"),), b"order", b"X-Id", b"r0"
)
LENGTH = b"HTTP/1.1 200 OK\r\nX-Id: r0\r\nContent-Length: 4\r\n\r\nbody"
CHUNKED = (
    b"HTTP/1.1 200 OK\r\nX-Id: r0\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"2\r\nbo\r\n2;x=y\r\ndy\r\n0\r\nX-Trailer: 1\r\n\r\n"
)
REFUSAL = (
    b"HTTP/1.1 503 Unavailable\r\nX-Id: r0\r\nX-Not-Run: 1\r\nRetry-After: 2\r\n"
    b"X-Leaving: 1\r\nContent-Length: 0\r\n\r\n"
)
OTHER = LENGTH.replace(b"r0", b"r9")
INTERIM = b"HTTP/1.1 102 Processing\r\n\r\n"
SOUND = (LENGTH, CHUNKED, REFUSAL)

pieces = st.sampled_from([*SOUND, OTHER, INTERIM]) | st.binary(max_size=30)
edits = st.lists(
    st.tuples(st.integers(0, 200), st.integers(0, 3), st.binary(max_size=4)),
    max_size=3,
)


@dataclass
class ScriptedStream:
    """A connection on which the peer sends some bytes, read by read, and closes.

    Attributes:
        reads: The bytes of each read.
    """

    reads: list[bytes]
    _sockets: tuple[socket.socket, socket.socket] = field(
        default_factory=socket.socketpair
    )

    def extra(self, attribute: Any) -> socket.socket:
        assert attribute is SocketAttribute.raw_socket
        return self._sockets[0]

    async def send(self, data: bytes) -> None:
        assert data

    async def receive(self, max_bytes: int) -> bytes:
        if not self.reads:
            raise anyio.EndOfStream
        return self.reads.pop(0)

    async def aclose(self) -> None:
        for end in self._sockets:
            end.close()


def edit(data: bytes, changes: list[tuple[int, int, bytes]]) -> bytes:
    """Replace some bytes at some positions."""
    for position, removed, inserted in changes:
        data = data[:position] + inserted + data[position + removed :]
    return data


def split(data: bytes, sizes: list[int]) -> Iterator[bytes]:
    for size in sizes:
        if data[:size]:
            yield data[:size]
        data = data[size:]
    if data:
        yield data


async def exchange(reads: list[bytes]) -> Result[Response, NotSent | Lost]:
    stream = ScriptedStream(reads)
    budget = BodyBudget()
    connection = HttpConnection(cast(SocketStream, stream), budget)
    result = await connection.exchange(ORDER)
    connection.prepare_for_reuse()
    await connection.close()
    assert budget.held_bytes == 0
    return result


@given(parts=st.lists(pieces, max_size=4), sizes=st.lists(st.integers(1, 40)))
@FUZZING
def test_any_bytes_are_a_response_or_a_typed_problem(
    parts: list[bytes], sizes: list[int]
) -> None:
    result = anyio.run(exchange, list(split(b"".join(parts), sizes)))
    assert isinstance(result, (Success, Failure))
    if isinstance(result, Success):
        response = result.unwrap()
        assert 200 <= response.status < 600
        assert find_header(response.headers, b"x-id") in (None, b"r0")
        assert response.body in b"".join(parts) + b"body"


@pytest.mark.parametrize("sound", SOUND)
@given(sizes=st.lists(st.integers(1, 40)))
@FUZZING
def test_sound_response_is_read_however_it_is_split(
    sound: bytes, sizes: list[int]
) -> None:
    response = anyio.run(exchange, list(split(sound, sizes))).unwrap()
    assert response.body == (b"" if sound == REFUSAL else b"body")


@pytest.mark.parametrize("sound", SOUND)
@given(changes=edits)
@example(changes=[])
@FUZZING
def test_edited_response_never_raises(
    sound: bytes, changes: list[tuple[int, int, bytes]]
) -> None:
    result = anyio.run(exchange, [edit(sound, changes)])
    assert isinstance(result, (Success, Failure))
    if isinstance(result, Success):
        response = result.unwrap()
        says_leaving(TEST_HEADER_NAMES, response.headers)
        pause_s = read_pause(response)
        assert pause_s is None or 0 <= pause_s <= 86_400


@pytest.mark.parametrize("sound", SOUND)
@given(cut_at=st.integers(0, len(CHUNKED)))
@FUZZING
def test_response_that_is_cut_off_is_no_response(sound: bytes, cut_at: int) -> None:
    result = anyio.run(exchange, [sound[:cut_at]] if cut_at else [])
    assert isinstance(result, Success) is (cut_at >= len(sound))


@given(fields=st.lists(st.binary(max_size=30), max_size=3))
@FUZZING
def test_any_retry_after_has_a_meaning(fields: list[bytes]) -> None:
    time_s = read_retry_after(fields)
    assert time_s is None or 0 <= time_s <= 86_400
