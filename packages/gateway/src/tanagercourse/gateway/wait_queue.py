"""The queue of requests that wait in this instance for a free slot at an upstream."""

from dataclasses import dataclass, field
from heapq import nsmallest

import anyio

from tanagercourse.core.ids import ServiceId

# Interval at which a waiting request checks for a free slot, in seconds. The instance
# is not notified of slots that requests of other instances free.
RECHECK_INTERVAL_S = 0.03
# The same interval for a late request.
LATE_RECHECK_INTERVAL_S = 0.2
# Number of waiting requests that are woken when a request ends.
WAITERS_WOKEN = 2


@dataclass(frozen=True, order=True)
class QueuePosition:
    """A request's position in the queue; the lowest position is served first.

    Attributes:
        is_late: Whether the request can no longer meet its target latency, or is a
            caller's retry.
        priority: Rank of the request; 0 is the most urgent.
        arrived_at_s: Time of arrival on the monotonic clock, in seconds.
    """

    is_late: bool
    priority: int
    arrived_at_s: float


@dataclass(eq=False)
class _Waiter:
    position: QueuePosition
    event: anyio.Event = field(default_factory=anyio.Event)


class WaitQueue:
    """Waiting requests of each service."""

    def __init__(self) -> None:
        self._waiters: dict[ServiceId, list[_Waiter]] = {}

    def has_more_urgent(self, service: ServiceId, position: QueuePosition) -> bool:
        """Return whether a request for the service is waiting that is more urgent.

        A request that is on time is more urgent than a late one; otherwise the lower
        priority value is more urgent. The time of arrival does not count.
        """
        return any(
            (waiter.position.is_late, waiter.position.priority)
            < (position.is_late, position.priority)
            for waiter in self._waiters.get(service, ())
        )

    def length(self, service: ServiceId) -> int:
        """Return the number of requests that wait for a service."""
        return len(self._waiters.get(service, ()))

    async def wait(
        self, service: ServiceId, position: QueuePosition, timeout_s: float
    ) -> None:
        """Wait until the request should check again for a free slot.

        Args:
            service: Service of the request.
            position: Position of the request in the queue.
            timeout_s: Maximum time to wait, in seconds.
        """
        waiter = _Waiter(position)
        waiters = self._waiters.setdefault(service, [])
        waiters.append(waiter)
        try:
            recheck_s = (
                LATE_RECHECK_INTERVAL_S if position.is_late else RECHECK_INTERVAL_S
            )
            with anyio.move_on_after(min(timeout_s, recheck_s)):
                await waiter.event.wait()
        finally:
            waiters.remove(waiter)

    def wake(self, service: ServiceId) -> None:
        """Wake the first WAITERS_WOKEN requests that wait for a service."""
        waiters = self._waiters.get(service, ())
        for waiter in nsmallest(
            WAITERS_WOKEN, waiters, key=lambda waiter: waiter.position
        ):
            waiter.event.set()
