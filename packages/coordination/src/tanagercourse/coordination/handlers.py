"""Handlers of an instance for the calls of its peers, independent of the transport."""

from returns.result import Result, Success

from tanagercourse.coordination.node import Node, ReceivedReport
from tanagercourse.coordination.peers import (
    Comparison,
    Exchange,
    ExchangeReply,
    Objects,
    Peer,
    PeerProblem,
    Report,
)
from tanagercourse.coordination.replica import Digests
from tanagercourse.core.ids import ObjectPath


def peer_handlers(node: Node) -> Peer:
    """Return the handlers of a node for the calls of its peers."""

    async def exchange(message: Exchange) -> Result[ExchangeReply, PeerProblem]:
        node.record_peer_version(message.version, message.is_ready)
        wanted_paths = node.paths_to_request(message.new_heads)
        reply = ExchangeReply(
            node.settings_version,
            node.is_ready,
            node.replica.root_digest(),
            wanted_paths,
        )
        return Success(reply)

    async def compare(digests: Digests) -> Result[Comparison, PeerProblem]:
        differing = node.replica.differing_heads(digests)
        return Success(Comparison(node.replica.digests(), differing))

    async def fetch(paths: tuple[ObjectPath, ...]) -> Result[Objects, PeerProblem]:
        return Success(node.collect_batch(paths))

    async def push(objects: Objects) -> Result[int, PeerProblem]:
        return Success(node.apply_objects(objects))

    async def report(message: Report) -> Result[None, PeerProblem]:
        node.reports[message.instance] = ReceivedReport(message, node.clock())
        return Success(None)

    return Peer(exchange, compare, fetch, push, report)
