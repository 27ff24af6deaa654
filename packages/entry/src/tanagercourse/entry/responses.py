"""Write refusals and upstreams' answers to callers over HTTP."""

import httpx

from tanagercourse.core.problems import InvalidField, Refusal
from tanagercourse.core.states import RefusalReason
from tanagercourse.entry.deduplication import Progress
from tanagercourse.entry.forward import UpstreamAnswer, truncated
from tanagercourse.web.asgi import MAX_BODY_BYTES, Send, send_response, start_response
from tanagercourse.wire.headers import write_invalid_field, write_refusal
from tanagercourse.wire.refusals import encode_invalid_field, encode_refusal

STATUS_OF_REASON = {
    RefusalReason.INVALID_REQUEST: 400,
    RefusalReason.UNKNOWN_SERVICE: 404,
    RefusalReason.DEADLINE: 504,
    RefusalReason.DUPLICATE_KEY: 409,
    RefusalReason.UPSTREAM_LOST: 502,
    RefusalReason.ANSWER_MISMATCHED: 502,
    RefusalReason.ANSWER_TRUNCATED: 502,
}
STATUS_OF_OTHER_REASONS = 503
STATUS_OF_INVALID_FIELD = 400
STATUS_BODY_TOO_LONG = 413


async def refuse(send: Send, problem: Refusal | InvalidField) -> None:
    """Tell a caller why its request has no whole answer."""
    if isinstance(problem, InvalidField):
        await refuse_field(send, problem)
        return
    status = STATUS_OF_REASON.get(problem.reason, STATUS_OF_OTHER_REASONS)
    await send_response(send, status, encode_refusal(problem), write_refusal(problem))


async def refuse_field(
    send: Send, problem: InvalidField, status: int = STATUS_OF_INVALID_FIELD
) -> None:
    """Tell a caller which field of its request is wrong: it was not run."""
    body = encode_invalid_field(problem)
    await send_response(send, status, body, write_invalid_field())


def body_too_long(source: str) -> InvalidField:
    """Return what is wrong with a body over the limit.

    Args:
        source: What the body belongs to.
    """
    allowed = f"at most {MAX_BODY_BYTES} bytes"
    return InvalidField(source, "body", f"over {MAX_BODY_BYTES} bytes", allowed)


async def pass_on(
    send: Send, progress: Progress, found: UpstreamAnswer
) -> Refusal | None:
    """Stream an upstream's answer to a caller.

    Returns:
        None when it was whole, else why it broke off.
    """
    progress.is_answering = True
    await start_response(send, found.status, found.headers)
    await _send_chunk(send, found.first)
    if found.rest is not None:
        try:
            async for chunk in found.rest:
                await _send_chunk(send, chunk)
        except httpx.HTTPError:
            return truncated(progress.work)
    await send({"type": "http.response.body", "body": b"", "more_body": False})
    return None


async def _send_chunk(send: Send, chunk: bytes) -> None:
    await send({"type": "http.response.body", "body": chunk, "more_body": True})
