"""What callers and upstreams see of one request."""

import anyio
import pytest
from anyio.abc import SocketStream

from tanagercourse.testing.gateway_harness import MakeGateway
from tanagercourse.testing.scripted import (
    Script,
    ScriptedUpstream,
    encode_response,
    get,
    post,
    read_request_id,
    read_response,
    reset_connection,
    send_complete_response,
)

pytestmark = pytest.mark.anyio


async def resets(
    upstream: ScriptedUpstream, stream: SocketStream, request: bytes
) -> None:
    await reset_connection(stream)


async def breaks_off(
    upstream: ScriptedUpstream, stream: SocketStream, request: bytes
) -> None:
    await stream.send(encode_response(request)[:-2])
    await stream.aclose()


async def speaks_nonsense(
    upstream: ScriptedUpstream, stream: SocketStream, request: bytes
) -> None:
    await stream.send(b"\x00\x01 no answer\r\n\r\n")
    await stream.aclose()


async def sheds(
    upstream: ScriptedUpstream, stream: SocketStream, request: bytes
) -> None:
    not_run = b"X-Not-Run: 1\r\n"
    await stream.send(encode_response(request, b"", b"503 Unavailable", not_run))


async def fails(
    upstream: ScriptedUpstream, stream: SocketStream, request: bytes
) -> None:
    await stream.send(
        encode_response(request, b"broken", b"500 Error", b"X-Sig: s\r\n")
    )


async def stays_silent(
    upstream: ScriptedUpstream, stream: SocketStream, request: bytes
) -> None:
    await stream.receive()


def pair(
    script: Script, other: Script = send_complete_response
) -> tuple[ScriptedUpstream, ScriptedUpstream]:
    """Return two upstreams; whichever is asked first follows the first script."""
    asked: list[str] = []

    async def shared(
        upstream: ScriptedUpstream, stream: SocketStream, request: bytes
    ) -> None:
        asked.append(upstream.name)
        await (script if len(asked) == 1 else other)(upstream, stream, request)

    return ScriptedUpstream("u0", shared), ScriptedUpstream("u1", shared)


def status_of(answer: bytes) -> int:
    return int(answer.split(b" ", 2)[1])


async def test_an_answer_comes_back_whole_and_unchanged(
    make_gateway: MakeGateway, guard: anyio.CancelScope
) -> None:
    async def signs(
        upstream: ScriptedUpstream, stream: SocketStream, request: bytes
    ) -> None:
        signature = b"X-Sig: 7\r\nConnection: close\r\n"
        await stream.send(encode_response(request, b"body", b"203 Other", signature))
        await stream.aclose()

    gateway = await make_gateway(ScriptedUpstream("u0", signs))
    with guard:
        answer = await gateway.exchange(get(extra=b"X-Kept: v\r\n"))
    assert answer.startswith(b"HTTP/1.1 203 Other\r\n")
    assert b"X-Sig: 7\r\n" in answer and answer.endswith(b"\r\n\r\nbody")
    assert b"close" not in answer


async def test_a_request_reaches_the_upstream_unchanged(
    make_gateway: MakeGateway, guard: anyio.CancelScope
) -> None:
    upstream = ScriptedUpstream("u0", send_complete_response)
    extra = b"X-Kept: v\r\nX-Deadline-Ms: 2000\r\nX-Expected: forged\r\n"
    gateway = await make_gateway(upstream)
    with guard:
        await gateway.exchange(post(b"bytes", extra=extra))
    head, _, body = upstream.requests[0].partition(b"\r\n\r\n")
    lines = head.split(b"\r\n")
    assert lines[0] == b"POST /once/x HTTP/1.1" and body == b"bytes"
    assert b"X-Kept: v" in lines and b"X-Id: r1" in lines
    assert b"X-Expected: u0" in lines and b"forged" not in head
    deadline = next(line for line in lines if line.startswith(b"X-Deadline-Ms:"))
    assert 0 < int(deadline.split(b":")[1]) <= 2000


