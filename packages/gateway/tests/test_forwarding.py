"""Tests of forwarded requests over real connections of callers and upstreams."""

import time

import anyio
import pytest
from anyio.abc import SocketStream

from tanagercourse.core.ids import UpstreamId
from tanagercourse.gateway.connections import OpenReason
from tanagercourse.routing.fleet import REPORT_WEIGHT
from tanagercourse.testing.gateway_harness import MakeGateway, make_registration
from tanagercourse.testing.scripted import (
    Script,
    ScriptedUpstream,
    encode_get,
    encode_post,
    encode_response,
    read_request_id,
    read_response,
    reset_connection,
    send_complete_response,
)

pytestmark = pytest.mark.anyio

REFUSAL_WITHOUT_ID = (
    b"HTTP/1.1 503 Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
)


async def resets_connection(
    upstream: ScriptedUpstream, stream: SocketStream, request: bytes
) -> None:
    await reset_connection(stream)


async def truncates_response(
    upstream: ScriptedUpstream, stream: SocketStream, request: bytes
) -> None:
    await stream.send(encode_response(request)[:-2])
    await stream.aclose()


async def sends_malformed_response(
    upstream: ScriptedUpstream, stream: SocketStream, request: bytes
) -> None:
    await stream.send(b"\x00\x01 no response\r\n\r\n")
    await stream.aclose()


def make_status_script(status: bytes) -> Script:
    """Return a script that sends complete responses with a status."""

    async def respond(
        upstream: ScriptedUpstream, stream: SocketStream, request: bytes
    ) -> None:
        await stream.send(encode_response(request, status=status + b" Odd"))

    return respond


async def sheds_request(
    upstream: ScriptedUpstream, stream: SocketStream, request: bytes
) -> None:
    not_run = b"X-Not-Run: 1\r\n"
    await stream.send(encode_response(request, b"", b"503 Unavailable", not_run))


async def returns_server_error(
    upstream: ScriptedUpstream, stream: SocketStream, request: bytes
) -> None:
    await stream.send(
        encode_response(request, b"broken", b"500 Error", b"X-Sig: s\r\n")
    )


async def never_responds(
    upstream: ScriptedUpstream, stream: SocketStream, request: bytes
) -> None:
    await stream.receive()


def make_upstream_pair(
    first_script: Script, second_script: Script = send_complete_response
) -> tuple[ScriptedUpstream, ScriptedUpstream]:
    """Return two upstreams; only the first request to either runs the first script."""
    requested_names: list[str] = []

    async def run_script(
        upstream: ScriptedUpstream, stream: SocketStream, request: bytes
    ) -> None:
        requested_names.append(upstream.name)
        await (first_script if len(requested_names) == 1 else second_script)(
            upstream, stream, request
        )

    return ScriptedUpstream("u0", run_script), ScriptedUpstream("u1", run_script)


def get_status(response: bytes) -> int:
    return int(response.split(b" ", 2)[1])


async def test_response_cut_off_in_its_head_is_no_answer(
    make_gateway: MakeGateway, time_limit: anyio.CancelScope
) -> None:
    """Callers got a 200 with an empty or short body, framed as whole (MIXED, ORDER)."""
    cut_at = 0

    async def cuts_head(
        upstream: ScriptedUpstream, stream: SocketStream, request: bytes
    ) -> None:
        response = encode_response(request, b"body", extra=b"X-Sig: 7\r\n")
        await stream.send(response[:cut_at])
        await stream.aclose()

    gateway = await make_gateway(ScriptedUpstream("u0", cuts_head))
    whole = encode_response(encode_post(b"order"), b"body", extra=b"X-Sig: 7\r\n")
    head_length = whole.index(b"\r\n\r\n") + 4
    with time_limit:
        for cut_at in range(head_length):
            response = await gateway.exchange(encode_post(b"order"))
            assert response.startswith(b"HTTP/1.1 502"), cut_at


