"""What callers, entry instances and upstreams agree on about TCP connections."""

import socket

# A caller uses an idle connection again within this time only, in seconds. An entry
# instance that leaves keeps idle connections open for longer, so that no request
# arrives on a connection that is being closed.
REUSE_FOR_S = 1.0

# Sent bytes that stay unacknowledged for so long mean that the connection has gone
# silent, in milliseconds.
SILENT_AFTER_MS = 1_000

SocketOption = tuple[int, int, int]

# The kernel drops a connection whose other end no longer acknowledges anything.
SOCKET_OPTIONS: tuple[SocketOption, ...] = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, SILENT_AFTER_MS),
)
