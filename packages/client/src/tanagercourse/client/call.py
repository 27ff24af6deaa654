"""What a caller asks for and what it gets."""

from collections.abc import Mapping
from dataclasses import dataclass

from tanagercourse.core.ids import IdempotencyKey, RequestId, ServiceId
from tanagercourse.core.problems import Problem, Refusal
from tanagercourse.core.states import Idempotency


@dataclass(frozen=True)
class Call:
    """A request of a caller.

    Attributes:
        service: The service that is asked for.
        target: Path and query inside the service, beginning with a slash.
        method: The HTTP method.
        body: The whole body.
        idempotency: Whether it may be sent again once it may have run.
        deadline_s: Time to answer, in seconds.
        key: Idempotency key; a non-idempotent call without one is given one.
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
    """A whole answer to a call.

    Attributes:
        request_id: Id of the attempt that was answered.
        status: The HTTP status.
        body: The whole body.
        headers: Headers, names in lower case.
    """

    request_id: RequestId
    status: int
    body: bytes
    headers: Mapping[str, str]


@dataclass(frozen=True)
class NoInstance(Problem):
    """No known address answered a look-up: the call was not sent.

    Attributes:
        asked: Addresses that were asked.
    """

    asked: tuple[str, ...]

    def describe(self) -> str:
        """Tell a person which addresses were asked."""
        return f"no entry instance answered at {', '.join(self.asked)}"


CallProblem = Refusal | NoInstance
