"""Read from and write to a caller's connection, each within a time limit."""

from collections.abc import Iterable

import anyio
from anyio.abc import SocketStream

from tanagercourse.gateway.sockets import pause_reading

READ_BYTES = 65_536
# Time that one response may take to be written before the connection is closed, in
# seconds.
WRITE_TIMEOUT_S = 10.0


class ConnectionEndedError(Exception):
    """The caller closed the connection, or a timeout on the connection expired."""


STREAM_ERRORS = (
    OSError,
    anyio.EndOfStream,
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
)


async def receive(stream: SocketStream) -> bytes:
    """Return the next bytes that a caller sends.

    Raises:
        ConnectionEndedError: If the caller closed the connection.
    """
    try:
        return await stream.receive(READ_BYTES)
    except anyio.EndOfStream:
        raise ConnectionEndedError from None
    except anyio.get_cancelled_exc_class():
        # A cancelled call leaves the transport reading, without a limit.
        pause_reading(stream)
        raise


async def send(stream: SocketStream, parts: Iterable[bytes]) -> None:
    """Send all parts of one message.

    Args:
        stream: The caller's connection.
        parts: The parts, in order; each is encoded when the one before it is sent.

    Raises:
        ConnectionEndedError: If the caller does not read the message in time.
    """
    with anyio.move_on_after(WRITE_TIMEOUT_S) as scope:
        for part in parts:
            if part:
                await stream.send(part)
    if scope.cancelled_caught:
        raise ConnectionEndedError


async def linger(stream: SocketStream, duration_s: float) -> None:
    """End a connection without a reset, which could overtake the last response.

    Args:
        stream: The caller's connection.
        duration_s: Time for which remaining bytes are read and discarded, in seconds.
    """
    await stream.send_eof()
    with anyio.move_on_after(duration_s):
        while True:
            await stream.receive(READ_BYTES)
