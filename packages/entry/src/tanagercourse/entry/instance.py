"""Composition root: wires an entry instance's parts and runs them."""

import signal
import socket
import time
from random import Random

import anyio
import httpx
import structlog
from tanagercourse.burn.recorder import BurnRecorder
from tanagercourse.core.ids import InstanceId
from tanagercourse.entry.application import entry_application
from tanagercourse.entry.burn import BurnPublisher, finish_burn, publish_burn
from tanagercourse.entry.follow import follow_machines, follow_settings
from tanagercourse.entry.options import EntryOptions
from tanagercourse.entry.state import EntryState, Phase
from tanagercourse.platform.http import http_store
from tanagercourse.platform.store import Store
from tanagercourse.web.serving import StopPlan, serve_application
from tanagercourse.wire.connections import REUSE_FOR_S, open_connections

MAX_UPSTREAM_CONNECTIONS = 2_048
# Callers use an idle connection again for REUSE_FOR_S at most; the rest is travel.
LINGER_S = REUSE_FOR_S + 0.25

_log = structlog.get_logger()


async def run_instance(
    options: EntryOptions, listener: socket.socket, stop: anyio.Event
) -> None:
    """Run an entry instance until it is told to stop.

    Args:
        options: Its process settings.
        listener: The socket that callers connect to.
        stop: Set to begin a planned stop.
    """
    async with (
        httpx.AsyncClient(trust_env=False) as platform_client,
        open_connections(
            MAX_UPSTREAM_CONNECTIONS, time.monotonic, options.host
        ) as connections,
    ):
        store = http_store(platform_client, options.platform_url)
        recorder = BurnRecorder(options.instance, options.zone, time.time())
        state = EntryState(connections, time.monotonic, Random(), recorder)
        publisher = BurnPublisher(store, recorder, options.instance, state.pools)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(follow_machines, store, state.roster)
            tasks.start_soon(publish_burn, publisher)
            tasks.start_soon(_become_ready, store, state, tasks)
            await serve_application(
                entry_application(state),
                listener,
                lambda: _begin_leaving(state, options.instance, stop),
                StopPlan(LINGER_S, options.stop_timeout_s),
            )
            tasks.cancel_scope.cancel()
        await finish_burn(publisher)


async def stop_on_signal(stop: anyio.Event) -> None:
    """Begin a planned stop on SIGTERM or SIGINT."""
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for number in signals:
            _log.info("stop_asked", signal=number.name)
            stop.set()


async def _become_ready(
    store: Store, state: EntryState, tasks: anyio.abc.TaskGroup
) -> None:
    first_read = anyio.Event()
    tasks.start_soon(follow_settings, store, state.in_force, first_read)
    await first_read.wait()
    if state.phase is Phase.STARTING:
        state.phase = Phase.SERVING
        _log.info("serving", version=state.in_force.version)


async def _begin_leaving(
    state: EntryState, instance: InstanceId, stop: anyio.Event
) -> None:
    await stop.wait()
    state.roster.mark_leaving(instance)
    state.phase = Phase.LEAVING
    _log.info("leaving")
