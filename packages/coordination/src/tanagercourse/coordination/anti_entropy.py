"""Exchange objects with a peer: what it asked for, and what digests show to differ."""

from returns.result import Failure, Result, Success

from tanagercourse.coordination.node import Node
from tanagercourse.coordination.peers import (
    Comparison,
    ExchangeReply,
    Peer,
    PeerProblem,
)
from tanagercourse.core.ids import ObjectPath

MAX_FETCH = 256


async def push_objects(
    node: Node, peer: Peer, paths: tuple[ObjectPath, ...]
) -> Result[None, PeerProblem]:
    """Give a peer the objects that it asked for, in as many messages as they take."""
    rest = paths
    while rest:
        objects = node.batch(rest)
        if not objects:
            break
        pushed = await peer.push(objects)
        if isinstance(pushed, Failure):
            return pushed
        given = {stored.path for stored in objects}
        rest = tuple(path for path in rest if path not in given)
    return Success(None)


async def repair(
    node: Node, peer: Peer, reply: ExchangeReply
) -> Result[None, PeerProblem]:
    """Bring both replicas to the newest of each object in the buckets that differ.

    Args:
        node: This instance's state.
        peer: The peer.
        reply: Its answer to the last heartbeat.

    Returns:
        Nothing, or why the peer could not be reached.
    """
    compared = await peer.compare(node.replica.digests())
    if isinstance(compared, Failure):
        return compared
    theirs = compared.unwrap()
    fetched = await _fetch_newer(node, peer, theirs)
    if isinstance(fetched, Failure):
        return fetched
    known = {head.path: head.version for head in theirs.heads}
    mine = node.replica.heads_apart(theirs.digests)
    newer = tuple(h.path for h in mine if h.version > known.get(h.path, 0))
    if reply.is_ready:
        node.note_synced()
    return await push_objects(node, peer, newer)


async def _fetch_newer(
    node: Node, peer: Peer, theirs: Comparison
) -> Result[None, PeerProblem]:
    rest = [head.path for head in theirs.heads if node.replica.is_newer(head)]
    while rest:
        fetched = await peer.fetch(tuple(rest[:MAX_FETCH]))
        if isinstance(fetched, Failure):
            return fetched
        objects = fetched.unwrap()
        node.apply_objects(objects)
        given = {stored.path for stored in objects}
        if not given.intersection(rest):
            break
        rest = [path for path in rest if path not in given]
    return Success(None)
