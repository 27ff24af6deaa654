"""Connections to upstreams: one request at a time, whole answers only."""

from collections.abc import Callable
from dataclasses import dataclass

import anyio
import h11
from anyio.abc import SocketStream
from anyio.lowlevel import checkpoint
from returns.result import Failure, Result, Success

from tanagercourse.gateway.headers import Headers, find_header
from tanagercourse.gateway.messages import Lost, NotSent, Response
from tanagercourse.gateway.sockets import connect, has_input

READ_BYTES = 65_536
# The longest answer that is kept in memory, in bytes.
MAX_ANSWER_BYTES = 32 * 1024 * 1024
# Bodies up to this size are sent before the answer is read, in bytes.
SMALL_BODY_BYTES = 16_384
# Answers to other requests that are passed over before a connection is given up.
MAX_STRAY_ANSWERS = 2
# An idle connection is used again this long where the upstream did not say, in seconds.
IDLE_S = 4.0
# Taken off the time that an upstream says it keeps an idle connection, in seconds.
IDLE_MARGIN_S = 1.0
MAX_IDLE = 6

_STREAM_ERRORS = (
    OSError,
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    h11.RemoteProtocolError,
)


@dataclass(frozen=True)
class OutboundRequest:
    """One request to one upstream.

    Attributes:
        id_header: Name of the header that an answer must repeat.
        request_id: What it must hold; empty when the request names no id.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    id_header: bytes = b""
    request_id: bytes = b""


class HttpConnection:
    """One connection to an upstream.

    Attributes:
        is_fresh: Whether nothing has been sent on it yet.
        idle_since_s: When its last answer ended, in seconds.
        idle_limit_s: How long it may stay idle, in seconds.
    """

    def __init__(self, stream: SocketStream) -> None:
        self.is_fresh = True
        self.idle_since_s = 0.0
        self.idle_limit_s = IDLE_S
        self._stream = stream
        self._parser = h11.Connection(h11.CLIENT)
        self._has_answer_bytes = False

    async def exchange(self, call: OutboundRequest) -> Result[Response, Lost]:
        """Send a request and read its whole answer."""
        was_kept = not self.is_fresh
        self.is_fresh = False
        self._has_answer_bytes = False
        try:
            if len(call.body) <= SMALL_BODY_BYTES:
                await self._send_quietly(self._encode(call))
                return Success(await self._read_matching(call))
            return Success(await self._send_while_reading(call))
        except _STREAM_ERRORS as error:
            is_idle_end = was_kept and not self._has_answer_bytes
            return Failure(Lost(f"{type(error).__name__}: {error}", is_idle_end))

    async def exchange_with_timeout(
        self, call: OutboundRequest, most_s: float, late: str
    ) -> Result[Response, Lost]:
        """Exchange within a time; close the connection unless the answer is whole.

        Args:
            call: The request.
            most_s: How long it may take, in seconds.
            late: What to say of an answer that did not come in time.
        """
        result: Result[Response, Lost] = Failure(Lost(late))
        try:
            with anyio.move_on_after(most_s):
                result = await self.exchange(call)
        finally:
            if isinstance(result, Failure):
                with anyio.CancelScope(shield=True):
                    await self.close()
        return result

    def prepare_for_reuse(self) -> bool:
        """Return whether the last exchange left nothing behind; resets the parser."""
        trailing, _ = self._parser.trailing_data
        if trailing or self._parser.our_state is not h11.DONE:
            return False
        if self._parser.their_state is not h11.DONE:
            return False
        self._parser.start_next_cycle()
        return True

    def is_stale(self, now_s: float) -> bool:
        """Return whether an idle connection must not be used any more."""
        if now_s - self.idle_since_s > self.idle_limit_s:
            return True
        return has_input(self._stream)

    async def close(self) -> None:
        """Close the connection; an upstream drops what it still works on."""
        await self._stream.aclose()

    def _encode(self, call: OutboundRequest) -> bytes:
        headers = call.headers
        if call.body or call.method not in (b"GET", b"HEAD"):
            length = (b"Content-Length", str(len(call.body)).encode())
            headers = (*headers, length)
        request = h11.Request(
            method=call.method, target=call.target, headers=list(headers)
        )
        encoded = self._parser.send(request) or b""
        if call.body:
            encoded += self._parser.send(h11.Data(data=call.body)) or b""
        return encoded + (self._parser.send(h11.EndOfMessage()) or b"")

    async def _send_quietly(self, data: bytes) -> None:
        """Send; an upstream may have answered before it broke the connection."""
        try:
            await self._stream.send(data)
        except (OSError, anyio.BrokenResourceError):
            return

    async def _send_while_reading(self, call: OutboundRequest) -> Response:
        """Read from the start: an upstream may answer before it has a long body."""
        has_sent = False

        async def send() -> None:
            nonlocal has_sent
            await self._send_quietly(self._encode(call))
            has_sent = True

        problem: Exception | None = None
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(send)
            await checkpoint()
            try:
                answer = await self._read_matching(call)
            except _STREAM_ERRORS as error:
                problem = error
            tasks.cancel_scope.cancel()
        if problem is not None:
            raise problem
        if not has_sent:
            # The rest of the body is still owed, so nothing else may be sent here.
            self._parser.send_failed()
        return answer

    async def _read_matching(self, call: OutboundRequest) -> Response:
        for _ in range(MAX_STRAY_ANSWERS + 1):
            answer = await self._read_answer()
            if self._is_for(answer, call):
                self._note_idle_limit(answer)
                return answer
            self._expect_again(call)
        raise h11.RemoteProtocolError("answers to other requests")

    def _is_for(self, answer: Response, call: OutboundRequest) -> bool:
        if not call.id_header or not call.request_id:
            return True
        found = find_header(answer.headers, call.id_header)
        return found is None or found == call.request_id

    def _expect_again(self, call: OutboundRequest) -> None:
        """Read on after an answer to another request, as if nothing had come."""
        trailing, ended = self._parser.trailing_data
        if ended or self._parser.their_state is not h11.DONE:
            raise h11.RemoteProtocolError("an answer to another request, then the end")
        self._parser = h11.Connection(h11.CLIENT)
        self._encode(call)
        if trailing:
            self._parser.receive_data(trailing)

    async def _read_answer(self) -> Response:
        head: h11.Response | None = None
        body = bytearray()
        while True:
            event = self._parser.next_event()
            if event is h11.NEED_DATA:
                await self._receive()
            elif isinstance(event, h11.Response):
                head = event
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > MAX_ANSWER_BYTES:
                    raise h11.RemoteProtocolError("the answer is too long")
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                headers = tuple(head.headers.raw_items())
                return Response(head.status_code, head.reason, headers, bytes(body))
            elif not isinstance(event, h11.InformationalResponse):
                raise anyio.EndOfStream

    async def _receive(self) -> None:
        try:
            data = await self._stream.receive(READ_BYTES)
        except anyio.EndOfStream:
            data = b""
        self._has_answer_bytes = self._has_answer_bytes or bool(data)
        self._parser.receive_data(data)

    def _note_idle_limit(self, answer: Response) -> None:
        text = find_header(answer.headers, b"keep-alive") or b""
        for part in text.split(b","):
            name, _, value = part.strip().partition(b"=")
            if name.lower() == b"timeout" and value.isdigit():
                self.idle_limit_s = max(0.0, int(value) - IDLE_MARGIN_S)


class ConnectionPool:
    """Idle connections, kept for each destination."""

    def __init__(self, clock: Callable[[], float], connect_timeout_s: float) -> None:
        """Create an empty pool.

        Args:
            clock: A monotonic clock, in seconds.
            connect_timeout_s: How long a new connection may take, in seconds.
        """
        self._clock = clock
        self._connect_timeout_s = connect_timeout_s
        self._idle: dict[str, list[HttpConnection]] = {}

    async def acquire(
        self, name: str, host: str, port: int, may_be_kept: bool
    ) -> Result[HttpConnection, NotSent]:
        """Return an idle connection to a destination, or a new one.

        Args:
            name: The destination's name in this pool.
            host: Its IP address.
            port: Its port.
            may_be_kept: Whether a connection that was used before will do.
        """
        idle = self._idle.get(name, [])
        while may_be_kept and idle:
            channel = idle.pop()
            if not channel.is_stale(self._clock()):
                return Success(channel)
            await channel.close()
        try:
            stream = await connect(host, port, self._connect_timeout_s)
        except (OSError, TimeoutError) as error:
            return Failure(NotSent(f"connect: {type(error).__name__}: {error}"))
        return Success(HttpConnection(stream))

    async def release(self, name: str, channel: HttpConnection) -> None:
        """Keep a connection for the next request if it can carry one."""
        idle = self._idle.setdefault(name, [])
        if len(idle) >= MAX_IDLE or not channel.prepare_for_reuse():
            await channel.close()
            return
        channel.idle_since_s = self._clock()
        idle.append(channel)

    async def discard_idle(self, name: str) -> None:
        """Close a destination's idle connections."""
        for channel in self._idle.pop(name, []):
            await channel.close()
