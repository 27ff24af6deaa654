"""Requests that wait in this instance until an upstream has room."""

from dataclasses import dataclass, field
from heapq import nsmallest

import anyio

from tanagercourse.core.ids import ServiceId

# A waiting request looks again this often: what other instances free can't be seen.
LOOK_AGAIN_S = 0.03
# The same for one whose objective can't be met any more.
LOOK_AGAIN_LATE_S = 0.2
# Requests that look again when one has ended.
WOKEN = 2


@dataclass(frozen=True, order=True)
class Turn:
    """A request's place among those that wait; the least goes first.

    Attributes:
        is_late: Whether its objective can't be met any more.
        priority: Its rank; 0 is the most urgent.
        arrived_at_s: When it arrived, in seconds.
    """

    is_late: bool
    priority: int
    arrived_at_s: float


@dataclass(eq=False)
class _Waiter:
    turn: Turn
    event: anyio.Event = field(default_factory=anyio.Event)


class WaitQueue:
    """Requests that wait, by service."""

    def __init__(self) -> None:
        self._waiters: dict[ServiceId, list[_Waiter]] = {}

    def is_behind(self, service: ServiceId, turn: Turn) -> bool:
        """Return whether a request of a more urgent kind waits for the service."""
        return any(
            (waiter.turn.is_late, waiter.turn.priority) < (turn.is_late, turn.priority)
            for waiter in self._waiters.get(service, ())
        )

    def length(self, service: ServiceId) -> int:
        """Return how many requests wait for a service."""
        return len(self._waiters.get(service, ()))

    async def wait(self, service: ServiceId, turn: Turn, most_s: float) -> None:
        """Wait until it is worth looking again, at most for some seconds."""
        waiter = _Waiter(turn)
        waiters = self._waiters.setdefault(service, [])
        waiters.append(waiter)
        try:
            again_s = LOOK_AGAIN_LATE_S if turn.is_late else LOOK_AGAIN_S
            with anyio.move_on_after(min(most_s, again_s)):
                await waiter.event.wait()
        finally:
            waiters.remove(waiter)

    def wake(self, service: ServiceId) -> None:
        """Let the first of a service's waiting requests look again."""
        waiters = self._waiters.get(service, ())
        for waiter in nsmallest(WOKEN, waiters, key=lambda waiter: waiter.turn):
            waiter.event.set()
