"""Send refusals and upstreams' responses to callers over HTTP."""

import httpx

from tanagercourse.core.problems import InvalidField, Refusal
from tanagercourse.core.states import RefusalReason
from tanagercourse.entry.deduplication import RequestProgress
from tanagercourse.entry.forward import UpstreamResponse, refuse_truncated
from tanagercourse.web.asgi import MAX_BODY_BYTES, Send, send_response, start_response
from tanagercourse.wire.headers import write_invalid_field, write_refusal
from tanagercourse.wire.refusals import encode_invalid_field, encode_refusal

STATUS_BY_REASON = {
    RefusalReason.INVALID_REQUEST: 400,
    RefusalReason.UNKNOWN_SERVICE: 404,
    RefusalReason.DEADLINE: 504,
    RefusalReason.DUPLICATE_KEY: 409,
    RefusalReason.UPSTREAM_LOST: 502,
    RefusalReason.ANSWER_MISMATCHED: 502,
    RefusalReason.ANSWER_TRUNCATED: 502,
}
DEFAULT_REFUSAL_STATUS = 503
STATUS_INVALID_FIELD = 400
STATUS_BODY_TOO_LARGE = 413


async def send_refusal(send: Send, problem: Refusal | InvalidField) -> None:
    """Send the reason why a request gets no complete response from an upstream."""
    if isinstance(problem, InvalidField):
        await send_invalid_field(send, problem)
        return
    status = STATUS_BY_REASON.get(problem.reason, DEFAULT_REFUSAL_STATUS)
    await send_response(send, status, encode_refusal(problem), write_refusal(problem))


async def send_invalid_field(
    send: Send, problem: InvalidField, status: int = STATUS_INVALID_FIELD
) -> None:
    """Refuse a request for an invalid field; the request was not run."""
    body = encode_invalid_field(problem)
    await send_response(send, status, body, write_invalid_field())


def body_too_large(source: str) -> InvalidField:
    """Return the problem of a body that exceeds the size limit.

    Args:
        source: The kind of request that the body belongs to.
    """
    allowed = f"at most {MAX_BODY_BYTES} bytes"
    return InvalidField(source, "body", f"over {MAX_BODY_BYTES} bytes", allowed)


async def relay_response(
    send: Send, progress: RequestProgress, response: UpstreamResponse
) -> Refusal | None:
    """Stream an upstream's response to a caller.

    Returns:
        None if the response was complete, else the refusal for a truncated response.
    """
    progress.has_response_started = True
    await start_response(send, response.status, response.headers)
    await _send_chunk(send, response.buffered_body)
    if response.remaining_chunks is not None:
        try:
            async for chunk in response.remaining_chunks:
                await _send_chunk(send, chunk)
        except httpx.HTTPError:
            return refuse_truncated(progress.work)
    await send({"type": "http.response.body", "body": b"", "more_body": False})
    return None


async def _send_chunk(send: Send, chunk: bytes) -> None:
    await send({"type": "http.response.body", "body": chunk, "more_body": True})