async def test_response_is_forwarded_unchanged_without_connection_headers(
    make_gateway: MakeGateway, time_limit: anyio.CancelScope
) -> None:
    async def sends_extra_headers(
        upstream: ScriptedUpstream, stream: SocketStream, request: bytes
    ) -> None:
        signature = b"X-Sig: 7\r\nConnection: close\r\n"
        await stream.send(encode_response(request, b"body", b"203 Other", signature))
        await stream.aclose()

    gateway = await make_gateway(ScriptedUpstream("u0", sends_extra_headers))
    with time_limit:
        response = await gateway.exchange(encode_get(extra=b"X-Kept: v\r\n"))
    assert response.startswith(b"HTTP/1.1 203 Other\r\n")
    assert b"X-Sig: 7\r\n" in response and response.endswith(b"\r\n\r\nbody")
    assert b"close" not in response


async def test_request_is_forwarded_with_deadline_and_expected_upstream(
    make_gateway: MakeGateway, time_limit: anyio.CancelScope
) -> None:
    upstream = ScriptedUpstream("u0", send_complete_response)
    extra = b"X-Kept: v\r\nX-Deadline-Ms: 2000\r\nX-Expected: forged\r\n"
    gateway = await make_gateway(upstream)
    with time_limit:
        await gateway.exchange(encode_post(b"bytes", extra=extra))
    head, _, body = upstream.requests[0].partition(b"\r\n\r\n")
    lines = head.split(b"\r\n")
    assert lines[0] == b"POST /once/x HTTP/1.1" and body == b"bytes"
    assert b"X-Kept: v" in lines and b"X-Id: r1" in lines
    assert b"X-Expected: u0" in lines and b"forged" not in head
    deadline = next(line for line in lines if line.startswith(b"X-Deadline-Ms:"))
    assert 0 < int(deadline.split(b":")[1]) <= 2000


async def test_chunked_body_is_forwarded_with_content_length(
    make_gateway: MakeGateway, time_limit: anyio.CancelScope
) -> None:
    upstream = ScriptedUpstream("u0", send_complete_response)
    head = encode_get(b"/once/x", extra=b"Transfer-Encoding: chunked\r\n")
    request = head.replace(b"GET", b"POST") + b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
    gateway = await make_gateway(upstream)
    with time_limit:
        assert get_status(await gateway.exchange(request)) == 200
    assert upstream.requests[0].endswith(b"\r\n\r\nabcde")
    assert b"chunked" not in upstream.requests[0]


async def test_request_embedded_in_a_body_does_not_run(
    make_gateway: MakeGateway, time_limit: anyio.CancelScope
) -> None:
    upstream = ScriptedUpstream("u0", send_complete_response)
    embedded_request = encode_get(request_id=b"hidden")
    gateway = await make_gateway(upstream)
    with time_limit:
        await gateway.exchange(encode_post(embedded_request))
    assert [read_request_id(request) for request in upstream.requests] == [b"r1"]


@pytest.mark.parametrize(
    "failing_script",
    [
        resets_connection,
        truncates_response,
        sends_malformed_response,
        returns_server_error,
        sheds_request,
    ],
)
async def test_idempotent_request_is_retried(
    make_gateway: MakeGateway, time_limit: anyio.CancelScope, failing_script: Script
) -> None:
    gateway = await make_gateway(*make_upstream_pair(failing_script))
    with time_limit:
        response = await gateway.exchange(encode_get())
    assert get_status(response) == 200


@pytest.mark.parametrize(
    ("failing_script", "status"),
    [
        (resets_connection, 502),
        (truncates_response, 502),
        (sends_malformed_response, 502),
        (returns_server_error, 500),
    ],
)
async def test_non_idempotent_request_that_may_have_run_is_never_retried(
    make_gateway: MakeGateway,
    time_limit: anyio.CancelScope,
    failing_script: Script,
    status: int,
) -> None:
    upstreams = make_upstream_pair(failing_script)
    gateway = await make_gateway(*upstreams)
    with time_limit:
        response = await gateway.exchange(encode_post(b"order"))
    assert get_status(response) == status
    assert sum(len(upstream.requests) for upstream in upstreams) == 1


