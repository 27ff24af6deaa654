"""Composition root: builds one instance and runs it until SIGTERM."""

import resource
import signal
import time
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, replace
from functools import partial
from random import Random
from typing import Any

import anyio
from anyio.abc import TaskGroup

from tanagercourse.following.eras import EraTracker
from tanagercourse.following.evacuations import EvacuationUpdater
from tanagercourse.following.operator_objects import (
    ActiveConfiguration,
    DecodeConfiguration,
)
from tanagercourse.following.sources import StoreFunctions, watch_briefly_at_first
from tanagercourse.following.upstreams import DecodeRegistration, FleetUpdater
from tanagercourse.following.watching import watch_prefix
from tanagercourse.gateway.body_budget import BodyBudget, budget_bytes
from tanagercourse.gateway.callers import CallerConnections
from tanagercourse.gateway.connection_limit import ConnectionLimit
from tanagercourse.gateway.connection_pool import ConnectionPool
from tanagercourse.gateway.counters import Counters
from tanagercourse.gateway.headers import HeaderNames
from tanagercourse.gateway.logs import Log, LogBuffer, configure_logging, run_log_writer
from tanagercourse.gateway.probing import ProbingDependencies, make_down_handler
from tanagercourse.gateway.request_scopes import RequestScopes
from tanagercourse.gateway.request_state import ForwardingDependencies
from tanagercourse.gateway.statements import make_statement_recorder
from tanagercourse.gateway.wait_queue import WaitQueue
from tanagercourse.instance.listeners import start_listeners, start_relay
from tanagercourse.instance.look_ups import are_alike, choose_members
from tanagercourse.instance.members import (
    Capacity,
    FollowedMembers,
    Member,
    Membership,
    Readiness,
    RelayMembers,
    UtilizationMeter,
)
from tanagercourse.instance.object_source import SourceDependencies, start_source
from tanagercourse.instance.quota_exchange import start_quotas
from tanagercourse.instance.relaying import PEER_CONNECT_TIMEOUT_S, RelayServer
from tanagercourse.instance.settings import InstancePaths, InstanceSettings
from tanagercourse.instance.state import InstanceState
from tanagercourse.instance.stopping import GracefulShutdown
from tanagercourse.instance.zone_size import ZoneSize
from tanagercourse.routing.caller_retries import CallerElapsedTimes
from tanagercourse.routing.choosing import (
    RoutingState,
    make_expected_cost_chooser,
)
from tanagercourse.routing.cold_starts import ColdSendLimiter
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

# Time limit for opening a connection to an upstream.
CONNECT_TIMEOUT_S = 0.4
# Interval between checks for upstreams whose grace period has ended.
REMOVE_EXPIRED_INTERVAL_S = 0.25
# Maximum rate of requests to a cold upstream where its service configures none.
DEFAULT_COLD_REQUESTS_PER_S = 1.0


@dataclass(frozen=True)
class InstanceDependencies:
    """Everything platform-specific that an instance needs.

    Attributes:
        settings: Settings read at the start of the process.
        paths: Paths of HTTP endpoints and platform objects.
        header_names: Names of the HTTP headers.
        make_store: Returns the functions that read the platform's store, and that
            record the eras that it states.
        decode_registration: Decodes upstream registrations.
        decode_configuration: Decodes the operator's configuration.
        watch_settings: Runs until cancelled and logs changes of the settings file.
    """

    settings: InstanceSettings
    paths: InstancePaths
    header_names: HeaderNames
    make_store: Callable[[EraTracker], StoreFunctions]
    decode_registration: DecodeRegistration
    decode_configuration: DecodeConfiguration
    watch_settings: Callable[[Log], Coroutine[Any, Any, None]]


