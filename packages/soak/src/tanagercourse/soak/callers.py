"""Callers of the soak: look up an instance and reuse a connection while possible."""

from dataclasses import dataclass
from random import Random

import anyio
import msgspec
from returns.result import Failure, Result, Success

from tanagercourse.adapter.headers import HEADER_NAMES, LOOKUP_PATH
from tanagercourse.core.ids import TenantId, UpstreamId
from tanagercourse.gateway.body_budget import BodyBudget
from tanagercourse.gateway.connections import HttpConnection, OutboundRequest
from tanagercourse.gateway.headers import Headers, find_header
from tanagercourse.gateway.messages import Lost, NotSent, Response
from tanagercourse.gateway.sockets import connect
from tanagercourse.instance.settings import parse_endpoint
from tanagercourse.soak.checks import Request
from tanagercourse.soak.environment import SoakEnvironment
from tanagercourse.soak.faults import SETTLE_S
from tanagercourse.soak.instance_process import InstanceProcess
from tanagercourse.soak.statements import Sender
from tanagercourse.soak.tenants import TENANTS
from tanagercourse.soak.upstreams import UPSTREAM_HEADER

DEADLINE_S = 3.0
CONNECT_TIMEOUT_S = 1.0
LOOKUP_TIMEOUT_S = 1.0
# Probability that a request is an order, which may run at most once.
ORDER_PROBABILITY = 0.3
AFFINITY_KEY_COUNT = 12
# Maximum pause of a caller between two requests, in seconds.
MAX_PAUSE_S = 0.15
# Time from the start of a graceful shutdown during which new connections are still
# accepted, in seconds.
ACCEPT_PERIOD_S = 2.0


@dataclass
class _CallerConnection:
    http: HttpConnection
    instance: InstanceProcess


async def run_caller(
    environment: SoakEnvironment,
    number: int,
    is_over: anyio.Event,
    flooding_tenant: TenantId | None = None,
) -> None:
    """Send one request after another until the soak is over.

    Each order is sent on a new connection.

    Args:
        environment: The running soak.
        number: Number of the caller, part of its request ids.
        is_over: Set when the soak is over.
        flooding_tenant: If not None, send only while the fault "tenant floods" lasts,
            without pauses and with keys of this tenant.
    """
    random = Random(environment.random.random())
    caller_connection: _CallerConnection | None = None
    sent_count = 0
    while not is_over.is_set():
        if flooding_tenant is None or not environment.is_flooding:
            await anyio.sleep(random.uniform(0, MAX_PAUSE_S))
        if flooding_tenant is not None and not environment.is_flooding:
            continue
        is_order = random.random() < ORDER_PROBABILITY
        if caller_connection is None or is_order:
            new_connection = await _open_connection(environment, random)
            if new_connection is None:
                continue
            if is_order and caller_connection is not None:
                await caller_connection.http.close()
            caller_connection = new_connection
        sent_count += 1
        request = _make_request(
            environment, random, f"c{number}-{sent_count}", is_order
        )
        caller_connection = await _exchange(
            environment, caller_connection, request, random, flooding_tenant
        )
    if caller_connection is not None:
        await caller_connection.http.close()


def _make_request(
    environment: SoakEnvironment, random: Random, request_id: str, is_order: bool
) -> Request:
    if is_order:
        body = random.randbytes(random.choice([10, 2_000, 40_000]))
        return Request(request_id, b"POST", f"/once/{request_id}".encode(), body, True)
    return Request(
        request_id, b"GET", f"/safe/{request_id}?q={request_id}".encode(), b"", False
    )


async def _open_connection(
    environment: SoakEnvironment, random: Random
) -> _CallerConnection | None:
    """Look up an instance and connect to it; return None if that fails."""
    instance = await find_instance(environment, random)
    if instance is None:
        return None
    try:
        stream = await connect(instance.host, instance.caller_port, CONNECT_TIMEOUT_S)
    except (OSError, TimeoutError):
        environment.checks.record_no_response("no connection")
        return None
    return _CallerConnection(HttpConnection(stream, BodyBudget()), instance)


async def find_instance(
    environment: SoakEnvironment, random: Random
) -> InstanceProcess | None:
    """Look up an instance for callers; return None if that fails."""
    lookup_instance = random.choice(environment.instances)
    response = await _look_up(
        lookup_instance.host, lookup_instance.lookup_port, LOOKUP_PATH
    )
    if response is None or response.status != 200:
        return None
    endpoint = parse_endpoint(msgspec.json.decode(response.body)["addresses"][0])
    return next(
        candidate
        for candidate in environment.instances
        if (candidate.host, candidate.caller_port) == (endpoint.host, endpoint.port)
    )


