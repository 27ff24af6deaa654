"""Open sockets with options that detect dead peers early, and accept connections."""

import asyncio
import select
import socket
from collections.abc import Awaitable, Callable

import anyio
from anyio.abc import Listener, SocketAttribute, SocketStream, TaskGroup

# Time after which unacknowledged data ends a connection, in milliseconds.
USER_TIMEOUT_MS = 1500
# Idle time before the first keepalive probe and time between probes, in seconds, and
# the number of unanswered probes that end a connection.
KEEPALIVE_IDLE_S = 2
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2


def enable_dead_peer_detection(stream: SocketStream) -> None:
    """Set socket options that end a connection soon after its peer becomes silent."""
    raw_socket = stream.extra(SocketAttribute.raw_socket)
    tcp = socket.IPPROTO_TCP
    raw_socket.setsockopt(tcp, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    raw_socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    raw_socket.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    raw_socket.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    raw_socket.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)


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
    enable_dead_peer_detection(stream)
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
) -> None:
    """Accept connections until cancelled, then close the listener.

    The listening socket is shut down instead of cancelling the pending call, which
    would lose a connection that arrives at that moment: asyncio accepts it and then
    finds the call cancelled. It is closed only after that: a call that begins while
    the listener is being closed waits on the closed socket without end.

    Args:
        listener: The listener.
        serve_connection: Serves one connection.
        tasks: Runs one task for each connection.
    """

    async def serve_unread(stream: SocketStream) -> None:
        pause_reading(stream)
        await serve_connection(stream)

    is_shut_down = False

    async def accept() -> None:
        with anyio.CancelScope(shield=True):
            try:
                await listener.serve(serve_unread, tasks)
            except* OSError:
                # Pending and later calls fail once the socket is shut down.
                if not is_shut_down:
                    raise

    async with listener, anyio.create_task_group() as accepting:
        accepting.start_soon(accept)
        try:
            await anyio.sleep_forever()
        finally:
            is_shut_down = True
            raw_socket = listener.extra(SocketAttribute.raw_socket)
            raw_socket.shutdown(socket.SHUT_RD)