async def run_instance(deps: InstanceDependencies) -> None:
    """Run one instance until SIGTERM, then shut it down gracefully."""
    clock = time.monotonic
    settings = deps.settings
    log_buffer = LogBuffer(clock)
    log = configure_logging(log_buffer, time.time, instance=settings.instance)
    log.info("started", zone=settings.location.zone)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(run_log_writer, log_buffer, log)
        instance = _build_instance(deps, tasks, log, clock)
        meter = UtilizationMeter(
            Capacity(settings.cores, settings.link_mbps), clock, _processor_time_s
        )
        membership = _make_membership(settings, instance, meter)
        relay_server = await _start_platform_watches(
            deps, instance, membership, tasks, log
        )
        caller_scope = anyio.CancelScope()
        await start_listeners(
            settings, deps.paths, instance, membership, meter, caller_scope, tasks, log
        )
        if relay_server is not None and settings.relay_endpoint is not None:
            await start_relay(relay_server, settings.relay_endpoint, instance, tasks)
        tasks.start_soon(deps.watch_settings, log)
        await _shut_down_on_sigterm(instance.shutdown, caller_scope.cancel, log)
        tasks.cancel_scope.cancel()


def _build_instance(
    deps: InstanceDependencies, tasks: TaskGroup, log: Log, clock: Callable[[], float]
) -> InstanceState:
    settings = deps.settings
    fleet = Fleet()
    budget = BodyBudget(budget_bytes(settings.memory_bytes))
    pool = ConnectionPool(clock, CONNECT_TIMEOUT_S, budget)
    connections = CallerConnections(budget, ConnectionLimit(settings.sockets))
    configuration = ActiveConfiguration(
        deps.paths.configuration, deps.decode_configuration, log
    )

    def discard_connections(upstream: str) -> None:
        tasks.start_soon(pool.discard_idle, upstream)

    fleet_updater = FleetUpdater(
        fleet,
        deps.decode_registration,
        discard_connections,
        log,
        clock,
        settings.heartbeat_interval_s,
    )
    service_times, transfers, active_objects = (
        ServiceTimes(),
        CrossZoneTransfers(),
        ActiveObjects(),
    )
    spill_shares, views = SpillShares(), ServiceViewCache(settings.location, fleet)
    counters, zone_size = Counters(), ZoneSize(clock)
    requests = RequestScopes()
    shutdown = GracefulShutdown(connections, requests, settings.grace_s, clock)
    record_statements = make_statement_recorder(
        deps.header_names, fleet, discard_connections, clock, counters, log
    )
    probing = ProbingDependencies(
        deps.header_names,
        fleet,
        pool,
        configuration.health_path,
        clock,
        record_statements,
        log,
        tasks,
    )

    def cold_requests_per_s(record: UpstreamRecord) -> float:
        """Return this instance's part of the rate that a cold upstream tolerates."""
        configured_per_s = configuration.cold_requests_per_s(
            record.registration.service
        )
        zone_per_s = configured_per_s or DEFAULT_COLD_REQUESTS_PER_S
        return zone_per_s / zone_size.instance_count()

    forwarding = ForwardingDependencies(
        header_names=deps.header_names,
        configuration=configuration.current,
        location=settings.location,
        views=views,
        choose=make_expected_cost_chooser(
            RoutingState(
                settings.location,
                views,
                service_times,
                transfers,
                active_objects,
                spill_shares,
                ColdSendLimiter(cold_requests_per_s, Random()),
            )
        ),
        service_times=service_times,
        transfers=transfers,
        active_objects=active_objects,
        spill_shares=spill_shares,
        retry_budget=SlidingWindowRetryBudget(
            instance_retry_ratio(settings.retry_budget_ratio),
            instance_retry_slack(settings.retry_budget_slack),
            settings.retry_budget_window_s,
        ),
        traffic_splitter=TrafficSplitter(),
        pool=pool,
        wait_queue=WaitQueue(clock),
        counters=counters,
        log=log,
        clock=clock,
        mark_down=make_down_handler(probing),
        record_statements=record_statements,
        caller_elapsed_s=CallerElapsedTimes().elapsed_s,
        may_serve=shutdown.may_serve,
        quota=start_quotas(
            settings,
            configuration.current,
            zone_size.instance_count,
            counters,
            log,
            tasks,
        ),
        scopes=requests,
    )
    return InstanceState(
        fleet,
        fleet_updater,
        configuration,
        connections,
        counters,
        shutdown,
        zone_size,
        forwarding,
    )


