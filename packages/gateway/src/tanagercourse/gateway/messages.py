"""Requests and answers while they are passed on."""

from dataclasses import dataclass

from tanagercourse.core.problems import Problem
from tanagercourse.gateway.headers import Headers

# Headers that concern one connection only.
CONNECTION_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    )
)


@dataclass(frozen=True)
class CallerRequest:
    """A caller's request, read whole.

    Attributes:
        arrived_at_s: When its head had been read, on the monotonic clock, in seconds.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    arrived_at_s: float


@dataclass(frozen=True)
class Response:
    """A whole answer, of an upstream or of this system."""

    status: int
    reason: bytes
    headers: Headers
    body: bytes


@dataclass(frozen=True)
class NotSent(Problem):
    """No byte of a request reached an upstream."""

    detail: str


@dataclass(frozen=True)
class Lost(Problem):
    """A request was sent, at least in part, and no whole answer came back.

    Attributes:
        detail: What came in place of an answer.
        was_kept: Whether the connection had been used before and no byte came back.
    """

    detail: str
    was_kept: bool = False


def drop_connection_headers(headers: Headers, *others: bytes) -> Headers:
    """Return the headers that go on to the next connection.

    Args:
        headers: As received.
        others: Lower-case names to leave out besides.
    """
    named: set[bytes] = set(others)
    for key, value in headers:
        if key.lower() == b"connection":
            named.update(part.strip().lower() for part in value.split(b","))
    dropped = CONNECTION_HEADERS | named
    return tuple((key, value) for key, value in headers if key.lower() not in dropped)
