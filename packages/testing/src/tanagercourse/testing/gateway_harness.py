"""Gateways on loopback between raw callers and scripted upstreams."""

import time
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from contextlib import ExitStack, asynccontextmanager, contextmanager
from dataclasses import dataclass
from functools import partial
from random import Random
from socket import SO_REUSEADDR, SOL_SOCKET, socket

import anyio
import structlog
from anyio.abc import SocketAttribute, SocketStream, TaskGroup

from tanagercourse.core.ids import (
    ConfigurationVersion,
    RegionId,
    RouteId,
    ServiceId,
    UpstreamId,
    ZoneId,
)
from tanagercourse.core.states import Idempotency
from tanagercourse.gateway.callers import (
    CallerConnections,
    CallerDependencies,
    serve_caller,
)
from tanagercourse.gateway.connection_pool import ConnectionPool
from tanagercourse.gateway.counters import Counters
from tanagercourse.gateway.forwarding import forward, make_overlap_decision
from tanagercourse.gateway.headers import HeaderNames
from tanagercourse.gateway.request_state import ForwardingDependencies
from tanagercourse.gateway.sockets import serve_until_cancelled
from tanagercourse.gateway.statements import make_statement_recorder
from tanagercourse.gateway.wait_queue import WaitQueue
from tanagercourse.routing.caller_retries import CallerElapsedTimes
from tanagercourse.routing.choosing import (
    RoutingState,
    make_expected_cost_chooser,
)
from tanagercourse.routing.cold_starts import ColdSendLimiter
from tanagercourse.routing.configuration import (
    CallerLimits,
    Configuration,
    Route,
    ServiceWeight,
    sort_by_prefix_length,
)
from tanagercourse.routing.fleet import (
    Duty,
    Fleet,
    Reachability,
    UpstreamRecord,
    UpstreamRegistration,
)
from tanagercourse.routing.observations import (
    ActiveObjects,
    CrossZoneTransfers,
    ServiceTimes,
)
from tanagercourse.routing.retry_budget import SlidingWindowRetryBudget
from tanagercourse.routing.spilling import SpillShares
from tanagercourse.routing.topology import Location
from tanagercourse.routing.traffic_split import TrafficSplitter
from tanagercourse.routing.views import ServiceViewCache
from tanagercourse.testing.scripted import HOST, ScriptedUpstream, read_response

TEST_HEADER_NAMES = HeaderNames(
    request_id=b"X-Id",
    deadline_ms=b"X-Deadline-Ms",
    expected_upstream=b"X-Expected",
    affinity_cookie=b"object",
    not_run=b"X-Not-Run",
    load=b"X-Load",
    upstream_id=b"X-Upstream",
    cold_ms=b"X-Cold-Ms",
    leaving=b"X-Leaving",
    proof=b"X-Proof",
    tenant=b"X-Tenant",
)
ZONE, SERVICE = ZoneId("a1"), ServiceId("stock")


@dataclass
class Gateway:
    """A running gateway and the state that tests inspect.

    Attributes:
        port: TCP port for callers.
        dependencies: Dependencies of the forwarding code.
        fleet: The gateway's registered upstreams.
        connections: The open connections of callers.
        down_upstreams: Ids of the upstreams that the gateway marked down, in order.
    """

    port: int
    dependencies: ForwardingDependencies
    fleet: Fleet
    connections: CallerConnections
    down_upstreams: list[str]

    async def connect(self) -> SocketStream:
        """Connect to the gateway as a caller."""
        return await anyio.connect_tcp("127.0.0.1", self.port)

    async def exchange(self, request: bytes) -> bytes:
        """Send a raw request on a new connection and return the raw response."""
        stream = await self.connect()
        async with stream:
            await stream.send(request)
            return await read_response(stream)


def _route(prefix: bytes, idempotency: Idempotency) -> Route:
    return Route(
        RouteId(prefix.decode()),
        prefix,
        (ServiceWeight(SERVICE, 1.0),),
        idempotency,
        timeout_s=5.0,
        target_latency_s=0.4,
        max_upstreams=2,
        priority=0,
        home_regions=frozenset(),
        is_sticky=True,
    )


def make_two_route_configuration() -> Configuration:
    """Return a configuration with an idempotent and a non-idempotent route."""
    routes = [
        _route(b"/safe/", Idempotency.IDEMPOTENT),
        _route(b"/once/", Idempotency.NON_IDEMPOTENT),
    ]
    return Configuration(
        ConfigurationVersion(1),
        {HOST: sort_by_prefix_length(routes)},
        {},
        CallerLimits(4096, 100_000, 3.0, 15.0),
    )


