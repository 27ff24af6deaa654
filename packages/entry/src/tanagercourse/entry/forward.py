"""Send a request to an upstream and judge what its answer, or silence, means."""

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
    REQUEST_ID,
    RequestMetadata,
    read_refusal,
    write_request_metadata,
)

# An answer up to this size is read whole before the caller gets any of it.
HELD_BACK_BYTES = 65_536

_NO_BODY_STATUSES = (204, 304)
# Reasons by which a backend server takes no more work for now.
_SHED = (RefusalReason.OVERLOADED, RefusalReason.LEAVING, RefusalReason.NO_UPSTREAM)


@dataclass(frozen=True)
class Exchange:
    """What a caller asked for, as it goes to an upstream."""

    work: Work
    method: str
    target: str
    headers: dict[str, str]
    body: bytes


@dataclass(frozen=True)
class UpstreamAnswer:
    """An answer whose head and first bytes have come.

    Attributes:
        status: Its HTTP status.
        headers: The headers that the caller gets.
        first: The first bytes of its body; all of it when there is no rest.
        rest: The chunks still to come, or None when the whole body is in `first`.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    first: bytes
    rest: AsyncIterator[bytes] | None


@dataclass(frozen=True)
class OpenAnswer:
    """An upstream's answer and the response that has to be closed after it."""

    answer: UpstreamAnswer
    response: httpx.Response

    async def close(self) -> None:
        """Give the connection back, or close it where the answer did not end."""
        with anyio.CancelScope(shield=True):
            await self.response.aclose()


async def send_once(
    connections: HttpClients,
    upstream: UpstreamSettings,
    exchange: Exchange,
    now_s: float,
    may_retry: bool,
) -> Result[OpenAnswer, Refusal]:
    """Send a request once and wait for the head of its answer.

    Args:
        connections: Clients towards upstreams.
        upstream: Where to send it.
        exchange: What to send.
        now_s: The clock's reading, in seconds.
        may_retry: Whether it could be sent again, so that a kept connection may be
            given up before the deadline.

    Returns:
        The answer, to be closed by the caller, or a refusal that tells whether the
        request may have run.
    """
    work = exchange.work
    client = connections.client_for(work.idempotency, upstream.id)
    is_reused = client is connections.reused
    gives_up = is_reused and may_retry
    timeout_s = work.remaining_s(now_s) * (SILENCE_TIMEOUT_SHARE if gives_up else 1.0)
    request = _build_request(client, upstream, exchange, now_s, timeout_s)
    try:
        response = await client.send(request, stream=True)
    except NOT_SENT_ERRORS:
        return Failure(_refuse(work, RefusalReason.UPSTREAM_LOST, Execution.NOT_RUN))
    except httpx.HTTPError as error:
        if is_reused:
            connections.mark_silent(upstream.id)
        return Failure(_judge_error(work, error, gives_up))
    read = await _read_start(work, response)
    if isinstance(read, Failure):
        with anyio.CancelScope(shield=True):
            await response.aclose()
        return read
    return Success(OpenAnswer(read.unwrap(), response))


def _judge_error(work: Work, error: httpx.HTTPError, gives_up: bool) -> Refusal:
    is_late = isinstance(error, httpx.ReadTimeout) and not gives_up
    reason = RefusalReason.DEADLINE if is_late else RefusalReason.UPSTREAM_LOST
    return _refuse(work, reason, Execution.MAY_HAVE_RUN)


def _build_request(
    client: httpx.AsyncClient,
    upstream: UpstreamSettings,
    exchange: Exchange,
    now_s: float,
    timeout_s: float,
) -> httpx.Request:
    work = exchange.work
    facts = RequestMetadata(work.request_id, work.remaining_s(now_s) * 1_000, work.key)
    kept = {
        name: value
        for name, value in exchange.headers.items()
        if name not in HOP_BY_HOP and name != "host"
    }
    return client.build_request(
        exchange.method,
        f"http://{upstream.host}:{upstream.port}{exchange.target}",
        headers={**kept, **write_request_metadata(facts)},
        content=exchange.body,
        timeout=httpx.Timeout(timeout_s, connect=min(timeout_s, CONNECT_TIMEOUT_S)),
    )


async def _read_start(
    work: Work, response: httpx.Response
) -> Result[UpstreamAnswer, Refusal]:
    """Read an answer's first bytes, which is all of them for most answers."""
    problem = _judge_head(work, response)
    if problem is not None:
        return Failure(problem)
    chunks = response.aiter_raw()
    first = bytearray()
    rest: AsyncIterator[bytes] | None = None
    try:
        async for chunk in chunks:
            first += chunk
            if len(first) > HELD_BACK_BYTES:
                rest = chunks
                break
    except httpx.HTTPError:
        return Failure(truncated(work))
    headers = tuple(_passed_on(response.headers))
    return Success(UpstreamAnswer(response.status_code, headers, bytes(first), rest))


def truncated(work: Work) -> Refusal:
    """Return the refusal for an answer that broke off."""
    return _refuse(work, RefusalReason.ANSWER_TRUNCATED, Execution.MAY_HAVE_RUN)


def _judge_head(work: Work, response: httpx.Response) -> Refusal | None:
    """Return why an answer can't be passed on, None when it can."""
    refusal = read_refusal(work.request_id, response.headers)
    if refusal is not None:
        return _read_vouched(refusal)
    if response.headers.get(REQUEST_ID) != work.request_id:
        return _refuse(work, RefusalReason.ANSWER_MISMATCHED, Execution.MAY_HAVE_RUN)
    # Without either, a body's end can't be told from a lost connection.
    is_delimited = (
        "content-length" in response.headers or "transfer-encoding" in response.headers
    )
    has_body = (
        response.request.method != "HEAD"
        and response.status_code not in _NO_BODY_STATUSES
    )
    return truncated(work) if has_body and not is_delimited else None


def _read_vouched(refusal: Refusal) -> Refusal:
    """Return a backend server's refusal, as shed where another could take the work."""
    is_shed = refusal.execution is Execution.NOT_RUN and refusal.reason in _SHED
    return replace(refusal, reason=RefusalReason.UPSTREAM_SHED) if is_shed else refusal


def _passed_on(headers: httpx.Headers) -> list[tuple[str, str]]:
    return [
        (name, value)
        for name, value in headers.multi_items()
        if name.lower() not in HOP_BY_HOP
    ]


def _refuse(work: Work, reason: RefusalReason, execution: Execution) -> Refusal:
    return Refusal(work.request_id, reason, execution)
