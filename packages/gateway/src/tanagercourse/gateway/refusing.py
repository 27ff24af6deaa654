"""Responses that refuse a request, and show whether the request may have run."""

from random import Random

from tanagercourse.core.states import Execution, RefusalReason
from tanagercourse.gateway.messages import Response

# Retry-After of a refusal by its reason, in seconds, and the maximum random addition.
RETRY_AFTER_S = {
    RefusalReason.NO_SETTINGS: 0.3,
    RefusalReason.NO_UPSTREAM: 0.5,
    RefusalReason.OVERLOADED: 0.7,
    RefusalReason.UPSTREAM_SHED: 0.4,
    RefusalReason.UPSTREAMS_PAUSED: 0.5,
    RefusalReason.UPSTREAM_LOST: 0.2,
    RefusalReason.DEADLINE: 0.5,
    RefusalReason.LEAVING: 0.1,
}
RETRY_AFTER_JITTER_S = 0.3

_random = Random()


def refuse(
    reason: RefusalReason, execution: Execution, after_s: float | None = None
) -> Response:
    """Return the response that refuses a request.

    Args:
        reason: Reason of the refusal.
        execution: Whether the request has run; a 503 or 429 states that it
            certainly did not.
        after_s: Time after which the caller may come back, in seconds, if it is known;
            otherwise it depends on the reason.
    """
    if execution is Execution.NOT_RUN:
        if reason is RefusalReason.UNKNOWN_SERVICE:
            return _make_response(404, b"Not Found")
        if reason is RefusalReason.UNAUTHORIZED:
            challenge = (b"WWW-Authenticate", b"Bearer")
            return _make_response(401, b"Unauthorized", challenge)
        status, reason_phrase = 503, b"Service Unavailable"
        if reason is RefusalReason.QUOTA_EXCEEDED:
            status, reason_phrase = 429, b"Too Many Requests"
        if after_s is None:
            after_s = RETRY_AFTER_S.get(reason, 0.5)
        # Callers that were refused together must not come back together.
        retry_after_s = after_s + _random.uniform(0, RETRY_AFTER_JITTER_S)
        return _make_response(
            status,
            reason_phrase,
            (b"Retry-After", f"{retry_after_s:.2f}".encode()),
        )
    if reason is RefusalReason.DEADLINE:
        return _make_response(504, b"Gateway Timeout")
    return _make_response(502, b"Bad Gateway")


def refuse_malformed(status: int) -> Response:
    """Return the response to a request that is malformed or exceeds a limit."""
    if status == 503:
        return refuse(RefusalReason.OVERLOADED, Execution.NOT_RUN)
    reason_phrases = {
        408: b"Request Timeout",
        413: b"Content Too Large",
        431: b"Request Header Fields Too Large",
    }
    return _make_response(status, reason_phrases.get(status, b"Bad Request"))


def _make_response(
    status: int, reason: bytes, *headers: tuple[bytes, bytes]
) -> Response:
    return Response(status, reason, headers, b"")
