"""Send a request to an upstream, and classify its response or failure."""

from collections.abc import AsyncIterator
from dataclasses import dataclass, replace

import anyio
import httpx
from returns.result import Failure, Result, Success

from tanagercourse.core.problems import Refusal
from tanagercourse.core.states import Execution, RefusalReason
from tanagercourse.core.work import Work
from tanagercourse.settings.schema import UpstreamSettings
from tanagercourse.wire.connections import (
    CONNECT_TIMEOUT_S,
    NOT_SENT_ERRORS,
    SILENCE_TIMEOUT_SHARE,
    HttpClients,
)
from tanagercourse.wire.headers import (
    HOP_BY_HOP,
    REQUEST_ID_HEADER,
    RequestMetadata,
    read_refusal,
    write_request_metadata,
)

# A response body up to this size is read completely before any of it is passed to the
# caller, so that a truncated one can still be refused.
RESPONSE_BUFFER_BYTES = 65_536

# Added to the time limit of a whole attempt, in seconds: the HTTP client's own timeouts
# tell whether the request was sent, so they must expire first.
ATTEMPT_MARGIN_S = 0.05
# Highest status that HTTP has; the HTTP client accepts no final one below 200.
MAX_STATUS = 599
_NO_BODY_STATUSES = (204, 304)
# Refusal reasons of a backend server that accepts no more requests for now.
_SHED_REASONS = (
    RefusalReason.OVERLOADED,
    RefusalReason.LEAVING,
    RefusalReason.NO_UPSTREAM,
)


@dataclass(frozen=True)
class UpstreamRequest:
    """A caller's request, in the form that is sent to an upstream."""

    work: Work
    method: str
    target: str
    headers: dict[str, str]
    body: bytes


@dataclass(frozen=True)
class UpstreamResponse:
    """An upstream's response, with its head and the start of its body received.

    Attributes:
        status: The HTTP status.
        headers: The headers to pass to the caller.
        buffered_body: The bytes of the body received so far.
        remaining_chunks: The chunks still to be received, or None when `buffered_body`
            is complete.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    buffered_body: bytes
    remaining_chunks: AsyncIterator[bytes] | None


@dataclass(frozen=True)
class OpenResponse:
    """An upstream's response, with the HTTP response to close after its use."""

    response: UpstreamResponse
    http_response: httpx.Response

    async def close(self) -> None:
        """Return the connection to its pool, or close it if the body is incomplete."""
        with anyio.CancelScope(shield=True):
            await self.http_response.aclose()


async def send_once(
    connections: HttpClients,
    upstream: UpstreamSettings,
    upstream_request: UpstreamRequest,
    now_s: float,
    may_retry: bool,
) -> Result[OpenResponse, Refusal]:
    """Send a request once and wait for the start of the response.

    Args:
        connections: HTTP clients for upstreams.
        upstream: The upstream to send to.
        upstream_request: The request to send.
        now_s: The monotonic time, in seconds.
        may_retry: Whether the request can be retried. A silent reused connection is
            then abandoned before the deadline.

    Returns:
        The response, to be closed by the calling function, or a refusal that states
        whether the request may have run.
    """
    work = upstream_request.work
    client = connections.client_for(work.idempotency, upstream.id)
    is_reused = client is connections.reused
    uses_silence_timeout = is_reused and may_retry
    timeout_s = work.remaining_s(now_s) * (
        SILENCE_TIMEOUT_SHARE if uses_silence_timeout else 1.0
    )
    request = _build_request(client, upstream, upstream_request, now_s, timeout_s)
    try:
        # The client's own timeout starts again with each interim response.
        with anyio.fail_after(timeout_s + ATTEMPT_MARGIN_S):
            http_response = await client.send(request, stream=True)
    except NOT_SENT_ERRORS:
        return Failure(_refuse(work, RefusalReason.UPSTREAM_LOST, Execution.NOT_RUN))
    except (httpx.HTTPError, TimeoutError) as error:
        if is_reused:
            connections.mark_silent(upstream.id)
        return Failure(_refuse_for_error(work, error, uses_silence_timeout))
    buffered = await _buffer_response(work, http_response)
    if isinstance(buffered, Failure):
        with anyio.CancelScope(shield=True):
            await http_response.aclose()
        return buffered
    return Success(OpenResponse(buffered.unwrap(), http_response))