async def test_a_chunked_body_is_passed_on_with_its_length(
    make_gateway: MakeGateway, guard: anyio.CancelScope
) -> None:
    upstream = ScriptedUpstream("u0", send_complete_response)
    head = get(b"/once/x", extra=b"Transfer-Encoding: chunked\r\n")
    request = head.replace(b"GET", b"POST") + b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
    gateway = await make_gateway(upstream)
    with guard:
        assert status_of(await gateway.exchange(request)) == 200
    assert upstream.requests[0].endswith(b"\r\n\r\nabcde")
    assert b"chunked" not in upstream.requests[0]


async def test_a_request_hidden_in_a_body_is_not_run(
    make_gateway: MakeGateway, guard: anyio.CancelScope
) -> None:
    upstream = ScriptedUpstream("u0", send_complete_response)
    hidden = get(request_id=b"hidden")
    gateway = await make_gateway(upstream)
    with guard:
        await gateway.exchange(post(hidden))
    assert [read_request_id(request) for request in upstream.requests] == [b"r1"]


@pytest.mark.parametrize("trouble", [resets, breaks_off, speaks_nonsense, fails, sheds])
async def test_an_idempotent_request_is_sent_again(
    make_gateway: MakeGateway, guard: anyio.CancelScope, trouble: Script
) -> None:
    gateway = await make_gateway(*pair(trouble))
    with guard:
        answer = await gateway.exchange(get())
    assert status_of(answer) == 200


@pytest.mark.parametrize(
    ("trouble", "status"),
    [(resets, 502), (breaks_off, 502), (speaks_nonsense, 502), (fails, 500)],
)
async def test_a_request_that_may_have_run_is_never_sent_again(
    make_gateway: MakeGateway, guard: anyio.CancelScope, trouble: Script, status: int
) -> None:
    upstreams = pair(trouble)
    gateway = await make_gateway(*upstreams)
    with guard:
        answer = await gateway.exchange(post(b"order"))
    assert status_of(answer) == status
    assert sum(len(upstream.requests) for upstream in upstreams) == 1


async def test_a_request_that_did_not_run_may_go_elsewhere(
    make_gateway: MakeGateway, guard: anyio.CancelScope
) -> None:
    upstreams = pair(sheds)
    gateway = await make_gateway(*upstreams)
    with guard:
        answer = await gateway.exchange(post(b"order"))
    assert status_of(answer) == 200
    assert [len(upstream.requests) for upstream in upstreams] == [1, 1]


async def test_a_refusal_says_truly_that_nothing_ran(
    make_gateway: MakeGateway, guard: anyio.CancelScope
) -> None:
    gateway = await make_gateway(*pair(sheds, sheds))
    with guard:
        answer = await gateway.exchange(post(b"order"))
    assert status_of(answer) == 503 and b"Retry-After: 0." in answer


async def test_what_may_have_run_is_never_refused(
    make_gateway: MakeGateway, guard: anyio.CancelScope
) -> None:
    gateway = await make_gateway(*pair(resets, sheds))
    with guard:
        answer = await gateway.exchange(get())
    assert status_of(answer) == 502 and b"Retry-After" not in answer


async def test_a_failure_of_an_upstream_is_passed_on_unchanged(
    make_gateway: MakeGateway, guard: anyio.CancelScope
) -> None:
    gateway = await make_gateway(*pair(fails, fails))
    with guard:
        answer = await gateway.exchange(get())
    assert status_of(answer) == 500
    assert b"X-Sig: s" in answer and answer.endswith(b"broken")


async def test_an_upstream_that_is_not_there_counts_as_down(
    make_gateway: MakeGateway, guard: anyio.CancelScope
) -> None:
    upstream = ScriptedUpstream("u0", send_complete_response)
    gateway = await make_gateway(upstream)
    with guard:
        record = next(iter(gateway.fleet))
        entry = record.registration
        record.registration = type(entry)(**{**vars(entry), "port": 1})
        answer = await gateway.exchange(post(b"order"))
    assert status_of(answer) == 503 and gateway.down_upstreams == ["u0"]


