"""The asking side towards peers: one task for each of a few peers.

Each task sends heartbeats with the heads of what was applied since the last one,
gives the objects that the peer asks for, and compares digests where the replicas
stay apart. A heartbeat without an answer closes the connection; the next one opens
a new one, so that a silent connection is noticed and replaced.
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
# So much of the interval is random, so that heartbeats do not come in step.
JITTER = 0.2
# A peer is suspected after so many heartbeats without an answer.
MISSES_TO_SUSPECT = 2
# Replicas may differ while news travel; so many heartbeats apart need a repair.
APART_TO_REPAIR = 2
# How often the choice of neighbours is looked at.
LOOK_INTERVAL_S = 0.25
MAX_NEWS = 256
# How long the same peers of other zones are kept.
PERIOD_S = 30.0
# A call that took so long was not answered late: this process was paused.
PAUSED_AFTER_S = 10.0

_log = structlog.get_logger()


@dataclass
class Link:
    """What a link's task knows of its peer.

    Attributes:
        address: Where the peer listens.
        instance: Its id; None for a seed, whose id is not known.
        cursor: How far it has been told of news.
        misses: Heartbeats without an answer, in a row.
        apart: Heartbeats after which the replicas differed, in a row.
        is_fresh: Whether it has not answered yet, or not since its last miss.
    """

    address: Address
    instance: InstanceId | None
    cursor: int
    misses: int = 0
    apart: int = 0
    is_fresh: bool = True


@dataclass(frozen=True)
class Basis:
    """What a choice of neighbours rests on; a new one is made when it changes."""

    changes: int
    period: int
    has_heard_peer: bool


async def keep_links(node: Node, connect: Connect) -> None:
    """Keep one task running for each neighbour; never returns.

    Args:
        node: This instance's state.
        connect: Opens connections to peers.
    """
    running: dict[Address, anyio.CancelScope] = {}
    chosen_for: Basis | None = None
    async with anyio.create_task_group() as tasks:
        while True:
            await _wait_for_change(node, chosen_for)
            chosen_for = _basis(node)
            wanted = _wanted_links(node, chosen_for.period)
            for address in running.keys() - wanted.keys():
                running.pop(address).cancel()
            for address in wanted.keys() - running.keys():
                link = Link(address, wanted[address], node.replica.cursor)
                running[address] = _start_link(tasks, node, connect, link)


async def run_link(node: Node, connect: Connect, link: Link) -> None:
    """Exchange heartbeats with one peer until cancelled."""
    peer = connect(link.address)
    try:
        while True:
            asked_at_s = node.clock()
            visited = await visit(node, peer, link)
            if isinstance(visited, Failure):
                peer.close()
                peer = connect(link.address)
                _note_miss(node, link, node.clock() - asked_at_s)
                await anyio.sleep(_interval_s(node))
                continue
            link.misses = 0
            link.is_fresh = False
            await _wait_for_news(node, link)
    finally:
        peer.close()


async def visit(node: Node, peer: Peer, link: Link) -> Result[None, PeerProblem]:
    """Send one heartbeat, give what the peer asks for, and repair if need be.

    Returns:
        Nothing, or why the peer could not be reached.
    """
    news = node.replica.news(link.cursor, MAX_NEWS)
    root = node.replica.root()
    message = Exchange(
        node.own_member.instance, node.settings_version, node.is_ready, root, news.heads
    )
    exchanged = await peer.exchange(message)
    if isinstance(exchanged, Failure):
        return exchanged
    reply = exchanged.unwrap()
    link.cursor = news.cursor
    node.hear(reply.version, reply.is_ready)
    pushed = await push_objects(node, peer, reply.wanted)
    if isinstance(pushed, Failure):
        return pushed
    if reply.root == root:
        link.apart = 0
        return _note_same(node, reply)
    if not news.heads:
        link.apart += 1
    if link.is_fresh or link.apart >= APART_TO_REPAIR:
        link.apart = 0
        return await repair(node, peer, reply)
    return Success(None)


def _basis(node: Node) -> Basis:
    period = int(node.clock() / PERIOD_S)
    return Basis(node.membership.changes, period, node.progress.has_heard_peer)


async def _wait_for_change(node: Node, chosen_for: Basis | None) -> None:
    """Wait until neighbours have to be chosen anew; at once at first."""
    while _basis(node) == chosen_for:
        await anyio.sleep(LOOK_INTERVAL_S)


def _wanted_links(node: Node, period: int) -> dict[Address, InstanceId | None]:
    chosen = choose_neighbours(
        node.own_member, node.membership.present_members(), period
    )
    wanted: dict[Address, InstanceId | None] = {
        member.address: member.instance for member in chosen
    }
    if not wanted or not node.progress.has_heard_peer:
        for seed in node.seeds:
            if seed != node.own_member.address:
                wanted.setdefault(seed, None)
    return wanted


def _start_link(
    tasks: TaskGroup, node: Node, connect: Connect, link: Link
) -> anyio.CancelScope:
    scope = anyio.CancelScope()

    async def run() -> None:
        with scope:
            await run_link(node, connect, link)

    tasks.start_soon(run)
    return scope


def _note_miss(node: Node, link: Link, took_s: float) -> None:
    if took_s > PAUSED_AFTER_S:
        return
    link.misses += 1
    link.is_fresh = True
    if link.misses >= MISSES_TO_SUSPECT and link.instance is not None:
        node.suspect(link.instance)


async def _wait_for_news(node: Node, link: Link) -> None:
    with anyio.move_on_after(_interval_s(node)):
        while node.replica.cursor <= link.cursor:
            await node.changed.wait()


def _interval_s(node: Node) -> float:
    return HEARTBEAT_INTERVAL_S * (1 + JITTER * (node.random.random() - 0.5))


def _note_same(node: Node, reply: ExchangeReply) -> Result[None, PeerProblem]:
    if reply.is_ready:
        node.note_synced()
    return Success(None)
