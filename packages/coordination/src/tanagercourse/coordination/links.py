"""The client side of the peer protocol: one task for each neighbour.

Each task sends heartbeats with the heads of the objects applied since the last one,
pushes the objects that the peer requests, and compares digests when the replicas
stay different. A heartbeat without a reply closes the connection and the next one
opens a new connection, so that a silent connection is detected and replaced.
"""

from dataclasses import dataclass

import anyio
import structlog
from anyio.abc import TaskGroup
from returns.result import Failure, Result, Success

from tanagercourse.coordination.anti_entropy import push_objects, repair
from tanagercourse.coordination.members import Address
from tanagercourse.coordination.neighbours import choose_neighbours
from tanagercourse.coordination.node import Node
from tanagercourse.coordination.peers import (
    Connect,
    Exchange,
    ExchangeReply,
    Peer,
    PeerProblem,
)
from tanagercourse.core.ids import InstanceId

HEARTBEAT_INTERVAL_S = 2.0
# Random share of the interval, so that heartbeats do not synchronise.
JITTER_SHARE = 0.2
# A peer is suspected after this number of consecutive heartbeats without a reply.
MISSED_HEARTBEATS_TO_SUSPECT = 2
# Replicas may differ briefly while updates propagate; they are repaired after this
# number of heartbeats without new heads at which the digests differed.
DIVERGENT_HEARTBEATS_TO_REPAIR = 2
# Interval at which the inputs of the choice of neighbours are checked.
NEIGHBOUR_CHECK_INTERVAL_S = 0.25
MAX_HEADS_PER_HEARTBEAT = 256
# How long the choice of peers in other zones stays the same.
REMOTE_PEERS_PERIOD_S = 30.0
# A heartbeat that fails after longer than this does not count as missed: the peer was
# not late, but this process was paused.
PAUSE_THRESHOLD_S = 10.0

_log = structlog.get_logger()


@dataclass
class Link:
    """State of the link to one peer.

    Attributes:
        address: Where the peer listens.
        instance: Id of the peer; None for a seed, whose id is unknown.
        cursor: Cursor of the replica up to which heads were sent to the peer.
        missed_heartbeats: Number of consecutive heartbeats without a reply.
        divergent_heartbeats: Number of heartbeats without new heads after which the
            digests differed, since they last matched or were repaired.
        awaits_first_reply: Whether no exchange has succeeded since the link started or
            last missed a heartbeat.
    """

    address: Address
    instance: InstanceId | None
    cursor: int
    missed_heartbeats: int = 0
    divergent_heartbeats: int = 0
    awaits_first_reply: bool = True


@dataclass(frozen=True)
class NeighbourInputs:
    """Inputs of the choice of neighbours, which is repeated when they change.

    Attributes:
        change_count: Number of member records stored.
        period: Number of the period for peers in other zones.
        has_peer_contact: Whether a heartbeat was exchanged with any peer.
    """

    change_count: int
    period: int
    has_peer_contact: bool


async def maintain_links(node: Node, connect: Connect) -> None:
    """Keep one task running for each neighbour; never returns.

    Args:
        node: State of this instance.
        connect: Opens connections to peers.
    """
    link_scopes: dict[Address, anyio.CancelScope] = {}
    chosen_inputs: NeighbourInputs | None = None
    async with anyio.create_task_group() as tasks:
        while True:
            await _wait_for_change(node, chosen_inputs)
            chosen_inputs = _current_inputs(node)
            wanted_links = _choose_addresses(node, chosen_inputs.period)
            for address in link_scopes.keys() - wanted_links.keys():
                link_scopes.pop(address).cancel()
            for address in wanted_links.keys() - link_scopes.keys():
                link = Link(address, wanted_links[address], node.replica.cursor)
                link_scopes[address] = _start_link(tasks, node, connect, link)


