"""A request as the steering decisions see it, whatever message carried it."""

from collections.abc import Callable
from dataclasses import dataclass

from tanagercourse.core.ids import IdempotencyKey, RequestId, ServiceId
from tanagercourse.core.states import Idempotency, Rank

# Reads a monotonic clock, in seconds.
Clock = Callable[[], float]


@dataclass(frozen=True)
class Work:
    """One request to steer.

    Attributes:
        request_id: Unique for each request, carried to the backend server.
        service: The service that is asked for.
        rank: Its rank.
        idempotency: Whether it may be sent again once it may have run.
        expires_at_s: Deadline on the local monotonic clock, in seconds.
        key: The caller's idempotency key, if it gave one.
    """

    request_id: RequestId
    service: ServiceId
    rank: Rank
    idempotency: Idempotency
    expires_at_s: float
    key: IdempotencyKey | None = None

    def remaining_s(self, now_s: float) -> float:
        """Return the time left to the deadline, in seconds, never negative.

        Args:
            now_s: The same clock's reading now, in seconds.
        """
        return max(0.0, self.expires_at_s - now_s)
