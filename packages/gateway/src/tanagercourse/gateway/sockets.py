"""Socket options that find silent connections."""

import select
import socket

import anyio
from anyio.abc import SocketAttribute, SocketStream

# Sent bytes that stay unacknowledged this long end a connection, in milliseconds.
USER_TIMEOUT_MS = 1500
# An idle connection is probed after this long, this often, in seconds.
KEEPALIVE_IDLE_S = 2
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2


def enable_dead_peer_detection(stream: SocketStream) -> None:
    """Let a connection end soon after its other end went silent."""
    raw = stream.extra(SocketAttribute.raw_socket)
    tcp = socket.IPPROTO_TCP
    raw.setsockopt(tcp, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    raw.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    raw.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    raw.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)


async def connect(host: str, port: int, timeout_s: float) -> SocketStream:
    """Open a connection.

    Raises:
        OSError: If it can't be opened.
        TimeoutError: If it takes longer than the timeout, in seconds.
    """
    with anyio.fail_after(timeout_s):
        stream = await anyio.connect_tcp(host, port)
    enable_dead_peer_detection(stream)
    return stream


def is_readable(stream: SocketStream) -> bool:
    """Return whether bytes, an end or a reset wait to be read on an idle connection."""
    poll = select.poll()
    poll.register(stream.extra(SocketAttribute.raw_socket).fileno(), select.POLLIN)
    return bool(poll.poll(0))
