"""HTTP client connections: one request at a time, complete responses only."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from enum import Enum, unique

import anyio
import h11
from anyio.abc import SocketStream
from anyio.lowlevel import checkpoint
from returns.result import Failure, Result, Success

from tanagercourse.gateway.body_budget import BodyBudget, HeldBody
from tanagercourse.gateway.headers import (
    Headers,
    find_header,
    read_keep_alive_timeout,
)
from tanagercourse.gateway.messages import Lost, NotSent, Response
from tanagercourse.gateway.sockets import allow_slow_reader, is_readable

READ_BYTES = 65_536
# Maximum size of a response body, in bytes; the body is held in memory.
MAX_RESPONSE_BYTES = 32 * 1024 * 1024
# Request bodies up to this size are sent before the response is read, in bytes.
SMALL_BODY_BYTES = 16_384
# Maximum number of responses to other requests that are skipped; at the next one, the
# connection is closed.
MAX_STRAY_RESPONSES = 2
# Highest status that HTTP has; the parser accepts no final one below 200.
MAX_STATUS = 599
# Maximum number of interim (1xx) responses before a response; at the next one, the
# connection is closed.
MAX_INTERIM_RESPONSES = 16
# Maximum idle time of a reusable connection if the server states none, in seconds.
DEFAULT_IDLE_LIMIT_S = 4.0
# Subtracted from the idle time that the server states in Keep-Alive, in seconds.
IDLE_MARGIN_S = 1.0

_STREAM_ERRORS = (
    OSError,
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    h11.RemoteProtocolError,
)


@unique
class OpenReason(Enum):
    """Why a connection was opened instead of reusing an idle one."""

    NONE_IDLE = "none_idle"
    STALE = "stale"
    UNSAFE = "unsafe"


@dataclass(frozen=True)
class OutboundRequest:
    """A request to an upstream or another server.

    Attributes:
        method: HTTP method.
        target: Request target, with the query.
        headers: Headers except Content-Length.
        body: Complete body.
        id_header: Name of the response header that repeats the request id; empty if
            responses are not checked.
        request_id: Expected value of that header; empty if the request has no id.
        proof_header: Name of a response header without which no success counts; empty
            if successes are not checked.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    id_header: bytes = b""
    request_id: bytes = b""
    proof_header: bytes = b""


def split_body(body: bytes) -> Iterator[bytes]:
    """Return the parts of a body in order, each of READ_BYTES or less."""
    for begin in range(0, len(body), READ_BYTES):
        yield body[begin : begin + READ_BYTES]


