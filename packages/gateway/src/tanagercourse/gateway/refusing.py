"""Answers of this system's own: refusals and failures that say what is true."""

from random import Random

from tanagercourse.core.states import Execution, RefusalReason
from tanagercourse.gateway.messages import Response

# When to come back after a refusal, in seconds, and by how much it is spread.
RETRY_AFTER_S = {
    RefusalReason.NO_SETTINGS: 0.3,
    RefusalReason.NO_UPSTREAM: 0.5,
    RefusalReason.OVERLOADED: 0.7,
    RefusalReason.UPSTREAM_SHED: 0.4,
    RefusalReason.UPSTREAM_LOST: 0.2,
    RefusalReason.DEADLINE: 0.5,
    RefusalReason.LEAVING: 0.1,
}
RETRY_SPREAD_S = 0.3

_random = Random()


def refuse(reason: RefusalReason, execution: Execution) -> Response:
    """Return the answer to a request that got none from an upstream.

    Args:
        reason: Why.
        execution: What is known of its run; only one that did not run at all is
            refused with 503.
    """
    if reason is RefusalReason.UNKNOWN_SERVICE:
        return _answer(404, b"Not Found")
    if execution is Execution.NOT_RUN:
        wait_s = RETRY_AFTER_S.get(reason, 0.5) + _random.uniform(0, RETRY_SPREAD_S)
        return _answer(
            503, b"Service Unavailable", (b"Retry-After", f"{wait_s:.2f}".encode())
        )
    if reason is RefusalReason.DEADLINE:
        return _answer(504, b"Gateway Timeout")
    return _answer(502, b"Bad Gateway")


def refuse_malformed(status: int) -> Response:
    """Return the answer to a request that can't be read or passes a limit."""
    reasons = {
        408: b"Request Timeout",
        413: b"Content Too Large",
        431: b"Request Header Fields Too Large",
        503: b"Service Unavailable",
    }
    return _answer(status, reasons.get(status, b"Bad Request"))


def _answer(status: int, reason: bytes, *headers: tuple[bytes, bytes]) -> Response:
    return Response(status, reason, headers, b"")
