"""A loopback proxy that delays, resets, silences and cuts connections one way."""

from enum import Enum, unique

import anyio
from anyio.abc import SocketStream

from tanagercourse.testing.scripted import reset_connection

READ_BYTES = 65_536
_ENDS = (
    OSError,
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)


@unique
class Way(Enum):
    """How a proxy treats what it carries."""

    PASS = "pass"
    DELAY = "delay"
    SILENT = "silent"
    NO_REQUESTS = "no_requests"
    NO_ANSWERS = "no_answers"
    REFUSE = "refuse"


class Proxy:
    """A proxy before one listener.

    Attributes:
        target_port: Where the listener is, on 127.0.0.1.
        way: How connections are treated now.
        delay_s: How long each piece is kept back when they are delayed, in seconds.
    """

    def __init__(self, target_port: int) -> None:
        """Create a proxy that passes everything."""
        self.target_port = target_port
        self.way = Way.PASS
        self.delay_s = 0.2
        self._open: set[SocketStream] = set()
        self._changed = anyio.Event()

    def turn(self, way: Way) -> None:
        """Treat all connections another way from now on."""
        self.way = way
        self._changed.set()
        self._changed = anyio.Event()

    async def reset_all(self) -> None:
        """Reset every open connection, at both ends."""
        for stream in tuple(self._open):
            await reset_connection(stream)

    async def serve(self, stream: SocketStream) -> None:
        """Carry one connection until either end closes it."""
        if self.way is Way.REFUSE:
            await reset_connection(stream)
            return
        try:
            onward = await anyio.connect_tcp("127.0.0.1", self.target_port)
        except OSError:
            await reset_connection(stream)
            return
        self._open |= {stream, onward}
        try:
            async with anyio.create_task_group() as tasks:
                for source, sink, blocked in (
                    (stream, onward, Way.NO_REQUESTS),
                    (onward, stream, Way.NO_ANSWERS),
                ):
                    tasks.start_soon(self._carry, source, sink, blocked, tasks)
        finally:
            self._open -= {stream, onward}
            with anyio.CancelScope(shield=True):
                await stream.aclose()
                await onward.aclose()

    async def _carry(
        self,
        source: SocketStream,
        sink: SocketStream,
        blocked: Way,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        try:
            while True:
                data = await source.receive(READ_BYTES)
                while self.way in (Way.SILENT, blocked):
                    await self._changed.wait()
                if self.way is Way.DELAY:
                    await anyio.sleep(self.delay_s)
                await sink.send(data)
        except _ENDS:
            # Either end closed: both do.
            tasks.cancel_scope.cancel()
