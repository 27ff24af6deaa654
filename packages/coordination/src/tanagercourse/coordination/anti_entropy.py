"""Anti-entropy with a peer: pushes requested objects and repairs differing buckets."""

from returns.result import Failure, Result, Success

from tanagercourse.coordination.node import Node
from tanagercourse.coordination.peers import (
    Comparison,
    ExchangeReply,
    Peer,
    PeerProblem,
)
from tanagercourse.core.ids import ObjectPath

# Maximum number of paths in one fetch.
MAX_FETCH_PATHS = 256


async def push_objects(
    node: Node, peer: Peer, paths: tuple[ObjectPath, ...]
) -> Result[None, PeerProblem]:
    """Send a peer the objects that it requested, in as many messages as needed."""
    remaining_paths = paths
    while remaining_paths:
        objects = node.collect_batch(remaining_paths)
        if not objects:
            break
        pushed = await peer.push(objects)
        if isinstance(pushed, Failure):
            return pushed
        sent_paths = {stored.path for stored in objects}
        remaining_paths = tuple(
            path for path in remaining_paths if path not in sent_paths
        )
    return Success(None)


async def repair(
    node: Node, peer: Peer, reply: ExchangeReply
) -> Result[None, PeerProblem]:
    """Bring both replicas to the newest versions in the buckets that differ.

    Args:
        node: State of this instance.
        peer: The peer to repair with.
        reply: The peer's reply to the last heartbeat.

    Returns:
        None, or the problem of the call that failed.
    """
    compared = await peer.compare(node.replica.digests())
    if isinstance(compared, Failure):
        return compared
    comparison = compared.unwrap()
    fetched = await _fetch_newer(node, peer, comparison)
    if isinstance(fetched, Failure):
        return fetched
    peer_versions = {head.path: head.version for head in comparison.heads}
    own_heads = node.replica.differing_heads(comparison.digests)
    newer_paths = tuple(
        h.path for h in own_heads if h.version > peer_versions.get(h.path, 0)
    )
    if reply.is_ready:
        node.record_sync()
    return await push_objects(node, peer, newer_paths)


async def _fetch_newer(
    node: Node, peer: Peer, comparison: Comparison
) -> Result[None, PeerProblem]:
    remaining_paths = [
        head.path for head in comparison.heads if node.replica.is_newer(head)
    ]
    while remaining_paths:
        fetched = await peer.fetch(tuple(remaining_paths[:MAX_FETCH_PATHS]))
        if isinstance(fetched, Failure):
            return fetched
        objects = fetched.unwrap()
        node.apply_objects(objects)
        received_paths = {stored.path for stored in objects}
        if not received_paths.intersection(remaining_paths):
            break
        remaining_paths = [
            path for path in remaining_paths if path not in received_paths
        ]
    return Success(None)
