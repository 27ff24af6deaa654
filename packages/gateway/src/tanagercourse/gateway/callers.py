"""Serve one caller's connection: read requests, handle them and write the responses."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import anyio
import h11
from anyio.abc import SocketStream

from tanagercourse.core.states import Execution, RefusalReason
from tanagercourse.gateway.body_budget import BodyBudget, HeldBody
from tanagercourse.gateway.connections import split_body
from tanagercourse.gateway.headers import find_header
from tanagercourse.gateway.logs import Log
from tanagercourse.gateway.messages import (
    CallerRequest,
    Response,
    drop_connection_headers,
)
from tanagercourse.gateway.refusing import refuse, refuse_malformed
from tanagercourse.gateway.sockets import enable_dead_peer_detection
from tanagercourse.routing.configuration import CallerLimits

READ_BYTES = 65_536
# Time that one write to a caller may take before the connection is closed, in seconds.
WRITE_TIMEOUT_S = 10.0
# Time for which a caller's remaining bytes are read after the last response, in
# seconds.
LINGER_S = 1.0
# Time for which a request waits until there is room for its body, in seconds. Some
# callers give a request up if it isn't read within a second.
BODY_WAIT_S = 0.8
# Time for which the body of a request that was refused for its size is read and
# discarded, in seconds, so that the caller can read the refusal.
DISCARD_BODY_S = 3.0
# Maximum size of later requests that are read while a request is served, in bytes.
MAX_READ_AHEAD_BYTES = 65_536

RequestHandler = Callable[[CallerRequest], Awaitable[Response]]

_STREAM_ERRORS = (
    OSError,
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)


class CallerConnections:
    """State shared by all callers' connections of one listener.

    Attributes:
        open_count: Number of open connections.
        in_hand: Number of requests being served.
        is_leaving: Whether each connection closes after its next response.
        budget: Counts the bodies of requests and of the responses that are written.
    """

    def __init__(self, budget: BodyBudget | None = None) -> None:
        """Start without connections.

        Args:
            budget: Counts the bodies; the listener's own if None.
        """
        self.open_count = 0
        self.in_hand = 0
        self.is_leaving = False
        self.budget = budget or BodyBudget()
        self._idle: set[anyio.CancelScope] = set()

    def close_idle(self) -> None:
        """Close every connection that is waiting for a request."""
        for scope in tuple(self._idle):
            scope.cancel()

    def mark_idle(self, scope: anyio.CancelScope) -> None:
        """Register a connection as waiting for its next request."""
        self._idle.add(scope)

    def mark_busy(self, scope: anyio.CancelScope) -> None:
        """Unregister a connection that is no longer waiting for a request."""
        self._idle.discard(scope)


@dataclass(frozen=True)
class CallerDependencies:
    """Dependencies of the task that serves a caller's connection.

    Attributes:
        respond: Handles a request and returns the response.
        limits: Returns the active limits.
        connections: State shared by all connections of the listener.
        clock: A monotonic clock, in seconds.
        log: Logs malformed requests and unexpected errors.
    """

    respond: RequestHandler
    limits: Callable[[], CallerLimits]
    connections: CallerConnections
    clock: Callable[[], float]
    log: Log


class _MalformedError(Exception):
    """A request is malformed or exceeds a limit.

    Attributes:
        status: HTTP status of the response.
    """

    def __init__(self, status: int, detail: str) -> None:
        super().__init__(detail)
        self.status = status


class _NoRoomError(_MalformedError):
    """There is no room for the body of a request, which has not run."""

    def __init__(self, detail: str) -> None:
        super().__init__(503, detail)


class _ConnectionEndedError(Exception):
    """The caller closed the connection, or a timeout on the connection expired."""


async def serve_caller(deps: CallerDependencies, stream: SocketStream) -> None:
    """Serve a connection until the caller or this instance closes it."""
    deps.connections.open_count += 1
    try:
        enable_dead_peer_detection(stream)
        await _CallerConnection(deps, stream).serve()
    except (_ConnectionEndedError, *_STREAM_ERRORS):
        # A closed connection needs no response.
        pass
    finally:
        deps.connections.open_count -= 1
        with anyio.CancelScope(shield=True):
            await stream.aclose()


class _CallerConnection:
    """One caller's connection and its HTTP parser."""

    def __init__(self, deps: CallerDependencies, stream: SocketStream) -> None:
        self._deps = deps
        self._stream = stream
        limits = deps.limits()
        self._parser = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.header_bytes
        )

    async def serve(self) -> None:
        while await self._serve_next_request():
            states = (self._parser.our_state, self._parser.their_state)
            if states != (h11.DONE, h11.DONE):
                await self._linger(LINGER_S)
                return
            self._parser.start_next_cycle()

    async def _serve_next_request(self) -> bool:
        """Read and serve a request, or refuse it; return whether it was served.

        Nothing refers to the body of the request any more once it is not counted.
        """
        with self._deps.connections.budget.open() as held:
            try:
                request = await self._read_request(held)
            except _MalformedError as error:
                # The traceback refers to the part of the body that was read.
                problem = error.with_traceback(None)
            except h11.RemoteProtocolError as error:
                problem = _MalformedError(error.error_status_hint, str(error))
            else:
                await self._serve_request(request)
                return True
        await self._refuse(problem)
        return False

    async def _serve_request(self, request: CallerRequest) -> None:
        connections = self._deps.connections
        connections.in_hand += 1
        try:
            response = await self._respond_until_disconnect(request)
            with connections.budget.hold(len(response.body)):
                await self._write(response, request.method)
        finally:
            connections.in_hand -= 1

    async def _read_request(self, held: HeldBody) -> CallerRequest:
        await self._await_first_bytes()
        limits = self._deps.limits()
        with anyio.move_on_after(limits.header_timeout_s) as scope:
            head = await self._next_event()
            arrived_at_s = self._deps.clock()
            if not isinstance(head, h11.Request):
                raise _ConnectionEndedError
            if _head_size(head) > limits.header_bytes:
                raise _MalformedError(
                    431, "request head exceeds the limit header_bytes"
                )
            scope.deadline += await self._wait_for_room(head, limits, held)
            return await self._read_body(head, limits, held, arrived_at_s)
        raise _MalformedError(408, "request incomplete after header_timeout_ms")

    async def _await_first_bytes(self) -> None:
        """Wait for a request to begin, up to the currently active idle timeout."""
        if self._parser.trailing_data[0]:
            return
        started_at_s = self._deps.clock()
        while True:
            remaining_s = self._deps.limits().idle_timeout_s - (
                self._deps.clock() - started_at_s
            )
            if remaining_s <= 0:
                raise _ConnectionEndedError
            data = await self._receive_idle(remaining_s)
            if data is None:
                continue
            if not data:
                raise _ConnectionEndedError
            self._parser.receive_data(data)
            return

    async def _receive_idle(self, timeout_s: float) -> bytes | None:
        """Return the first bytes of a request.

        Returns:
            The bytes, empty if the connection was closed, or None after the timeout.
        """
        with anyio.CancelScope() as scope:
            self._deps.connections.mark_idle(scope)
            try:
                with anyio.move_on_after(timeout_s):
                    return await self._stream.receive(READ_BYTES)
                return None
            except anyio.EndOfStream:
                return b""
            finally:
                self._deps.connections.mark_busy(scope)
        return b""

    async def _next_event(self) -> h11.Event | None:
        """Return the next event, None while the previous response is unfinished."""
        while True:
            event = self._parser.next_event()
            if isinstance(event, h11.Event):
                return event
            if event is h11.PAUSED:
                return None
            if self._parser.they_are_waiting_for_100_continue:
                continue_response = h11.InformationalResponse(
                    status_code=100, headers=[]
                )
                await self._send(self._parser.send(continue_response))
            try:
                data = await self._stream.receive(READ_BYTES)
            except anyio.EndOfStream:
                raise _ConnectionEndedError from None
            self._parser.receive_data(data)

    async def _wait_for_room(
        self, head: h11.Request, limits: CallerLimits, held: HeldBody
    ) -> float:
        """Wait until there is room for a body of known length; return how long.

        Nothing is read meanwhile, which slows the caller down, so that time does not
        count as the caller's.
        """
        length = find_header(head.headers.raw_items(), b"content-length")
        if length is None:
            return 0.0
        size_bytes = int(length)
        if size_bytes > limits.body_bytes:
            raise _MalformedError(413, "request body exceeds the limit body_bytes")
        started_at_s = self._deps.clock()
        if not await held.grow(size_bytes, BODY_WAIT_S):
            raise _NoRoomError(f"no room for a body of {size_bytes} bytes")
        return self._deps.clock() - started_at_s

    async def _read_body(
        self,
        head: h11.Request,
        limits: CallerLimits,
        held: HeldBody,
        arrived_at_s: float,
    ) -> CallerRequest:
        # A body of known length is allocated at once: one that grows leaves holes in
        # the heap, which take several times its size.
        body, size_bytes = bytearray(held.size_bytes), 0
        while True:
            event = await self._next_event()
            if isinstance(event, h11.Data):
                end = size_bytes + len(event.data)
                body[size_bytes:end] = event.data
                size_bytes = end
                if size_bytes > limits.body_bytes:
                    raise _MalformedError(
                        413, "request body exceeds the limit body_bytes"
                    )
                if not held.try_grow(size_bytes):
                    raise _NoRoomError("no room for the rest of a body")
            elif isinstance(event, h11.EndOfMessage):
                headers = tuple(head.headers.raw_items())
                return CallerRequest(
                    head.method, head.target, headers, bytes(body), arrived_at_s
                )
            else:
                raise _ConnectionEndedError

    async def _respond_until_disconnect(self, request: CallerRequest) -> Response:
        """Handle a request; cancel the handler as soon as the caller disconnects."""
        response: Response | None = None
        async with anyio.create_task_group() as tasks:

            async def watch_caller() -> None:
                await self._read_ahead()
                tasks.cancel_scope.cancel()

            tasks.start_soon(watch_caller)
            response = await self._respond(request)
            tasks.cancel_scope.cancel()
        if response is None:
            raise _ConnectionEndedError
        return response

    async def _respond(self, request: CallerRequest) -> Response:
        try:
            return await self._deps.respond(request)
        except Exception as error:
            # An unexpected error fails one request, not the process. The state of the
            # request is lost, so the response must not state that it did not run.
            self._deps.log.exception("request_failed", error=repr(error))
            return refuse(RefusalReason.INSTANCE_LOST, Execution.MAY_HAVE_RUN)

    async def _read_ahead(self) -> None:
        """Read later requests; return only when the caller disconnects.

        After MAX_READ_AHEAD_BYTES, nothing more is read and a disconnect is not
        noticed.
        """
        read_bytes = 0
        while read_bytes < MAX_READ_AHEAD_BYTES:
            try:
                data = await self._stream.receive(READ_BYTES)
            except _STREAM_ERRORS:
                return
            read_bytes += len(data)
            self._parser.receive_data(data)
        await anyio.sleep_forever()

    async def _write(self, response: Response, method: bytes) -> None:
        has_body = response.status not in (204, 304) and method != b"HEAD"
        headers = list(drop_connection_headers(response.headers))
        if has_body:
            headers.append((b"Content-Length", str(len(response.body)).encode()))
        if self._deps.connections.is_leaving:
            headers.append((b"Connection", b"close"))
        head = h11.Response(
            status_code=response.status, reason=response.reason, headers=headers
        )
        encoded = bytearray(self._parser.send(head) or b"")
        # A long body is written in parts, so that it is not copied as a whole.
        with anyio.move_on_after(WRITE_TIMEOUT_S) as scope:
            for part in split_body(response.body if has_body else b""):
                encoded += self._parser.send(h11.Data(data=part)) or b""
                if len(encoded) >= READ_BYTES:
                    await self._stream.send(bytes(encoded))
                    encoded.clear()
            encoded += self._parser.send(h11.EndOfMessage()) or b""
            if encoded:
                await self._stream.send(bytes(encoded))
        if scope.cancelled_caught:
            raise _ConnectionEndedError

    async def _send(self, data: bytes | None) -> None:
        if not data:
            return
        with anyio.move_on_after(WRITE_TIMEOUT_S) as scope:
            await self._stream.send(data)
        if scope.cancelled_caught:
            raise _ConnectionEndedError

    async def _refuse(self, problem: _MalformedError) -> None:
        self._deps.log.warning(
            "unreadable_request", status=problem.status, detail=str(problem)
        )
        if self._parser.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        response = refuse_malformed(problem.status)
        closing_headers = (*response.headers, (b"Connection", b"close"))
        head = h11.Response(
            status_code=response.status,
            reason=response.reason,
            headers=[*closing_headers, (b"Content-Length", b"0")],
        )
        encoded = self._parser.send(head) or b""
        await self._send(encoded + (self._parser.send(h11.EndOfMessage()) or b""))
        has_body = isinstance(problem, _NoRoomError)
        await self._linger(DISCARD_BODY_S if has_body else LINGER_S)

    async def _linger(self, duration_s: float) -> None:
        """Close the connection without a reset, which could overtake the response."""
        await self._stream.send_eof()
        with anyio.move_on_after(duration_s):
            while True:
                await self._stream.receive(READ_BYTES)


def _head_size(head: h11.Request) -> int:
    # The parser limits only a head that arrives in several reads.
    fields = sum(len(key) + len(value) for key, value in head.headers.raw_items())
    return len(head.method) + len(head.target) + fields
