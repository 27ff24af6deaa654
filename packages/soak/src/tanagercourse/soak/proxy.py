"""Loopback TCP proxy that delays, blocks, repeats, resets or refuses data."""

from collections.abc import Awaitable, Callable
from enum import Enum, unique

import anyio
from anyio.abc import SocketStream

from tanagercourse.testing.scripted import reset_connection

READ_BYTES = 65_536
_Send = Callable[[bytes], Awaitable[None]]
ENDLESS_START = b"HTTP/1.1 200 OK\r\n"
ENDLESS_LINES = b"X-Pad: 1\r\n" * 400
_CONNECTION_ENDED_ERRORS = (
    OSError,
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)


@unique
class ProxyMode(Enum):
    """How a proxy treats its connections.

    PASS forwards all data at once, DELAY after a delay. SILENT holds back data in both
    directions, NO_REQUESTS and NO_RESPONSES in one direction. REFUSE resets new
    connections. LATE_COPIES sends each response once more before the next one of its
    connection; ENDLESS replaces responses by header lines without end.
    """

    PASS = "pass"
    DELAY = "delay"
    SILENT = "silent"
    NO_REQUESTS = "no_requests"
    NO_RESPONSES = "no_responses"
    REFUSE = "refuse"
    LATE_COPIES = "late_copies"
    ENDLESS = "endless"


class Proxy:
    """A proxy in front of one listener.

    Attributes:
        target_port: The listener's port on 127.0.0.1.
        mode: How connections are treated at present.
        delay_s: Delay of each received chunk in mode DELAY, in seconds.
        disturbances: Number of times that connections were not, or no longer, forwarded
            unchanged.
        disturbed_at_s: Time of the last of them, in seconds.
    """

    def __init__(self, target_port: int) -> None:
        """Create a proxy that forwards all data without delay."""
        self.target_port = target_port
        self.mode = ProxyMode.PASS
        self.delay_s = 0.2
        self.disturbances = 0
        self.disturbed_at_s = 0.0
        self._open_streams: set[SocketStream] = set()
        self._mode_changed = anyio.Event()

    def set_mode(self, mode: ProxyMode) -> None:
        """Change the mode of open and future connections."""
        self.mode = mode
        self._count_disturbance()
        self._mode_changed.set()
        self._mode_changed = anyio.Event()

    async def reset_all(self) -> None:
        """Reset every open connection at both ends."""
        self._count_disturbance()
        for stream in tuple(self._open_streams):
            await reset_connection(stream)

    def was_undisturbed(self, since_s: float) -> bool:
        """Return whether everything was forwarded at once since a time, in seconds."""
        return self.mode is ProxyMode.PASS and self.disturbed_at_s <= since_s

    def _count_disturbance(self) -> None:
        self.disturbances += 1
        self.disturbed_at_s = anyio.current_time()

    async def serve(self, stream: SocketStream) -> None:
        """Forward one connection until either end closes it."""
        if self.mode is ProxyMode.REFUSE:
            await reset_connection(stream)
            return
        try:
            async with await anyio.connect_tcp("127.0.0.1", self.target_port) as target:
                await self._forward_both_ways(stream, target)
        except OSError:
            await reset_connection(stream)
        finally:
            with anyio.CancelScope(shield=True):
                await stream.aclose()

    async def _forward_both_ways(
        self, stream: SocketStream, target_stream: SocketStream
    ) -> None:
        self._open_streams |= {stream, target_stream}
        send_request, send_response = self._make_senders(stream, target_stream)
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(
                    self._forward,
                    stream,
                    ProxyMode.NO_REQUESTS,
                    send_request,
                    tasks,
                )
                tasks.start_soon(
                    self._forward,
                    target_stream,
                    ProxyMode.NO_RESPONSES,
                    send_response,
                    tasks,
                )
        finally:
            self._open_streams -= {stream, target_stream}

    async def _forward(
        self,
        source: SocketStream,
        blocking_mode: ProxyMode,
        send: _Send,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        try:
            while True:
                data = await source.receive(READ_BYTES)
                while self.mode in (ProxyMode.SILENT, blocking_mode):
                    await self._mode_changed.wait()
                if self.mode is ProxyMode.DELAY:
                    await anyio.sleep(self.delay_s)
                await send(data)
        except _CONNECTION_ENDED_ERRORS:
            # One end closed, so both directions end.
            tasks.cancel_scope.cancel()

    def _make_senders(
        self, sink: SocketStream, target_stream: SocketStream
    ) -> tuple[_Send, _Send]:
        """Return functions that send the requests and responses of one connection."""
        previous, current = b"", b""

        async def send_request(data: bytes) -> None:
            nonlocal previous, current
            if current:
                previous, current = current, b""
            await target_stream.send(data)

        async def send_response(data: bytes) -> None:
            nonlocal current
            if self.mode is ProxyMode.ENDLESS:
                await sink.send(ENDLESS_START)
                while self.mode is ProxyMode.ENDLESS:
                    await sink.send(ENDLESS_LINES)
                raise anyio.EndOfStream
            # Only before a response: a copy within a body can't be told from the body.
            is_late_copy = self.mode is ProxyMode.LATE_COPIES and not current
            current += data
            await sink.send((previous if is_late_copy else b"") + data)

        return send_request, send_response
