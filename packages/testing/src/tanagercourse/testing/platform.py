"""Fake platform that serves the object API over HTTP, with configurable faults."""

from collections import Counter
from dataclasses import dataclass, field

import anyio
from returns.result import Failure

from tanagercourse.core.ids import NO_VERSION, ObjectPath, Version
from tanagercourse.platform import messages
from tanagercourse.platform.store import Update
from tanagercourse.testing.objects import MemoryObjects
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
    """Faults that a test can change while the platform runs.

    Attributes:
        is_down: Whether every call fails with status 503.
        delay_s: Delay before each call is handled, in seconds.
        replies_to_lose: Number of upcoming updates that are handled but get no reply.
    """

    is_down: bool = False
    delay_s: float = 0.0
    replies_to_lose: int = 0


@dataclass
class FakePlatform:
    """State of a fake platform.

    Attributes:
        objects: Objects and machines of the platform.
        faults: Active faults.
        calls: Number of calls by path.
    """

    objects: MemoryObjects = field(default_factory=MemoryObjects)
    faults: PlatformFaults = field(default_factory=PlatformFaults)
    calls: Counter[str] = field(default_factory=Counter)


class _ReplyLostError(Exception):
    """Raised to end a request without a response."""


def platform_application(platform: FakePlatform) -> Application:
    """Return the ASGI application of a fake platform."""

    async def handle(scope: Scope, receive: Receive, send: Send) -> None:
        if scope["type"] != "http":
            return
        request = read_head(scope)
        platform.calls[request.path] += 1
        if platform.faults.delay_s:
            await anyio.sleep(platform.faults.delay_s)
        if platform.faults.is_down:
            await send_response(send, 503, b"{}")
            return
        if request.method == "PUT":
            await _write(platform, receive, send)
        else:
            await read_body(receive)
            await run_while_connected(receive, lambda: _read(platform, request, send))

    return handle


async def _write(platform: FakePlatform, receive: Receive, send: Send) -> None:
    body = await read_body(receive)
    decoded = messages.decode(ObjectPath(messages.OBJECT_PATH), body, Update)
    if isinstance(decoded, Failure):
        await send_response(send, 400, b"{}")
        return
    written = platform.objects.write(decoded.unwrap())
    if platform.faults.replies_to_lose:
        platform.faults.replies_to_lose -= 1
        raise _ReplyLostError
    if isinstance(written, Failure):
        conflict = messages.ConflictResponse(written.failure().found)
        await send_response(send, 409, messages.encode(conflict))
    else:
        await send_response(send, 200, messages.encode(written.unwrap()))


async def _read(platform: FakePlatform, request: HttpRequest, send: Send) -> None:
    objects = platform.objects
    prefix = ObjectPath(request.query.get("prefix", "/"))
    message: messages.Message
    if request.path == messages.OBJECT_PATH:
        stored = objects.read(ObjectPath(request.query.get("path", "")))
        if isinstance(stored, Failure):
            await send_response(send, 404, b"{}")
            return
        message = stored.unwrap()
    elif request.path == messages.OBJECTS_PATH:
        message = objects.changes(prefix, NO_VERSION)
    elif request.path == messages.WATCH_PATH:
        after = Version(int(request.query.get("after", "0")))
        wait_s = float(request.query.get("wait_s", "0"))
        message = await objects.wait_for_changes(prefix, after, wait_s)
    else:
        message = messages.Machines(tuple(objects.machines.values()))
    await send_response(send, 200, messages.encode(message))
