"""Requests and responses as they are forwarded, and problems of an attempt."""

from dataclasses import dataclass

from tanagercourse.core.problems import Problem
from tanagercourse.gateway.headers import Headers

# Headers that apply to a single connection or are set anew, and are not forwarded.
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
    """A caller's complete request.

    Attributes:
        method: HTTP method.
        target: Request target, with the query.
        headers: Headers as received.
        body: Complete body.
        arrived_at_s: Time at which the head was complete, on the monotonic clock, in
            seconds.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    arrived_at_s: float


@dataclass(frozen=True)
class Response:
    """A complete response of an upstream or of this system.

    Attributes:
        status: HTTP status.
        reason: Reason phrase.
        headers: Headers.
        body: Complete body.
    """

    status: int
    reason: bytes
    headers: Headers
    body: bytes


@dataclass(frozen=True)
class NotSent(Problem):
    """No byte of a request was sent to an upstream.

    Attributes:
        detail: Why the request was not sent.
    """

    detail: str


@dataclass(frozen=True)
class TokenExpired(Problem):
    """A request was not sent because its quota token expired.

    Attributes:
        detail: When the token expired.
    """

    detail: str


@dataclass(frozen=True)
class Lost(Problem):
    """A request was sent, at least in part, and no complete response was received.

    Attributes:
        detail: Error that occurred instead of a response.
        was_kept: Whether the connection had been used before and no byte of a response
            was received.
    """

    detail: str
    was_kept: bool = False


def drop_connection_headers(headers: Headers, *extra_names: bytes) -> Headers:
    """Return headers without those that apply to a single connection.

    Args:
        headers: Headers as received.
        extra_names: Lower-case names of further headers to drop.
    """
    dropped_names: set[bytes] = set(extra_names)
    for key, value in headers:
        if key.lower() == b"connection":
            dropped_names.update(part.strip().lower() for part in value.split(b","))
    excluded = CONNECTION_HEADERS | dropped_names
    return tuple((key, value) for key, value in headers if key.lower() not in excluded)
