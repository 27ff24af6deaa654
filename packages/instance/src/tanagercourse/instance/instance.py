"""The composition root: wires one instance and runs it until it is stopped."""

import signal
import time
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from functools import partial
from random import Random
from typing import Any

import anyio
import msgspec
from anyio.abc import TaskGroup

from tanagercourse.following.availability import Check, Contact, keep_contact
from tanagercourse.following.operator_objects import (
    ConfigurationInForce,
    DecodeConfiguration,
    follow_evacuations,
)
from tanagercourse.following.upstreams import DecodeEntry, FleetFeed
from tanagercourse.following.watching import (
    WATCH_HISTORY_SHARE,
    WATCH_WAIT_S,
    Source,
    follow,
)
from tanagercourse.gateway.callers import (
    CallerConnections,
    CallerDependencies,
    RequestHandler,
    serve_caller,
)
from tanagercourse.gateway.connections import ConnectionPool
from tanagercourse.gateway.counters import Counters
from tanagercourse.gateway.endpoints import (
    empty_response,
    json_response,
    make_path_handler,
    text_response,
)
from tanagercourse.gateway.forwarding import forward
from tanagercourse.gateway.headers import HeaderNames
from tanagercourse.gateway.logs import Log, LogBuffer, configure_logging, run_log_writer
from tanagercourse.gateway.messages import Response
from tanagercourse.gateway.probing import ProbingDependencies, make_down_handler
from tanagercourse.gateway.request_state import ForwardingDependencies
from tanagercourse.gateway.wait_queue import WaitQueue
from tanagercourse.instance.settings import Endpoint, InstanceSettings, Paths
from tanagercourse.instance.stopping import Phase, Stop
from tanagercourse.platform.store import Store
from tanagercourse.routing.caller_retries import CallerRetryDetector
from tanagercourse.routing.choosing import (
    RoutingState,
    make_expected_cost_chooser,
)
from tanagercourse.routing.fleet import Fleet, UpstreamRecord
from tanagercourse.routing.observations import (
    ActiveObjects,
    CrossZoneTransfers,
    ServiceTimes,
)
from tanagercourse.routing.retry_budget import (
    SlidingWindowRetryBudget,
    instance_retry_ratio,
    instance_retry_slack,
)
from tanagercourse.routing.spilling import SpillShares
from tanagercourse.routing.traffic_split import TrafficSplitter
from tanagercourse.routing.views import ServiceViewCache

# How long a new connection to an upstream may take, in seconds.
CONNECT_TIMEOUT_S = 0.4
# How long callers keep the answer to a look-up, in seconds.
LOOK_UP_TTL_S = 2
# Connections that wait to be accepted.
BACKLOG = 512
# How often entries that lapsed are looked at, in seconds.
LAPSE_CHECK_S = 0.25
# Sends a second that one instance makes to a cold upstream of its zone.
COLD_SENDS_PER_S = 1.0
METRICS_PORT = 9464


@dataclass(frozen=True)
class Surroundings:
    """What connects an instance with where it runs.

    Attributes:
        settings: What it learns at its start.
        paths: Paths of calls and objects.
        header_names: Names of the headers.
        store: The platform.
        check: Asks the platform for next to nothing.
        decode_entry: Reads upstreams' entries.
        decode_configuration: Reads the operator's configuration.
        watch_settings: Runs until cancelled; tells of changed settings.
    """

    settings: InstanceSettings
    paths: Paths
    header_names: HeaderNames
    store: Store
    check: Check
    decode_entry: DecodeEntry
    decode_configuration: DecodeConfiguration
    watch_settings: Callable[[Log], Coroutine[Any, Any, None]]


async def run_instance(around: Surroundings) -> None:
    """Run one instance until SIGTERM has been served."""
    clock = time.monotonic
    settings = around.settings
    lines = LogBuffer(clock)
    log = configure_logging(lines, time.time, instance=settings.instance)
    log.info("started", zone=settings.location.zone)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(run_log_writer, lines, log)
        instance = _wire(around, tasks, log, clock)
        await _follow_platform(around, instance, tasks, log)
        callers = anyio.CancelScope()
        await _listen(around, instance, callers, tasks, log)
        tasks.start_soon(around.watch_settings, log)
        await _await_stop()
        await instance.stop.run(callers.cancel, log)
        tasks.cancel_scope.cancel()


@dataclass(frozen=True)
class _Instance:
    fleet: Fleet
    feed: FleetFeed
    configuration: ConfigurationInForce
    connections: CallerConnections
    counters: Counters
    stop: Stop
    forwarding: ForwardingDependencies

    def is_ready(self) -> bool:
        known = self.feed.is_known and self.configuration.current() is not None
        return known and self.stop.phase is Phase.SERVING


