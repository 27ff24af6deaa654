"""Tests of requests with API keys, as upstreams and callers see them."""

from collections.abc import AsyncIterator
from dataclasses import replace

import anyio
import pytest

from tanagercourse.core.ids import ApiKey, ConfigurationVersion, RegionId, TenantId
from tanagercourse.gateway.forwarding import forward
from tanagercourse.gateway.messages import CallerRequest, Response
from tanagercourse.routing.configuration import Configuration
from tanagercourse.routing.tenants import Tenant, make_tenant_directory
from tanagercourse.testing.gateway_harness import (
    Gateway,
    MakeGateway,
    gateway_factory,
    make_two_route_configuration,
)
from tanagercourse.testing.scripted import (
    HOST,
    ScriptedUpstream,
    send_complete_response,
)

pytestmark = pytest.mark.anyio

KEY = b"0123456789abcdef"


def make_configuration(version: int = 1, *keys: bytes) -> Configuration:
    tenants = make_tenant_directory([(Tenant(TenantId("t1")), map(ApiKey, keys))])
    return replace(
        make_two_route_configuration(),
        version=ConfigurationVersion(version),
        tenants=tenants.unwrap(),
    )


@pytest.fixture
async def make_tenant_gateway(anyio_backend: str) -> AsyncIterator[MakeGateway]:
    async with gateway_factory(make_configuration(1, KEY)) as make:
        yield make


def encode_request(*headers: bytes, path: bytes = b"/safe/x") -> bytes:
    lines = (b"GET " + path + b" HTTP/1.1", b"Host: " + HOST, b"X-Id: i1", *headers)
    return b"\r\n".join(lines) + b"\r\n\r\n"


async def test_upstream_gets_the_tenant_and_never_the_key(
    make_tenant_gateway: MakeGateway,
) -> None:
    upstream = ScriptedUpstream("u0", send_complete_response)
    gateway = await make_tenant_gateway(upstream)
    response = await gateway.exchange(
        encode_request(b"Authorization: Bearer " + KEY, b"X-Tenant: forged")
    )
    assert response.startswith(b"HTTP/1.1 200")
    (received,) = upstream.requests
    assert KEY not in received and b"forged" not in received
    assert received.lower().count(b"x-tenant: t1") == 1


@pytest.mark.parametrize(
    "headers",
    [
        (),
        (b"Authorization: Bearer unknown",),
        (b"Authorization: Bearer",),
        (b"Authorization: Basic " + KEY,),
        (b"Authorization: Bearer " + KEY + b" " + KEY,),
        (b"Authorization: Bearer " + KEY, b"Authorization: Bearer other"),
        (b"Authorization: Bearer " + b"k" * 3000,),
    ],
)
async def test_request_without_a_known_key_is_refused(
    make_tenant_gateway: MakeGateway, headers: tuple[bytes, ...]
) -> None:
    upstream = ScriptedUpstream("u0", send_complete_response)
    gateway = await make_tenant_gateway(upstream)
    response = await gateway.exchange(encode_request(*headers))
    assert response.startswith(b"HTTP/1.1 401") and not upstream.requests


async def test_unknown_route_is_refused_with_404_whatever_the_key(
    make_tenant_gateway: MakeGateway,
) -> None:
    gateway = await make_tenant_gateway(ScriptedUpstream("u0", send_complete_response))
    response = await gateway.exchange(encode_request(path=b"/none/"))
    assert response.startswith(b"HTTP/1.1 404")


async def test_headers_are_passed_on_where_no_key_is_needed(
    make_gateway: MakeGateway,
) -> None:
    upstream = ScriptedUpstream("u0", send_complete_response)
    gateway = await make_gateway(upstream)
    await gateway.exchange(encode_request(b"Authorization: Basic xyz"))
    assert b"Basic xyz" in upstream.requests[0]


async def refuse_after_change(
    gateway: Gateway,
    before: Configuration,
    after: Configuration,
    *headers: tuple[bytes, bytes],
) -> Response:
    """Forward a request that waits for an upstream while the configuration changes."""
    active = [before]
    deps = replace(gateway.dependencies, configuration=lambda: active[0])
    for record in gateway.fleet:
        record.in_flight = 100
    own = ((b"Host", HOST), (b"Authorization", b"Bearer " + KEY))
    request = CallerRequest(b"GET", b"/safe/x", (*own, *headers), b"", deps.clock())
    responses: list[Response] = []

    async def run() -> None:
        responses.append(await forward(deps, request))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(run)
        await anyio.sleep(0.05)
        active[0] = after
        for record in gateway.fleet:
            record.in_flight = 0
    return responses[0]


async def test_key_that_is_removed_while_a_request_waits_is_refused(
    make_tenant_gateway: MakeGateway,
) -> None:
    upstream = ScriptedUpstream("u0", send_complete_response)
    gateway = await make_tenant_gateway(upstream)
    response = await refuse_after_change(
        gateway, make_configuration(1, KEY), make_configuration(2, b"other")
    )
    assert response.status == 401 and not upstream.requests


async def test_request_that_waits_outlives_an_unrelated_change(
    make_tenant_gateway: MakeGateway,
) -> None:
    gateway = await make_tenant_gateway(ScriptedUpstream("u0", send_complete_response))
    response = await refuse_after_change(
        gateway, make_configuration(1, KEY), make_configuration(2, KEY, b"other")
    )
    assert response.status == 200


async def test_key_is_dropped_if_tenants_appear_while_its_request_waits(
    make_tenant_gateway: MakeGateway,
) -> None:
    """The key went to the upstream, with the name of a tenant that the caller chose."""
    upstream = ScriptedUpstream("u0", send_complete_response)
    gateway = await make_tenant_gateway(upstream)
    response = await refuse_after_change(
        gateway,
        make_two_route_configuration(),
        make_configuration(2, KEY),
        (b"X-Tenant", b"forged"),
    )
    (received,) = upstream.requests
    assert response.status == 200 and KEY not in received and b"forged" not in received


async def test_waiting_request_is_not_sent_outside_new_home_regions(
    make_tenant_gateway: MakeGateway,
) -> None:
    """A route's new home regions did not bind the requests that waited."""
    upstream = ScriptedUpstream("u0", send_complete_response)
    gateway = await make_tenant_gateway(upstream)
    after = make_configuration(2, KEY)
    elsewhere = frozenset({RegionId("elsewhere")})
    (routes,) = after.hosts.values()
    restricted = tuple(replace(route, home_regions=elsewhere) for route in routes)
    response = await refuse_after_change(
        gateway,
        make_configuration(1, KEY),
        replace(after, hosts={HOST: restricted}),
    )
    assert response.status == 503 and not upstream.requests
