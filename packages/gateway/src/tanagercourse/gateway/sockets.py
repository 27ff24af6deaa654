"""Open and accept connections, with options that detect dead peers."""

import asyncio
import select
import socket
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager, suppress

import anyio
from anyio.abc import Listener, SocketAttribute, SocketStream, TaskGroup

# Time after which data that a server doesn't take ends a connection, in milliseconds.
USER_TIMEOUT_MS = 1500
NO_USER_TIMEOUT_MS = 0
# Idle time before the first keepalive probe and time between probes, in seconds, and
# the number of unanswered probes that end a connection.
KEEPALIVE_IDLE_S = 2
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# Pause after a connection that could not be accepted, in seconds.
ACCEPT_RETRY_S = 0.1


def enable_keepalive(stream: SocketStream) -> None:
    """Set socket options that end an idle connection after its peer becomes silent."""
    raw_socket = stream.extra(SocketAttribute.raw_socket)
    tcp = socket.IPPROTO_TCP
    raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    raw_socket.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    raw_socket.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    raw_socket.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)


def _set_user_timeout(stream: SocketStream, timeout_ms: int) -> None:
    raw_socket = stream.extra(SocketAttribute.raw_socket)
    raw_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)


@contextmanager
def allow_slow_reader(stream: SocketStream) -> Iterator[None]:
    """Let a server pause while it reads, until the end of the block.

    The system's time limit for sent data can't tell a server that is gone from one
    whose receive window is closed, so it suits only data that fits into any window.
    """
    _set_user_timeout(stream, NO_USER_TIMEOUT_MS)
    try:
        yield
    finally:
        # The connection may be closed by now.
        with suppress(OSError):
            _set_user_timeout(stream, USER_TIMEOUT_MS)


async def connect(host: str, port: int, timeout_s: float) -> SocketStream:
    """Open a TCP connection with dead peer detection.

    Args:
        host: IP address of the server.
        port: TCP port of the server.
        timeout_s: Timeout, in seconds.

    Raises:
        OSError: If the connection can't be opened.
        TimeoutError: If opening the connection takes longer than the timeout.
    """
    with anyio.fail_after(timeout_s):
        stream = await anyio.connect_tcp(host, port)
    enable_keepalive(stream)
    _set_user_timeout(stream, USER_TIMEOUT_MS)
    return stream


def pause_reading(stream: SocketStream) -> None:
    """Read no more from an accepted connection until data is asked for.

    anyio does so for each connection that it opens. From one that it accepts it reads
    without limit until it has to wait for data, so a fast peer fills the memory.
    """
    # No public attribute gives access to the transport.
    transport: asyncio.Transport = stream._transport  # type: ignore[attr-defined]
    transport.pause_reading()


def is_readable(stream: SocketStream) -> bool:
    """Return whether an idle connection has unread bytes, was closed or was reset."""
    poll = select.poll()
    poll.register(stream.extra(SocketAttribute.raw_socket).fileno(), select.POLLIN)
    return bool(poll.poll(0))


async def serve_until_cancelled(
    listener: Listener[SocketStream],
    serve_connection: Callable[[SocketStream], Awaitable[None]],
    tasks: TaskGroup,
    on_accept_error: Callable[[Exception], None] = lambda error: None,
) -> None:
    """Accept connections until cancelled, then close the listener.

    An error of a call to accept, such as a lack of descriptors, concerns the connection
    that would have been accepted; the next call follows after a pause.

    The listening socket is shut down instead of cancelling the pending call, which
    would lose a connection that arrives at that moment: asyncio accepts it and then
    finds the call cancelled. It is closed only after that: a call that begins while
    the listener is being closed waits on the closed socket without end.

    Args:
        listener: The listener.
        serve_connection: Serves one connection.
        tasks: Runs one task for each connection.
        on_accept_error: Called with each error of a call to accept.
    """

    async def serve_unread(stream: SocketStream) -> None:
        pause_reading(stream)
        await serve_connection(stream)

    is_shut_down = False

    async def accept() -> None:
        with anyio.CancelScope(shield=True):
            while not is_shut_down:
                try:
                    await listener.serve(serve_unread, tasks)
                except* OSError as errors:
                    # Pending and later calls fail once the socket is shut down.
                    if not is_shut_down:
                        on_accept_error(errors.exceptions[0])
                        await anyio.sleep(ACCEPT_RETRY_S)

    async with listener, anyio.create_task_group() as accepting:
        accepting.start_soon(accept)
        try:
            await anyio.sleep_forever()
        finally:
            is_shut_down = True
            raw_socket = listener.extra(SocketAttribute.raw_socket)
            raw_socket.shutdown(socket.SHUT_RD)