def _wire(
    around: Surroundings, tasks: TaskGroup, log: Log, clock: Callable[[], float]
) -> _Instance:
    settings = around.settings
    fleet = Fleet()
    pool = ConnectionPool(clock, CONNECT_TIMEOUT_S)
    connections = CallerConnections()
    configuration = ConfigurationInForce(
        around.paths.configuration, around.decode_configuration, log
    )

    def leave(upstream: str) -> None:
        tasks.start_soon(pool.discard_idle, upstream)

    feed = FleetFeed(fleet, around.decode_entry, leave, log, clock)
    probing = ProbingDependencies(
        around.header_names, fleet, pool, configuration.health_path, clock, log, tasks
    )
    work, crossings, objects = ServiceTimes(), CrossZoneTransfers(), ActiveObjects()
    spill, views = SpillShares(), ServiceViewCache(settings.location, fleet)
    counters = Counters()
    forwarding = ForwardingDependencies(
        header_names=around.header_names,
        configuration=configuration.current,
        location=settings.location,
        views=views,
        choose=make_expected_cost_chooser(
            RoutingState(
                settings.location,
                views,
                work,
                crossings,
                objects,
                spill,
                _cold_sends_per_s,
            )
        ),
        service_times=work,
        transfers=crossings,
        active_objects=objects,
        spill_shares=spill,
        retry_budget=SlidingWindowRetryBudget(
            instance_retry_ratio(settings.repeat_ratio),
            instance_retry_slack(settings.repeat_slack),
            settings.repeat_window_s,
        ),
        traffic_splitter=TrafficSplitter(),
        pool=pool,
        wait_queue=WaitQueue(),
        counters=counters,
        log=log,
        clock=clock,
        mark_down=make_down_handler(probing),
        is_caller_retry=CallerRetryDetector().is_caller_retry,
    )
    stop = Stop(connections, settings.grace_s, clock)
    return _Instance(
        fleet, feed, configuration, connections, counters, stop, forwarding
    )


def _cold_sends_per_s(record: UpstreamRecord) -> float:
    return COLD_SENDS_PER_S


async def _follow_platform(
    around: Surroundings, instance: _Instance, tasks: TaskGroup, log: Log
) -> None:
    paths, configuration = around.paths, instance.configuration
    evacuations = follow_evacuations(
        instance.fleet, configuration.cold_starts_s, log, instance.forwarding.clock
    )
    followed = (
        (paths.configurations, configuration.follower()),
        (paths.evacuations, evacuations),
        (paths.upstreams, instance.feed.follower()),
    )
    wait_s = min(WATCH_WAIT_S, WATCH_HISTORY_SHARE * around.settings.history_s)
    source = Source(around.store, Contact(), wait_s)
    tasks.start_soon(keep_contact, source.contact, around.check, log, Random())
    for prefix, follower in followed:
        tasks.start_soon(follow, source, prefix, follower, log, Random())
    tasks.start_soon(_drop_missing, instance.feed)


async def _drop_missing(feed: FleetFeed) -> None:
    while True:
        await anyio.sleep(LAPSE_CHECK_S)
        feed.drop_missing()


async def _listen(
    around: Surroundings,
    instance: _Instance,
    callers: anyio.CancelScope,
    tasks: TaskGroup,
    log: Log,
) -> None:
    settings, paths = around.settings, around.paths
    clock = instance.forwarding.clock

    def look_up(_: bytes) -> Response:
        if not instance.is_ready() or settings.callers is None:
            return empty_response(503)
        own = f"{settings.callers.host}:{settings.callers.port}"
        return json_response(
            msgspec.json.encode({"addresses": [own], "ttl_s": LOOK_UP_TTL_S})
        )

    def ready(_: bytes) -> Response:
        return empty_response(200 if instance.is_ready() else 503)

    def metrics(_: bytes) -> Response:
        return text_response(instance.counters.as_text())

    small = make_path_handler({paths.look_up: look_up, paths.ready: ready})
    answer_callers = partial(forward, instance.forwarding)
    limits = instance.configuration.limits

    def parts(
        respond: RequestHandler, connections: CallerConnections
    ) -> CallerDependencies:
        return CallerDependencies(respond, limits, connections, clock, log)

    for endpoint in (settings.look_ups, settings.readiness):
        if endpoint is not None:
            await tasks.start(
                _serve, endpoint, parts(small, CallerConnections()), None, tasks
            )
    metrics_parts = parts(
        make_path_handler({paths.metrics: metrics}), CallerConnections()
    )
    await _serve_metrics(Endpoint(settings.host, METRICS_PORT), metrics_parts, tasks)
    if settings.callers is not None:
        with_callers = parts(answer_callers, instance.connections)
        await tasks.start(_serve, settings.callers, with_callers, callers, tasks)


async def _serve_metrics(
    endpoint: Endpoint, parts: CallerDependencies, tasks: TaskGroup
) -> None:
    """Serve metrics where their port is free; requests are served without them too."""
    try:
        await tasks.start(_serve, endpoint, parts, None, tasks)
    except OSError as error:
        parts.log.error("metrics_not_served", port=endpoint.port, detail=str(error))


async def _serve(
    endpoint: Endpoint,
    parts: CallerDependencies,
    scope: anyio.CancelScope | None,
    tasks: TaskGroup,
    task_status: anyio.abc.TaskStatus[None],
) -> None:
    listener = await anyio.create_tcp_listener(
        local_host=endpoint.host, local_port=endpoint.port, backlog=BACKLOG
    )
    task_status.started()
    async with listener:
        with scope or anyio.CancelScope():
            await listener.serve(partial(serve_caller, parts), tasks)


async def _await_stop() -> None:
    with anyio.open_signal_receiver(signal.SIGTERM) as signals:
        async for _ in signals:
            return
