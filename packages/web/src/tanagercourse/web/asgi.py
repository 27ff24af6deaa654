"""Types of the ASGI interface, and helpers that request handlers share."""

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

JSON_CONTENT_TYPE = "application/json"


# Default size limit of a request body.
MAX_BODY_BYTES = 1_000_000
# A larger body is read and discarded up to this multiple of its limit.
DISCARD_FACTOR = 4


class ResponseAbortedError(Exception):
    """Raised by a handler that can't complete a response."""


class CallerDisconnectedError(Exception):
    """Raised in a handler when the caller has closed the connection."""


@dataclass(frozen=True)
class HttpRequest:
    """The head of a request.

    Attributes:
        method: HTTP method in upper case.
        path: Percent-decoded path.
        query: Last value of each query parameter.
        headers: Last value of each header, with names in lower case.
        raw_path: Undecoded path and query.
    """

    method: str
    path: str
    query: Mapping[str, str]
    headers: Mapping[str, str]
    raw_path: str


def read_head(scope: Scope) -> HttpRequest:
    """Return the head of the request in an ASGI scope."""
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
    """Raised in a handler when a request's body exceeds its size limit."""


async def read_body(receive: Receive, limit_bytes: int = MAX_BODY_BYTES) -> bytes:
    """Return the complete body of a request.

    A body that exceeds the limit is read and discarded up to `DISCARD_FACTOR` times the
    limit, so that the caller can receive the refusal.

    Args:
        receive: The ASGI receive function.
        limit_bytes: Size limit of the body.

    Raises:
        CallerDisconnectedError: If the caller closed the connection before the end of
            the body.
        BodyTooLargeError: If the body exceeds the limit.
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
    """Abort a started response, so that the caller detects that it is incomplete.

    Raises:
        ResponseAbortedError: Always; the server then closes the connection.
    """
    raise ResponseAbortedError


async def run_while_connected(
    receive: Receive, serve: Callable[[], Awaitable[None]]
) -> None:
    """Serve a request whose body was read; cancel it if the caller disconnects.

    Args:
        receive: The ASGI receive function.
        serve: Handles the request and sends the response.
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
    content_type: str = JSON_CONTENT_TYPE,
) -> None:
    """Send a complete response.

    Args:
        send: The ASGI send function.
        status: HTTP status.
        body: Complete body.
        headers: Additional headers, with names in lower case.
        content_type: Media type of the body.
    """
    all_headers = {
        "content-type": content_type,
        "content-length": str(len(body)),
        **(headers or {}),
    }
    await start_response(send, status, all_headers.items())
    await send({"type": "http.response.body", "body": body, "more_body": False})


async def start_response(
    send: Send, status: int, headers: Iterable[tuple[str, str]]
) -> None:
    """Send the head of a response."""
    raw_headers = [
        (name.encode("latin-1"), value.encode("latin-1")) for name, value in headers
    ]
    await send(
        {"type": "http.response.start", "status": status, "headers": raw_headers}
    )
