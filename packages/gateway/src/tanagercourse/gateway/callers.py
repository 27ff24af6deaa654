"""Serve one caller's connection: run its requests and write the responses in order.

The connection's task reads the requests. While a request runs, it goes on reading: to
start further requests that may overlap with it, and to notice when the caller leaves.
Each request runs in a task of its own, which writes the response when all earlier ones
are written.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace

import anyio
import h11
from anyio.abc import SocketStream, TaskGroup
from anyio.lowlevel import checkpoint_if_cancelled

from tanagercourse.core.states import Execution, RefusalReason
from tanagercourse.gateway.body_budget import BodyBudget, HeldBody
from tanagercourse.gateway.caller_stream import (
    STREAM_ERRORS,
    ConnectionEndedError,
    linger,
    send,
)
from tanagercourse.gateway.connection_limit import Admission, ConnectionLimit
from tanagercourse.gateway.logs import Log
from tanagercourse.gateway.messages import CallerRequest, Response
from tanagercourse.gateway.pipelines import Exchange, Pipeline
from tanagercourse.gateway.refusing import refuse, refuse_malformed
from tanagercourse.gateway.request_reading import (
    MalformedError,
    NoRoomError,
    RequestReader,
)
from tanagercourse.gateway.response_encoding import encode_response
from tanagercourse.gateway.sockets import enable_keepalive
from tanagercourse.routing.configuration import CallerLimits

# Time for which a caller's remaining bytes are read after the last response, in
# seconds.
LINGER_S = 1.0
# Time for which the body of a request that was refused for its size is read and
# discarded, in seconds, so that the caller can read the refusal.
DISCARD_BODY_S = 3.0
# Time that a connection beyond the limit stays open for its first request, in seconds.
REFUSE_WITHIN_S = 1.0

RequestHandler = Callable[[CallerRequest], Awaitable[Response]]
OverlapDecision = Callable[[CallerRequest], bool]


class CallerConnections:
    """State shared by all callers' connections of one listener.

    Attributes:
        open_count: Number of open connections.
        in_hand: Number of requests being served.
        is_leaving: Whether each connection closes after its next response.
        budget: Counts the bodies of requests and of the responses that are written.
        limit: Limits the open connections.
    """

    def __init__(
        self, budget: BodyBudget | None = None, limit: ConnectionLimit | None = None
    ) -> None:
        """Start without connections.

        Args:
            budget: Counts the bodies; the listener's own if None.
            limit: Limits the open connections; the listener's own if None.
        """
        self.open_count = 0
        self.in_hand = 0
        self.is_leaving = False
        self.budget = budget or BodyBudget()
        self.limit = limit or ConnectionLimit()
        self._idle: set[anyio.CancelScope] = set()

    def close_idle(self) -> None:
        """Close every connection that is waiting for a request."""
        for scope in tuple(self._idle):
            scope.cancel()

    def mark_idle(self, scope: anyio.CancelScope) -> None:
        """Register a connection as waiting for its next request."""
        self._idle.add(scope)
        self.limit.mark_idle(scope)

    def mark_busy(self, scope: anyio.CancelScope) -> None:
        """Unregister a connection that is no longer waiting for a request."""
        self._idle.discard(scope)
        self.limit.mark_busy(scope)


def overlap_nothing(request: CallerRequest) -> bool:
    """Let no request run at the same time as another one of its connection."""
    return False


@dataclass(frozen=True)
class CallerDependencies:
    """Dependencies of the task that serves a caller's connection.

    Attributes:
        respond: Handles a request and returns the response.
        limits: Returns the active limits.
        connections: State shared by all connections of the listener.
        clock: A monotonic clock, in seconds.
        log: Logs malformed requests and unexpected errors.
        may_overlap: Returns whether a request may run at the same time as others of
            its connection for which this holds.
    """

    respond: RequestHandler
    limits: Callable[[], CallerLimits]
    connections: CallerConnections
    clock: Callable[[], float]
    log: Log
    may_overlap: OverlapDecision = overlap_nothing


async def serve_caller(deps: CallerDependencies, stream: SocketStream) -> None:
    """Serve a connection until the caller or this instance closes it."""
    deps.connections.open_count += 1
    admission = deps.connections.limit.open()
    try:
        enable_keepalive(stream)
        if admission is Admission.SERVE:
            await _CallerConnection(deps, stream).serve()
        elif admission is Admission.REFUSE:
            await _refuse_connection(deps, stream)
    except (ConnectionEndedError, *STREAM_ERRORS):
        # A closed connection needs no response.
        pass
    finally:
        deps.connections.open_count -= 1
        deps.connections.limit.close()
        with anyio.CancelScope(shield=True):
            await stream.aclose()


async def _refuse_connection(deps: CallerDependencies, stream: SocketStream) -> None:
    """Refuse the first request of a connection, and close it."""

    async def respond(request: CallerRequest) -> Response:
        return refuse(RefusalReason.OVERLOADED, Execution.NOT_RUN)

    deps.log.warning("connection_refused", open=deps.connections.limit.open_count)
    closing = CallerConnections(deps.connections.budget)
    closing.is_leaving = True
    with anyio.move_on_after(REFUSE_WITHIN_S):
        refusing = replace(deps, respond=respond, connections=closing)
        await _CallerConnection(refusing, stream).serve()


class _CallerConnection:
    """One caller's connection and its unanswered requests."""

    __slots__ = (
        "_deps",
        "_idle",
        "_idle_since_s",
        "_linger_s",
        "_pipeline",
        "_reader",
        "_reading",
        "_stream",
        "_waiting",
    )

    def __init__(self, deps: CallerDependencies, stream: SocketStream) -> None:
        self._deps = deps
        self._stream = stream
        self._pipeline = Pipeline(deps.connections.budget)
        self._reader = RequestReader(
            stream, deps.limits, deps.clock, self._await_all_answered
        )
        # Set once the last response of the connection is written.
        self._linger_s: float | None = None
        # Cancelled once the last response of the connection is written.
        self._reading = anyio.CancelScope()
        # Cancelled when a response is written, if the reader waits for that.
        self._waiting: anyio.CancelScope | None = None
        # Cancelled at the end of the idle time, if the reader waits for a request.
        self._idle: anyio.CancelScope | None = None
        self._idle_since_s = 0.0

    async def serve(self) -> None:
        async with anyio.create_task_group() as tasks:
            try:
                with self._reading:
                    await self._read_requests(tasks)
            except (ConnectionEndedError, *STREAM_ERRORS):
                tasks.cancel_scope.cancel()
        if self._linger_s is not None and not tasks.cancel_scope.cancel_called:
            await linger(self._stream, self._linger_s)

    async def _read_requests(self, tasks: TaskGroup) -> None:
        is_last = False
        while not is_last:
            await self._await_first_bytes()
            await self._read_ahead_until(lambda: self._pipeline.may_start_overlapping)
            try:
                is_last = await self._start_next_request(tasks)
            except MalformedError as error:
                # The traceback refers to the part of the body that was read.
                await self._refuse(error.with_traceback(None))
                return
        await self._await_all_answered()

    async def _await_first_bytes(self) -> None:
        """Wait for a request to begin.

        Raises:
            ConnectionEndedError: After the currently active idle timeout, which counts
                while all requests are answered, or if idle connections are closed.
        """
        if self._pipeline.is_empty:
            self._idle_since_s = self._deps.clock()
        while not self._reader.has_bytes:
            with anyio.CancelScope() as self._idle:
                if self._pipeline.is_empty:
                    self._mark_idle(self._idle)
                try:
                    await self._reader.receive()
                finally:
                    self._deps.connections.mark_busy(self._idle)
            is_closed = self._idle.deadline > anyio.current_time()
            if self._idle.cancelled_caught and (is_closed or self._idle_left_s() <= 0):
                raise ConnectionEndedError
        self._idle = None

    def _mark_idle(self, scope: anyio.CancelScope) -> None:
        scope.deadline = anyio.current_time() + self._idle_left_s()
        self._deps.connections.mark_idle(scope)

    def _idle_left_s(self) -> float:
        idle_s = self._deps.clock() - self._idle_since_s
        return self._deps.limits().idle_timeout_s - idle_s

    async def _start_next_request(self, tasks: TaskGroup) -> bool:
        """Read a request and start it in its turn; return whether it is the last.

        Nothing refers to the body of the request any more once it is not counted.
        """
        connections = self._deps.connections
        held = HeldBody(connections.budget)
        try:
            read = await self._reader.read(held)
            may_overlap = not read.may_switch_protocol and self._deps.may_overlap(
                read.request
            )
            await self._await_turn_to_start(may_overlap)
            # Bytes may have arrived at the moment of the cancellation.
            await checkpoint_if_cancelled()
        except BaseException:
            held.release()
            raise
        exchange = self._pipeline.start(read, may_overlap)
        connections.in_hand += 1
        tasks.start_soon(self._serve_request, exchange, held, tasks)
        return read.is_last

    async def _await_turn_to_start(self, may_overlap: bool) -> None:
        """Wait until a request may start besides the earlier ones.

        An instance that is leaving starts no request behind others, so that the last
        response closes the connection.
        """
        pipeline, connections = self._pipeline, self._deps.connections
        if may_overlap:
            await self._read_ahead_until(
                lambda: (
                    pipeline.is_empty
                    or (pipeline.may_start_overlapping and not connections.is_leaving)
                )
            )
        else:
            await self._await_all_answered()

    async def _await_all_answered(self) -> None:
        await self._read_ahead_until(lambda: self._pipeline.is_empty)

    async def _read_ahead_until(self, is_met: Callable[[], bool]) -> None:
        """Read later requests until a condition is met.

        After MAX_READ_AHEAD_BYTES, nothing more is read and a disconnect is not
        noticed.

        Args:
            is_met: The condition; it may change when bytes are received or a response
                is written.
        """
        while not is_met():
            with anyio.CancelScope() as self._waiting:
                if self._reader.may_read_ahead:
                    await self._reader.receive()
                else:
                    await anyio.sleep_forever()
            self._waiting = None

    async def _serve_request(
        self, exchange: Exchange, held: HeldBody, tasks: TaskGroup
    ) -> None:
        connections = self._deps.connections
        try:
            response = await self._respond(exchange.read.request)
            exchange.held_bytes += len(response.body)
            with connections.budget.hold(len(response.body)):
                if exchange.turn is not None:
                    await exchange.turn.wait()
                await self._write(response, exchange)
            self._finish_first()
        except (ConnectionEndedError, *STREAM_ERRORS):
            tasks.cancel_scope.cancel()
        finally:
            held.release()
            connections.in_hand -= 1

    def _finish_first(self) -> None:
        """Let the reader go on, or count the idle time, after a written response."""
        self._pipeline.finish_first()
        if self._waiting is not None:
            self._waiting.cancel()
        elif self._idle is not None and self._pipeline.is_empty:
            self._idle_since_s = self._deps.clock()
            self._mark_idle(self._idle)

    async def _respond(self, request: CallerRequest) -> Response:
        try:
            return await self._deps.respond(request)
        except Exception as error:
            # An unexpected error fails one request, not the process. The state of the
            # request is lost, so the response must not state that it did not run.
            self._deps.log.exception("request_failed", error=repr(error))
            return refuse(RefusalReason.INSTANCE_LOST, Execution.MAY_HAVE_RUN)

    async def _write(self, response: Response, exchange: Exchange) -> None:
        parser, method = exchange.read.parser, exchange.read.request.method
        closes = self._deps.connections.is_leaving and self._pipeline.is_last(exchange)
        await send(self._stream, encode_response(parser, response, method, closes))
        if (parser.our_state, parser.their_state) != (h11.DONE, h11.DONE):
            # No request may start behind a response that ends the connection.
            self._reading.cancel()
            self._linger_s = LINGER_S

    async def _refuse(self, problem: MalformedError) -> None:
        self._deps.log.warning(
            "unreadable_request", status=problem.status, detail=str(problem)
        )
        await self._await_all_answered()
        parser = self._reader.parser
        if parser.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            raise ConnectionEndedError
        response = refuse_malformed(problem.status)
        await send(self._stream, encode_response(parser, response, b"", True))
        has_body = isinstance(problem, NoRoomError)
        self._linger_s = DISCARD_BODY_S if has_body else LINGER_S