async def test_non_idempotent_request_that_did_not_run_is_retried(
    make_gateway: MakeGateway, time_limit: anyio.CancelScope
) -> None:
    upstreams = make_upstream_pair(sheds_request)
    gateway = await make_gateway(*upstreams)
    with time_limit:
        response = await gateway.exchange(encode_post(b"order"))
    assert get_status(response) == 200
    assert [len(upstream.requests) for upstream in upstreams] == [1, 1]


async def test_request_shed_by_all_upstreams_is_refused_as_not_run(
    make_gateway: MakeGateway, time_limit: anyio.CancelScope
) -> None:
    gateway = await make_gateway(*make_upstream_pair(sheds_request, sheds_request))
    with time_limit:
        response = await gateway.exchange(encode_post(b"order"))
    assert get_status(response) == 503 and b"Retry-After: 0." in response


async def test_request_that_may_have_run_is_never_refused_as_not_run(
    make_gateway: MakeGateway, time_limit: anyio.CancelScope
) -> None:
    gateway = await make_gateway(*make_upstream_pair(resets_connection, sheds_request))
    with time_limit:
        response = await gateway.exchange(encode_get())
    assert get_status(response) == 502 and b"Retry-After" not in response


async def test_server_error_of_all_upstreams_is_forwarded_unchanged(
    make_gateway: MakeGateway, time_limit: anyio.CancelScope
) -> None:
    gateway = await make_gateway(
        *make_upstream_pair(returns_server_error, returns_server_error)
    )
    with time_limit:
        response = await gateway.exchange(encode_get())
    assert get_status(response) == 500
    assert b"X-Sig: s" in response and response.endswith(b"broken")


async def test_upstream_is_marked_down_if_its_connection_fails(
    make_gateway: MakeGateway, time_limit: anyio.CancelScope
) -> None:
    upstream = ScriptedUpstream("u0", send_complete_response)
    gateway = await make_gateway(upstream)
    with time_limit:
        record = next(iter(gateway.fleet))
        registration = record.registration
        record.registration = type(registration)(**{**vars(registration), "port": 1})
        response = await gateway.exchange(encode_post(b"order"))
    assert get_status(response) == 503 and gateway.down_upstreams == ["u0"]


async def test_retries_stop_when_the_budget_is_exhausted(
    make_gateway: MakeGateway, time_limit: anyio.CancelScope
) -> None:
    upstreams = make_upstream_pair(resets_connection, resets_connection)
    gateway = await make_gateway(*upstreams, slack=0.0)
    with time_limit:
        responses = [
            await gateway.exchange(encode_get(request_id=b"%d" % n)) for n in range(4)
        ]
    assert [get_status(response) for response in responses] == [502] * 4
    assert sum(len(upstream.requests) for upstream in upstreams) == 4


@pytest.mark.parametrize("sent_bytes", ["one response", "two responses"])
async def test_bytes_after_a_response_are_not_matched_to_a_later_request(
    make_gateway: MakeGateway, time_limit: anyio.CancelScope, sent_bytes: str
) -> None:
    async def sends_two_responses(
        upstream: ScriptedUpstream, stream: SocketStream, request: bytes
    ) -> None:
        response = encode_response(request, read_request_id(request))
        extra_bytes = (
            b"" if sent_bytes == "one response" else encode_response(request, b"stray")
        )
        await stream.send(response + extra_bytes)

    upstream = ScriptedUpstream("u0", sends_two_responses)
    gateway = await make_gateway(upstream)
    with time_limit:
        responses = [
            await gateway.exchange(encode_get(request_id=b"r%d" % n)) for n in range(5)
        ]
    bodies = [response.partition(b"\r\n\r\n")[2] for response in responses]
    assert bodies == [b"r0", b"r1", b"r2", b"r3", b"r4"]