def _refuse_for_error(
    work: Work, error: httpx.HTTPError | TimeoutError, uses_silence_timeout: bool
) -> Refusal:
    is_timeout = isinstance(error, (httpx.ReadTimeout, TimeoutError))
    did_time_out = is_timeout and not uses_silence_timeout
    reason = RefusalReason.DEADLINE if did_time_out else RefusalReason.UPSTREAM_LOST
    return _refuse(work, reason, Execution.MAY_HAVE_RUN)


def _build_request(
    client: httpx.AsyncClient,
    upstream: UpstreamSettings,
    upstream_request: UpstreamRequest,
    now_s: float,
    timeout_s: float,
) -> httpx.Request:
    work = upstream_request.work
    metadata = RequestMetadata(
        work.request_id, work.remaining_s(now_s) * 1_000, work.key
    )
    forwarded_headers = {
        name: value
        for name, value in upstream_request.headers.items()
        if name not in HOP_BY_HOP and name != "host"
    }
    return client.build_request(
        upstream_request.method,
        f"http://{upstream.host}:{upstream.port}{upstream_request.target}",
        headers={**forwarded_headers, **write_request_metadata(metadata)},
        content=upstream_request.body,
        timeout=httpx.Timeout(timeout_s, connect=min(timeout_s, CONNECT_TIMEOUT_S)),
    )


async def _buffer_response(
    work: Work, http_response: httpx.Response
) -> Result[UpstreamResponse, Refusal]:
    """Read the start of a response's body, which is all of it for most responses."""
    problem = _check_head(work, http_response)
    if problem is not None:
        return Failure(problem)
    chunks = http_response.aiter_raw()
    buffered_body = bytearray()
    remaining_chunks: AsyncIterator[bytes] | None = None
    try:
        async for chunk in chunks:
            buffered_body += chunk
            if len(buffered_body) > RESPONSE_BUFFER_BYTES:
                remaining_chunks = chunks
                break
    except httpx.HTTPError:
        return Failure(refuse_truncated(work))
    headers = tuple(_end_to_end_headers(http_response.headers))
    return Success(
        UpstreamResponse(
            http_response.status_code, headers, bytes(buffered_body), remaining_chunks
        )
    )


def refuse_truncated(work: Work) -> Refusal:
    """Return the refusal for a truncated response."""
    return _refuse(work, RefusalReason.ANSWER_TRUNCATED, Execution.MAY_HAVE_RUN)


def _check_head(work: Work, http_response: httpx.Response) -> Refusal | None:
    """Return why a response can't be passed to the caller, or None if it can."""
    if http_response.status_code > MAX_STATUS:
        return _refuse(work, RefusalReason.ANSWER_MISMATCHED, Execution.MAY_HAVE_RUN)
    refusal = read_refusal(work.request_id, http_response.headers)
    if refusal is not None:
        return _mark_shed(refusal)
    if http_response.headers.get(REQUEST_ID_HEADER) != work.request_id:
        return _refuse(work, RefusalReason.ANSWER_MISMATCHED, Execution.MAY_HAVE_RUN)
    # Without either header, a truncated body can't be told from a complete one.
    is_delimited = (
        "content-length" in http_response.headers
        or "transfer-encoding" in http_response.headers
    )
    has_body = (
        http_response.request.method != "HEAD"
        and http_response.status_code not in _NO_BODY_STATUSES
    )
    return refuse_truncated(work) if has_body and not is_delimited else None


def _mark_shed(refusal: Refusal) -> Refusal:
    """Return a refusal, marked as shed if another upstream could accept the request."""
    is_shed = refusal.execution is Execution.NOT_RUN and refusal.reason in _SHED_REASONS
    return replace(refusal, reason=RefusalReason.UPSTREAM_SHED) if is_shed else refusal


def _end_to_end_headers(headers: httpx.Headers) -> list[tuple[str, str]]:
    return [
        (name, value)
        for name, value in headers.multi_items()
        if name.lower() not in HOP_BY_HOP
    ]


def _refuse(work: Work, reason: RefusalReason, execution: Execution) -> Refusal:
    return Refusal(work.request_id, reason, execution)
