"""Callers of the soak that pipeline idempotent requests, or read slowly."""

from random import Random

import anyio
import h11
from anyio.abc import SocketStream

from tanagercourse.gateway.messages import Response
from tanagercourse.gateway.sockets import connect
from tanagercourse.soak.callers import (
    CONNECT_TIMEOUT_S,
    find_instance,
    make_headers,
    record_response,
)
from tanagercourse.soak.checks import LARGE_SUFFIX, Request, expected_body
from tanagercourse.soak.environment import SoakEnvironment

# Maximum number of requests that are sent before the first is answered.
MAX_PIPELINED = 6
# Bytes that a slow reader reads at a time, and the pause after each, in seconds.
SLOW_READ_BYTES = 16_384
SLOW_READ_PAUSE_S = 0.03
READ_BYTES = 65_536
OK = 200
# Time for the responses to all requests of one connection, in seconds.
TIMEOUT_S = 30.0


async def run_pipelining_caller(
    environment: SoakEnvironment, number: int, is_over: anyio.Event
) -> None:
    """Send several requests at once on each connection until the soak is over."""
    random = Random(environment.random.random())
    sent_count = 0
    while not is_over.is_set():
        await anyio.sleep(random.uniform(0, 0.2))
        count = random.randint(2, MAX_PIPELINED)
        names = [f"p{number}-{sent_count + n}" for n in range(count)]
        sent_count += count
        await _exchange_in_order(environment, names, random, READ_BYTES, 0.0)


async def run_slow_reader(
    environment: SoakEnvironment, number: int, is_over: anyio.Event
) -> None:
    """Request large responses and read them slowly until the soak is over."""
    random = Random(environment.random.random())
    sent_count = 0
    while not is_over.is_set():
        await anyio.sleep(random.uniform(0, 0.5))
        sent_count += 1
        names = [f"s{number}-{sent_count}{LARGE_SUFFIX}"]
        await _exchange_in_order(
            environment, names, random, SLOW_READ_BYTES, SLOW_READ_PAUSE_S
        )


async def _exchange_in_order(
    environment: SoakEnvironment,
    names: list[str],
    random: Random,
    read_bytes: int,
    pause_s: float,
) -> None:
    """Send requests at once on a new connection and check the responses' order.

    Requests without a response, as behind one that closes the connection, are counted.
    """
    instance = await find_instance(environment, random)
    if instance is None:
        return
    requests = [
        Request(name, b"GET", f"/safe/{name}?q={name}".encode(), b"", False)
        for name in names
    ]
    answered = 0
    try:
        async with await connect(
            instance.host, instance.caller_port, CONNECT_TIMEOUT_S
        ) as stream:
            with anyio.fail_after(TIMEOUT_S):
                heads = [
                    _encode(
                        request, make_headers(environment, instance, request, random)
                    )
                    for request in requests
                ]
                await stream.send(b"".join(heads))
                received = b""
                for request in requests:
                    response, received = await _read(
                        stream, received, read_bytes, pause_s
                    )
                    answered += 1
                    record_response(environment, request, response)
                    is_own = response.body == expected_body(request.request_id)
                    environment.checks.check_order(
                        response.status != OK or is_own, request.request_id
                    )
    except (OSError, anyio.EndOfStream, anyio.BrokenResourceError):
        pass
    except h11.RemoteProtocolError:
        environment.checks.check_order(False, f"{names[answered]}: malformed")
    for _ in requests[answered:]:
        environment.checks.record_no_response("pipelined without a response")


def _encode(request: Request, headers: tuple[tuple[bytes, bytes], ...]) -> bytes:
    event = h11.Request(
        method=request.method, target=request.target, headers=list(headers)
    )
    parser = h11.Connection(h11.CLIENT)
    return (parser.send(event) or b"") + (parser.send(h11.EndOfMessage()) or b"")


async def _read(
    stream: SocketStream, received: bytes, read_bytes: int, pause_s: float
) -> tuple[Response, bytes]:
    """Return the next response and the bytes that were received after it."""
    parser = h11.Connection(h11.CLIENT)
    parser.send(h11.Request(method="GET", target="/", headers=[("Host", "h")]))
    parser.send(h11.EndOfMessage())
    if received:
        parser.receive_data(received)
    head: h11.Response | None = None
    body = bytearray()
    while True:
        event = parser.next_event()
        if isinstance(event, h11.Response):
            head = event
        elif isinstance(event, h11.Data):
            body += event.data
        elif isinstance(event, h11.EndOfMessage):
            break
        else:
            parser.receive_data(await stream.receive(read_bytes))
            await anyio.sleep(pause_s)
    assert head is not None
    headers = tuple(head.headers.raw_items())
    response = Response(head.status_code, head.reason, headers, bytes(body))
    return response, parser.trailing_data[0]
