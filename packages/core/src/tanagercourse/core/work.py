"""A request as steering decisions use it, independent of its wire encoding."""

from collections.abc import Callable
from dataclasses import dataclass

from tanagercourse.core.ids import IdempotencyKey, RequestId, ServiceId
from tanagercourse.core.states import Idempotency, Rank

# Returns the time of a monotonic clock, in seconds.
Clock = Callable[[], float]


@dataclass(frozen=True)
class Work:
    """One request to steer.

    Attributes:
        request_id: Unique id, passed on to the backend server.
        service: The requested service.
        rank: Priority class of the request.
        idempotency: Whether the request may be sent again after an attempt that may
            have been executed.
        expires_at_s: Deadline on the local monotonic clock, in seconds.
        key: The caller's idempotency key, or None if the caller sent none.
    """

    request_id: RequestId
    service: ServiceId
    rank: Rank
    idempotency: Idempotency
    expires_at_s: float
    key: IdempotencyKey | None = None

    def remaining_s(self, now_s: float) -> float:
        """Return the time until the deadline in seconds, at least 0.

        Args:
            now_s: Current time of the clock that `expires_at_s` refers to, in seconds.
        """
        return max(0.0, self.expires_at_s - now_s)