async def test_late_response_to_another_request_is_skipped(
    make_gateway: MakeGateway, time_limit: anyio.CancelScope
) -> None:
    async def sends_stray_response_first(
        upstream: ScriptedUpstream, stream: SocketStream, request: bytes
    ) -> None:
        stray_response = encode_response(b"X-Id: other\r\n", b"stray")
        await stream.send(stray_response + encode_response(request, b"own"))

    upstream = ScriptedUpstream("u0", sends_stray_response_first)
    gateway = await make_gateway(upstream)
    with time_limit:
        responses = [
            await gateway.exchange(encode_get()),
            await gateway.exchange(encode_post(b"order")),
        ]
    assert [response.partition(b"\r\n\r\n")[2] for response in responses] == [
        b"own"
    ] * 2
    assert len(upstream.requests) == 2


@pytest.mark.parametrize("repeats_id", [True, False])
async def test_refusal_sent_once_more_is_not_taken_for_a_later_request(
    make_gateway: MakeGateway, time_limit: anyio.CancelScope, repeats_id: bool
) -> None:
    """The upstream refuses r0, writes that refusal again before it answers r1."""
    refusal = b""

    async def refuses_then_repeats_the_refusal(
        upstream: ScriptedUpstream, stream: SocketStream, request: bytes
    ) -> None:
        nonlocal refusal
        answered_request = request if repeats_id else b""
        if len(upstream.requests) == 1:
            refusal = encode_response(
                answered_request, b"", b"503 Unavailable", b"X-Not-Run: 1\r\n"
            )
            if not repeats_id:
                refusal = refusal.replace(b"X-Id: \r\n", b"")
            await stream.send(refusal)
        else:
            await stream.send(refusal)
            await send_complete_response(upstream, stream, request)

    upstream = ScriptedUpstream("u0", refuses_then_repeats_the_refusal)
    gateway = await make_gateway(upstream)
    with time_limit:
        first = await gateway.exchange(encode_get(request_id=b"r0"))
        second = await gateway.exchange(encode_get(request_id=b"r1"))
    assert get_status(first) == 503
    assert get_status(second) == (200 if repeats_id else 502)
    assert b"Retry-After" not in second


async def test_refusal_without_an_id_is_believed_on_a_new_connection(
    make_gateway: MakeGateway, time_limit: anyio.CancelScope
) -> None:
    async def refuses(
        upstream: ScriptedUpstream, stream: SocketStream, request: bytes
    ) -> None:
        await stream.send(REFUSAL_WITHOUT_ID)

    gateway = await make_gateway(*make_upstream_pair(refuses))
    with time_limit:
        response = await gateway.exchange(encode_post(b"order"))
    assert get_status(response) == 200


async def test_refusal_without_an_id_is_not_believed_after_another_response(
    make_gateway: MakeGateway, time_limit: anyio.CancelScope
) -> None:
    """On a new connection, a response to another request precedes the refusal."""

    async def sends_stray_then_refusal(
        upstream: ScriptedUpstream, stream: SocketStream, request: bytes
    ) -> None:
        stray = (
            b"HTTP/1.1 200 OK\r\nX-Id: other\r\nX-Proof: p\r\nContent-Length: 0\r\n\r\n"
        )
        await stream.send(stray + REFUSAL_WITHOUT_ID)

    first, second = make_upstream_pair(sends_stray_then_refusal)
    gateway = await make_gateway(first, second)
    with time_limit:
        response = await gateway.exchange(encode_post(b"order"))
    assert get_status(response) == 502 and b"Retry-After" not in response
    assert len(first.requests) + len(second.requests) == 1


async def test_response_without_length_ends_with_the_connection(
    make_gateway: MakeGateway, time_limit: anyio.CancelScope
) -> None:
    async def sends_without_length(
        upstream: ScriptedUpstream, stream: SocketStream, request: bytes
    ) -> None:
        await stream.send(b"HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Proof: p\r\n\r\nall of it")
        await stream.aclose()

    gateway = await make_gateway(ScriptedUpstream("u0", sends_without_length))
    with time_limit:
        response = await gateway.exchange(encode_get())
    assert get_status(response) == 200 and response.endswith(b"\r\n\r\nall of it")
    assert b"Content-Length: 9" in response


