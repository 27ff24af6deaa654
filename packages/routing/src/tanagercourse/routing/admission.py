"""Decide in which order requests that wait for a free slot are served.

The decisions are free of I/O. Each instance decides for the requests that wait at it;
nothing is exchanged between instances.
"""

from collections.abc import Callable
from dataclasses import dataclass


@dataclass(frozen=True)
class QueuePosition:
    """What determines a request's place among those that wait for the same service.

    Attributes:
        is_late: Whether the request can no longer meet its target latency.
        priority: Rank of the request; 0 is the most urgent.
        first_attempt_at_s: Time of the caller's first attempt on the monotonic clock,
            in seconds. For a caller's retry it precedes the arrival.
    """

    is_late: bool
    priority: int
    first_attempt_at_s: float

    @property
    def urgency(self) -> tuple[bool, int]:
        """The lowest urgency is served first; late requests share one.

        Among late requests the one that waited longest goes first, because its deadline
        is the nearest and its rank no longer brings it in time.
        """
        return (self.is_late, 0 if self.is_late else self.priority)


@dataclass(eq=False)
class WaitingRequest:
    """A request that waits for a free slot.

    Attributes:
        position: Its position in the queue.
        wake: Makes the request check for a free slot.
    """

    position: QueuePosition
    wake: Callable[[], None]


class ServiceQueue:
    """Requests that wait in this instance for a free slot of one service."""

    def __init__(self) -> None:
        self._waiting: list[WaitingRequest] = []

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._waiting)

    def add(self, position: QueuePosition, wake: Callable[[], None]) -> WaitingRequest:
        """Add a request that waits.

        Args:
            position: Position of the request.
            wake: Makes the request check for a free slot.
        """
        request = WaitingRequest(position, wake)
        self._waiting.append(request)
        return request

    def remove(self, request: WaitingRequest) -> None:
        """Remove a request that no longer waits."""
        self._waiting.remove(request)

    def in_order(self) -> list[WaitingRequest]:
        """Return the waiting requests in the order in which they are to be served."""
        return sorted(
            self._waiting,
            key=lambda request: (
                request.position.urgency,
                request.position.first_attempt_at_s,
            ),
        )

    def must_yield(self, position: QueuePosition) -> bool:
        """Return whether a more urgent request is waiting.

        The time of the first attempt does not count, because the slots that requests of
        the same urgency wait for differ.
        """
        return any(
            request.position.urgency < position.urgency for request in self._waiting
        )