async def run_link(node: Node, connect: Connect, link: Link) -> None:
    """Exchange heartbeats with one peer until cancelled."""
    peer = connect(link.address)
    try:
        while True:
            sent_at_s = node.clock()
            heartbeat_result = await exchange_heartbeat(node, peer, link)
            if isinstance(heartbeat_result, Failure):
                peer.close()
                peer = connect(link.address)
                _record_miss(node, link, node.clock() - sent_at_s)
                await anyio.sleep(_interval_s(node))
                continue
            link.missed_heartbeats = 0
            link.awaits_first_reply = False
            await _wait_for_heads(node, link)
    finally:
        peer.close()


async def exchange_heartbeat(
    node: Node, peer: Peer, link: Link
) -> Result[None, PeerProblem]:
    """Send one heartbeat, push the requested objects, and repair if necessary.

    Args:
        node: State of this instance.
        peer: The connection to the peer.
        link: State of the link, which is updated.

    Returns:
        None, or the problem of the call that failed.
    """
    delta = node.replica.heads_since(link.cursor, MAX_HEADS_PER_HEARTBEAT)
    own_digest = node.replica.root_digest()
    message = Exchange(
        node.own_member.instance,
        node.settings_version,
        node.is_ready,
        own_digest,
        delta.heads,
    )
    exchanged = await peer.exchange(message)
    if isinstance(exchanged, Failure):
        return exchanged
    reply = exchanged.unwrap()
    link.cursor = delta.cursor
    node.record_peer_version(reply.version, reply.is_ready)
    pushed = await push_objects(node, peer, reply.wanted_paths)
    if isinstance(pushed, Failure):
        return pushed
    if reply.root_digest == own_digest:
        link.divergent_heartbeats = 0
        return _record_in_sync(node, reply)
    if not delta.heads:
        link.divergent_heartbeats += 1
    if (
        link.awaits_first_reply
        or link.divergent_heartbeats >= DIVERGENT_HEARTBEATS_TO_REPAIR
    ):
        link.divergent_heartbeats = 0
        return await repair(node, peer, reply)
    return Success(None)


def _current_inputs(node: Node) -> NeighbourInputs:
    period = int(node.clock() / REMOTE_PEERS_PERIOD_S)
    return NeighbourInputs(
        node.membership.change_count, period, node.startup_progress.has_peer_contact
    )


async def _wait_for_change(node: Node, chosen_inputs: NeighbourInputs | None) -> None:
    """Wait until neighbours have to be chosen again; return at once the first time."""
    while _current_inputs(node) == chosen_inputs:
        await anyio.sleep(NEIGHBOUR_CHECK_INTERVAL_S)


def _choose_addresses(node: Node, period: int) -> dict[Address, InstanceId | None]:
    chosen = choose_neighbours(
        node.own_member, node.membership.present_members(), period
    )
    wanted_links: dict[Address, InstanceId | None] = {
        member.address: member.instance for member in chosen
    }
    if not wanted_links or not node.startup_progress.has_peer_contact:
        for seed in node.seeds:
            if seed != node.own_member.address:
                wanted_links.setdefault(seed, None)
    return wanted_links


def _start_link(
    tasks: TaskGroup, node: Node, connect: Connect, link: Link
) -> anyio.CancelScope:
    scope = anyio.CancelScope()

    async def run() -> None:
        with scope:
            await run_link(node, connect, link)

    tasks.start_soon(run)
    return scope


def _record_miss(node: Node, link: Link, elapsed_s: float) -> None:
    if elapsed_s > PAUSE_THRESHOLD_S:
        return
    link.missed_heartbeats += 1
    link.awaits_first_reply = True
    if (
        link.missed_heartbeats >= MISSED_HEARTBEATS_TO_SUSPECT
        and link.instance is not None
    ):
        node.suspect(link.instance)


async def _wait_for_heads(node: Node, link: Link) -> None:
    with anyio.move_on_after(_interval_s(node)):
        while node.replica.cursor <= link.cursor:
            await node.changed.wait()


def _interval_s(node: Node) -> float:
    return HEARTBEAT_INTERVAL_S * (1 + JITTER_SHARE * (node.random.random() - 0.5))


def _record_in_sync(node: Node, reply: ExchangeReply) -> Result[None, PeerProblem]:
    if reply.is_ready:
        node.record_sync()
    return Success(None)
