"""HTTP clients for calls between callers, entry instances and upstreams.

Defines which requests may reuse a connection, and how silent connections, on which no
bytes arrive any more, are detected.
"""

import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import httpx

from tanagercourse.core.states import Idempotency
from tanagercourse.core.work import Clock

# Maximum idle time after which a connection is still reused. An entry instance that
# leaves keeps idle connections open for longer, so that no request arrives on a
# connection that is being closed.
MAX_IDLE_REUSE_S = 1.0

# A reused connection that does not respond within this share of the remaining time is
# treated as silent, so that an idempotent request has time left for a new connection.
SILENCE_TIMEOUT_SHARE = 0.5

# Exceptions that are raised only before any byte of a request was sent.
NOT_SENT_ERRORS = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)
CONNECT_TIMEOUT_S = 0.5

# Time after which a connection with unacknowledged bytes is treated as silent.
TCP_USER_TIMEOUT_MS = 1_000

SocketOption = tuple[int, int, int]

# TCP_USER_TIMEOUT lets the kernel close a connection whose peer stops acknowledging.
SOCKET_OPTIONS: tuple[SocketOption, ...] = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS),
)


class HttpClients:
    """HTTP clients for other processes, and the processes with silent connections.

    A non-idempotent request always gets a new connection. If it were sent on a reused
    connection whose state a middlebox has dropped, it would be unknown whether the
    request was executed.

    Attributes:
        reused: Client that keeps connections alive and reuses them.
        fresh: Client that opens a new connection for each request.
    """

    def __init__(
        self, reused: httpx.AsyncClient, fresh: httpx.AsyncClient, clock: Clock
    ) -> None:
        self.reused = reused
        self.fresh = fresh
        self._clock = clock
        self._silent_until_s: dict[str, float] = {}

    def client_for(self, idempotency: Idempotency, origin: str) -> httpx.AsyncClient:
        """Return the client to send a request with.

        Args:
            idempotency: Idempotency of the request.
            origin: URL origin of the destination process.
        """
        if idempotency is Idempotency.NON_IDEMPOTENT:
            return self.fresh
        return self.fresh if self._is_silent(origin) else self.reused

    def mark_silent(self, origin: str) -> None:
        """Stop reusing the connections to a process that are open now."""
        self._silent_until_s[origin] = self._clock() + MAX_IDLE_REUSE_S

    def _is_silent(self, origin: str) -> bool:
        silent_until_s = self._silent_until_s.get(origin)
        if silent_until_s is None:
            return False
        if self._clock() < silent_until_s:
            return True
        del self._silent_until_s[origin]
        return False


@asynccontextmanager
async def open_http_clients(
    max_connections: int, clock: Clock, host: str | None = None
) -> AsyncIterator[HttpClients]:
    """Open HTTP clients, and close them when the context ends.

    Args:
        max_connections: Maximum number of connections to all processes together.
        clock: A monotonic clock, in seconds.
        host: Local IP address to which connections are bound; None for any.
    """
    client_limit = max(1, max_connections // 2)
    reused = httpx.Limits(
        max_connections=client_limit, keepalive_expiry=MAX_IDLE_REUSE_S
    )
    fresh = httpx.Limits(max_connections=client_limit, max_keepalive_connections=0)
    async with (
        _client(reused, host) as reused_client,
        _client(fresh, host) as fresh_client,
    ):
        yield HttpClients(reused_client, fresh_client, clock)


def _client(limits: httpx.Limits, host: str | None) -> httpx.AsyncClient:
    # The processes use plain HTTP between each other, so there is no certificate to
    # verify.
    transport = httpx.AsyncHTTPTransport(
        verify=False, limits=limits, local_address=host, socket_options=SOCKET_OPTIONS
    )
    return httpx.AsyncClient(transport=transport, trust_env=False)
