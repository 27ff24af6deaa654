"""Start and stop the coordination tasks of an instance."""

import socket

import anyio

from tanagercourse.coordination.grpc import connect_grpc, serve_peers
from tanagercourse.coordination.handlers import peer_handlers
from tanagercourse.coordination.links import maintain_links
from tanagercourse.coordination.members import REGISTRATIONS_PREFIX
from tanagercourse.coordination.node import Node
from tanagercourse.coordination.node_tasks import (
    load_registered_members,
    register,
    report_active_version,
    run_platform_reader,
    run_status_writer,
)
from tanagercourse.coordination.peer_grpc import SharesBase
from tanagercourse.coordination.peers import Connect
from tanagercourse.core.ids import ObjectPath
from tanagercourse.core.states import InstanceState
from tanagercourse.platform.store import Store

# Readiness also depends on elapsed time, so it is checked again after this interval
# when nothing changes.
READY_CHECK_INTERVAL_S = 1.0


async def run_node(
    node: Node,
    store: Store,
    listener: socket.socket | None,
    prefixes: tuple[ObjectPath, ...],
    connect: Connect = connect_grpc,
    extra_services: tuple[SharesBase, ...] = (),
) -> None:
    """Run the coordination tasks of an instance until cancelled.

    Args:
        node: State of this instance.
        store: The platform.
        listener: The socket that peers connect to; None to serve no socket.
        prefixes: Prefixes of the platform's objects that are gossiped to peers.
        connect: Opens connections to peers.
        extra_services: Further gRPC services on the same socket.
    """
    async with anyio.create_task_group() as tasks:
        if listener is not None:
            tasks.start_soon(
                serve_peers, peer_handlers(node), listener, *extra_services
            )
        await load_registered_members(node, store)
        tasks.start_soon(maintain_links, node, connect)
        tasks.start_soon(register, node, store)
        tasks.start_soon(
            run_platform_reader, node, store, (*prefixes, REGISTRATIONS_PREFIX)
        )
        tasks.start_soon(run_status_writer, node, store)
        tasks.start_soon(report_active_version, node, connect)


async def wait_until_ready(node: Node) -> None:
    """Wait until this instance's settings are active."""
    while not node.is_ready:
        with anyio.move_on_after(READY_CHECK_INTERVAL_S):
            await node.changed.wait()


def announce_leaving(node: Node) -> None:
    """Announce to the fleet that this instance is leaving and gets no new work."""
    node.publish_state(InstanceState.LEAVING)
