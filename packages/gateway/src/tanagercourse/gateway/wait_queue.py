"""The queue of requests that wait in this instance for a free slot at an upstream."""

from collections.abc import Callable

import anyio
import anyio.lowlevel

from tanagercourse.core.ids import ServiceId
from tanagercourse.routing.admission import QueuePosition, ServiceQueue

# Interval at which a waiting request checks for a free slot, in seconds. The instance
# is not notified of slots that requests of other instances free.
RECHECK_INTERVAL_S = 0.03
# The same interval for a late request.
LATE_RECHECK_INTERVAL_S = 0.2
# Maximum rate of such checks of all requests for a service. Each goes through the
# queue, so without a limit they cost the square of the number of waiting requests.
MAX_CHECKS_PER_S = 700.0
# Number of waiting requests that are woken when a request ends or another one checks.
WAITERS_WOKEN = 2


class WaitQueue:
    """Waiting requests of each service."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """Create empty queues.

        Args:
            clock: A monotonic clock, in seconds.
        """
        self._clock = clock
        self._queues: dict[ServiceId, ServiceQueue] = {}

    def queue(self, service: ServiceId) -> ServiceQueue:
        """Return the queue of a service."""
        return self._queues.setdefault(service, ServiceQueue())

    def must_yield(self, service: ServiceId, position: QueuePosition) -> bool:
        """Return whether a more urgent request for the service is waiting."""
        return self.queue(service).must_yield(position)

    def length(self, service: ServiceId) -> int:
        """Return the number of requests that wait for a service."""
        return len(self.queue(service))

    async def wait(
        self, service: ServiceId, position: QueuePosition, timeout_s: float
    ) -> None:
        """Wait until the request should check again for a free slot.

        Args:
            service: Service of the request.
            position: Position of the request in the queue.
            timeout_s: Maximum time to wait, in seconds.
        """
        queue, event = self.queue(service), anyio.Event()
        waiting = queue.add(position, event.set, self._clock())
        try:
            recheck_s = recheck_interval_s(position.is_late, len(queue))
            with anyio.move_on_after(min(timeout_s, recheck_s)) as scope:
                await event.wait()
            if scope.cancelled_caught:
                await self.let_others_check(service, position)
        finally:
            queue.remove(waiting, self._clock())

    async def let_others_check(
        self, service: ServiceId, position: QueuePosition
    ) -> None:
        """Let the first requests ahead of a position check for a free slot first.

        Tasks run in the order in which they are woken, and a request that finds a slot
        takes it before its task waits again.
        """
        unchecked = self.queue(service).unchecked_ahead(position, self._clock())
        ahead = unchecked[:WAITERS_WOKEN]
        for request in ahead:
            request.wake()
        if ahead:
            await anyio.lowlevel.checkpoint()

    def wake(self, service: ServiceId) -> None:
        """Wake the first WAITERS_WOKEN requests that wait for a service on time."""
        for request in self.queue(service).next_to_wake(WAITERS_WOKEN, self._clock()):
            request.wake()


def recheck_interval_s(is_late: bool, waiting_count: int) -> float:
    """Return the interval at which a request checks for a free slot, in seconds.

    Args:
        is_late: Whether the request can no longer meet its target latency.
        waiting_count: Number of requests that wait for the service.
    """
    shortest_s = LATE_RECHECK_INTERVAL_S if is_late else RECHECK_INTERVAL_S
    return max(shortest_s, waiting_count / MAX_CHECKS_PER_S)