async def test_repeats_end_with_their_budget(
    make_gateway: MakeGateway, guard: anyio.CancelScope
) -> None:
    upstreams = pair(resets, resets)
    gateway = await make_gateway(*upstreams, slack=0.0)
    with guard:
        answers = [await gateway.exchange(get(request_id=b"%d" % n)) for n in range(4)]
    assert [status_of(answer) for answer in answers] == [502] * 4
    assert sum(len(upstream.requests) for upstream in upstreams) == 4


@pytest.mark.parametrize("script", ["answer", "answer then more"])
async def test_bytes_after_an_answer_belong_to_no_request(
    make_gateway: MakeGateway, guard: anyio.CancelScope, script: str
) -> None:
    async def answers_twice(
        upstream: ScriptedUpstream, stream: SocketStream, request: bytes
    ) -> None:
        answer = encode_response(request, read_request_id(request))
        more = b"" if script == "answer" else encode_response(request, b"stray")
        await stream.send(answer + more)

    upstream = ScriptedUpstream("u0", answers_twice)
    gateway = await make_gateway(upstream)
    with guard:
        answers = [await gateway.exchange(get(request_id=b"r%d" % n)) for n in range(5)]
    bodies = [answer.partition(b"\r\n\r\n")[2] for answer in answers]
    assert bodies == [b"r0", b"r1", b"r2", b"r3", b"r4"]


async def test_a_late_answer_to_another_request_is_passed_over(
    make_gateway: MakeGateway, guard: anyio.CancelScope
) -> None:
    async def strays_first(
        upstream: ScriptedUpstream, stream: SocketStream, request: bytes
    ) -> None:
        stray = encode_response(b"X-Id: other\r\n", b"stray")
        await stream.send(stray + encode_response(request, b"own"))

    upstream = ScriptedUpstream("u0", strays_first)
    gateway = await make_gateway(upstream)
    with guard:
        answers = [
            await gateway.exchange(get()),
            await gateway.exchange(post(b"order")),
        ]
    assert [answer.partition(b"\r\n\r\n")[2] for answer in answers] == [b"own"] * 2
    assert len(upstream.requests) == 2


async def test_an_answer_without_a_length_ends_with_its_connection(
    make_gateway: MakeGateway, guard: anyio.CancelScope
) -> None:
    async def unframed(
        upstream: ScriptedUpstream, stream: SocketStream, request: bytes
    ) -> None:
        await stream.send(b"HTTP/1.1 200 OK\r\nX-Id: r1\r\n\r\nall of it")
        await stream.aclose()

    gateway = await make_gateway(ScriptedUpstream("u0", unframed))
    with guard:
        answer = await gateway.exchange(get())
    assert status_of(answer) == 200 and answer.endswith(b"\r\n\r\nall of it")
    assert b"Content-Length: 9" in answer


async def test_an_answer_without_a_length_that_is_reset_is_not_whole(
    make_gateway: MakeGateway, guard: anyio.CancelScope
) -> None:
    async def unframed_then_reset(
        upstream: ScriptedUpstream, stream: SocketStream, request: bytes
    ) -> None:
        await stream.send(b"HTTP/1.1 200 OK\r\nX-Id: r1\r\n\r\nhalf")
        await anyio.sleep(0.05)
        await reset_connection(stream)

    gateway = await make_gateway(ScriptedUpstream("u0", unframed_then_reset))
    with guard:
        answer = await gateway.exchange(post(b"order"))
    assert status_of(answer) == 502 and b"half" not in answer


