"""Idle connections to servers, which later requests reuse."""

from collections.abc import Callable
from enum import Enum, unique

from returns.result import Failure, Result, Success

from tanagercourse.gateway.body_budget import BodyBudget
from tanagercourse.gateway.connections import (
    HttpConnection,
    OpenReason,
    OutboundRequest,
)
from tanagercourse.gateway.messages import Lost, NotSent, Response
from tanagercourse.gateway.sockets import connect

# Maximum number of idle connections to one destination. An instance that serves most
# requests of its zone has as many requests at an upstream as that has slots.
MAX_IDLE_CONNECTIONS = 16
# Maximum time since the last use of a connection that carries a request that is not
# idempotent, in seconds. If the server closes the connection meanwhile, nobody knows
# whether the request ran, and a server rarely closes one that it has just used.
MAX_SAFE_REST_S = 0.25


@unique
class Reuse(Enum):
    """Which idle connections may carry a request.

    SAFE stands for those on which a request is very unlikely to be lost: they were used
    just before, and the server repeats ids, without which no response is accepted on a
    reused connection.
    """

    NEVER = "never"
    SAFE = "safe"
    ANY = "any"


class ConnectionPool:
    """Idle connections, by destination.

    Attributes:
        budget: Counts the response bodies that are being read.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        connect_timeout_s: float,
        budget: BodyBudget | None = None,
    ) -> None:
        """Create an empty pool.

        Args:
            clock: A monotonic clock, in seconds.
            connect_timeout_s: Timeout for opening a connection, in seconds.
            budget: Counts the response bodies; the pool's own if None.
        """
        self.budget = budget or BodyBudget()
        self._clock = clock
        self._connect_timeout_s = connect_timeout_s
        self._idle: dict[str, list[HttpConnection]] = {}

    async def acquire(
        self, destination: str, host: str, port: int, reuse: Reuse
    ) -> Result[HttpConnection, NotSent]:
        """Return an idle connection to a destination, or open a new connection.

        Args:
            destination: Name of the destination in this pool.
            host: IP address of the destination.
            port: TCP port of the destination.
            reuse: Which idle connections may be returned.
        """
        idle = self._idle.get(destination, [])
        reason = OpenReason.NONE_IDLE
        while idle:
            if not self._may_reuse(idle[-1], reuse):
                reason = OpenReason.UNSAFE
                break
            connection = idle.pop()
            if not connection.is_stale(self._clock()):
                return Success(connection)
            reason = OpenReason.STALE
            await connection.close()
        try:
            stream = await connect(host, port, self._connect_timeout_s)
        except (OSError, TimeoutError) as error:
            return Failure(NotSent(f"connect: {type(error).__name__}: {error}"))
        return Success(HttpConnection(stream, self.budget, reason))

    def _may_reuse(self, connection: HttpConnection, reuse: Reuse) -> bool:
        if reuse is not Reuse.SAFE:
            return reuse is Reuse.ANY
        rest_s = self._clock() - connection.idle_since_s
        return connection.repeats_ids and rest_s <= MAX_SAFE_REST_S

    async def exchange(
        self, host: str, port: int, request: OutboundRequest, timeout_s: float
    ) -> Result[Response, NotSent | Lost]:
        """Send a request to a server on an idle or new connection.

        Args:
            host: IP address of the server.
            port: TCP port of the server.
            request: The request.
            timeout_s: Time limit for the response, in seconds.
        """
        destination = f"{host}:{port}"
        acquired = await self.acquire(destination, host, port, Reuse.ANY)
        if isinstance(acquired, Failure):
            return acquired
        connection = acquired.unwrap()
        result = await connection.exchange_with_timeout(
            request, timeout_s, "no response within the time limit"
        )
        if isinstance(result, Success):
            await self.release(destination, connection)
        else:
            # The other idle connections may have become silent with this one.
            await self.discard_idle(destination)
        return result

    async def release(self, destination: str, connection: HttpConnection) -> None:
        """Return a connection to the pool, or close it if it can't be reused."""
        idle = self._idle.setdefault(destination, [])
        if len(idle) >= MAX_IDLE_CONNECTIONS or not connection.prepare_for_reuse():
            await connection.close()
            return
        connection.idle_since_s = self._clock()
        idle.append(connection)

    async def put_back(self, destination: str, connection: HttpConnection) -> None:
        """Return a connection on which nothing was sent since it was acquired."""
        idle = self._idle.setdefault(destination, [])
        if len(idle) >= MAX_IDLE_CONNECTIONS:
            await connection.close()
            return
        if connection.is_unused:
            connection.idle_since_s = self._clock()
        idle.append(connection)

    async def discard_idle(self, destination: str) -> None:
        """Close a destination's idle connections."""
        idle = self._idle.pop(destination, [])
        connections = tuple(idle)
        # `acquire` may be using the same list while it waits.
        idle.clear()
        for connection in connections:
            await connection.close()
