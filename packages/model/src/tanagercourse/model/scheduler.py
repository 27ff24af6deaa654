"""A discrete-event scheduler with a virtual clock."""

import heapq
from collections.abc import Callable
from itertools import count

Action = Callable[[], None]


class EventScheduler:
    """Runs actions in time order; the clock jumps from one event to the next."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self._events: list[tuple[float, int, Action]] = []
        self._sequence = count()

    def schedule_after(self, delay_s: float, action: Action) -> None:
        """Schedule an action.

        Args:
            delay_s: Time from now to the action, in seconds.
            action: Runs at that time.
        """
        event = (self.now_s + delay_s, next(self._sequence), action)
        heapq.heappush(self._events, event)

    def run_until(self, until_s: float) -> None:
        """Run all events up to a time, in seconds, and set the clock to it."""
        while self._events and self._events[0][0] <= until_s:
            self.now_s, _, action = heapq.heappop(self._events)
            action()
        self.now_s = until_s
