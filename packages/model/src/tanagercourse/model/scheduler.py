"""Virtual time: events run in the order of their time."""

import heapq
from collections.abc import Callable
from itertools import count

Action = Callable[[], None]


class Timeline:
    """A clock that jumps from one planned event to the next."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self._events: list[tuple[float, int, Action]] = []
        self._order = count()

    def after(self, delay_s: float, action: Action) -> None:
        """Plan an event so many seconds from now."""
        event = (self.now_s + delay_s, next(self._order), action)
        heapq.heappush(self._events, event)

    def run(self, until_s: float) -> None:
        """Run events up to a time, in seconds."""
        while self._events and self._events[0][0] <= until_s:
            self.now_s, _, action = heapq.heappop(self._events)
            action()
        self.now_s = until_s
