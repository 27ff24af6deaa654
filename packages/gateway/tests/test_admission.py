"""Tests of requests that find no free slot, as callers see them."""

from collections.abc import AsyncIterator
from dataclasses import dataclass, field, replace

import anyio
import pytest
from anyio.abc import SocketStream

from tanagercourse.core.ids import ApiKey, TenantId, UpstreamId
from tanagercourse.gateway.forwarding import forward
from tanagercourse.gateway.messages import CallerRequest, Response
from tanagercourse.routing.admission import QueuePosition
from tanagercourse.routing.tenants import Tenant, make_tenant_directory
from tanagercourse.testing.gateway_harness import (
    SERVICE,
    Gateway,
    MakeGateway,
    gateway_factory,
    make_two_route_configuration,
)
from tanagercourse.testing.scripted import (
    HOST,
    ScriptedUpstream,
    encode_response,
    send_complete_response,
)

pytestmark = pytest.mark.anyio


@pytest.fixture
async def make_tenant_gateway(anyio_backend: str) -> AsyncIterator[MakeGateway]:
    tenant = Tenant(TenantId("t1"), rate_per_s=7.0)
    tenants = make_tenant_directory([(tenant, [ApiKey(b"key")])]).unwrap()
    configuration = replace(make_two_route_configuration(), tenants=tenants)
    async with gateway_factory(configuration) as make:
        yield make


def fill_slots(gateway: Gateway, found_slots: int, ahead: int) -> None:
    """Occupy all slots, with a backlog and slots that were found over half a second."""
    now_s = gateway.dependencies.clock()
    queue = gateway.dependencies.wait_queue.queue(SERVICE)
    for record in gateway.fleet:
        record.in_flight = 100
    for _ in range(ahead):
        queue.add(QueuePosition(False, 0, now_s - 0.5), lambda: None, now_s - 0.5)
    for _ in range(found_slots):
        queue.record_slot(QueuePosition(False, 0, now_s), True, now_s)


async def send(gateway: Gateway, deadline_ms: int) -> tuple[Response, float]:
    """Forward a request; return the response and how long it took, in seconds."""
    deps = gateway.dependencies
    headers = (
        (b"Host", HOST),
        (b"Authorization", b"Bearer key"),
        (b"X-Deadline-Ms", str(deadline_ms).encode()),
    )
    started_s = deps.clock()
    request = CallerRequest(b"GET", b"/safe/x", headers, b"", started_s)
    response = await forward(deps, request)
    return response, deps.clock() - started_s


def get_retry_after_s(response: Response) -> float:
    return float(dict(response.headers)[b"Retry-After"])


@pytest.mark.parametrize(
    ("found_slots", "ahead", "is_early"),
    [(10, 40, True), (0, 40, False), (10, 2, False)],
)
async def test_request_is_refused_at_once_only_behind_a_known_backlog(
    make_gateway: MakeGateway, found_slots: int, ahead: int, is_early: bool
) -> None:
    """A request behind 40 others waited until it was late, though slots were few."""
    gateway = await make_gateway(ScriptedUpstream("u0", send_complete_response))
    fill_slots(gateway, found_slots, ahead)
    response, took_s = await send(gateway, 3000)
    assert response.status == 503 and (took_s < 0.1) is is_early
    assert not is_early or get_retry_after_s(response) > 1.5


async def test_request_waits_with_its_tenants_weight(
    make_tenant_gateway: MakeGateway,
) -> None:
    """All tenants got the same share of scarce slots, whatever their rate."""
    gateway = await make_tenant_gateway(ScriptedUpstream("u0", send_complete_response))
    fill_slots(gateway, 0, 0)
    queue = gateway.dependencies.wait_queue.queue(SERVICE)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(send, gateway, 3000)
        await anyio.sleep(0.05)
        (waiting,) = queue.in_order(gateway.dependencies.clock())
        tasks.cancel_scope.cancel()
    assert (waiting.position.tenant, waiting.position.weight) == ("t1", 7.0)


async def test_callers_retry_waits_while_it_can_be_served(
    make_gateway: MakeGateway,
) -> None:
    """A retry was refused for good after 30% of its time, although slots came later."""
    gateway = await make_gateway(ScriptedUpstream("u0", send_complete_response))
    await send(gateway, 3000)
    fill_slots(gateway, 0, 0)

    async def free_slots() -> None:
        await anyio.sleep(0.9)
        for record in gateway.fleet:
            record.in_flight = 0

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(free_slots)
        response, _ = await send(gateway, 2200)
    assert response.status == 200


async def test_waiting_request_that_outlasts_a_shutdown_is_refused(
    make_gateway: MakeGateway,
) -> None:
    """A retry that waits for seconds would be cut off by the exit."""
    gateway = await make_gateway(ScriptedUpstream("u0", send_complete_response))
    gateway.dependencies = replace(
        gateway.dependencies, may_serve=lambda _: next(may_serve)
    )
    may_serve = iter([True, True, False])
    fill_slots(gateway, 0, 0)
    response, took_s = await send(gateway, 3000)
    assert response.status == 503 and took_s < 0.2


async def test_waiting_request_that_a_planned_exit_ends_is_told_that_it_did_not_run(
    make_gateway: MakeGateway,
) -> None:
    gateway = await make_gateway(ScriptedUpstream("u0", send_complete_response))
    fill_slots(gateway, 0, 0)
    await send(gateway, 3000)
    deps, responses = gateway.dependencies, []

    async def wait_for_response() -> None:
        responses.append(await send(gateway, 2200))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(wait_for_response)
        await anyio.sleep(0.1)
        assert deps.scopes.cancel_outlasting(deps.clock()) == 1
    ((response, took_s),) = responses
    assert response.status == 503 and took_s < 0.3
    assert deps.wait_queue.length(SERVICE) == 0


@dataclass
class RefusingUpstreams:
    """Upstreams that refuse each request as not run, until they free a slot.

    Attributes:
        refused: Set when an upstream has refused a request.
    """

    refused: anyio.Event = field(default_factory=anyio.Event)

    async def refuse(
        self, upstream: ScriptedUpstream, stream: SocketStream, request: bytes
    ) -> None:
        self.refused.set()
        status = b"503 Service Unavailable"
        await stream.send(encode_response(request, b"", status, b"X-Not-Run: 1\r\n"))


async def test_request_that_an_upstream_refused_is_refused_in_a_shutdown(
    make_gateway: MakeGateway,
) -> None:
    """It waited for a slot until the exit cut it off without an answer (review/11)."""
    upstreams = RefusingUpstreams()
    gateway = await make_gateway(
        ScriptedUpstream("u0", upstreams.refuse),
        ScriptedUpstream("u1", upstreams.refuse),
    )
    fill_slots(gateway, 0, 0)
    # The caller's retry waits as long as it can be served.
    await send(gateway, 3000)
    record = gateway.fleet.get(UpstreamId("u0"))
    assert record is not None
    record.in_flight = 0
    gateway.dependencies = replace(
        gateway.dependencies, may_serve=lambda _: not upstreams.refused.is_set()
    )
    response, took_s = await send(gateway, 2200)
    assert response.status == 503 and took_s < 0.3
