"""Overload signals, which decide whether a queue sheds a new request.

Queue wait is what callers experience, and it grows without bound while load exceeds
capacity, whereas utilisation and requests in flight stay at their maximum. The signals
are interchangeable so that they can be compared on the same load.
"""

from collections.abc import Callable
from dataclasses import dataclass

from tanagercourse.core.ids import ServiceId


@dataclass(frozen=True)
class QueueView:
    """The queue of one service and rank at the arrival of a request.

    Attributes:
        service: The service.
        waiting: Requests in the queue.
        wait_s: Estimated wait of the new request, in seconds.
        required_s: Time that the new request needs after its start, in seconds.
        remaining_s: Time until the new request's deadline, in seconds.
    """

    service: ServiceId
    waiting: int
    wait_s: float
    required_s: float
    remaining_s: float


# Returns whether to shed a new request.
ShouldShed = Callable[[QueueView], bool]
# Returns the share of a service's slots in use, according to the last report.
ReportedUtilisation = Callable[[ServiceId], float]


def by_queue_wait(queue: QueueView) -> bool:
    """Shed a request that, after its estimated wait, could not meet its deadline."""
    return queue.wait_s + queue.required_s >= queue.remaining_s


def by_queue_length(max_waiting: int) -> ShouldShed:
    """Return the signal that sheds once a queue has reached its maximum length.

    Args:
        max_waiting: Requests that may wait in a queue.
    """
    return lambda queue: queue.waiting >= max_waiting


def by_utilisation(
    reported_utilisation: ReportedUtilisation, max_utilisation: float
) -> ShouldShed:
    """Return the signal that sheds once reported utilisation reaches a maximum.

    Args:
        reported_utilisation: Returns the last reported utilisation of a service.
        max_utilisation: Share of the slots in use, from 0.0 to 1.0.
    """
    return lambda queue: reported_utilisation(queue.service) >= max_utilisation


def is_remote_sooner(queue_wait_s: float, one_way_s: float) -> bool:
    """Return whether a free slot in another region serves a request sooner.

    Args:
        queue_wait_s: Wait for a slot in the home region, in seconds.
        one_way_s: One-way network delay to the other region, in seconds.
    """
    return queue_wait_s > 2.0 * one_way_s
