"""Listeners of an instance: callers, look-ups, readiness, metrics and followers."""

from dataclasses import replace
from functools import partial

import anyio
from anyio.abc import TaskGroup

from tanagercourse.gateway.callers import (
    CallerConnections,
    CallerDependencies,
    RequestHandler,
    serve_caller,
)
from tanagercourse.gateway.endpoints import (
    empty_response,
    make_path_handler,
    text_response,
)
from tanagercourse.gateway.forwarding import forward, make_overlap_decision
from tanagercourse.gateway.logs import Log
from tanagercourse.gateway.messages import Response
from tanagercourse.gateway.sockets import serve_until_cancelled
from tanagercourse.instance.look_ups import make_look_up
from tanagercourse.instance.members import Membership, UtilizationMeter
from tanagercourse.instance.relaying import RelayServer
from tanagercourse.instance.settings import Endpoint, InstancePaths, InstanceSettings
from tanagercourse.instance.state import InstanceState
from tanagercourse.routing.configuration import DEFAULT_LIMITS

# Maximum number of connections that wait to be accepted, for each listener.
BACKLOG = 512
METRICS_PORT = 9464


async def start_listeners(
    settings: InstanceSettings,
    paths: InstancePaths,
    instance: InstanceState,
    membership: Membership,
    meter: UtilizationMeter,
    caller_scope: anyio.CancelScope,
    tasks: TaskGroup,
    log: Log,
) -> None:
    """Start to serve look-ups, readiness checks, metrics and callers' requests.

    Args:
        settings: Settings with the endpoints.
        paths: Paths of the HTTP endpoints.
        instance: State of the instance.
        membership: The instances that look-ups name.
        meter: Counts the bytes of callers' requests.
        caller_scope: Its cancellation closes the listener for callers.
        tasks: Runs the listeners and one task for each connection.
        log: Logger for malformed requests and unexpected errors.
    """
    clock = instance.forwarding.clock

    look_up = make_look_up(
        settings.location.zone,
        settings.caller_endpoint.address() if settings.caller_endpoint else None,
        instance.is_ready,
        membership.addresses,
        log,
    )

    def check_readiness(_: bytes) -> Response:
        return empty_response(200 if instance.is_ready() else 503)

    def render_metrics(_: bytes) -> Response:
        return text_response(instance.counters.as_text())

    handle_control_request = make_path_handler(
        {paths.lookup: look_up, paths.readiness: check_readiness}
    )
    handle_caller_request = meter.count_bodies(partial(forward, instance.forwarding))
    limits = instance.configuration.limits

    def make_caller_deps(
        handle_request: RequestHandler, connections: CallerConnections
    ) -> CallerDependencies:
        return CallerDependencies(handle_request, limits, connections, clock, log)

    # Callers come as soon as a look-up names this instance, or it says it is ready.
    if settings.caller_endpoint is not None:
        request_deps = replace(
            make_caller_deps(handle_caller_request, instance.connections),
            may_overlap=make_overlap_decision(instance.configuration.current),
        )
        await tasks.start(
            _serve, settings.caller_endpoint, request_deps, caller_scope, tasks
        )
    for endpoint in (settings.lookup_endpoint, settings.readiness_endpoint):
        if endpoint is not None:
            await tasks.start(
                _serve,
                endpoint,
                make_caller_deps(handle_control_request, instance.make_connections()),
                None,
                tasks,
            )
    metrics_deps = make_caller_deps(
        make_path_handler({paths.metrics: render_metrics}),
        instance.make_connections(),
    )
    await _serve_metrics(Endpoint(settings.host, METRICS_PORT), metrics_deps, tasks)


async def start_relay(
    relay_server: RelayServer,
    endpoint: Endpoint,
    instance: InstanceState,
    tasks: TaskGroup,
) -> None:
    """Start to serve the instances that follow this one."""
    forwarding = instance.forwarding
    caller_deps = CallerDependencies(
        relay_server.respond,
        lambda: DEFAULT_LIMITS,
        instance.make_connections(),
        forwarding.clock,
        forwarding.log,
    )
    await tasks.start(_serve, endpoint, caller_deps, None, tasks)


async def _serve_metrics(
    endpoint: Endpoint, caller_deps: CallerDependencies, tasks: TaskGroup
) -> None:
    """Serve metrics; an occupied port is logged and does not stop the instance."""
    try:
        await tasks.start(_serve, endpoint, caller_deps, None, tasks)
    except OSError as error:
        caller_deps.log.error(
            "metrics_not_served", port=endpoint.port, detail=str(error)
        )


async def _serve(
    endpoint: Endpoint,
    caller_deps: CallerDependencies,
    scope: anyio.CancelScope | None,
    tasks: TaskGroup,
    task_status: anyio.abc.TaskStatus[None],
) -> None:
    listener = await anyio.create_tcp_listener(
        local_host=endpoint.host, local_port=endpoint.port, backlog=BACKLOG
    )
    task_status.started()
    log = caller_deps.log

    def log_accept_error(error: Exception) -> None:
        log.error("connection_not_accepted", port=endpoint.port, detail=str(error))

    with scope or anyio.CancelScope():
        serve_connection = partial(serve_caller, caller_deps)
        await serve_until_cancelled(listener, serve_connection, tasks, log_accept_error)
