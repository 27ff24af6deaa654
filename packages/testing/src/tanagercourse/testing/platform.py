"""A stand-in for the platform: its object API over HTTP, and faults on demand."""

from collections import Counter
from dataclasses import dataclass, field

import anyio
from returns.result import Failure

from tanagercourse.core.ids import NO_VERSION, ObjectPath, Version
from tanagercourse.platform import messages
from tanagercourse.platform.store import Update
from tanagercourse.testing.objects import Objects
from tanagercourse.web.asgi import (
    Application,
    HttpRequest,
    Receive,
    Scope,
    Send,
    read_body,
    read_head,
    run_while_connected,
    send_response,
)


@dataclass
class PlatformFaults:
    """Faults that a test switches on while the platform runs.

    Attributes:
        is_down: Every call is refused.
        delay_s: Each call waits so long first, in seconds.
        replies_to_lose: So many next updates take effect, then their reply is lost.
    """

    is_down: bool = False
    delay_s: float = 0.0
    replies_to_lose: int = 0


@dataclass
class FakePlatform:
    """The stand-in's state: objects, faults, and calls counted by their path."""

    objects: Objects = field(default_factory=Objects)
    faults: PlatformFaults = field(default_factory=PlatformFaults)
    calls: Counter[str] = field(default_factory=Counter)


class _ReplyLostError(Exception):
    """Ends a request without an answer."""


def platform_application(stand_in: FakePlatform) -> Application:
    """Return the stand-in's ASGI application."""

    async def handle(scope: Scope, receive: Receive, send: Send) -> None:
        if scope["type"] != "http":
            return
        request = read_head(scope)
        stand_in.calls[request.path] += 1
        if stand_in.faults.delay_s:
            await anyio.sleep(stand_in.faults.delay_s)
        if stand_in.faults.is_down:
            await send_response(send, 503, b"{}")
            return
        if request.method == "PUT":
            await _write(stand_in, receive, send)
        else:
            await read_body(receive)
            await run_while_connected(receive, lambda: _read(stand_in, request, send))

    return handle


async def _write(stand_in: FakePlatform, receive: Receive, send: Send) -> None:
    body = await read_body(receive)
    decoded = messages.decode(ObjectPath(messages.OBJECT_PATH), body, Update)
    if isinstance(decoded, Failure):
        await send_response(send, 400, b"{}")
        return
    written = stand_in.objects.write(decoded.unwrap())
    if stand_in.faults.replies_to_lose:
        stand_in.faults.replies_to_lose -= 1
        raise _ReplyLostError
    if isinstance(written, Failure):
        found = messages.ConflictResponse(written.failure().found)
        await send_response(send, 409, messages.encode(found))
    else:
        await send_response(send, 200, messages.encode(written.unwrap()))


async def _read(stand_in: FakePlatform, request: HttpRequest, send: Send) -> None:
    objects = stand_in.objects
    prefix = ObjectPath(request.query.get("prefix", "/"))
    message: messages.Message
    if request.path == messages.OBJECT_PATH:
        found = objects.read(ObjectPath(request.query.get("path", "")))
        if isinstance(found, Failure):
            await send_response(send, 404, b"{}")
            return
        message = found.unwrap()
    elif request.path == messages.OBJECTS_PATH:
        message = objects.changes(prefix, NO_VERSION)
    elif request.path == messages.WATCH_PATH:
        after = Version(int(request.query.get("after", "0")))
        wait_s = float(request.query.get("wait_s", "0"))
        message = await objects.wait_for_changes(prefix, after, wait_s)
    else:
        message = messages.Machines(tuple(objects.machines.values()))
    await send_response(send, 200, messages.encode(message))
