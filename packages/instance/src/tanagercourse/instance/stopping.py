"""Graceful shutdown: refuse new work, finish the requests in progress, then exit.

A request that is not finished when the process must exit is ended with an answer.
"""

from collections.abc import Callable
from enum import Enum, unique

import anyio

from tanagercourse.gateway.callers import CallerConnections
from tanagercourse.gateway.logs import Log
from tanagercourse.gateway.request_scopes import RequestScopes

# How long new connections are still accepted, while callers switch to other instances,
# as a share of the grace period.
ACCEPT_UNTIL_SHARE = 0.5
# When idle connections are closed, as a share of the grace period.
CLOSE_IDLE_AT_SHARE = 0.4
# How long any request is still served. A later one is refused unless its deadline comes
# before the exit, since it may not end in time.
ACCEPT_ANY_S = 2.8
# The process exits this long before the end of the grace period, because the platform
# kills it at that time.
EXIT_MARGIN_S = 0.4
# How long the requests that the exit ends may take to be answered, in seconds.
ANSWER_S = 0.2
# Interval between checks for requests that are still being served.
POLL_INTERVAL_S = 0.05


@unique
class Phase(Enum):
    """Whether an instance accepts new work."""

    SERVING = "serving"
    LEAVING = "leaving"


class GracefulShutdown:
    """The graceful shutdown of one instance.

    Attributes:
        phase: Whether the instance accepts new work.
    """

    def __init__(
        self,
        connections: CallerConnections,
        requests: RequestScopes,
        grace_s: float,
        clock: Callable[[], float],
    ) -> None:
        """Prepare a shutdown; the instance serves until `run` is called.

        Args:
            connections: The callers' connections.
            requests: The callers' requests in progress.
            grace_s: Maximum duration of the shutdown, in seconds.
            clock: A monotonic clock, in seconds.
        """
        self.phase = Phase.SERVING
        self._connections = connections
        self._requests = requests
        self._grace_s = grace_s
        self._clock = clock
        self._started_at_s = 0.0

    def may_serve(self, expires_at_s: float) -> bool:
        """Return whether a request that arrives now is served rather than refused.

        Args:
            expires_at_s: Deadline of the request on the monotonic clock, in seconds.
        """
        if self.phase is Phase.SERVING:
            return True
        elapsed_s = self._clock() - self._started_at_s
        return elapsed_s <= ACCEPT_ANY_S or expires_at_s <= self._exit_at_s()

    def _exit_at_s(self) -> float:
        return self._started_at_s + self._grace_s - EXIT_MARGIN_S

    def begin(self, log: Log) -> None:
        """Stop being ready, and close connections after their next response."""
        self.phase = Phase.LEAVING
        self._connections.is_leaving = True
        self._started_at_s = self._clock()
        log.info("stopping", in_hand=self._connections.in_hand)

    async def run(self, stop_accepting: Callable[[], None], log: Log) -> None:
        """Shut down, and return when the process may exit.

        Args:
            stop_accepting: Closes the callers' listener.
            log: Logger for the start and the end of the shutdown.
        """
        self.begin(log)
        await anyio.sleep(CLOSE_IDLE_AT_SHARE * self._grace_s)
        self._connections.close_idle()
        await anyio.sleep((ACCEPT_UNTIL_SHARE - CLOSE_IDLE_AT_SHARE) * self._grace_s)
        stop_accepting()
        self._connections.close_idle()
        await self._wait_until_answered(self._exit_at_s())
        ended = self._requests.cancel_outlasting(self._exit_at_s())
        await self._wait_until_answered(self._exit_at_s() + ANSWER_S)
        log.info("stopped", ended=ended, in_hand=self._connections.in_hand)

    async def _wait_until_answered(self, until_s: float) -> None:
        while self._connections.in_hand and self._clock() < until_s:
            await anyio.sleep(POLL_INTERVAL_S)
