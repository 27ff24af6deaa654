"""Tests of quotas as callers and upstreams see them."""

from collections.abc import AsyncIterator
from dataclasses import replace

import anyio
import pytest
from anyio.abc import SocketStream
from returns.result import Failure, Result, Success

from tanagercourse.core.ids import ApiKey, TenantId
from tanagercourse.gateway.connection_pool import Reuse
from tanagercourse.gateway.connections import HttpConnection
from tanagercourse.gateway.forwarding import forward
from tanagercourse.gateway.messages import CallerRequest, NotSent, Response
from tanagercourse.gateway.request_state import ForwardingDependencies
from tanagercourse.quota.tokens import QuotaAccess, QuotaExceeded, QuotaToken
from tanagercourse.routing.tenants import Tenant, make_tenant_directory
from tanagercourse.testing.gateway_harness import (
    MakeGateway,
    gateway_factory,
    make_two_route_configuration,
)
from tanagercourse.testing.scripted import (
    HOST,
    Script,
    ScriptedUpstream,
    send_complete_response,
)

pytestmark = pytest.mark.anyio

LIMITED, UNLIMITED = TenantId("limited"), TenantId("unlimited")


class Tokens:
    """A number of tokens, and what was done with them."""

    def __init__(self, count: int, wait_s: float = 0.0) -> None:
        self.count, self.wait_s = count, wait_s
        self.acquired: list[TenantId] = []
        self.returned = 0
        self.expired: set[QuotaToken] = set()

    async def acquire(self, tenant: TenantId) -> Result[QuotaToken, QuotaExceeded]:
        await anyio.sleep(self.wait_s)
        if self.count == 0:
            return Failure(QuotaExceeded(tenant, 0.4))
        self.count -= 1
        self.acquired.append(tenant)
        return Success(QuotaToken(tenant, float(len(self.acquired))))

    def give_back(self, token: QuotaToken) -> None:
        self.returned += 1

    def use_in(self, deps: ForwardingDependencies) -> ForwardingDependencies:
        access = QuotaAccess(
            self.acquire, lambda token: token not in self.expired, self.give_back
        )
        return replace(deps, quota=access)


@pytest.fixture
async def make_quota_gateway(anyio_backend: str) -> AsyncIterator[MakeGateway]:
    tenants = [
        (Tenant(LIMITED, rate_per_s=5.0), [ApiKey(b"limited-key")]),
        (Tenant(UNLIMITED), [ApiKey(b"unlimited-key")]),
    ]
    configuration = replace(
        make_two_route_configuration(),
        tenants=make_tenant_directory(tenants).unwrap(),
    )
    async with gateway_factory(configuration) as make:
        yield make


def make_request(deps: ForwardingDependencies, key: bytes) -> CallerRequest:
    headers = ((b"Host", HOST), (b"X-Id", b"i1"), (b"Authorization", b"Bearer " + key))
    return CallerRequest(b"GET", b"/safe/x", headers, b"", deps.clock())


async def send(
    make: MakeGateway, tokens: Tokens, key: bytes, *scripts: Script
) -> Response:
    upstreams = [ScriptedUpstream(f"u{i}", s) for i, s in enumerate(scripts)]
    gateway = await make(*upstreams)
    deps = tokens.use_in(gateway.dependencies)
    return await forward(deps, make_request(deps, key))


async def test_request_without_a_token_is_refused_with_429(
    make_quota_gateway: MakeGateway,
) -> None:
    """Guards against requests above the limit that run, or that get no Retry-After."""
    response = await send(
        make_quota_gateway, Tokens(0), b"limited-key", send_complete_response
    )
    assert response.status == 429
    retry_after_s = float(dict(response.headers)[b"Retry-After"])
    assert 0.3 <= retry_after_s <= 0.8


async def test_request_takes_one_token_and_keeps_it_if_it_ran(
    make_quota_gateway: MakeGateway,
) -> None:
    """Guards against requests that take no token, or return one that they used."""
    tokens = Tokens(5, wait_s=0.05)
    response = await send(
        make_quota_gateway, tokens, b"limited-key", send_complete_response
    )
    assert response.status == 200
    assert (tokens.acquired, tokens.returned) == ([LIMITED], 0)


async def test_tenant_without_a_limit_takes_no_token(
    make_quota_gateway: MakeGateway,
) -> None:
    """Guards against costs for tenants without a limit."""
    tokens = Tokens(0)
    response = await send(
        make_quota_gateway, tokens, b"unlimited-key", send_complete_response
    )
    assert (response.status, tokens.acquired) == (200, [])


async def shed(upstream: ScriptedUpstream, stream: SocketStream, _: bytes) -> None:
    await stream.send(
        b"HTTP/1.1 503 x\r\nX-Id: i1\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
    )


async def test_token_of_a_request_that_did_not_run_is_returned(
    make_quota_gateway: MakeGateway,
) -> None:
    """Guards against tokens lost to requests that no upstream accepts."""
    tokens = Tokens(5)
    response = await send(make_quota_gateway, tokens, b"limited-key", shed, shed)
    assert response.status == 503
    assert (len(tokens.acquired), tokens.returned) == (1, 1)


async def test_expired_token_is_replaced_before_a_request_is_sent_again(
    make_quota_gateway: MakeGateway,
) -> None:
    """Guards against a token that is used after the window that it was granted for."""
    tokens = Tokens(5)

    async def shed_late(
        upstream: ScriptedUpstream, stream: SocketStream, request: bytes
    ) -> None:
        tokens.expired.add(QuotaToken(LIMITED, 1.0))
        await shed(upstream, stream, request)

    response = await send(
        make_quota_gateway, tokens, b"limited-key", shed_late, shed_late
    )
    assert response.status == 503
    assert (len(tokens.acquired), tokens.returned) == (2, 2)


async def test_token_that_expires_while_a_connection_opens_is_replaced(
    make_quota_gateway: MakeGateway, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a request that runs in a later window than its token's."""
    tokens = Tokens(5)
    upstream = ScriptedUpstream("u0", send_complete_response)
    gateway = await make_quota_gateway(upstream)
    deps = tokens.use_in(gateway.dependencies)
    acquire = deps.pool.acquire
    opened: list[HttpConnection] = []

    async def acquire_slowly(
        destination: str, host: str, port: int, reuse: Reuse
    ) -> Result[HttpConnection, NotSent]:
        acquired = await acquire(destination, host, port, reuse)
        tokens.expired.add(QuotaToken(LIMITED, 1.0))
        opened.append(acquired.unwrap())
        return acquired

    monkeypatch.setattr(deps.pool, "acquire", acquire_slowly)
    response = await forward(deps, make_request(deps, b"limited-key"))
    assert (response.status, len(upstream.requests)) == (200, 1)
    assert (len(tokens.acquired), tokens.returned) == (2, 1)
    assert opened[0] is opened[1]


@pytest.mark.parametrize("key", [b"limited-key", b"unlimited-key"])
async def test_slow_processor_doesnt_keep_a_request_from_being_sent(
    make_quota_gateway: MakeGateway, key: bytes
) -> None:
    """Guards against a loop without a wait where one choice takes many milliseconds."""
    upstream = ScriptedUpstream("u0", send_complete_response)
    gateway = await make_quota_gateway(upstream)
    deps, reads = Tokens(5).use_in(gateway.dependencies), 0

    def read_slow_clock() -> float:
        nonlocal reads
        reads += 1
        assert reads < 200
        return gateway.dependencies.clock() + 0.01 * reads

    slow_deps = replace(deps, clock=read_slow_clock)
    response = await forward(slow_deps, make_request(slow_deps, key))
    assert response.status == 200