async def test_an_early_answer_to_a_long_body_ends_the_connection(
    make_gateway: MakeGateway, guard: anyio.CancelScope
) -> None:
    async def answers_from_the_head(
        upstream: ScriptedUpstream, stream: SocketStream, request: bytes
    ) -> None:
        await stream.send(encode_response(request, b"early", b"200 OK"))

    upstream = ScriptedUpstream("u0", answers_from_the_head)
    gateway = await make_gateway(upstream)
    with guard:
        await gateway.exchange(post(b"x" * 90_000, b"/safe/x"))
        answer = await gateway.exchange(get(request_id=b"r2"))
    assert status_of(answer) == 200
    assert [read_request_id(request) for request in upstream.requests] == [b"r1", b"r2"]


async def test_a_caller_that_leaves_ends_the_work_at_the_upstream(
    make_gateway: MakeGateway, guard: anyio.CancelScope
) -> None:
    upstream = ScriptedUpstream("u0", stays_silent)
    gateway = await make_gateway(upstream)
    with guard:
        stream = await gateway.connect()
        await stream.send(get())
        while not upstream.requests:
            await anyio.sleep(0.01)
        await stream.aclose()
        await upstream.closed_by_gateway.wait()
        while next(iter(gateway.fleet)).in_flight:
            await anyio.sleep(0.01)
    assert len(upstream.requests) == 1


async def test_a_route_s_time_ends_a_request(
    make_gateway: MakeGateway, guard: anyio.CancelScope
) -> None:
    upstream = ScriptedUpstream("u0", stays_silent)
    gateway = await make_gateway(upstream)
    with guard:
        answer = await gateway.exchange(get(extra=b"X-Deadline-Ms: 120\r\n"))
        await upstream.closed_by_gateway.wait()
    assert status_of(answer) == 504


async def test_requests_share_a_caller_s_connection(
    make_gateway: MakeGateway, guard: anyio.CancelScope
) -> None:
    gateway = await make_gateway(ScriptedUpstream("u0", send_complete_response))
    with guard:
        async with await gateway.connect() as stream:
            answers = []
            for name in (b"r1", b"r2"):
                await stream.send(get(request_id=name))
                answers.append(await read_response(stream))
    assert [status_of(answer) for answer in answers] == [200, 200]


async def test_a_leaving_instance_ends_connections_with_their_answer(
    make_gateway: MakeGateway, guard: anyio.CancelScope
) -> None:
    gateway = await make_gateway(ScriptedUpstream("u0", send_complete_response))
    with guard:
        stream = await gateway.connect()
        gateway.connections.is_leaving = True
        await stream.send(get())
        answer = await read_response(stream)
        with pytest.raises(anyio.EndOfStream):
            await stream.receive()
    assert status_of(answer) == 200 and b"Connection: close" in answer


async def test_idle_connections_end_when_told(
    make_gateway: MakeGateway, guard: anyio.CancelScope
) -> None:
    gateway = await make_gateway()
    with guard:
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
        (get(extra=b"X-Long: " + b"x" * 8000 + b"\r\n"), 431),
        (post(b"x" * 200_000), 413),
        (get(b"/unknown/"), 404),
        (get().replace(b"h.example", b"other"), 404),
    ],
)
async def test_bad_requests_get_their_status(
    make_gateway: MakeGateway,
    guard: anyio.CancelScope,
    request_bytes: bytes,
    status: int,
) -> None:
    gateway = await make_gateway(ScriptedUpstream("u0", send_complete_response))
    with guard:
        assert status_of(await gateway.exchange(request_bytes)) == status


async def test_an_upstream_under_another_s_address_is_not_used_again(
    make_gateway: MakeGateway, guard: anyio.CancelScope
) -> None:
    async def misdirects(
        upstream: ScriptedUpstream, stream: SocketStream, request: bytes
    ) -> None:
        await stream.send(encode_response(request, b"", b"421 Misdirected"))

    gateway = await make_gateway(*pair(misdirects))
    with guard:
        answer = await gateway.exchange(post(b"order"))
    assert status_of(answer) == 200 and len(gateway.down_upstreams) == 1
