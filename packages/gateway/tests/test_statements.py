"""Tests of what upstreams say of themselves in responses.

An upstream that leaves says so in its responses; requests still reached it while its
registration said that it was ready (DRAIN). An upstream that turns a request away may
say for how long it wants none; it got more in that time (BUDGET).
"""

import re
from collections.abc import Callable
from dataclasses import replace

import anyio
import pytest
from anyio.abc import SocketStream, TaskGroup

from tanagercourse.core.ids import UpstreamId
from tanagercourse.gateway.messages import Response
from tanagercourse.gateway.probing import ProbingDependencies, make_down_handler
from tanagercourse.gateway.statements import read_pause, says_leaving
from tanagercourse.routing.fleet import Duty, Reachability, UpstreamRecord
from tanagercourse.testing.gateway_harness import (
    TEST_HEADER_NAMES,
    Gateway,
    MakeGateway,
    make_registration,
)
from tanagercourse.testing.scripted import (
    Script,
    ScriptedUpstream,
    encode_get,
    encode_post,
    encode_response,
)

pytestmark = pytest.mark.anyio

LEAVING = b"X-Leaving: 1\r\n"
NOT_RUN = b"X-Not-Run: 1\r\n"


def make_upstream(
    status: bytes = b"200 OK", extra: bytes = b"", name: str = "u0"
) -> ScriptedUpstream:
    """Return an upstream that gives the same response to every request."""

    async def respond(
        upstream: ScriptedUpstream, stream: SocketStream, request: bytes
    ) -> None:
        await stream.send(encode_response(request, b"body", status, extra))

    return ScriptedUpstream(name, respond)


PAUSE = b"Retry-After: 3.5\r\n"


def get_retry_after_s(response: bytes) -> float:
    """Return the Retry-After of a refusal."""
    assert response.startswith(b"HTTP/1.1 503")
    (value,) = re.findall(rb"Retry-After: ([0-9.]+)\r\n", response)
    return float(value)


def get_record(gateway: Gateway, name: str = "u0") -> UpstreamRecord:
    record = gateway.fleet.get(UpstreamId(name))
    assert record is not None
    return record


def make_probing(gateway: Gateway, tasks: TaskGroup) -> ProbingDependencies:
    forwarding = gateway.dependencies
    return ProbingDependencies(
        TEST_HEADER_NAMES,
        gateway.fleet,
        forwarding.pool,
        lambda service: "/health",
        forwarding.clock,
        forwarding.record_statements,
        forwarding.log,
        tasks,
    )


@pytest.mark.parametrize(
    ("status", "extra"),
    [
        (b"200 OK", LEAVING),
        (b"404 Not Found", LEAVING),
        (b"500 Error", LEAVING),
        (b"503 Unavailable", LEAVING + NOT_RUN),
    ],
)
async def test_upstream_that_says_it_leaves_gets_no_further_request(
    make_gateway: MakeGateway,
    time_limit: anyio.CancelScope,
    status: bytes,
    extra: bytes,
) -> None:
    upstream = make_upstream(status, extra)
    gateway = await make_gateway(upstream)
    with time_limit:
        first = await gateway.exchange(encode_post(b"order"))
        second = await gateway.exchange(encode_post(b"order"))
    assert len(upstream.requests) == 1 and b"X-Leaving" not in first
    assert second.startswith(b"HTTP/1.1 503") and b"Retry-After" in second


async def test_requests_move_on_to_the_upstream_that_stays(
    make_gateway: MakeGateway, time_limit: anyio.CancelScope
) -> None:
    leaving, staying = make_upstream(extra=LEAVING), make_upstream(name="u1")
    gateway = await make_gateway(leaving, staying)
    with time_limit:
        for number in range(12):
            target = b"/safe/%d" % number
            response = await gateway.exchange(encode_get(target))
            assert response.startswith(b"HTTP/1.1 200")
    assert len(leaving.requests) <= 1 and len(staying.requests) >= 11


@pytest.mark.parametrize(
    "change",
    [
        lambda registration: registration,
        lambda registration: replace(registration, slots=4),
        lambda registration: replace(registration, duty=Duty.DRAINING),
        lambda registration: replace(registration, port=9),
    ],
)
async def test_no_registration_of_the_same_lifetime_brings_it_back(
    make_gateway: MakeGateway,
    time_limit: anyio.CancelScope,
    change: Callable[..., object],
) -> None:
    """A listing after an outage, or a relay that lags, still calls it ready."""
    upstream = make_upstream(extra=LEAVING)
    gateway = await make_gateway(upstream)
    registration = make_registration(upstream)
    with time_limit:
        await gateway.exchange(encode_post(b"order"))
    gateway.fleet.put(change(registration), 0.0)  # type: ignore[arg-type]
    gateway.fleet.remove(registration.upstream)
    gateway.fleet.put(registration, 0.0)
    assert list(gateway.fleet.serving(registration.service)) == []


