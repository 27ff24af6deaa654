"""Types of a caller's request, its response and its problems."""

from collections.abc import Mapping
from dataclasses import dataclass

from tanagercourse.core.ids import IdempotencyKey, RequestId, ServiceId
from tanagercourse.core.problems import Problem, Refusal
from tanagercourse.core.states import Idempotency


@dataclass(frozen=True)
class Call:
    """A caller's request to a service.

    Attributes:
        service: The requested service.
        target: Path and query within the service, with a leading slash.
        method: The HTTP method.
        body: The complete request body.
        idempotency: Whether the call may be sent again after an attempt that may have
            run.
        deadline_s: Time within which a response is needed, in seconds.
        key: The idempotency key. A non-idempotent call without a key gets a random
            one.
    """

    service: ServiceId
    target: str
    method: str = "GET"
    body: bytes = b""
    idempotency: Idempotency = Idempotency.IDEMPOTENT
    deadline_s: float = 2.0
    key: IdempotencyKey | None = None


@dataclass(frozen=True)
class CallResponse:
    """The complete response to a call.

    Attributes:
        request_id: The id of the attempt that was answered.
        status: The HTTP status.
        body: The complete response body.
        headers: The response headers, with names in lower case.
    """

    request_id: RequestId
    status: int
    body: bytes
    headers: Mapping[str, str]


@dataclass(frozen=True)
class NoInstance(Problem):
    """No entry instance responded to a look-up, so the call was not sent.

    Attributes:
        asked: The seed URLs: base URLs of the entry instances for the first look-up.
    """

    asked: tuple[str, ...]

    def describe(self) -> str:
        """Return a message that names the seed URLs."""
        return f"no entry instance responded to a look-up at {', '.join(self.asked)}"


CallProblem = Refusal | NoInstance
