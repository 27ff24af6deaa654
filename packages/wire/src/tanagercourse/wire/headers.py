"""HTTP headers that carry request metadata and refusals."""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from returns.result import Failure, Result, Success

from tanagercourse.core.ids import IdempotencyKey, RequestId
from tanagercourse.core.problems import InvalidField, Refusal
from tanagercourse.core.states import Execution, RefusalReason

REQUEST_ID_HEADER = "x-request-id"
DEADLINE_HEADER = "x-request-deadline-ms"
IDEMPOTENCY_KEY_HEADER = "idempotency-key"
EXECUTION = "x-execution"
REASON = "x-refusal-reason"

MAX_DEADLINE_MS = 600_000
MAX_ID_LENGTH = 128

# Headers that apply to a single connection and must not be forwarded.
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
    """Metadata of a request from its headers.

    Attributes:
        request_id: The caller's id; None if the entry instance must generate one.
        deadline_ms: Time until the deadline, in milliseconds; None if unspecified.
        key: The caller's idempotency key; None if the caller sent none.
    """

    request_id: RequestId | None
    deadline_ms: float | None
    key: IdempotencyKey | None


def read_request_metadata(
    headers: Mapping[str, str],
) -> Result[RequestMetadata, InvalidField]:
    """Parse and validate the metadata in a request's headers.

    Args:
        headers: Headers of the request, with names in lower case.


    >>> read_request_metadata({"x-request-deadline-ms": "-1"}).failure().field
    'x-request-deadline-ms'
    """
    for name in (REQUEST_ID_HEADER, IDEMPOTENCY_KEY_HEADER):
        header_value = headers.get(name)
        if header_value is not None and not _is_valid_id(header_value):
            return Failure(
                InvalidField(
                    "request",
                    name,
                    header_value[:80],
                    "1 to 128 printable ASCII characters",
                )
            )
    deadline = _read_deadline(headers.get(DEADLINE_HEADER))
    if isinstance(deadline, Failure):
        return deadline
    request_id = headers.get(REQUEST_ID_HEADER)
    key = headers.get(IDEMPOTENCY_KEY_HEADER)
    return Success(
        RequestMetadata(
            RequestId(request_id) if request_id else None,
            deadline.unwrap(),
            IdempotencyKey(key) if key else None,
        )
    )


def write_request_metadata(facts: RequestMetadata) -> dict[str, str]:
    """Return the headers that carry a request's metadata."""
    headers: dict[str, str] = {}
    if facts.request_id is not None:
        headers[REQUEST_ID_HEADER] = facts.request_id
    if facts.deadline_ms is not None:
        headers[DEADLINE_HEADER] = f"{facts.deadline_ms:.3f}"
    if facts.key is not None:
        headers[IDEMPOTENCY_KEY_HEADER] = facts.key
    return headers


def write_refusal(refusal: Refusal) -> dict[str, str]:
    """Return the headers that carry a refusal."""
    headers = {
        REQUEST_ID_HEADER: str(refusal.request_id),
        EXECUTION: refusal.execution.value,
        REASON: refusal.reason.value,
    }
    if refusal.retry_after_s > 0:
        headers["retry-after"] = str(math.ceil(refusal.retry_after_s))
    return headers


def write_invalid_field() -> dict[str, str]:
    """Return the response headers for a request refused because of an invalid field."""
    return {
        EXECUTION: Execution.NOT_RUN.value,
        REASON: RefusalReason.INVALID_REQUEST.value,
    }


def read_refusal(request_id: RequestId, headers: Mapping[str, str]) -> Refusal | None:
    """Return the refusal that response headers carry, or None if they carry none."""
    try:
        reason = RefusalReason(headers.get(REASON, ""))
        execution = Execution(headers.get(EXECUTION, ""))
    except ValueError:
        return None
    retry_after = headers.get("retry-after", "0")
    retry_after_s = float(retry_after) if retry_after.isdigit() else 0.0
    return Refusal(request_id, reason, execution, retry_after_s)


def _read_deadline(header_value: str | None) -> Result[float | None, InvalidField]:
    if header_value is None:
        return Success(None)
    try:
        deadline_ms = float(header_value)
    except ValueError:
        deadline_ms = math.nan
    if 0 < deadline_ms <= MAX_DEADLINE_MS:
        return Success(deadline_ms)
    allowed = f"milliseconds, more than 0 and at most {MAX_DEADLINE_MS}"
    return Failure(InvalidField("request", DEADLINE_HEADER, header_value[:80], allowed))


def _is_valid_id(header_value: str) -> bool:
    return (
        0 < len(header_value) <= MAX_ID_LENGTH
        and header_value.isascii()
        and header_value.isprintable()
    )