@contextmanager
def reserve_ports(count: int, host: str = "127.0.0.1") -> Iterator[tuple[int, ...]]:
    """Reserve TCP ports of an address for a process that starts later.

    While the ports are reserved, the system gives them to no socket that asks for any
    port; a process that names one can listen on it, as asyncio sets SO_REUSEADDR.
    """
    with ExitStack() as stack:
        sockets = [stack.enter_context(socket()) for _ in range(count)]
        for reservation in sockets:
            reservation.setsockopt(SOL_SOCKET, SO_REUSEADDR, 1)
            reservation.bind((host, 0))
        yield tuple(reservation.getsockname()[1] for reservation in sockets)


async def serve_on_free_port(
    serve: Callable[[SocketStream], Awaitable[None]],
    task_status: anyio.abc.TaskStatus[int],
) -> None:
    """Serve connections on a free loopback port; report the port once it is open."""
    listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
    async with anyio.create_task_group() as tasks:
        task_status.started(listener.extra(SocketAttribute.local_port))
        await serve_until_cancelled(listener, serve, tasks)


# Marks an upstream of a gateway as down, and probes it at a health path from then on.
MarkDown = Callable[[Gateway, str, str], UpstreamRecord]
# Accepts scripted upstreams, and the retry budget's `slack` as a keyword argument.
MakeGateway = Callable[..., Awaitable[Gateway]]


@asynccontextmanager
async def gateway_factory(configuration: Configuration) -> AsyncIterator[MakeGateway]:
    """Yield a function that starts a gateway in front of scripted upstreams."""
    async with anyio.create_task_group() as tasks:

        async def make_gateway(
            *upstreams: ScriptedUpstream, slack: float = 10.0
        ) -> Gateway:
            fleet = Fleet()
            for upstream in upstreams:
                upstream.port = await tasks.start(serve_on_free_port, upstream.serve)
                fleet.put(make_registration(upstream), time.monotonic())
            dependencies, down_upstreams = _make_dependencies(
                fleet, configuration, slack, tasks
            )
            connections = CallerConnections()
            callers = CallerDependencies(
                partial(forward, dependencies),
                lambda: configuration.limits,
                connections,
                time.monotonic,
                dependencies.log,
                make_overlap_decision(lambda: configuration),
            )
            port = await tasks.start(serve_on_free_port, partial(serve_caller, callers))
            return Gateway(port, dependencies, fleet, connections, down_upstreams)

        yield make_gateway
        tasks.cancel_scope.cancel()


def make_registration(upstream: ScriptedUpstream) -> UpstreamRegistration:
    """Return the registration of a scripted upstream."""
    return UpstreamRegistration(
        UpstreamId(upstream.name),
        SERVICE,
        "127.0.0.1",
        upstream.port,
        ZONE,
        3,
        Duty.READY,
        0.0,
        1,
    )


def _make_dependencies(
    fleet: Fleet, configuration: Configuration, slack: float, tasks: TaskGroup
) -> tuple[ForwardingDependencies, list[str]]:
    location = Location(ZONE, {ZONE: RegionId("a")})
    service_times, transfers, active_objects = (
        ServiceTimes(),
        CrossZoneTransfers(),
        ActiveObjects(),
    )
    spill_shares, views = SpillShares(), ServiceViewCache(location, fleet)
    down_upstreams: list[str] = []

    def record_down(record: UpstreamRecord, detail: str) -> None:
        record.reachability = Reachability.DOWN
        down_upstreams.append(record.registration.upstream)

    counters, log = Counters(), structlog.get_logger()
    pool = ConnectionPool(time.monotonic, 2.0)

    def discard_connections(upstream: UpstreamId) -> None:
        tasks.start_soon(pool.discard_idle, upstream)

    record_statements = make_statement_recorder(
        TEST_HEADER_NAMES, fleet, discard_connections, time.monotonic, counters, log
    )
    dependencies = ForwardingDependencies(
        header_names=TEST_HEADER_NAMES,
        configuration=lambda: configuration,
        location=location,
        views=views,
        choose=make_expected_cost_chooser(
            RoutingState(
                location,
                views,
                service_times,
                transfers,
                active_objects,
                spill_shares,
                ColdSendLimiter(lambda record: 1.0, Random(1)),
            )
        ),
        service_times=service_times,
        transfers=transfers,
        active_objects=active_objects,
        spill_shares=spill_shares,
        retry_budget=SlidingWindowRetryBudget(0.2, slack, 10.0),
        traffic_splitter=TrafficSplitter(),
        pool=pool,
        wait_queue=WaitQueue(time.monotonic),
        counters=counters,
        log=log,
        clock=time.monotonic,
        mark_down=record_down,
        record_statements=record_statements,
        caller_elapsed_s=CallerElapsedTimes().elapsed_s,
    )
    return dependencies, down_upstreams