def _processor_time_s() -> float:
    """Return the processor time of this process, in seconds.

    The clock behind `time.process_time` follows the monotonic clock where a host
    virtualizes the clocks of its processes.
    """
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


def _make_membership(
    settings: InstanceSettings, instance: InstanceState, meter: UtilizationMeter
) -> Membership:
    def describe_self() -> Member | None:
        if settings.caller_endpoint is None:
            return None
        readiness = Readiness.READY if instance.is_ready() else Readiness.NOT_READY
        return Member(
            settings.caller_endpoint.address(),
            meter.capacity,
            readiness,
            meter.read(),
        )

    relayed = None
    if settings.relay_endpoint in settings.relays:
        relayed = RelayMembers(
            settings.location.zone,
            settings.instance,
            describe_self,
            choose_members,
            are_alike,
            _clock_with_suspension,
        )
    return Membership(describe_self, FollowedMembers(_clock_with_suspension), relayed)


def _clock_with_suspension() -> float:
    """Return a monotonic time that includes suspended time, in seconds."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


async def _start_platform_watches(
    deps: InstanceDependencies,
    instance: InstanceState,
    membership: Membership,
    tasks: TaskGroup,
    log: Log,
) -> RelayServer | None:
    """Start to mirror the platform's objects; return the relay if this is one."""
    paths, configuration = deps.paths, instance.configuration
    evacuation_updater = EvacuationUpdater(
        instance.fleet, configuration.cold_starts_s, log, instance.forwarding.clock
    )
    handlers_by_prefix = (
        (paths.configuration_prefix, configuration.handlers()),
        (paths.evacuation_prefix, evacuation_updater.handlers()),
        (paths.registration_prefix, instance.fleet_updater.handlers()),
    )
    eras = EraTracker(log, partial(instance.counters.count, "store_era_ended"))
    store = deps.make_store(eras)
    store = replace(store, watch=watch_briefly_at_first(store.watch))
    settings = deps.settings
    apply_within_s = {
        paths.configuration_prefix: settings.configuration_apply_s,
        paths.registration_prefix: settings.drain_apply_s,
        paths.evacuation_prefix: settings.evacuation_apply_s,
    }
    clock = instance.forwarding.clock
    source_deps = SourceDependencies(
        store,
        eras,
        apply_within_s,
        settings,
        instance.zone_size,
        membership,
        ConnectionPool(clock, PEER_CONNECT_TIMEOUT_S),
        log,
        clock,
        Random(),
    )
    source, relay_server = start_source(source_deps, tasks)
    for prefix, handlers in handlers_by_prefix:
        tasks.start_soon(watch_prefix, source, prefix, handlers, log, Random())
    tasks.start_soon(
        _remove_expired_regularly, instance.fleet_updater, evacuation_updater
    )
    return relay_server


async def _remove_expired_regularly(
    fleet_updater: FleetUpdater, evacuation_updater: EvacuationUpdater
) -> None:
    while True:
        await anyio.sleep(REMOVE_EXPIRED_INTERVAL_S)
        fleet_updater.remove_expired()
        evacuation_updater.remove_expired()


async def _shut_down_on_sigterm(
    shutdown: GracefulShutdown, stop_accepting: Callable[[], None], log: Log
) -> None:
    """Wait for SIGTERM and shut down; a further SIGTERM changes nothing."""
    with anyio.open_signal_receiver(signal.SIGTERM) as signals:
        async for _ in signals:
            break
        async with anyio.create_task_group() as tasks:

            async def log_further_signals() -> None:
                async for _ in signals:
                    log.info("stop_requested_again")

            # The receiver stays open: without it the default action ends the process.
            tasks.start_soon(log_further_signals)
            await shutdown.run(stop_accepting, log)
            tasks.cancel_scope.cancel()