async def test_response_without_length_is_incomplete_after_a_reset(
    make_gateway: MakeGateway, time_limit: anyio.CancelScope
) -> None:
    async def resets_without_length(
        upstream: ScriptedUpstream, stream: SocketStream, request: bytes
    ) -> None:
        await stream.send(b"HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Proof: p\r\n\r\nhalf")
        await anyio.sleep(0.05)
        await reset_connection(stream)

    gateway = await make_gateway(ScriptedUpstream("u0", resets_without_length))
    with time_limit:
        response = await gateway.exchange(encode_post(b"order"))
    assert get_status(response) == 502 and b"half" not in response


async def test_connection_is_not_reused_after_an_early_response_to_a_long_body(
    make_gateway: MakeGateway, time_limit: anyio.CancelScope
) -> None:
    async def responds_before_body(
        upstream: ScriptedUpstream, stream: SocketStream, request: bytes
    ) -> None:
        await stream.send(encode_response(request, b"early", b"200 OK"))

    upstream = ScriptedUpstream("u0", responds_before_body)
    gateway = await make_gateway(upstream)
    with time_limit:
        await gateway.exchange(encode_post(b"x" * 90_000, b"/safe/x"))
        response = await gateway.exchange(encode_get(request_id=b"r2"))
    assert get_status(response) == 200
    assert [read_request_id(request) for request in upstream.requests] == [b"r1", b"r2"]


async def test_caller_disconnect_closes_the_upstream_connection(
    make_gateway: MakeGateway, time_limit: anyio.CancelScope
) -> None:
    upstream = ScriptedUpstream("u0", never_responds)
    gateway = await make_gateway(upstream)
    with time_limit:
        stream = await gateway.connect()
        await stream.send(encode_get())
        while not upstream.requests:
            await anyio.sleep(0.01)
        await stream.aclose()
        await upstream.closed_by_gateway.wait()
        while next(iter(gateway.fleet)).in_flight:
            await anyio.sleep(0.01)
    assert len(upstream.requests) == 1


async def test_request_ends_at_its_deadline(
    make_gateway: MakeGateway, time_limit: anyio.CancelScope
) -> None:
    upstream = ScriptedUpstream("u0", never_responds)
    gateway = await make_gateway(upstream)
    with time_limit:
        response = await gateway.exchange(encode_get(extra=b"X-Deadline-Ms: 120\r\n"))
        await upstream.closed_by_gateway.wait()
    assert get_status(response) == 504


async def test_caller_connection_carries_several_requests(
    make_gateway: MakeGateway, time_limit: anyio.CancelScope
) -> None:
    gateway = await make_gateway(ScriptedUpstream("u0", send_complete_response))
    with time_limit:
        async with await gateway.connect() as stream:
            responses = []
            for name in (b"r1", b"r2"):
                await stream.send(encode_get(request_id=name))
                responses.append(await read_response(stream))
    assert [get_status(response) for response in responses] == [200, 200]


async def test_leaving_instance_closes_connections_after_the_response(
    make_gateway: MakeGateway, time_limit: anyio.CancelScope
) -> None:
    gateway = await make_gateway(ScriptedUpstream("u0", send_complete_response))
    with time_limit:
        stream = await gateway.connect()
        gateway.connections.is_leaving = True
        await stream.send(encode_get())
        response = await read_response(stream)
        with pytest.raises(anyio.EndOfStream):
            await stream.receive()
    assert get_status(response) == 200 and b"Connection: close" in response


async def test_close_idle_closes_connections_without_a_request(
    make_gateway: MakeGateway, time_limit: anyio.CancelScope
) -> None:
    gateway = await make_gateway()
    with time_limit:
        stream = await gateway.connect()
        while not gateway.connections.open_count:
            await anyio.sleep(0.01)
        await anyio.sleep(0.05)
        gateway.connections.close_idle()
        with pytest.raises(anyio.EndOfStream):
            await stream.receive()