class HttpConnection:
    """An HTTP connection to a server, with one request at a time.

    Attributes:
        is_unused: Whether no request has been sent on the connection.
        open_reason: Why it was opened.
        repeats_ids: Whether a response had the id of its request.
        idle_since_s: Time of the last release to the pool, in seconds.
        idle_limit_s: Maximum idle time before the connection is stale, in seconds.
    """

    def __init__(
        self,
        stream: SocketStream,
        budget: BodyBudget,
        open_reason: OpenReason = OpenReason.NONE_IDLE,
    ) -> None:
        self.is_unused = True
        self.open_reason = open_reason
        self.repeats_ids = False
        self.idle_since_s = 0.0
        self.idle_limit_s = DEFAULT_IDLE_LIMIT_S
        self._stream = stream
        self._budget = budget
        self._parser = h11.Connection(h11.CLIENT)
        self._has_response_bytes = False
        self._requires_id = False

    async def exchange(
        self, request: OutboundRequest
    ) -> Result[Response, NotSent | Lost]:
        """Send a request and read the complete response."""
        if is_readable(self._stream):
            # A response can't precede its request, so these bytes belong to none.
            return Failure(NotSent("the server sent bytes or closed the connection"))
        was_kept = self._requires_id = not self.is_unused
        self.is_unused = False
        self._has_response_bytes = False
        try:
            if len(request.body) <= SMALL_BODY_BYTES:
                await self._send_ignoring_errors([self._encode(request)])
                return Success(await self._read_matching_response(request))
            with allow_slow_reader(self._stream):
                return Success(await self._send_while_reading(request))
        except _STREAM_ERRORS as error:
            is_idle_close = was_kept and not self._has_response_bytes
            return Failure(Lost(f"{type(error).__name__}: {error}", is_idle_close))

    async def exchange_with_timeout(
        self, request: OutboundRequest, timeout_s: float, timeout_detail: str
    ) -> Result[Response, NotSent | Lost]:
        """Send a request and read the response; close the connection on failure.

        Args:
            request: The request to send.
            timeout_s: Maximum duration of the exchange, in seconds.
            timeout_detail: Detail of the failure after a timeout.
        """
        result: Result[Response, NotSent | Lost] = Failure(Lost(timeout_detail))
        try:
            with anyio.move_on_after(timeout_s):
                result = await self.exchange(request)
        finally:
            if isinstance(result, Failure):
                with anyio.CancelScope(shield=True):
                    await self.close()
        return result

    def prepare_for_reuse(self) -> bool:
        """Reset the parser; return False if the connection can't be reused.

        A connection can be reused if the last exchange is complete in both directions
        and no further bytes were received.
        """
        trailing, _ = self._parser.trailing_data
        if trailing or self._parser.our_state is not h11.DONE:
            return False
        if self._parser.their_state is not h11.DONE:
            return False
        self._parser.start_next_cycle()
        return True

    def is_stale(self, now_s: float) -> bool:
        """Return whether an idle connection expired, was closed or has stray input."""
        if now_s - self.idle_since_s > self.idle_limit_s:
            return True
        return is_readable(self._stream)

    async def close(self) -> None:
        """Close the connection; the server aborts an unfinished request."""
        await self._stream.aclose()

    def _encode(self, request: OutboundRequest) -> bytes:
        """Encode a request with a short body as a whole."""
        return b"".join(self._encode_parts(request))

    def _encode_parts(self, request: OutboundRequest) -> Iterator[bytes]:
        """Encode a request in parts, so that a long body is not copied as a whole."""
        headers = request.headers
        if request.body or request.method not in (b"GET", b"HEAD"):
            length = (b"Content-Length", str(len(request.body)).encode())
            headers = (*headers, length)
        h11_request = h11.Request(
            method=request.method, target=request.target, headers=list(headers)
        )
        # A stray response replaces the parser, while this one still encodes.
        parser = self._parser
        yield parser.send(h11_request) or b""
        for part in split_body(request.body):
            yield parser.send(h11.Data(data=part)) or b""
        yield parser.send(h11.EndOfMessage()) or b""

    async def _send_ignoring_errors(self, parts: Iterable[bytes]) -> None:
        """Send data; ignore errors, as a response may precede a broken connection."""
        try:
            for part in parts:
                if part:
                    await self._stream.send(part)
        except (OSError, anyio.BrokenResourceError):
            return

    async def _send_while_reading(self, request: OutboundRequest) -> Response:
        """Send a long request while reading, as the response may precede its end."""
        has_sent = False

        async def send() -> None:
            nonlocal has_sent
            await self._send_ignoring_errors(self._encode_parts(request))
            has_sent = True

        problem: Exception | None = None
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(send)
            await checkpoint()
            try:
                response = await self._read_matching_response(request)
            except _STREAM_ERRORS as error:
                problem = error
            tasks.cancel_scope.cancel()
        if problem is not None:
            raise problem
        if not has_sent:
            # The body is incomplete, so the connection can't carry another request.
            self._parser.send_failed()
        return response

    async def _read_matching_response(self, request: OutboundRequest) -> Response:
        for _ in range(MAX_STRAY_RESPONSES + 1):
            response = await self._read_response()
            if self._matches(response, request):
                _check_proof(response, request)
                self._update_idle_limit(response)
                return response
            self._skip_stray_response(request)
            self._requires_id = True
        raise h11.RemoteProtocolError("too many responses to other requests")

    def _matches(self, response: Response, request: OutboundRequest) -> bool:
        if not request.id_header or not request.request_id:
            return True
        response_id = find_header(response.headers, request.id_header)
        if response_id is None and (self._requires_id or _is_success(response)):
            # On a reused connection, or after a response to another request, it may
            # repeat an earlier refusal while the server runs this request. A success
            # may come from another program at the server's address.
            raise h11.RemoteProtocolError("response without the request's id")
        is_repeated = response_id == request.request_id
        self.repeats_ids = self.repeats_ids or is_repeated
        return response_id is None or is_repeated

    def _skip_stray_response(self, request: OutboundRequest) -> None:
        """Discard a response to another request and prepare to read the next response.

        Raises:
            h11.RemoteProtocolError: If no further response can follow.
        """
        trailing, is_closed = self._parser.trailing_data
        if is_closed or self._parser.their_state is not h11.DONE:
            raise h11.RemoteProtocolError(
                "connection ended after a response to another request"
            )
        self._parser = h11.Connection(h11.CLIENT)
        for _ in self._encode_parts(request):
            # Only the parser's state is needed; the request is sent already.
            pass
        if trailing:
            self._parser.receive_data(trailing)

    async def _read_response(self) -> Response:
        with self._budget.open() as held:
            return await self._read_counted_response(held)

    async def _read_counted_response(self, held: HeldBody) -> Response:
        head: h11.Response | None = None
        body = bytearray()
        interim_count = 0
        while True:
            event = self._parser.next_event()
            if event is h11.NEED_DATA:
                await self._receive()
            elif isinstance(event, h11.Response):
                if event.status_code > MAX_STATUS:
                    raise h11.RemoteProtocolError("invalid status")
                head = event
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > MAX_RESPONSE_BYTES or not held.try_grow(len(body)):
                    raise h11.RemoteProtocolError("response body exceeds size limit")
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                headers = tuple(head.headers.raw_items())
                return Response(head.status_code, head.reason, headers, bytes(body))
            elif isinstance(event, h11.InformationalResponse):
                interim_count += 1
                if interim_count > MAX_INTERIM_RESPONSES:
                    raise h11.RemoteProtocolError("too many interim responses")
            else:
                raise anyio.EndOfStream

    async def _receive(self) -> None:
        try:
            data = await self._stream.receive(READ_BYTES)
        except anyio.EndOfStream:
            data = b""
        self._has_response_bytes = self._has_response_bytes or bool(data)
        self._parser.receive_data(data)

    def _update_idle_limit(self, response: Response) -> None:
        keep_alive = find_header(response.headers, b"keep-alive")
        timeout_s = read_keep_alive_timeout(keep_alive)
        if timeout_s is not None:
            self.idle_limit_s = max(0.0, timeout_s - IDLE_MARGIN_S)


def _is_success(response: Response) -> bool:
    return 200 <= response.status < 300


def _check_proof(response: Response, request: OutboundRequest) -> None:
    """Check that a success has the proof of the upstream.

    Raises:
        h11.RemoteProtocolError: If it has none, as the page of another program.
    """
    if not request.proof_header or not _is_success(response):
        return
    if not find_header(response.headers, request.proof_header):
        raise h11.RemoteProtocolError("success without the upstream's proof")
