"""Serve one caller's connection: read a request, have it answered, write the answer."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import anyio
import h11
from anyio.abc import SocketStream

from tanagercourse.core.states import Execution, RefusalReason
from tanagercourse.gateway.logs import Log
from tanagercourse.gateway.messages import (
    CallerRequest,
    Response,
    drop_connection_headers,
)
from tanagercourse.gateway.refusing import refuse, refuse_malformed
from tanagercourse.gateway.sockets import find_silence_early
from tanagercourse.routing.configuration import CallerLimits

READ_BYTES = 65_536
# A caller that reads nothing for this long is given up, in seconds.
WRITE_TIMEOUT_S = 10.0
# How long the rest of a caller's bytes is awaited after the last answer, in seconds.
LINGER_S = 1.0
# Bodies of all requests in hand together, in bytes.
MAX_BODIES_BYTES = 96 * 1024 * 1024
# Bytes of later requests that are read ahead while one is served.
MAX_READ_AHEAD_BYTES = 65_536

RequestHandler = Callable[[CallerRequest], Awaitable[Response]]

_STREAM_ERRORS = (
    OSError,
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)


class CallerConnections:
    """What all callers' connections of one listener share.

    Attributes:
        open_count: Connections that are open.
        in_hand: Requests that are being served.
        is_leaving: Whether connections end with their next answer.
        body_bytes: Bodies of the requests in hand, in bytes.
    """

    def __init__(self) -> None:
        self.open_count = 0
        self.in_hand = 0
        self.is_leaving = False
        self.body_bytes = 0
        self._idle: set[anyio.CancelScope] = set()

    def close_idle(self) -> None:
        """End every connection on which no request has begun."""
        for scope in tuple(self._idle):
            scope.cancel()

    def idle_scope(self, scope: anyio.CancelScope) -> None:
        """Note a connection that waits for its next request."""
        self._idle.add(scope)

    def busy_scope(self, scope: anyio.CancelScope) -> None:
        """Note that a connection's next request has begun."""
        self._idle.discard(scope)


@dataclass(frozen=True)
class CallerDependencies:
    """What a caller's connection is served with.

    Attributes:
        respond: Answers a request.
        limits: Returns the limits in force.
        connections: Shared by all connections.
        clock: A monotonic clock, in seconds.
        log: Takes a line for each request that can't be read.
    """

    respond: RequestHandler
    limits: Callable[[], CallerLimits]
    connections: CallerConnections
    clock: Callable[[], float]
    log: Log


class _MalformedError(Exception):
    """A request that can't be read or passes a limit."""

    def __init__(self, status: int, detail: str) -> None:
        super().__init__(detail)
        self.status = status


class _EndedError(Exception):
    """The caller ended its connection, or it stayed idle too long."""


async def serve_caller(parts: CallerDependencies, stream: SocketStream) -> None:
    """Serve a connection until either end closes it."""
    parts.connections.open_count += 1
    try:
        find_silence_early(stream)
        await _Caller(parts, stream).serve()
    except (_EndedError, *_STREAM_ERRORS):
        # Nothing is owed on a connection that its caller has left.
        pass
    finally:
        parts.connections.open_count -= 1
        with anyio.CancelScope(shield=True):
            await stream.aclose()


