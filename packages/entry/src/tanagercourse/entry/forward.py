"""Send a request to an upstream and judge what its answer, or silence, means."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass

import httpx
from returns.result import Failure, Result, Success
from tanagercourse.core.problems import Refusal
from tanagercourse.core.states import Execution, Idempotency, RefusalReason
from tanagercourse.core.work import Work
from tanagercourse.settings.schema import UpstreamSettings
from tanagercourse.wire.headers import (
    HOP_BY_HOP,
    REQUEST_ID,
    RequestFacts,
    read_refusal,
    write_facts,
)

CONNECT_TIMEOUT_S = 0.5
# A connection idle for longer may have gone silent; it is not used again.
IDLE_EXPIRY_S = 5.0

# Raised before any byte of the request was sent.
_NOT_SENT = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)


@dataclass(frozen=True)
class Exchange:
    """What a caller asked for, as it goes to an upstream."""

    work: Work
    method: str
    target: str
    headers: dict[str, str]
    body: bytes


@dataclass(frozen=True)
class Connections:
    """HTTP clients towards upstreams.

    Attributes:
        reused: Keeps connections open between requests.
        fresh: Opens one for each request: a non-idempotent request must not meet
            a connection that has gone silent, and a new one takes about 1 ms.
    """

    reused: httpx.AsyncClient
    fresh: httpx.AsyncClient


@asynccontextmanager
async def open_connections(max_connections: int) -> AsyncIterator[Connections]:
    """Open the HTTP clients towards upstreams and close them at the end.

    Args:
        max_connections: Connections of this process to all upstreams together.
    """
    reused_limits = httpx.Limits(
        max_connections=max_connections, keepalive_expiry=IDLE_EXPIRY_S
    )
    fresh_limits = httpx.Limits(
        max_connections=max_connections, max_keepalive_connections=0
    )
    async with (
        httpx.AsyncClient(limits=reused_limits, trust_env=False) as reused,
        httpx.AsyncClient(limits=fresh_limits, trust_env=False) as fresh,
    ):
        yield Connections(reused, fresh)


async def send_once(
    connections: Connections,
    upstream: UpstreamSettings,
    exchange: Exchange,
    now_s: float,
) -> Result[httpx.Response, Refusal]:
    """Send a request once and wait for the head of its answer.

    Args:
        connections: Clients towards upstreams.
        upstream: Where to send it.
        exchange: What to send.
        now_s: The clock's reading, in seconds.

    Returns:
        The response, its body still to be read and closed by the caller, or a
        refusal that tells whether the request may have run.
    """
    work = exchange.work
    is_idempotent = work.idempotency is Idempotency.IDEMPOTENT
    client = connections.reused if is_idempotent else connections.fresh
    request = _build_request(client, upstream, exchange, now_s)
    try:
        response = await client.send(request, stream=True)
    except _NOT_SENT:
        return Failure(_refuse(work, RefusalReason.UPSTREAM_LOST, Execution.NOT_RUN))
    except httpx.ReadTimeout:
        return Failure(_refuse(work, RefusalReason.DEADLINE, Execution.MAY_HAVE_RUN))
    except httpx.HTTPError:
        return Failure(
            _refuse(work, RefusalReason.UPSTREAM_LOST, Execution.MAY_HAVE_RUN)
        )
    problem = _judge_head(work, response)
    if problem is None:
        return Success(response)
    await response.aclose()
    return Failure(problem)


def passed_on(headers: httpx.Headers) -> list[tuple[str, str]]:
    """Return the answer's headers that the caller gets."""
    return [
        (name, value)
        for name, value in headers.multi_items()
        if name.lower() not in HOP_BY_HOP
    ]


def _build_request(
    client: httpx.AsyncClient,
    upstream: UpstreamSettings,
    exchange: Exchange,
    now_s: float,
) -> httpx.Request:
    work = exchange.work
    remaining_s = work.remaining_s(now_s)
    facts = RequestFacts(work.request_id, remaining_s * 1_000, work.key)
    kept = {
        name: value
        for name, value in exchange.headers.items()
        if name not in HOP_BY_HOP and name != "host"
    }
    return client.build_request(
        exchange.method,
        f"http://{upstream.host}:{upstream.port}{exchange.target}",
        headers={**kept, **write_facts(facts)},
        content=exchange.body,
        timeout=httpx.Timeout(remaining_s, connect=min(remaining_s, CONNECT_TIMEOUT_S)),
    )


def _judge_head(work: Work, response: httpx.Response) -> Refusal | None:
    """Return why an answer can't be passed on, None when it can."""
    refusal = read_refusal(work.request_id, response.headers)
    if refusal is not None:
        return refusal
    if response.headers.get(REQUEST_ID) != work.request_id:
        return _refuse(work, RefusalReason.ANSWER_MISMATCHED, Execution.MAY_HAVE_RUN)
    return None


def _refuse(work: Work, reason: RefusalReason, execution: Execution) -> Refusal:
    return Refusal(work.request_id, reason, execution)
