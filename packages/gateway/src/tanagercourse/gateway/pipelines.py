"""Order of the requests of one connection, and which of them may run together.

State and decisions without I/O. The responses of a connection are written in the order
of its requests, so each request is told when all earlier responses are written.
"""

from dataclasses import dataclass

import anyio

from tanagercourse.gateway.body_budget import BodyBudget
from tanagercourse.gateway.request_reading import ReadRequest

# Maximum number of requests of one connection that run or wait to be answered.
MAX_PIPELINED_REQUESTS = 8
# Maximum size of the bodies that a connection holds for its caller before it stops to
# start further requests, in bytes. Responses of requests that run already come on top.
MAX_HELD_BYTES = 262_144
# Share of the body budget above which no connection starts overlapping requests, so
# that callers that pipeline don't take the memory that other callers' requests need.
OVERLAP_SHARE_OF_BUDGET = 0.5


@dataclass(eq=False, slots=True)
class Exchange:
    """A request that was started and whose response is not written yet.

    Attributes:
        read: The request and its parser.
        may_be_followed: Whether later requests may run at the same time.
        held_bytes: Size of the bodies that are held for it, in bytes.
        turn: Set when all earlier responses are written; None if there was none.
    """

    read: ReadRequest
    may_be_followed: bool
    held_bytes: int
    turn: anyio.Event | None


class Pipeline:
    """The unanswered requests of one connection, in order."""

    __slots__ = ("_budget", "_exchanges")

    def __init__(self, budget: BodyBudget) -> None:
        """Start without requests.

        Args:
            budget: Counts the bodies of all connections.
        """
        self._budget = budget
        self._exchanges: list[Exchange] = []

    @property
    def is_empty(self) -> bool:
        """Whether all requests are answered."""
        return not self._exchanges

    @property
    def may_start_overlapping(self) -> bool:
        """Whether an overlapping request may start, or any if all are answered."""
        if not self._exchanges:
            return True
        held_bytes = sum(exchange.held_bytes for exchange in self._exchanges)
        budget = self._budget
        return (
            self._exchanges[-1].may_be_followed
            and len(self._exchanges) < MAX_PIPELINED_REQUESTS
            and held_bytes <= MAX_HELD_BYTES
            and budget.held_bytes <= budget.limit_bytes * OVERLAP_SHARE_OF_BUDGET
        )

    def is_last(self, exchange: Exchange) -> bool:
        """Return whether no later request was started."""
        return self._exchanges[-1] is exchange

    def start(self, read: ReadRequest, may_overlap: bool) -> Exchange:
        """Add a request behind all others."""
        turn = anyio.Event() if self._exchanges else None
        exchange = Exchange(read, may_overlap, len(read.request.body), turn)
        self._exchanges.append(exchange)
        return exchange

    def finish_first(self) -> None:
        """Remove the first request, whose response is written."""
        del self._exchanges[0]
        if self._exchanges and self._exchanges[0].turn is not None:
            self._exchanges[0].turn.set()
