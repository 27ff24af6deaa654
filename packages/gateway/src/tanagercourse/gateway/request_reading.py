"""Read the requests of a caller's connection one after another.

Each request has an HTTP parser of its own, which also encodes its response. A parser
stops at the end of its request, and the bytes behind it go to the next parser. So a
request can be read while earlier ones are being served.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import anyio
import h11
from anyio.abc import SocketStream

from tanagercourse.gateway.body_budget import HeldBody
from tanagercourse.gateway.caller_stream import ConnectionEndedError, receive, send
from tanagercourse.gateway.headers import find_header
from tanagercourse.gateway.messages import CallerRequest
from tanagercourse.routing.configuration import CallerLimits

# Time for which a request waits until there is room for its body, in seconds. Some
# callers give a request up if it isn't read within a second.
BODY_WAIT_S = 0.8
# Maximum size of later requests that are read while a request is served, in bytes.
MAX_READ_AHEAD_BYTES = 65_536


class MalformedError(Exception):
    """A request is malformed or exceeds a limit.

    Attributes:
        status: HTTP status of the response.
    """

    def __init__(self, status: int, detail: str) -> None:
        super().__init__(detail)
        self.status = status


class NoRoomError(MalformedError):
    """There is no room for the body of a request, which has not run."""

    def __init__(self, detail: str) -> None:
        super().__init__(503, detail)


@dataclass(frozen=True)
class ReadRequest:
    """A complete request and its parser.

    Attributes:
        request: The request.
        parser: The parser that read the request, and encodes its response.
    """

    request: CallerRequest
    parser: h11.Connection

    @property
    def is_last(self) -> bool:
        """Whether the caller asked for the connection to end after the response."""
        return self.parser.their_state is h11.MUST_CLOSE

    @property
    def may_switch_protocol(self) -> bool:
        """Whether the bytes behind it are unknown until it is answered.

        After CONNECT and Upgrade they may be of another protocol.
        """
        states = (h11.DONE, h11.MUST_CLOSE)
        return self.parser.their_state not in states


class RequestReader:
    """Reads one request after another from a connection.

    Attributes:
        parser: Parser of the request that is read next.
    """

    __slots__ = (
        "_await_earlier",
        "_buffered_bytes",
        "_clock",
        "_limits",
        "_stream",
        "parser",
    )

    def __init__(
        self,
        stream: SocketStream,
        limits: Callable[[], CallerLimits],
        clock: Callable[[], float],
        await_earlier: Callable[[], Awaitable[None]],
    ) -> None:
        """Start at the beginning of a connection.

        Args:
            stream: The connection.
            limits: Returns the active limits.
            clock: A monotonic clock, in seconds.
            await_earlier: Waits until all earlier requests of the connection are
                answered, so that an interim response is written in order.
        """
        self._stream = stream
        self._limits = limits
        self._clock = clock
        self._await_earlier = await_earlier
        self._buffered_bytes = 0
        self.parser = self._make_parser()

    @property
    def has_bytes(self) -> bool:
        """Whether bytes of the next request were received."""
        return self._buffered_bytes > 0

    @property
    def may_read_ahead(self) -> bool:
        """Whether more bytes may be received before the next request is read."""
        return self._buffered_bytes < MAX_READ_AHEAD_BYTES

    async def receive(self) -> None:
        """Receive bytes of the next request.

        Raises:
            ConnectionEndedError: If the caller closed the connection.
        """
        data = await receive(self._stream)
        self._buffered_bytes += len(data)
        self.parser.receive_data(data)

    async def read(self, held: HeldBody) -> ReadRequest:
        """Read the request whose first bytes were received.

        Args:
            held: Counts the body of the request.

        Raises:
            MalformedError: If the request is refused without being served.
            ConnectionEndedError: If the connection ended before the request did.
        """
        try:
            request = await self._read_request(held)
        except h11.RemoteProtocolError as error:
            raise MalformedError(error.error_status_hint, str(error)) from None
        parser, self.parser = self.parser, self._make_parser()
        trailing, _ = parser.trailing_data
        self._buffered_bytes = len(trailing)
        if trailing:
            self.parser.receive_data(trailing)
        return ReadRequest(request, parser)

    def _make_parser(self) -> h11.Connection:
        header_bytes = self._limits().header_bytes
        return h11.Connection(h11.SERVER, max_incomplete_event_size=header_bytes)

    async def _read_request(self, held: HeldBody) -> CallerRequest:
        limits = self._limits()
        with anyio.move_on_after(limits.header_timeout_s) as scope:
            head = await self._next_event(scope)
            arrived_at_s = self._clock()
            if not isinstance(head, h11.Request):
                raise ConnectionEndedError
            if _head_size(head) > limits.header_bytes:
                raise MalformedError(431, "request head exceeds the limit header_bytes")
            scope.deadline += await self._wait_for_room(head, limits, held)
            body = await self._read_body(limits, held, scope)
            headers = tuple(head.headers.raw_items())
            return CallerRequest(head.method, head.target, headers, body, arrived_at_s)
        raise MalformedError(408, "request incomplete after header_timeout_ms")

    async def _next_event(self, scope: anyio.CancelScope) -> h11.Event:
        """Return the next event.

        Args:
            scope: Ends the reading of the request after its time limit.
        """
        while True:
            event = self.parser.next_event()
            if isinstance(event, h11.Event):
                return event
            if self.parser.they_are_waiting_for_100_continue:
                await self._invite_body(scope)
            else:
                await self.receive()

    async def _invite_body(self, scope: anyio.CancelScope) -> None:
        """Send 100 Continue once all earlier responses are written.

        The caller waits meanwhile, so that time does not count as the caller's.
        """
        remaining_s = scope.deadline - anyio.current_time()
        scope.deadline = float("inf")
        await self._await_earlier()
        scope.deadline = anyio.current_time() + remaining_s
        head = h11.InformationalResponse(status_code=100, headers=[])
        await send(self._stream, [self.parser.send(head)])

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
            raise MalformedError(413, "request body exceeds the limit body_bytes")
        started_at_s = self._clock()
        if not await held.grow(size_bytes, BODY_WAIT_S):
            raise NoRoomError(f"no room for a body of {size_bytes} bytes")
        return self._clock() - started_at_s

    async def _read_body(
        self, limits: CallerLimits, held: HeldBody, scope: anyio.CancelScope
    ) -> bytes:
        # A body of known length is allocated at once: one that grows leaves holes in
        # the heap, which take several times its size.
        body, size_bytes = bytearray(held.size_bytes), 0
        while True:
            event = await self._next_event(scope)
            if isinstance(event, h11.Data):
                end = size_bytes + len(event.data)
                body[size_bytes:end] = event.data
                size_bytes = end
                if size_bytes > limits.body_bytes:
                    raise MalformedError(
                        413, "request body exceeds the limit body_bytes"
                    )
                if not held.try_grow(size_bytes):
                    raise NoRoomError("no room for the rest of a body")
            elif isinstance(event, h11.EndOfMessage):
                return bytes(body)
            else:
                raise ConnectionEndedError


def _head_size(head: h11.Request) -> int:
    # The parser limits only a head that arrives in several reads.
    fields = sum(len(key) + len(value) for key, value in head.headers.raw_items())
    return len(head.method) + len(head.target) + fields