@pytest.mark.parametrize(
    ("request_bytes", "status"),
    [
        (b"nonsense\r\n\r\n", 400),
        (encode_get(extra=b"X-Long: " + b"x" * 8000 + b"\r\n"), 431),
        (encode_post(b"x" * 200_000), 413),
        (encode_get(b"/unknown/"), 404),
        (encode_get().replace(b"h.example", b"other"), 404),
    ],
)
async def test_invalid_request_gets_its_error_status(
    make_gateway: MakeGateway,
    time_limit: anyio.CancelScope,
    request_bytes: bytes,
    status: int,
) -> None:
    gateway = await make_gateway(ScriptedUpstream("u0", send_complete_response))
    with time_limit:
        assert get_status(await gateway.exchange(request_bytes)) == status


async def test_misdirected_upstream_is_marked_down(
    make_gateway: MakeGateway, time_limit: anyio.CancelScope
) -> None:
    async def responds_misdirected(
        upstream: ScriptedUpstream, stream: SocketStream, request: bytes
    ) -> None:
        await stream.send(encode_response(request, b"", b"421 Misdirected"))

    gateway = await make_gateway(*make_upstream_pair(responds_misdirected))
    with time_limit:
        response = await gateway.exchange(encode_post(b"order"))
    assert get_status(response) == 200 and len(gateway.down_upstreams) == 1


@pytest.mark.parametrize("load", [b"9" * 400 + b",0,3", b"-5,0,3", b"busy", b"1"])
async def test_implausible_load_report_does_not_lose_the_response(
    make_gateway: MakeGateway, time_limit: anyio.CancelScope, load: bytes
) -> None:
    async def reports_load(
        upstream: ScriptedUpstream, stream: SocketStream, request: bytes
    ) -> None:
        header = b"X-Load: " + load + b"\r\n"
        await stream.send(encode_response(request, b"body", b"200 OK", header))

    gateway = await make_gateway(ScriptedUpstream("u0", reports_load))
    with time_limit:
        responses = [await gateway.exchange(encode_get()) for _ in range(2)]
    assert [get_status(response) for response in responses] == [200, 200]


@pytest.mark.parametrize("request_bytes", [encode_get(), encode_post(b"bytes")])
async def test_running_request_survives_the_lapse_of_its_upstreams_registration(
    make_gateway: MakeGateway,
    time_limit: anyio.CancelScope,
    request_bytes: bytes,
) -> None:
    """The upstream was silent for a while, but still runs the request."""
    is_removed = anyio.Event()

    async def responds_after_the_lapse(
        upstream: ScriptedUpstream, stream: SocketStream, request: bytes
    ) -> None:
        for idle_upstream in upstreams:
            gateway.fleet.remove(UpstreamId(idle_upstream.name))
            await gateway.dependencies.pool.discard_idle(idle_upstream.name)
        is_removed.set()
        await anyio.sleep(0.1)
        await send_complete_response(upstream, stream, request)

    upstreams = make_upstream_pair(responds_after_the_lapse)
    gateway = await make_gateway(*upstreams)
    with time_limit:
        response = await gateway.exchange(request_bytes)
    assert get_status(response) == 200 and is_removed.is_set()
    assert sum(len(upstream.requests) for upstream in upstreams) == 1


@pytest.mark.parametrize(
    ("status", "extra", "others"),
    [
        (b"200 OK", b"X-Load: 2,1,3\r\n", 2.0),
        (b"200 OK", b"X-Load: 0,0,3\r\n", 0.0),
        (b"503 Unavailable", b"X-Not-Run: 1\r\nX-Load: 2,1,3\r\n", 3.0),
    ],
)
async def test_reported_load_counts_only_other_requests(
    make_gateway: MakeGateway,
    time_limit: anyio.CancelScope,
    status: bytes,
    extra: bytes,
    others: float,
) -> None:
    """A response counts its own request as running, unless the upstream shed it."""

    async def reports_load(
        upstream: ScriptedUpstream, stream: SocketStream, request: bytes
    ) -> None:
        await stream.send(encode_response(request, b"", status, extra))

    gateway = await make_gateway(ScriptedUpstream("u0", reports_load))
    record = gateway.fleet.get(UpstreamId("u0"))
    assert record is not None
    with time_limit:
        await gateway.exchange(encode_get())
    assert record.last_known_load() == pytest.approx(REPORT_WEIGHT * others)


