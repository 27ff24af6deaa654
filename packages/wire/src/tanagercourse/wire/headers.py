"""HTTP headers that carry a request's facts, read and written in one place."""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from returns.result import Failure, Result, Success

from tanagercourse.core.ids import IdempotencyKey, RequestId
from tanagercourse.core.problems import InvalidField, Refusal
from tanagercourse.core.states import Execution, RefusalReason

REQUEST_ID = "x-request-id"
DEADLINE_MS = "x-request-deadline-ms"
IDEMPOTENCY_KEY = "idempotency-key"
EXECUTION = "x-execution"
REASON = "x-refusal-reason"

MAX_DEADLINE_MS = 600_000
MAX_ID_LENGTH = 128

# Headers that speak about one connection only and must not be passed on.
HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)

RawHeaders = Iterable[tuple[bytes, bytes]]


@dataclass(frozen=True)
class RequestMetadata:
    """What a request's headers say.

    Attributes:
        request_id: The caller's id, or None when the entry instance is to make one.
        deadline_ms: Time left to the deadline, in milliseconds, or None.
        key: The caller's idempotency key, or None.
    """

    request_id: RequestId | None
    deadline_ms: float | None
    key: IdempotencyKey | None


def read_request_metadata(
    headers: Mapping[str, str],
) -> Result[RequestMetadata, InvalidField]:
    """Read a request's facts from its headers, names in lower case.

    >>> read_request_metadata({"x-request-deadline-ms": "-1"}).failure().field
    'x-request-deadline-ms'
    """
    for name in (REQUEST_ID, IDEMPOTENCY_KEY):
        text = headers.get(name)
        if text is not None and not _is_id(text):
            return Failure(
                InvalidField("request", name, text[:80], "1 to 128 printable letters")
            )
    deadline = _read_deadline(headers.get(DEADLINE_MS))
    if isinstance(deadline, Failure):
        return deadline
    request_id = headers.get(REQUEST_ID)
    key = headers.get(IDEMPOTENCY_KEY)
    return Success(
        RequestMetadata(
            RequestId(request_id) if request_id else None,
            deadline.unwrap(),
            IdempotencyKey(key) if key else None,
        )
    )


def write_request_metadata(facts: RequestMetadata) -> dict[str, str]:
    """Return the headers that carry a request's facts."""
    headers: dict[str, str] = {}
    if facts.request_id is not None:
        headers[REQUEST_ID] = facts.request_id
    if facts.deadline_ms is not None:
        headers[DEADLINE_MS] = f"{facts.deadline_ms:.3f}"
    if facts.key is not None:
        headers[IDEMPOTENCY_KEY] = facts.key
    return headers


def write_refusal(refusal: Refusal) -> dict[str, str]:
    """Return the headers that carry a refusal."""
    headers = {
        REQUEST_ID: str(refusal.request_id),
        EXECUTION: refusal.execution.value,
        REASON: refusal.reason.value,
    }
    if refusal.retry_after_s > 0:
        headers["retry-after"] = str(math.ceil(refusal.retry_after_s))
    return headers


def write_invalid_field() -> dict[str, str]:
    """Return the headers of a request refused for one of its fields: not run."""
    return {
        EXECUTION: Execution.NOT_RUN.value,
        REASON: RefusalReason.INVALID_REQUEST.value,
    }


def read_refusal(request_id: RequestId, headers: Mapping[str, str]) -> Refusal | None:
    """Return the refusal that headers carry, or None when they carry none."""
    try:
        reason = RefusalReason(headers.get(REASON, ""))
        execution = Execution(headers.get(EXECUTION, ""))
    except ValueError:
        return None
    retry_after = headers.get("retry-after", "0")
    retry_after_s = float(retry_after) if retry_after.isdigit() else 0.0
    return Refusal(request_id, reason, execution, retry_after_s)


def _read_deadline(text: str | None) -> Result[float | None, InvalidField]:
    if text is None:
        return Success(None)
    try:
        deadline_ms = float(text)
    except ValueError:
        deadline_ms = math.nan
    if 0 < deadline_ms <= MAX_DEADLINE_MS:
        return Success(deadline_ms)
    allowed = f"a number of milliseconds, over 0 to {MAX_DEADLINE_MS}"
    return Failure(InvalidField("request", DEADLINE_MS, text[:80], allowed))


def _is_id(text: str) -> bool:
    return 0 < len(text) <= MAX_ID_LENGTH and text.isascii() and text.isprintable()
