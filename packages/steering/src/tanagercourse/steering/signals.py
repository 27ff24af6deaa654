"""Signals of overload: when a line of requests takes no more.

Queue wait grows without bound as load passes capacity and is what callers feel;
utilisation and requests in flight stand still there. The signals can be exchanged, so
that they are compared on the same load.
"""

from collections.abc import Callable
from dataclasses import dataclass

from tanagercourse.core.ids import ServiceId


@dataclass(frozen=True)
class LineView:
    """A line of requests of one service and rank as a new one arrives.

    Attributes:
        service: The service.
        waiting: Requests that wait in it.
        wait_s: How long the new one would wait, in seconds, by the line's own starts.
        needed_s: Time it needs once it has started, in seconds.
        remaining_s: Time it has left to its deadline, in seconds.
    """

    service: ServiceId
    waiting: int
    wait_s: float
    needed_s: float
    remaining_s: float


# Tells that a new request is to be refused.
Sheds = Callable[[LineView], bool]
# Returns the share of a service's slots that were in use by the last report.
ReportedUtilisation = Callable[[ServiceId], float]


def by_queue_wait(line: LineView) -> bool:
    """Shed what could not finish in time after the wait that its line shows."""
    return line.wait_s + line.needed_s >= line.remaining_s


def by_queue_length(most: int) -> Sheds:
    """Return the signal that sheds once so many requests wait.

    Args:
        most: Requests that may wait in a line.
    """
    return lambda line: line.waiting >= most


def by_utilisation(reported_use: ReportedUtilisation, most: float) -> Sheds:
    """Return the signal that sheds once the reported use of slots passes a bound.

    Args:
        reported_use: Reads the last report.
        most: Share of the slots in use, from 0.0 to 1.0.
    """
    return lambda line: reported_use(line.service) >= most


def is_worth_the_hop(queue_wait_s: float, one_way_s: float) -> bool:
    """Tell whether a request gains by going to another region's free slot.

    Args:
        queue_wait_s: How long it would wait for a slot at home, in seconds.
        one_way_s: One-way time to the other region, in seconds.
    """
    return queue_wait_s > 2.0 * one_way_s