async def test_connection_to_a_removed_upstream_is_not_kept(
    make_gateway: MakeGateway,
) -> None:
    """It kept a descriptor forever, or carried requests to the id's former address.

    The upstream is removed while it runs a request; its id is registered again.
    """

    async def remove_and_respond(
        upstream: ScriptedUpstream, stream: SocketStream, request: bytes
    ) -> None:
        gateway.fleet.remove(UpstreamId("u0"))
        await send_complete_response(upstream, stream, request)

    upstream = ScriptedUpstream("u0", remove_and_respond)
    gateway = await make_gateway(upstream)
    for _ in range(2):
        gateway.fleet.put(make_registration(upstream), time.monotonic())
        await gateway.exchange(encode_get(b"/safe/x", b"i1"))
    counters = gateway.dependencies.counters
    assert counters.value("connection_opened", OpenReason.NONE_IDLE.value) == 2


@pytest.mark.parametrize(
    "status", [b"000", b"001", b"099", b"600", b"999", b"20", b"2000", b"-200"]
)
async def test_response_with_an_invalid_status_is_no_response(
    make_gateway: MakeGateway, time_limit: anyio.CancelScope, status: bytes
) -> None:
    """Callers of other systems got a response with status 000 (MIXED)."""
    upstream = ScriptedUpstream("u0", make_status_script(status))
    gateway = await make_gateway(upstream)
    with time_limit:
        response = await gateway.exchange(encode_post(b"order"))
    assert response.startswith(b"HTTP/1.1 502")
    assert b"whole" not in response
    assert len(upstream.requests) == 1


# The page of another program, and an upstream's response without parts of its head.
UNPROVED = {
    "another page": b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nIt works!",
    "no head": b"HTTP/1.1 200 OK\r\n\r\nwhole",
    "no id": b"HTTP/1.1 200 OK\r\nX-Proof: p\r\nContent-Length: 5\r\n\r\nwhole",
    "no proof": b"HTTP/1.1 201 Made\r\nX-Id: r1\r\nContent-Length: 5\r\n\r\nwhole",
    "empty proof": (
        b"HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Proof:\r\nContent-Length: 5\r\n\r\nwhole"
    ),
    "no content": b"HTTP/1.1 204 None\r\nX-Id: r1\r\n\r\n",
}


def make_unproved_upstream(kind: str) -> ScriptedUpstream:
    """Return an upstream that proves none but the first response of a connection."""

    async def respond(
        upstream: ScriptedUpstream, stream: SocketStream, request: bytes
    ) -> None:
        if read_request_id(request) == b"r0":
            await stream.send(encode_response(request))
            return
        await stream.send(UNPROVED[kind])
        await stream.aclose()

    return ScriptedUpstream("u0", respond)


@pytest.mark.parametrize("kind", UNPROVED)
@pytest.mark.parametrize("is_kept", [False, True])
async def test_success_without_proof_or_id_never_reaches_the_caller(
    make_gateway: MakeGateway, time_limit: anyio.CancelScope, kind: str, is_kept: bool
) -> None:
    """An order counted as done that another program had answered (review/9)."""
    upstream = make_unproved_upstream(kind)
    gateway = await make_gateway(upstream)
    with time_limit:
        if is_kept:
            first = await gateway.exchange(encode_post(b"order", request_id=b"r0"))
            assert first.startswith(b"HTTP/1.1 200")
        response = await gateway.exchange(encode_post(b"order", request_id=b"r1"))
    # The request may have run, so it is neither refused as not run nor sent again.
    assert response.startswith(b"HTTP/1.1 502")
    assert len(upstream.requests) == (2 if is_kept else 1)