class _Caller:
    """The state of one caller's connection."""

    def __init__(self, parts: CallerDependencies, stream: SocketStream) -> None:
        self._parts = parts
        self._stream = stream
        limits = parts.limits()
        self._parser = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.header_bytes
        )

    async def serve(self) -> None:
        while True:
            try:
                request = await self._read_request()
            except _MalformedError as problem:
                await self._refuse(problem)
                return
            except h11.RemoteProtocolError as error:
                await self._refuse(_MalformedError(error.error_status_hint, str(error)))
                return
            connections = self._parts.connections
            connections.body_bytes += len(request.body)
            connections.in_hand += 1
            try:
                answer = await self._respond_while_caller_stays(request)
                await self._write(answer, request.method)
            finally:
                connections.body_bytes -= len(request.body)
                connections.in_hand -= 1
            if self._parser.our_state is not h11.DONE:
                await self._linger()
                return
            if self._parser.their_state is not h11.DONE:
                await self._linger()
                return
            self._parser.start_next_cycle()

    async def _read_request(self) -> CallerRequest:
        await self._await_first_bytes()
        limits = self._parts.limits()
        with anyio.move_on_after(limits.header_timeout_s):
            head = await self._next_event()
            arrived_at_s = self._parts.clock()
            if not isinstance(head, h11.Request):
                raise _EndedError
            if _head_bytes(head) > limits.header_bytes:
                raise _MalformedError(431, "the head is too long")
            return await self._read_body(head, limits, arrived_at_s)
        raise _MalformedError(408, "the request did not come in time")

    async def _await_first_bytes(self) -> None:
        """Wait for a request to begin, as long as the limit in force allows."""
        if self._parser.trailing_data[0]:
            return
        started_at_s = self._parts.clock()
        while True:
            left_s = self._parts.limits().idle_timeout_s - (
                self._parts.clock() - started_at_s
            )
            if left_s <= 0:
                raise _EndedError
            data = await self._receive_idle(left_s)
            if data is None:
                continue
            if not data:
                raise _EndedError
            self._parser.receive_data(data)
            return

    async def _receive_idle(self, most_s: float) -> bytes | None:
        """Return the first bytes of a request, None when none came in time."""
        with anyio.CancelScope() as scope:
            self._parts.connections.idle_scope(scope)
            try:
                with anyio.move_on_after(most_s):
                    return await self._stream.receive(READ_BYTES)
                return None
            except anyio.EndOfStream:
                return b""
            finally:
                self._parts.connections.busy_scope(scope)
        return b""

    async def _next_event(self) -> h11.Event | None:
        """Return what comes next, None while the last answer is still owed."""
        while True:
            event = self._parser.next_event()
            if isinstance(event, h11.Event):
                return event
            if event is h11.PAUSED:
                return None
            if self._parser.they_are_waiting_for_100_continue:
                go_on = h11.InformationalResponse(status_code=100, headers=[])
                await self._send(self._parser.send(go_on))
            try:
                data = await self._stream.receive(READ_BYTES)
            except anyio.EndOfStream:
                raise _EndedError from None
            self._parser.receive_data(data)

    async def _read_body(
        self, head: h11.Request, limits: CallerLimits, arrived_at_s: float
    ) -> CallerRequest:
        body = bytearray()
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Data):
                body += event.data
                if len(body) > limits.body_bytes:
                    raise _MalformedError(413, "the body is too long")
                if self._parts.connections.body_bytes + len(body) > MAX_BODIES_BYTES:
                    raise _MalformedError(503, "too many bodies in hand")
            elif isinstance(event, h11.EndOfMessage):
                headers = tuple(head.headers.raw_items())
                return CallerRequest(
                    head.method, head.target, headers, bytes(body), arrived_at_s
                )
            else:
                raise _EndedError

    async def _respond_while_caller_stays(self, request: CallerRequest) -> Response:
        """Have a request answered; give up at once when its caller leaves."""
        answer: Response | None = None
        async with anyio.create_task_group() as tasks:

            async def watch() -> None:
                await self._read_ahead()
                tasks.cancel_scope.cancel()

            tasks.start_soon(watch)
            answer = await self._respond(request)
            tasks.cancel_scope.cancel()
        if answer is None:
            raise _EndedError
        return answer

    async def _respond(self, request: CallerRequest) -> Response:
        try:
            return await self._parts.respond(request)
        except Exception as error:
            # A fault of this program ends one request, not the process. What is known
            # of its run is lost with it, so the answer promises nothing.
            self._parts.log.exception("request_failed", error=repr(error))
            return refuse(RefusalReason.INSTANCE_LOST, Execution.MAY_HAVE_RUN)

    async def _read_ahead(self) -> None:
        """Read until the caller leaves."""
        read = 0
        while read < MAX_READ_AHEAD_BYTES:
            try:
                data = await self._stream.receive(READ_BYTES)
            except _STREAM_ERRORS:
                return
            read += len(data)
            self._parser.receive_data(data)
        await anyio.sleep_forever()

    async def _write(self, answer: Response, method: bytes) -> None:
        has_body = answer.status not in (204, 304) and method != b"HEAD"
        headers = list(drop_connection_headers(answer.headers))
        if has_body:
            headers.append((b"Content-Length", str(len(answer.body)).encode()))
        if self._parts.connections.is_leaving:
            headers.append((b"Connection", b"close"))
        head = h11.Response(
            status_code=answer.status, reason=answer.reason, headers=headers
        )
        encoded = self._parser.send(head) or b""
        if has_body and answer.body:
            encoded += self._parser.send(h11.Data(data=answer.body)) or b""
        encoded += self._parser.send(h11.EndOfMessage()) or b""
        await self._send(encoded)

    async def _send(self, data: bytes | None) -> None:
        if not data:
            return
        with anyio.move_on_after(WRITE_TIMEOUT_S) as scope:
            await self._stream.send(data)
        if scope.cancelled_caught:
            raise _EndedError

    async def _refuse(self, problem: _MalformedError) -> None:
        self._parts.log.warning(
            "unreadable_request", status=problem.status, detail=str(problem)
        )
        if self._parser.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        answer = refuse_malformed(problem.status)
        closing = (*answer.headers, (b"Connection", b"close"))
        head = h11.Response(
            status_code=answer.status,
            reason=answer.reason,
            headers=[*closing, (b"Content-Length", b"0")],
        )
        encoded = self._parser.send(head) or b""
        await self._send(encoded + (self._parser.send(h11.EndOfMessage()) or b""))
        await self._linger()

    async def _linger(self) -> None:
        """End the connection without a reset that would overtake the answer."""
        await self._stream.send_eof()
        with anyio.move_on_after(LINGER_S):
            while True:
                await self._stream.receive(READ_BYTES)


def _head_bytes(head: h11.Request) -> int:
    # The parser bounds only a head that comes in parts.
    fields = sum(len(key) + len(value) for key, value in head.headers.raw_items())
    return len(head.method) + len(head.target) + fields
