"""Tests of health checks of upstreams that are down."""

import anyio
import pytest
from anyio.abc import SocketStream

from tanagercourse.core.ids import UpstreamId
from tanagercourse.gateway.connection_pool import Reuse
from tanagercourse.gateway.headers import MAX_STATED_S
from tanagercourse.routing.fleet import Reachability, UpstreamRecord
from tanagercourse.testing.gateway_harness import (
    MakeGateway,
    MarkDown,
)
from tanagercourse.testing.scripted import (
    ScriptedUpstream,
    encode_get,
    encode_response,
)

pytestmark = pytest.mark.anyio

# How long a test waits for an upstream that must stay down, in seconds.
STAYS_DOWN_S = 1.2


def make_healthy_upstream(headers: bytes) -> ScriptedUpstream:
    """Return an upstream whose responses have the given header lines."""

    async def respond(
        upstream: ScriptedUpstream, stream: SocketStream, request: bytes
    ) -> None:
        extra = b"X-Upstream: u0\r\n" + headers
        await stream.send(encode_response(request, b"whole", extra=extra))

    return ScriptedUpstream("u0", respond)


async def wait_until_up(record: UpstreamRecord) -> None:
    while record.reachability is Reachability.DOWN:
        await anyio.sleep(0.02)


@pytest.mark.parametrize(
    "timeout", [b"9" * 308, b"9" * 400, b"9" * 5000, b"-1", b"1e9", b"\xb2", b""]
)
async def test_number_in_a_health_response_never_ends_the_process(
    make_gateway: MakeGateway,
    mark_down: MarkDown,
    time_limit: anyio.CancelScope,
    timeout: bytes,
) -> None:
    """A Keep-Alive of 400 digits ended the process and all its requests (review/10)."""
    keep_alive = b"Keep-Alive: timeout=" + timeout + b"\r\n"
    gateway = await make_gateway(make_healthy_upstream(keep_alive))
    record = mark_down(gateway, "u0", "/health")
    with time_limit:
        await wait_until_up(record)
    assert record.reachability is Reachability.UP


async def test_error_in_a_probe_fails_that_probe_only(
    make_gateway: MakeGateway, mark_down: MarkDown
) -> None:
    """A health path that HTTP can't carry ended the process."""
    gateway = await make_gateway(make_healthy_upstream(b""))
    record = mark_down(gateway, "u0", "/not a path")
    with anyio.move_on_after(STAYS_DOWN_S):
        await wait_until_up(record)
    assert record.reachability is Reachability.DOWN


@pytest.mark.parametrize("digits", [400, 5000])
async def test_long_idle_time_is_no_failed_request(
    make_gateway: MakeGateway, time_limit: anyio.CancelScope, digits: int
) -> None:
    """The same number in a response to a request answered that request with 502."""
    extra = b"Keep-Alive: timeout=" + b"9" * digits + b"\r\n"
    gateway = await make_gateway(make_healthy_upstream(extra))
    with time_limit:
        response = await gateway.exchange(encode_get())
        pool = gateway.dependencies.pool
        record = gateway.fleet.get(UpstreamId("u0"))
        assert record is not None
        registration = record.registration
        acquired = await pool.acquire(
            "u0", registration.host, registration.port, Reuse.ANY
        )
    assert response.startswith(b"HTTP/1.1 200")
    assert acquired.unwrap().idle_limit_s <= MAX_STATED_S