@pytest.mark.parametrize(
    "change", [{"upstream": UpstreamId("u1")}, {"started_unix_ms": 2}]
)
async def test_new_lifetime_at_the_same_address_is_not_bound(
    make_gateway: MakeGateway,
    time_limit: anyio.CancelScope,
    change: dict[str, object],
) -> None:
    upstream = make_upstream(extra=LEAVING)
    gateway = await make_gateway(upstream)
    with time_limit:
        await gateway.exchange(encode_post(b"order"))
    registration = replace(make_registration(upstream), **change)  # type: ignore[arg-type]
    gateway.fleet.put(registration, 0.0)
    assert len(list(gateway.fleet.serving(registration.service))) == 1


@pytest.mark.parametrize(
    ("fields", "is_leaving"),
    [
        ([b"1"], True),
        ([b" 1 "], True),
        ([b"1", b"1"], True),
        ([b"1, 1"], True),
        ([], False),
        ([b""], False),
        ([b"0"], False),
        ([b"true"], False),
        ([b"1", b"0"], False),
        ([b"1,"], False),
    ],
)
def test_only_the_value_1_says_that_an_upstream_leaves(
    fields: list[bytes], is_leaving: bool
) -> None:
    headers = tuple((b"x-leaving", field) for field in fields)
    assert says_leaving(TEST_HEADER_NAMES, headers) is is_leaving


async def copies_another_response(
    upstream: ScriptedUpstream, stream: SocketStream, request: bytes
) -> None:
    other = encode_response(b"X-Id: other\r\n", b"", extra=LEAVING)
    await stream.send(other + encode_response(request))


async def cuts_off_in_the_head(
    upstream: ScriptedUpstream, stream: SocketStream, request: bytes
) -> None:
    response = encode_response(request, extra=LEAVING)
    await stream.send(response[: response.index(b"\r\n\r\n")])
    await stream.aclose()


async def cuts_off_in_the_body(
    upstream: ScriptedUpstream, stream: SocketStream, request: bytes
) -> None:
    await stream.send(encode_response(request, extra=LEAVING)[:-1])
    await stream.aclose()


async def answers_for_another_upstream(
    upstream: ScriptedUpstream, stream: SocketStream, request: bytes
) -> None:
    await stream.send(encode_response(request, b"", b"421 Misdirected", LEAVING))


@pytest.mark.parametrize(
    "script",
    [
        copies_another_response,
        cuts_off_in_the_head,
        cuts_off_in_the_body,
        answers_for_another_upstream,
    ],
)
async def test_only_a_complete_response_of_the_upstream_is_believed(
    make_gateway: MakeGateway, time_limit: anyio.CancelScope, script: Script
) -> None:
    gateway = await make_gateway(ScriptedUpstream("u0", script))
    with time_limit:
        await gateway.exchange(encode_post(b"order"))
    assert not get_record(gateway).statements.is_leaving


async def test_kept_connection_to_an_upstream_that_leaves_is_closed(
    make_gateway: MakeGateway, time_limit: anyio.CancelScope
) -> None:
    upstream = make_upstream(extra=LEAVING)
    gateway = await make_gateway(upstream)
    with time_limit:
        await gateway.exchange(encode_get())
        await upstream.closed_by_gateway.wait()


@pytest.mark.parametrize("upstream_id", ["u0", "u1"])
async def test_health_check_ends_for_an_upstream_that_says_there_that_it_leaves(
    make_gateway: MakeGateway, time_limit: anyio.CancelScope, upstream_id: str
) -> None:
    id_header = b"X-Upstream: %s\r\n" % upstream_id.encode()
    upstream = make_upstream(b"503 Unavailable", LEAVING + id_header)
    gateway = await make_gateway(upstream)
    record = get_record(gateway)
    async with anyio.create_task_group() as tasks:
        make_down_handler(make_probing(gateway, tasks))(record, "for a test")
        with time_limit:
            while not upstream.requests:
                await anyio.sleep(0.01)
            await anyio.sleep(1.0)
        tasks.cancel_scope.cancel()
    assert record.statements.is_leaving is (upstream_id == "u0")
    assert (len(upstream.requests) == 1) is (upstream_id == "u0")
    assert record.reachability is Reachability.DOWN


@pytest.mark.parametrize("extra", [PAUSE, PAUSE + NOT_RUN])
async def test_upstream_that_wants_no_requests_for_a_time_gets_none(
    make_gateway: MakeGateway, time_limit: anyio.CancelScope, extra: bytes
) -> None:
    """Whether the request that it turned away ran or not."""
    upstream = make_upstream(b"503 Unavailable", extra)
    gateway = await make_gateway(upstream)
    with time_limit:
        await gateway.exchange(encode_post(b"order"))
        for _ in range(5):
            response = await gateway.exchange(encode_get())
            assert 3.0 < get_retry_after_s(response) < 3.9
    assert len(upstream.requests) == 1