async def _look_up(host: str, port: int, path: bytes) -> Response | None:
    try:
        stream = await connect(host, port, CONNECT_TIMEOUT_S)
        connection = HttpConnection(stream, BodyBudget())
    except (OSError, TimeoutError):
        return None
    outbound = OutboundRequest(
        b"GET", path + b"?name=h.example", ((b"Host", b"h.example"),), b""
    )
    result = await connection.exchange_with_timeout(
        outbound, LOOKUP_TIMEOUT_S, "timeout"
    )
    await connection.close()
    return result.value_or(None)


async def _exchange(
    environment: SoakEnvironment,
    caller_connection: _CallerConnection,
    request: Request,
    random: Random,
    tenant: TenantId | None,
) -> _CallerConnection | None:
    """Send a request and check its outcome.

    Returns:
        The connection if it can be reused, else None.
    """
    instance = caller_connection.instance
    started_s = anyio.current_time()
    headers = make_headers(environment, instance, request, random, tenant)
    outbound = OutboundRequest(request.method, request.target, headers, request.body)
    result = await caller_connection.http.exchange_with_timeout(
        outbound, DEADLINE_S + 1.0, "timeout"
    )
    if isinstance(result, Success):
        record_response(environment, request, result.unwrap())
    else:
        environment.checks.record_no_response(result.failure().detail.split(":")[0])
    _check_shutdown(environment, instance, request, started_s, result)
    if isinstance(result, Failure) or not caller_connection.http.prepare_for_reuse():
        await caller_connection.http.close()
        return None
    return caller_connection


def make_headers(
    environment: SoakEnvironment,
    instance: InstanceProcess,
    request: Request,
    random: Random,
    tenant: TenantId | None = None,
) -> Headers:
    """Record that a request is sent to an instance now, and return its headers.

    Args:
        environment: The running soak.
        instance: The instance.
        request: The request.
        random: Source of the API key and the affinity key.
        tenant: Tenant of the API key; None for any.
    """
    environment.checks.record_sent(request)
    environment.statements.record_sent(
        request.request_id, Sender(instance.name, instance.disturbance_count)
    )
    key = environment.tenant_keys.choose(random, tenant)
    environment.tenant_keys.record_sent(request.request_id, key, instance.name)
    return (
        (b"Host", b"h.example"),
        (b"Authorization", b"Bearer " + key.secret.encode()),
        # What a caller says of its tenant must not count.
        (HEADER_NAMES.tenant, random.choice(TENANTS).encode()),
        (HEADER_NAMES.request_id, request.request_id.encode()),
        (HEADER_NAMES.deadline_ms, str(int(DEADLINE_S * 1000)).encode()),
        (
            b"Cookie",
            HEADER_NAMES.affinity_cookie
            + b"=%d" % random.randrange(AFFINITY_KEY_COUNT),
        ),
    )


def record_response(
    environment: SoakEnvironment, request: Request, response: Response
) -> None:
    """Check a response, and record which upstream it comes from, if any."""
    environment.checks.check_response(request, response.status, response.body)
    environment.tenant_keys.check_response(request.request_id, response.status)
    tenant = environment.tenant_keys.find_tenant(request.request_id)
    environment.quotas.check_response(request.request_id, tenant, response.status)
    name = find_header(response.headers, UPSTREAM_HEADER)
    if name is not None:
        upstream = UpstreamId(name.decode())
        environment.statements.record_response(request.request_id, upstream)


def _check_shutdown(
    environment: SoakEnvironment,
    instance: InstanceProcess,
    request: Request,
    started_s: float,
    result: Result[Response, NotSent | Lost],
) -> None:
    """Check a request during a graceful shutdown, unless a fault may affect it too."""
    stop_started_s = instance.stop_started_s
    if (
        stop_started_s is None
        or instance.is_killed_or_paused
        or environment.active_faults
    ):
        return
    is_settled = environment.last_fault_ended_s < started_s - SETTLE_S
    if not is_settled or started_s > stop_started_s + ACCEPT_PERIOD_S:
        return
    problem = result.failure() if isinstance(result, Failure) else None
    # A reused connection may close before the instance reads the next request. Such a
    # request was not interrupted.
    is_complete = problem is None or isinstance(problem, NotSent) or problem.was_kept
    environment.checks.check_shutdown(
        is_complete, f"{request.request_id} at {instance.name}"
    )
