"""Connections towards upstreams: which request may use one again, and which not."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import httpx
from tanagercourse.core.ids import UpstreamId
from tanagercourse.core.states import Idempotency
from tanagercourse.core.work import Clock, Work
from tanagercourse.wire.connections import REUSE_FOR_S, SOCKET_OPTIONS


class Connections:
    """HTTP clients towards upstreams, and the upstreams whose connections went silent.

    A non-idempotent request gets a connection of its own: over one that something on
    the way has lost track of, nobody could tell whether it ran.
    """

    def __init__(
        self, reused: httpx.AsyncClient, fresh: httpx.AsyncClient, clock: Clock
    ) -> None:
        self.reused = reused
        self.fresh = fresh
        self._clock = clock
        self._silent_until_s: dict[UpstreamId, float] = {}

    def client_for(self, work: Work, upstream: UpstreamId) -> httpx.AsyncClient:
        """Return the client that may carry a request to an upstream."""
        if work.idempotency is Idempotency.NON_IDEMPOTENT:
            return self.fresh
        return self.fresh if self._was_silent(upstream) else self.reused

    def went_silent(self, upstream: UpstreamId) -> None:
        """Use no older connection to an upstream again."""
        self._silent_until_s[upstream] = self._clock() + REUSE_FOR_S

    def _was_silent(self, upstream: UpstreamId) -> bool:
        until_s = self._silent_until_s.get(upstream)
        if until_s is None:
            return False
        if self._clock() < until_s:
            return True
        del self._silent_until_s[upstream]
        return False


@asynccontextmanager
async def open_connections(
    max_connections: int, clock: Clock
) -> AsyncIterator[Connections]:
    """Open the HTTP clients towards upstreams and close them at the end.

    Args:
        max_connections: Connections of this process to all upstreams together.
        clock: A monotonic clock, in seconds.
    """
    half = max(1, max_connections // 2)
    reused = httpx.Limits(max_connections=half, keepalive_expiry=REUSE_FOR_S)
    fresh = httpx.Limits(max_connections=half, max_keepalive_connections=0)
    async with _client(reused) as reused_client, _client(fresh) as fresh_client:
        yield Connections(reused_client, fresh_client, clock)


def _client(limits: httpx.Limits) -> httpx.AsyncClient:
    transport = httpx.AsyncHTTPTransport(limits=limits, socket_options=SOCKET_OPTIONS)
    return httpx.AsyncClient(transport=transport, trust_env=False)