async def test_caller_learns_when_the_first_upstream_wants_requests_again(
    make_gateway: MakeGateway, time_limit: anyio.CancelScope
) -> None:
    """A caller is told no time beyond its own deadline, which is 1 s here."""
    gateway = await make_gateway(make_upstream(), make_upstream(name="u1"))
    now_s = gateway.dependencies.clock()
    gateway.fleet.pause(get_record(gateway, "u0"), now_s + 60.0)
    gateway.fleet.pause(get_record(gateway, "u1"), now_s + 2.0)
    with time_limit:
        first = await gateway.exchange(encode_get())
        second = await gateway.exchange(encode_get(extra=b"X-Deadline-Ms: 1000\r\n"))
    assert 1.5 < get_retry_after_s(first) < 2.4
    assert get_retry_after_s(second) <= 1.4


async def test_upstream_gets_requests_again_after_its_pause(
    make_gateway: MakeGateway, time_limit: anyio.CancelScope
) -> None:
    upstream = make_upstream()
    gateway = await make_gateway(upstream)
    clock = gateway.dependencies.clock
    gateway.fleet.pause(get_record(gateway), clock() + 0.2)
    with time_limit:
        refused = await gateway.exchange(encode_get())
        while get_record(gateway).is_paused(clock()):
            await anyio.sleep(0.01)
        served = await gateway.exchange(encode_get())
    assert refused.startswith(b"HTTP/1.1 503") and served.startswith(b"HTTP/1.1 200")


async def test_requests_go_to_the_upstream_that_is_not_paused(
    make_gateway: MakeGateway, time_limit: anyio.CancelScope
) -> None:
    """Also those for objects whose owner the paused upstream is."""
    paused = make_upstream(b"503 Unavailable", PAUSE + NOT_RUN)
    other = make_upstream(name="u1")
    gateway = await make_gateway(paused, other)
    with time_limit:
        for number in range(12):
            cookie = b"Cookie: object=%d\r\n" % number
            response = await gateway.exchange(encode_get(extra=cookie))
            assert response.startswith(b"HTTP/1.1 200")
    assert len(paused.requests) <= 1


async def test_registrations_do_not_end_a_pause(make_gateway: MakeGateway) -> None:
    upstream = make_upstream()
    gateway = await make_gateway(upstream)
    registration, now_s = make_registration(upstream), gateway.dependencies.clock()
    gateway.fleet.pause(get_record(gateway), now_s + 5.0)
    gateway.fleet.pause(get_record(gateway), now_s + 1.0)
    assert get_record(gateway).is_paused(now_s + 4.9)
    gateway.fleet.put(replace(registration, slots=4), now_s)
    assert get_record(gateway).is_paused(now_s + 4.9)
    gateway.fleet.remove(registration.upstream)
    gateway.fleet.put(registration, now_s)
    assert get_record(gateway).is_paused(now_s + 4.9)
    gateway.fleet.put(replace(registration, started_unix_ms=2), now_s)
    gateway.fleet.put(replace(registration, upstream=UpstreamId("u1")), now_s)
    assert not get_record(gateway).is_paused(now_s)
    assert not get_record(gateway, "u1").is_paused(now_s)


async def test_paused_upstream_gets_no_health_check(
    make_gateway: MakeGateway, time_limit: anyio.CancelScope
) -> None:
    upstream = make_upstream(extra=b"X-Upstream: u0\r\n")
    gateway = await make_gateway(upstream)
    record, clock = get_record(gateway), gateway.dependencies.clock
    gateway.fleet.pause(record, clock() + 1.0)
    async with anyio.create_task_group() as tasks:
        make_down_handler(make_probing(gateway, tasks))(record, "for a test")
        with time_limit:
            while record.reachability is Reachability.DOWN:
                assert not upstream.requests or not record.is_paused(clock())
                await anyio.sleep(0.01)
        tasks.cancel_scope.cancel()
    assert len(upstream.requests) == 1


@pytest.mark.parametrize(
    ("status", "fields", "pause_s"),
    [
        (503, [b"2"], 2.0),
        (503, [b" 0.25 "], 0.25),
        (503, [b"0"], 0.0),
        (503, [b"1", b"3"], 3.0),
        (503, [b"soon", b"3"], 3.0),
        (503, [b"1e400"], None),
        (503, [b"9" * 400], 86_400.0),
        (503, [b"9" * 9000], 86_400.0),
        (503, [b"-1"], None),
        (503, [b""], None),
        (503, [b"nan"], None),
        (503, [b"inf"], None),
        (503, [b"Fri, 04 Dec 2026 12:00:00 GMT"], None),
        (503, [b"\xff"], None),
        (503, [], None),
        (429, [b"2"], None),
        (500, [b"2"], None),
        (200, [b"2"], None),
    ],
)
def test_meaning_of_retry_after(
    status: int, fields: list[bytes], pause_s: float | None
) -> None:
    headers = tuple((b"Retry-After", field) for field in fields)
    assert read_pause(Response(status, b"", headers, b"")) == pause_s
