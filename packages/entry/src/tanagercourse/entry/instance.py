"""Composition root: create the tasks of an entry instance and run them."""

import signal
import time
from random import Random

import anyio
import httpx
import structlog

from tanagercourse.burn.recorder import BurnRecorder
from tanagercourse.coordination.grpc import connect_grpc
from tanagercourse.coordination.members import Address, Member
from tanagercourse.coordination.node import Node
from tanagercourse.coordination.running import (
    announce_leaving,
    run_node,
    wait_until_ready,
)
from tanagercourse.core.ids import Incarnation
from tanagercourse.entry.application import entry_application
from tanagercourse.entry.burn import BurnPublisher, publish_burn, publish_final_burn
from tanagercourse.entry.listening import Listeners
from tanagercourse.entry.options import EntryOptions
from tanagercourse.entry.slot_sharing import open_sharing, share_slots
from tanagercourse.entry.state import EntryState, InstanceIdentity, Phase
from tanagercourse.entry.updates import object_applier, poll_machines
from tanagercourse.platform.http import http_store
from tanagercourse.settings.check import FLEET_PATH
from tanagercourse.settings.paths import TEAMS_PREFIX
from tanagercourse.web.serving import (
    ShutdownPlan,
    address_of,
    serve_application,
)
from tanagercourse.wire.connections import MAX_IDLE_REUSE_S, open_http_clients

# Path prefixes of the platform's objects that are replicated to every instance.
REPLICATED_PREFIXES = (TEAMS_PREFIX, FLEET_PATH)
NS_PER_MS = 1_000_000
MAX_UPSTREAM_CONNECTIONS = 2_048
# Callers reuse an idle connection for at most `MAX_IDLE_REUSE_S`; the added 0.25 s
# covers the network latency of their last request.
CONNECTION_LINGER_S = MAX_IDLE_REUSE_S + 0.25
# Share of a planned stop's timeout that is reserved for publishing the last counts.
FINAL_PUBLISH_SHARE = 0.1

_log = structlog.get_logger()


async def run_instance(
    options: EntryOptions, listeners: Listeners, stop: anyio.Event
) -> None:
    """Run an entry instance until its planned stop has ended.

    Args:
        options: Process settings of the instance.
        listeners: Listening sockets for callers and other instances.
        stop: Event that begins a planned stop.
    """
    async with (
        httpx.AsyncClient(trust_env=False) as platform_client,
        open_http_clients(
            MAX_UPSTREAM_CONNECTIONS, time.monotonic, options.host
        ) as connections,
    ):
        store = http_store(platform_client, options.platform_url)
        incarnation = Incarnation(time.time_ns() // NS_PER_MS)
        identity = InstanceIdentity(options.instance, options.zone, incarnation)
        recorder = BurnRecorder(options.instance, options.zone, time.time())
        state = EntryState(identity, connections, time.monotonic, Random(), recorder)
        pools = state.dispatcher.pools
        publisher = BurnPublisher(store, recorder, options.instance, pools)
        final_publish_s = FINAL_PUBLISH_SHARE * options.stop_timeout_s
        node = _open_node(options, identity, state, listeners)
        sharing = open_sharing(node, state)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(
                run_node,
                node,
                store,
                listeners.peers,
                REPLICATED_PREFIXES,
                connect_grpc,
                (sharing.service,),
            )
            tasks.start_soon(share_slots, node, store, state, sharing)
            tasks.start_soon(poll_machines, store, state.directory)
            tasks.start_soon(publish_burn, publisher)
            tasks.start_soon(_serve_when_ready, node, state)
            await serve_application(
                entry_application(state),
                listeners.callers,
                lambda: _leave_on_stop(node, state, stop),
                ShutdownPlan(
                    CONNECTION_LINGER_S, options.stop_timeout_s - final_publish_s
                ),
            )
            tasks.cancel_scope.cancel()
        with anyio.move_on_after(final_publish_s):
            await publish_final_burn(publisher)


async def stop_on_signal(stop: anyio.Event) -> None:
    """Begin a planned stop on SIGTERM or SIGINT."""
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for signal_number in signals:
            _log.info("stop_requested", signal=signal_number.name)
            stop.set()


def _open_node(
    options: EntryOptions,
    identity: InstanceIdentity,
    state: EntryState,
    listeners: Listeners,
) -> Node:
    _, caller_port = address_of(listeners.callers)
    member = Member(
        options.instance,
        options.zone,
        Address(*address_of(listeners.peers)),
        identity.incarnation,
        caller_port=caller_port,
    )
    apply_update = object_applier(state.active_settings, state.directory)
    return Node(member, time.monotonic, state.random, apply_update, options.seeds)


async def _serve_when_ready(node: Node, state: EntryState) -> None:
    await wait_until_ready(node)
    if state.phase is Phase.STARTING:
        state.phase = Phase.SERVING
        _log.info("serving", version=state.active_settings.version)


async def _leave_on_stop(node: Node, state: EntryState, stop: anyio.Event) -> None:
    await stop.wait()
    announce_leaving(node)
    state.directory.set_leaving(node.own_member.instance, True)
    state.phase = Phase.LEAVING
    _log.info("leaving")
