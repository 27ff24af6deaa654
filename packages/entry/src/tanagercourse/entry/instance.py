"""Composition root: wires an entry instance's parts and runs them."""

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
from tanagercourse.entry.burn import BurnPublisher, finish_burn, publish_burn
from tanagercourse.entry.listening import Listeners
from tanagercourse.entry.options import EntryOptions
from tanagercourse.entry.slot_sharing import open_sharing, share_slots
from tanagercourse.entry.state import EntryState, Phase, Place
from tanagercourse.entry.updates import follow_machines, put_in_force
from tanagercourse.platform.http import http_store
from tanagercourse.settings.check import FLEET_PATH
from tanagercourse.settings.paths import TEAMS_PREFIX
from tanagercourse.web.serving import (
    ShutdownPlan,
    address_of,
    serve_application,
)
from tanagercourse.wire.connections import MAX_IDLE_REUSE_S, open_http_clients

# What of the platform's objects every instance has in force.
SPREAD = (TEAMS_PREFIX, FLEET_PATH)
NS_PER_MS = 1_000_000
MAX_UPSTREAM_CONNECTIONS = 2_048
# Callers use an idle connection again for MAX_IDLE_REUSE_S at most; the rest is travel.
LINGER_S = MAX_IDLE_REUSE_S + 0.25
# Share of a planned stop's time that is kept for publishing the last counts.
LAST_COUNTS_SHARE = 0.1

_log = structlog.get_logger()


async def run_instance(
    options: EntryOptions, listeners: Listeners, stop: anyio.Event
) -> None:
    """Run an entry instance until it is told to stop.

    Args:
        options: Its process settings.
        listeners: The sockets that callers and other instances connect to.
        stop: Set to begin a planned stop.
    """
    async with (
        httpx.AsyncClient(trust_env=False) as platform_client,
        open_http_clients(
            MAX_UPSTREAM_CONNECTIONS, time.monotonic, options.host
        ) as connections,
    ):
        store = http_store(platform_client, options.platform_url)
        incarnation = Incarnation(time.time_ns() // NS_PER_MS)
        place = Place(options.instance, options.zone, incarnation)
        recorder = BurnRecorder(options.instance, options.zone, time.time())
        state = EntryState(place, connections, time.monotonic, Random(), recorder)
        pools = state.dispatcher.pools
        publisher = BurnPublisher(store, recorder, options.instance, pools)
        last_counts_s = LAST_COUNTS_SHARE * options.stop_timeout_s
        node = _open_node(options, place, state, listeners)
        sharing = open_sharing(node, state)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(
                run_node,
                node,
                store,
                listeners.peers,
                SPREAD,
                connect_grpc,
                (sharing.service,),
            )
            tasks.start_soon(share_slots, node, store, state, sharing)
            tasks.start_soon(follow_machines, store, state.roster)
            tasks.start_soon(publish_burn, publisher)
            tasks.start_soon(_become_ready, node, state)
            await serve_application(
                entry_application(state),
                listeners.callers,
                lambda: _begin_leaving(node, state, stop),
                ShutdownPlan(LINGER_S, options.stop_timeout_s - last_counts_s),
            )
            tasks.cancel_scope.cancel()
        with anyio.move_on_after(last_counts_s):
            await finish_burn(publisher)


async def stop_on_signal(stop: anyio.Event) -> None:
    """Begin a planned stop on SIGTERM or SIGINT."""
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for number in signals:
            _log.info("stop_asked", signal=number.name)
            stop.set()


def _open_node(
    options: EntryOptions, place: Place, state: EntryState, listeners: Listeners
) -> Node:
    _, caller_port = address_of(listeners.callers)
    me = Member(
        options.instance,
        options.zone,
        Address(*address_of(listeners.peers)),
        place.incarnation,
        caller_port=caller_port,
    )
    put = put_in_force(state.in_force, state.roster)
    return Node(me, time.monotonic, state.random, put, options.seeds)


async def _become_ready(node: Node, state: EntryState) -> None:
    await wait_until_ready(node)
    if state.phase is Phase.STARTING:
        state.phase = Phase.SERVING
        _log.info("serving", version=state.in_force.version)


async def _begin_leaving(node: Node, state: EntryState, stop: anyio.Event) -> None:
    await stop.wait()
    announce_leaving(node)
    state.roster.tell_leaving(node.own_member.instance, True)
    state.phase = Phase.LEAVING
    _log.info("leaving")
