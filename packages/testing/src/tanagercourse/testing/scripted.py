"""Upstreams with responses scripted byte by byte, and requests of raw callers."""

import struct
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from socket import SO_LINGER, SOL_SOCKET

import anyio
from anyio.abc import SocketAttribute, SocketStream

HOST = b"h.example"

Script = Callable[["ScriptedUpstream", SocketStream, bytes], Awaitable[None]]


@dataclass
class ScriptedUpstream:
    """An upstream whose script responds to each request.

    Attributes:
        name: Id of the upstream.
        script: Called with each request; writes the response to the connection.
        port: TCP port, set when the upstream is served.
        requests: The bytes of each received request, in order.
        closed_by_gateway: Set once the gateway has closed a connection.
    """

    name: str
    script: Script
    port: int = 0
    requests: list[bytes] = field(default_factory=list)
    closed_by_gateway: anyio.Event = field(default_factory=anyio.Event)

    async def serve(self, stream: SocketStream) -> None:
        """Serve one connection until either end closes it."""
        try:
            while True:
                request = await read_message(stream)
                self.requests.append(request)
                await self.script(self, stream, request)
        except (OSError, anyio.EndOfStream, anyio.BrokenResourceError):
            self.closed_by_gateway.set()
        except anyio.ClosedResourceError:
            pass
        finally:
            await stream.aclose()


async def read_message(stream: SocketStream) -> bytes:
    """Read one message: its head, and a body if the head states a length."""
    data = b""
    while b"\r\n\r\n" not in data:
        data += await stream.receive()
    head, _, body = data.partition(b"\r\n\r\n")
    length = 0
    for line in head.split(b"\r\n"):
        if line.lower().startswith(b"content-length:"):
            length = int(line.split(b":")[1])
    while len(body) < length:
        body += await stream.receive()
    return head + b"\r\n\r\n" + body


def read_header(message: bytes, name: bytes) -> bytes:
    """Return the first value of a message's header, empty if there is none.

    Args:
        message: The bytes of the message.
        name: Name of the header, in lower case.
    """
    head, _, _ = message.partition(b"\r\n\r\n")
    for line in head.split(b"\r\n"):
        if line.lower().startswith(name + b":"):
            return line.split(b":", 1)[1].strip()
    return b""


def read_request_id(request: bytes) -> bytes:
    """Return the value of a request's X-Id header, empty if there is none."""
    return read_header(request, b"x-id")


def encode_response(
    request: bytes,
    body: bytes = b"whole",
    status: bytes = b"200 OK",
    extra: bytes = b"",
) -> bytes:
    """Return an upstream's response to a request.

    Args:
        request: The request, whose id the response repeats, also as its proof.
        body: Body of the response.
        status: Status code and reason phrase.
        extra: Additional header lines, each ended by CRLF.
    """
    head = b"HTTP/1.1 %s\r\nX-Id: %s\r\nX-Proof: p-%s\r\nContent-Length: %d\r\n"
    request_id = read_request_id(request)
    return (head + b"%s\r\n%s") % (
        status,
        request_id,
        request_id,
        len(body),
        extra,
        body,
    )


async def send_complete_response(
    upstream: ScriptedUpstream, stream: SocketStream, request: bytes
) -> None:
    """Send a complete response with the upstream's name as its body."""
    await stream.send(encode_response(request, upstream.name.encode()))


async def read_response(stream: SocketStream) -> bytes:
    """Read one response with a Content-Length; empty if the connection ends early."""
    data = b""
    try:
        data = await read_message(stream)
    except (anyio.EndOfStream, anyio.BrokenResourceError):
        return data
    return data


def encode_get(
    target: bytes = b"/safe/x", request_id: bytes = b"r1", extra: bytes = b""
) -> bytes:
    """Return a caller's GET request.

    Args:
        target: Request target.
        request_id: Value of the X-Id header.
        extra: Additional header lines, each ended by CRLF.
    """
    return b"GET %s HTTP/1.1\r\nHost: %s\r\nX-Id: %s\r\n%s\r\n" % (
        target,
        HOST,
        request_id,
        extra,
    )


def encode_post(
    body: bytes,
    target: bytes = b"/once/x",
    request_id: bytes = b"r1",
    extra: bytes = b"",
) -> bytes:
    """Return a caller's POST request.

    Args:
        body: Body of the request.
        target: Request target.
        request_id: Value of the X-Id header.
        extra: Additional header lines, each ended by CRLF.
    """
    head = b"POST %s HTTP/1.1\r\nHost: %s\r\nX-Id: %s\r\nContent-Length: %d\r\n%s\r\n"
    return head % (target, HOST, request_id, len(body), extra) + body


async def reset_connection(stream: SocketStream) -> None:
    """Close a connection with a TCP reset."""
    try:
        # With a linger time of 0 s, closing the socket sends a reset.
        raw = stream.extra(SocketAttribute.raw_socket)
        raw.setsockopt(SOL_SOCKET, SO_LINGER, struct.pack("ii", 1, 0))
    except OSError:
        # The socket is closed already.
        return
    await stream.aclose()
