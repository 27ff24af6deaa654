"""TCP connections between callers, entry instances and upstreams.

Which request may use one again, and how one that went silent is noticed.
"""

import socket
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import httpx

from tanagercourse.core.states import Idempotency
from tanagercourse.core.work import Clock

# A caller uses an idle connection again within this time only, in seconds. An entry
# instance that leaves keeps idle connections open for longer, so that no request
# arrives on a connection that is being closed.
MAX_IDLE_REUSE_S = 1.0

# A connection used again is given up as silent after this share of the time left, so
# that an idempotent request still has time for a new one.
SILENCE_TIMEOUT_SHARE = 0.5

# Raised before any byte of a request was sent.
NOT_SENT_ERRORS = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)
CONNECT_TIMEOUT_S = 0.5

# Sent bytes that stay unacknowledged for so long mean that the connection has gone
# silent, in milliseconds.
SILENT_AFTER_MS = 1_000

SocketOption = tuple[int, int, int]

# The kernel drops a connection whose other end no longer acknowledges anything.
SOCKET_OPTIONS: tuple[SocketOption, ...] = (
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, SILENT_AFTER_MS),
)


class HttpClients:
    """HTTP clients towards other processes, and those whose connections went silent.

    A non-idempotent request gets a connection of its own: over one that something on
    the way has lost track of, nobody could tell whether it ran.
    """

    def __init__(
        self, reused: httpx.AsyncClient, fresh: httpx.AsyncClient, clock: Clock
    ) -> None:
        self.reused = reused
        self.fresh = fresh
        self._clock = clock
        self._silent_until_s: dict[str, float] = {}

    def client_for(self, idempotency: Idempotency, origin: str) -> httpx.AsyncClient:
        """Return the client that may carry a request.

        Args:
            idempotency: Of the request.
            origin: Names the process that it goes to.
        """
        if idempotency is Idempotency.NON_IDEMPOTENT:
            return self.fresh
        return self.fresh if self._was_silent(origin) else self.reused

    def mark_silent(self, origin: str) -> None:
        """Use no older connection to a process again."""
        self._silent_until_s[origin] = self._clock() + MAX_IDLE_REUSE_S

    def _was_silent(self, origin: str) -> bool:
        until_s = self._silent_until_s.get(origin)
        if until_s is None:
            return False
        if self._clock() < until_s:
            return True
        del self._silent_until_s[origin]
        return False


@asynccontextmanager
async def open_http_clients(
    max_connections: int, clock: Clock, host: str | None = None
) -> AsyncIterator[HttpClients]:
    """Open HTTP clients and close them at the end.

    Args:
        max_connections: Connections to all other processes together.
        clock: A monotonic clock, in seconds.
        host: This process's own IP number, which its connections come from.
    """
    half = max(1, max_connections // 2)
    reused = httpx.Limits(max_connections=half, keepalive_expiry=MAX_IDLE_REUSE_S)
    fresh = httpx.Limits(max_connections=half, max_keepalive_connections=0)
    async with (
        _client(reused, host) as reused_client,
        _client(fresh, host) as fresh_client,
    ):
        yield HttpClients(reused_client, fresh_client, clock)


def _client(limits: httpx.Limits, host: str | None) -> httpx.AsyncClient:
    # These processes speak plain HTTP to each other: there is nothing to verify.
    transport = httpx.AsyncHTTPTransport(
        verify=False, limits=limits, local_address=host, socket_options=SOCKET_OPTIONS
    )
    return httpx.AsyncClient(transport=transport, trust_env=False)
