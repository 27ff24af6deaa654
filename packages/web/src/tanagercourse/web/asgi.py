"""The ASGI interface in types, and the few steps that every handler takes."""

from collections.abc import Awaitable, Callable, Iterable, Mapping, MutableMapping
from dataclasses import dataclass
from typing import Any, NoReturn
from urllib.parse import parse_qsl

import anyio

Scope = MutableMapping[str, Any]
Message = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]
Application = Callable[[Scope, Receive, Send], Awaitable[None]]

JSON = "application/json"


# The longest request body that is kept, in bytes.
MAX_BODY_BYTES = 1_000_000
# A longer body is read and thrown away up to so many times its limit.
DISCARD_FACTOR = 4


class ResponseAbortedError(Exception):
    """Ends a handler whose answer can't be completed."""


class CallerDisconnectedError(Exception):
    """Raised inside a handler when its caller has closed the connection."""


@dataclass(frozen=True)
class HttpRequest:
    """The head of a request.

    Attributes:
        method: Upper-case method.
        path: Decoded path.
        query: First value of each query parameter.
        headers: Last value of each header, names in lower case.
        raw_path: Path and query as they came.
    """

    method: str
    path: str
    query: Mapping[str, str]
    headers: Mapping[str, str]
    raw_path: str


def read_head(scope: Scope) -> HttpRequest:
    """Return the head of the request that a scope describes."""
    query_text = scope["query_string"].decode("latin-1")
    raw_path = scope.get("raw_path", scope["path"].encode()).decode("latin-1")
    headers = {
        name.decode("latin-1").lower(): value.decode("latin-1")
        for name, value in scope["headers"]
    }
    return HttpRequest(
        method=scope["method"],
        path=scope["path"],
        query=dict(parse_qsl(query_text, keep_blank_values=True)),
        headers=headers,
        raw_path=f"{raw_path}?{query_text}" if query_text else raw_path,
    )


class BodyTooLargeError(Exception):
    """Raised inside a handler when a request's body is longer than its limit."""


async def read_body(receive: Receive, limit_bytes: int = MAX_BODY_BYTES) -> bytes:
    """Return the whole body of a request.

    A body over the limit is read on and thrown away up to a few times the limit, so
    that its caller can read why it was refused.

    Args:
        receive: The ASGI receive function.
        limit_bytes: The longest body to keep.

    Raises:
        CallerDisconnectedError: The caller closed the connection before the body's end.
        BodyTooLargeError: The body is longer than the limit.
    """
    chunks: list[bytes] = []
    size_bytes = 0
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise CallerDisconnectedError
        chunk = message.get("body", b"")
        size_bytes += len(chunk)
        if size_bytes <= limit_bytes:
            chunks.append(chunk)
        is_last = not message.get("more_body", False)
        if size_bytes > limit_bytes and (
            is_last or size_bytes > DISCARD_FACTOR * limit_bytes
        ):
            raise BodyTooLargeError
        if is_last:
            return b"".join(chunks)


def abort_response() -> NoReturn:
    """End an answer that was begun so that nobody takes it for a whole one.

    Raises:
        ResponseAbortedError: Always; the server then closes the connection.
    """
    raise ResponseAbortedError


async def run_while_connected(
    receive: Receive, serve: Callable[[], Awaitable[None]]
) -> None:
    """Serve a request whose body was read, and cancel that when its caller hangs up.

    Args:
        receive: The ASGI receive function.
        serve: Answers the request.
    """
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_cancel_on_disconnect, receive, tasks.cancel_scope)
        await serve()
        tasks.cancel_scope.cancel()


async def _cancel_on_disconnect(receive: Receive, scope: anyio.CancelScope) -> None:
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            scope.cancel()
            return


async def send_response(
    send: Send,
    status: int,
    body: bytes,
    headers: Mapping[str, str] | None = None,
    content_type: str = JSON,
) -> None:
    """Send a whole answer.

    Args:
        send: The ASGI send function.
        status: The HTTP status.
        body: The whole body.
        headers: More headers, names in lower case.
        content_type: The body's media type.
    """
    fields = {
        "content-type": content_type,
        "content-length": str(len(body)),
        **(headers or {}),
    }
    await start_response(send, status, fields.items())
    await send({"type": "http.response.body", "body": body, "more_body": False})


async def start_response(
    send: Send, status: int, headers: Iterable[tuple[str, str]]
) -> None:
    """Send the head of an answer."""
    raw = [(name.encode("latin-1"), value.encode("latin-1")) for name, value in headers]
    await send({"type": "http.response.start", "status": status, "headers": raw})
