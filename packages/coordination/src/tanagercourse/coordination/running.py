"""Run an instance's part in the fleet: wire its tasks and end them in order."""

import socket

import anyio

from tanagercourse.coordination.grpc import connect_grpc, serve_peers
from tanagercourse.coordination.handlers import peer_handlers
from tanagercourse.coordination.links import keep_links
from tanagercourse.coordination.members import REGISTRATIONS_PREFIX
from tanagercourse.coordination.node import Node
from tanagercourse.coordination.node_tasks import (
    learn_peers,
    read_when_chosen,
    register,
    report_in_force,
    roll_up_when_chosen,
)
from tanagercourse.coordination.peer_grpc import SharesBase
from tanagercourse.coordination.peers import Connect
from tanagercourse.core.ids import ObjectPath
from tanagercourse.core.states import InstanceState
from tanagercourse.platform.store import Store

# How long a leaving instance goes on passing the news of its leaving.
FAREWELL_S = 1.0


async def run_node(
    node: Node,
    store: Store,
    listener: socket.socket | None,
    prefixes: tuple[ObjectPath, ...],
    connect: Connect = connect_grpc,
    services: tuple[SharesBase, ...] = (),
) -> None:
    """Take part in the fleet until cancelled.

    Args:
        node: This instance's state.
        store: The platform.
        listener: The socket that peers connect to; None where they need none.
        prefixes: What of the platform's objects is spread.
        connect: Opens connections to peers.
        services: What else is served to peers on the same socket.
    """
    async with anyio.create_task_group() as tasks:
        if listener is not None:
            tasks.start_soon(serve_peers, peer_handlers(node), listener, *services)
        await learn_peers(node, store)
        tasks.start_soon(keep_links, node, connect)
        tasks.start_soon(register, node, store)
        tasks.start_soon(
            read_when_chosen, node, store, (*prefixes, REGISTRATIONS_PREFIX)
        )
        tasks.start_soon(roll_up_when_chosen, node, store)
        tasks.start_soon(report_in_force, node, connect)


async def wait_until_ready(node: Node) -> None:
    """Wait until this instance's settings are in force."""
    while not node.is_ready:
        with anyio.move_on_after(FAREWELL_S):
            await node.changed.wait()


def announce_leaving(node: Node) -> None:
    """Tell the fleet at once that this instance gets no new work."""
    node.say(InstanceState.LEAVING)
