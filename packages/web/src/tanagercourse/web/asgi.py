"""The ASGI interface in types, and the few steps that every handler takes."""

from collections.abc import Awaitable, Callable, Iterable, Mapping, MutableMapping
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qsl

import anyio

Scope = MutableMapping[str, Any]
Message = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]
Application = Callable[[Scope, Receive, Send], Awaitable[None]]

JSON = "application/json"


class CallerGoneError(Exception):
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


async def read_body(receive: Receive) -> bytes:
    """Return the whole body of a request.

    Raises:
        CallerGoneError: The caller closed the connection before the body's end.
    """
    chunks = []
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise CallerGoneError
        chunks.append(message.get("body", b""))
        if not message.get("more_body", False):
            return b"".join(chunks)


async def while_connected(
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


async def answer(
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
    await start_answer(send, status, fields.items())
    await send({"type": "http.response.body", "body": body, "more_body": False})


async def start_answer(
    send: Send, status: int, headers: Iterable[tuple[str, str]]
) -> None:
    """Send the head of an answer."""
    raw = [(name.encode("latin-1"), value.encode("latin-1")) for name, value in headers]
    await send({"type": "http.response.start", "status": status, "headers": raw})
