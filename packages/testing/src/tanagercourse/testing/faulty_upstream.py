"""Backend server with connection faults, which occur below the level of HTTP."""

import socket
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from enum import Enum, unique

import anyio
import h11
from anyio.abc import SocketAttribute, SocketStream

from tanagercourse.wire.headers import REQUEST_ID_HEADER

RECEIVE_BYTES = 65_536
# More bytes than an entry instance buffers before it starts to forward a response.
LONG_BODY = b"x" * 200_000


@unique
class ConnectionFault(Enum):
    """Fault of a connection to the backend server.

    The server closes the connection before it reads a request (CLOSED_UNREAD), after
    the run and before the response (CLOSED_AFTER_RUN), within the head of the response
    (CLOSED_IN_HEAD), or within its body (TRUNCATED_...). UNDELIMITED sends a body that
    only the end of the connection delimits. SILENT sends no response;
    SILENT_WHEN_REUSED responds only to the first request on each connection.
    STATUS_... sends a complete response with a status that HTTP doesn't have.
    ENDLESS_... sends bytes of a head, or interim responses, until the other end closes.
    """

    NONE = "none"
    CLOSED_UNREAD = "closed_unread"
    CLOSED_AFTER_RUN = "closed_after_run"
    CLOSED_IN_HEAD = "closed_in_head"
    TRUNCATED_CONTENT_LENGTH = "truncated_content_length"
    TRUNCATED_CHUNKED = "truncated_chunked"
    TRUNCATED_LONG_BODY = "truncated_long_body"
    UNDELIMITED = "undelimited"
    SILENT = "silent"
    SILENT_WHEN_REUSED = "silent_when_reused"
    STATUS_ZERO = "status_zero"
    STATUS_TOO_HIGH = "status_too_high"
    ENDLESS_HEAD = "endless_head"
    ENDLESS_INTERIM = "endless_interim"


@dataclass
class FaultyUpstream:
    """A backend server with one fault.

    Attributes:
        fault: Fault of its connections.
        runs: Number of runs by request id.
        connections: Number of connections accepted so far.
        port: TCP port, set when the server runs.
    """

    fault: ConnectionFault = ConnectionFault.NONE
    runs: Counter[str] = field(default_factory=Counter)
    connections: int = 0
    port: int = 0


@asynccontextmanager
async def serve_faulty_upstream(
    upstream: FaultyUpstream,
) -> AsyncIterator[FaultyUpstream]:
    """Serve a faulty backend server on loopback while the context is active."""

    async def serve(stream: SocketStream) -> None:
        upstream.connections += 1
        async with stream:
            try:
                await _serve_connection(upstream, stream)
            except (anyio.BrokenResourceError, anyio.EndOfStream):
                return

    async with (
        await anyio.create_tcp_listener(
            local_host="127.0.0.1", family=socket.AF_INET
        ) as listener,
        anyio.create_task_group() as tasks,
    ):
        upstream.port = listener.extra(SocketAttribute.local_port)
        tasks.start_soon(listener.serve, serve)
        yield upstream
        tasks.cancel_scope.cancel()


async def _serve_connection(upstream: FaultyUpstream, stream: SocketStream) -> None:
    if upstream.fault is ConnectionFault.CLOSED_UNREAD:
        return
    connection = h11.Connection(h11.SERVER)
    served_count = 0
    while True:
        request_id = await _read_request(connection, stream)
        upstream.runs[request_id] += 1
        is_silent = upstream.fault is ConnectionFault.SILENT or (
            upstream.fault is ConnectionFault.SILENT_WHEN_REUSED and served_count > 0
        )
        if is_silent:
            await anyio.sleep_forever()
        served_count += 1
        if not await _send_response(upstream.fault, connection, stream, request_id):
            return
        connection.start_next_cycle()


async def _read_request(connection: h11.Connection, stream: SocketStream) -> str:
    """Read a complete request and return its id."""
    request_id = ""
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            connection.receive_data(await stream.receive(RECEIVE_BYTES))
        elif isinstance(event, h11.Request):
            headers = {name.decode(): value.decode() for name, value in event.headers}
            request_id = headers.get(REQUEST_ID_HEADER, "")
        elif isinstance(event, h11.EndOfMessage):
            return request_id


async def _send_response(
    fault: ConnectionFault,
    connection: h11.Connection,
    stream: SocketStream,
    request_id: str,
) -> bool:
    """Send as much of a response as the fault allows.

    Returns:
        Whether the connection can carry another request.
    """
    if fault is ConnectionFault.CLOSED_AFTER_RUN:
        return False
    if fault is ConnectionFault.CLOSED_IN_HEAD:
        await stream.send(b"HTTP/1.1 200 OK\r\ncontent-")
        return False
    endless_part = _ENDLESS_PARTS.get(fault)
    while endless_part is not None:
        await stream.send(endless_part)
    raw_response = _RAW_RESPONSES.get(fault)
    if raw_response is not None:
        status_line = _INVALID_STATUS_LINES.get(fault, b"HTTP/1.1 200 OK\r\n")
        id_line = f"{REQUEST_ID_HEADER}: {request_id}\r\n".encode()
        await stream.send(status_line + id_line + raw_response)
        return False
    headers = [(REQUEST_ID_HEADER, request_id), ("content-length", "5")]
    for event in (
        h11.Response(status_code=200, headers=headers),
        h11.Data(data=b"whole"),
        h11.EndOfMessage(),
    ):
        await stream.send(connection.send(event) or b"")
    return True


_COMPLETE_RESPONSE = b"content-length: 5\r\n\r\nwhole"
# Faulty responses, without the status line and the header with the request id.
_RAW_RESPONSES = {
    ConnectionFault.TRUNCATED_CONTENT_LENGTH: b"content-length: 9\r\n\r\nshort",
    ConnectionFault.TRUNCATED_CHUNKED: (
        b"transfer-encoding: chunked\r\n\r\n5\r\nshort\r\n"
    ),
    ConnectionFault.TRUNCATED_LONG_BODY: (
        f"content-length: {len(LONG_BODY) + 1}\r\n\r\n".encode() + LONG_BODY
    ),
    ConnectionFault.UNDELIMITED: b"connection: close\r\n\r\nshort",
    ConnectionFault.STATUS_ZERO: _COMPLETE_RESPONSE,
    ConnectionFault.STATUS_TOO_HIGH: _COMPLETE_RESPONSE,
}

_INVALID_STATUS_LINES = {
    ConnectionFault.STATUS_ZERO: b"HTTP/1.1 000 OK\r\n",
    ConnectionFault.STATUS_TOO_HIGH: b"HTTP/1.1 700 OK\r\n",
}
# Sent again and again.
_ENDLESS_PARTS = {
    ConnectionFault.ENDLESS_HEAD: b"HTTP/1.1 200 OK\r\n" + b"x-pad: 1\r\n" * 400,
    ConnectionFault.ENDLESS_INTERIM: b"HTTP/1.1 102 Processing\r\n\r\n" * 100,
}
