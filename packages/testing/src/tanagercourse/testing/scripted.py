"""Upstreams whose answers are scripted byte by byte, and raw callers."""

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
    """An upstream that answers each request as its script says.

    Attributes:
        requests: Each request's bytes as they arrived, in order.
        closed_by_gateway: Set when a connection was closed by the gateway.
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
    """Read one request: its head, and a body if it states a length."""
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


def read_request_id(request: bytes) -> bytes:
    """Return the request's id."""
    for line in request.split(b"\r\n"):
        if line.lower().startswith(b"x-id:"):
            return line.split(b":")[1].strip()
    return b""


def encode_response(
    request: bytes,
    body: bytes = b"whole",
    status: bytes = b"200 OK",
    extra: bytes = b"",
) -> bytes:
    """Return an upstream's answer to a request."""
    return b"HTTP/1.1 %s\r\nX-Id: %s\r\nContent-Length: %d\r\n%s\r\n%s" % (
        status,
        read_request_id(request),
        len(body),
        extra,
        body,
    )


async def send_complete_response(
    upstream: ScriptedUpstream, stream: SocketStream, request: bytes
) -> None:
    """Answer a request whole, with the upstream's name as the body."""
    await stream.send(encode_response(request, upstream.name.encode()))


async def read_response(stream: SocketStream) -> bytes:
    """Read one answer with a length, or what came before the end."""
    data = b""
    try:
        data = await read_message(stream)
    except (anyio.EndOfStream, anyio.BrokenResourceError):
        return data
    return data


def get(
    target: bytes = b"/safe/x", request_id: bytes = b"r1", extra: bytes = b""
) -> bytes:
    """Return a caller's GET."""
    return b"GET %s HTTP/1.1\r\nHost: %s\r\nX-Id: %s\r\n%s\r\n" % (
        target,
        HOST,
        request_id,
        extra,
    )


def post(
    body: bytes,
    target: bytes = b"/once/x",
    request_id: bytes = b"r1",
    extra: bytes = b"",
) -> bytes:
    """Return a caller's POST."""
    head = b"POST %s HTTP/1.1\r\nHost: %s\r\nX-Id: %s\r\nContent-Length: %d\r\n%s\r\n"
    return head % (target, HOST, request_id, len(body), extra) + body


async def reset_connection(stream: SocketStream) -> None:
    """End a connection by a reset."""
    try:
        raw = stream.extra(SocketAttribute.raw_socket)
        raw.setsockopt(SOL_SOCKET, SO_LINGER, struct.pack("ii", 1, 0))
    except OSError:
        # Closed already.
        return
    await stream.aclose()
