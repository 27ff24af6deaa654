"""Callers of the soak: they look instances up and keep connections while they can."""

from dataclasses import dataclass
from random import Random

import anyio
import msgspec
from returns.result import Failure, Result, Success

from tanagercourse.adapter.headers import HEADER_NAMES, LOOKUP_PATH
from tanagercourse.gateway.connections import HttpConnection, OutboundRequest
from tanagercourse.gateway.messages import Lost, Response
from tanagercourse.gateway.sockets import connect
from tanagercourse.instance.settings import parse_endpoint
from tanagercourse.soak.checks import Request
from tanagercourse.soak.environment import World
from tanagercourse.soak.faults import CALM_S
from tanagercourse.soak.instance_process import Machine

DEADLINE_S = 3.0
CONNECT_S = 1.0
LOOK_UP_S = 1.0
ORDER_SHARE = 0.3
OBJECTS = 12
MOST_PAUSE_S = 0.15
# Within this time of its begin a planned stop still takes new connections, in seconds.
ACCEPTS_S = 2.0


@dataclass
class _Kept:
    channel: HttpConnection
    machine: Machine


async def call_on(world: World, number: int, is_over: anyio.Event) -> None:
    """Send one request after another until told that it is over."""
    random = Random(world.random.random())
    kept: _Kept | None = None
    sent = 0
    while not is_over.is_set():
        await anyio.sleep(random.uniform(0, MOST_PAUSE_S))
        is_order = random.random() < ORDER_SHARE
        if kept is None or is_order:
            fresh = await _open(world, random)
            if fresh is None:
                continue
            if is_order and kept is not None:
                await kept.channel.close()
            kept = fresh
        sent += 1
        request = _draw(world, random, f"c{number}-{sent}", is_order)
        kept = await _exchange(world, kept, request, random)
    if kept is not None:
        await kept.channel.close()


def _draw(world: World, random: Random, name: str, is_order: bool) -> Request:
    if is_order:
        body = random.randbytes(random.choice([10, 2_000, 40_000]))
        return Request(name, b"POST", f"/once/{name}".encode(), body, True)
    return Request(name, b"GET", f"/safe/{name}?q={name}".encode(), b"", False)


async def _open(world: World, random: Random) -> _Kept | None:
    """Look an instance up and connect to it."""
    asked = random.choice(world.machines)
    answer = await _ask(asked.host, asked.look_ups, LOOKUP_PATH)
    if answer is None or answer.status != 200:
        return None
    endpoint = parse_endpoint(msgspec.json.decode(answer.body)["addresses"][0])
    machine = next(each for each in world.machines if each.host == endpoint.host)
    try:
        stream = await connect(endpoint.host, endpoint.port, CONNECT_S)
    except (OSError, TimeoutError):
        world.checks.note_no_answer("no connection")
        return None
    return _Kept(HttpConnection(stream), machine)


async def _ask(host: str, port: int, path: bytes) -> Response | None:
    try:
        channel = HttpConnection(await connect(host, port, CONNECT_S))
    except (OSError, TimeoutError):
        return None
    call = OutboundRequest(
        b"GET", path + b"?name=h.example", ((b"Host", b"h.example"),), b""
    )
    result = await channel.exchange_with_timeout(call, LOOK_UP_S, "late")
    await channel.close()
    return result.value_or(None)


async def _exchange(
    world: World, kept: _Kept, request: Request, random: Random
) -> _Kept | None:
    """Send a request; return the connection if it can carry another."""
    world.checks.note_sent(request)
    began_at_s = anyio.current_time()
    headers = (
        (b"Host", b"h.example"),
        (HEADER_NAMES.request_id, request.request_id.encode()),
        (HEADER_NAMES.deadline_ms, str(int(DEADLINE_S * 1000)).encode()),
        (b"Cookie", HEADER_NAMES.affinity_cookie + b"=%d" % random.randrange(OBJECTS)),
    )
    call = OutboundRequest(request.method, request.target, headers, request.body)
    result = await kept.channel.exchange_with_timeout(call, DEADLINE_S + 1.0, "late")
    if isinstance(result, Success):
        answer = result.unwrap()
        world.checks.note_answer(request, answer.status, answer.body)
    else:
        world.checks.note_no_answer(result.failure().detail.split(":")[0])
    _check_planned(world, kept.machine, request, began_at_s, result)
    if isinstance(result, Failure) or not kept.channel.prepare_for_reuse():
        await kept.channel.close()
        return None
    return kept


def _check_planned(
    world: World,
    machine: Machine,
    request: Request,
    began_at_s: float,
    result: Result[Response, Lost],
) -> None:
    """Check a request that a planned stop, and no other fault, came upon."""
    stops_at_s = machine.stops_at_s
    if stops_at_s is None or machine.is_disturbed or world.unplanned:
        return
    is_calm = world.calm_since_s < began_at_s - CALM_S
    if not is_calm or began_at_s > stops_at_s + ACCEPTS_S:
        return
    problem = result.failure() if isinstance(result, Failure) else None
    # A connection that ends before its next request was read cuts none.
    is_kept = problem is None or problem.was_kept
    world.checks.note_planned(is_kept, f"{request.request_id} at {machine.name}")
