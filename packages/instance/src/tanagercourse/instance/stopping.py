"""The planned stop: take nothing new, finish what is in hand, then end."""

from collections.abc import Callable
from enum import Enum, unique

import anyio

from tanagercourse.gateway.callers import CallerConnections
from tanagercourse.gateway.logs import Log

# How long new connections are still taken, while callers learn of other instances,
# as a share of the time that a stop may take.
ACCEPT_SHARE = 0.5
# When idle connections are closed, as a share of the time that a stop may take.
CLOSE_IDLE_SHARE = 0.4
# The process ends by itself this long before it would be killed, in seconds.
END_MARGIN_S = 0.4
LOOK_AGAIN_S = 0.05


@unique
class Phase(Enum):
    """Whether an instance takes new work."""

    SERVING = "serving"
    LEAVING = "leaving"


class Stop:
    """How far a planned stop has got.

    Attributes:
        phase: Whether the instance takes new work.
    """

    def __init__(
        self, connections: CallerConnections, grace_s: float, clock: Callable[[], float]
    ) -> None:
        """Create a stop that has not begun.

        Args:
            connections: The callers' connections.
            grace_s: How long it may take, in seconds.
            clock: A monotonic clock, in seconds.
        """
        self.phase = Phase.SERVING
        self._connections = connections
        self._grace_s = grace_s
        self._clock = clock

    async def run(self, stop_accepting: Callable[[], None], log: Log) -> None:
        """Stop: return when the process may end.

        Args:
            stop_accepting: Closes the callers' listener.
            log: Takes a line for each step.
        """
        self.phase = Phase.LEAVING
        self._connections.is_leaving = True
        began_at_s = self._clock()
        log.info("stopping", in_hand=self._connections.in_hand)
        await anyio.sleep(CLOSE_IDLE_SHARE * self._grace_s)
        self._connections.close_idle()
        await anyio.sleep((ACCEPT_SHARE - CLOSE_IDLE_SHARE) * self._grace_s)
        stop_accepting()
        self._connections.close_idle()
        ends_at_s = began_at_s + self._grace_s - END_MARGIN_S
        while self._connections.in_hand and self._clock() < ends_at_s:
            await anyio.sleep(LOOK_AGAIN_S)
        log.info("stopped", in_hand=self._connections.in_hand)
