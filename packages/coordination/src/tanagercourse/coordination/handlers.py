"""An instance's answers to its peers, whatever carries them."""

from returns.result import Result, Success

from tanagercourse.coordination.node import Heard, Node
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
    """Return a node's answers to its peers."""

    async def exchange(message: Exchange) -> Result[ExchangeReply, PeerProblem]:
        node.hear(message.version, message.is_ready)
        wanted = node.want(message.news)
        reply = ExchangeReply(
            node.settings_version, node.is_ready, node.replica.root(), wanted
        )
        return Success(reply)

    async def compare(digests: Digests) -> Result[Comparison, PeerProblem]:
        apart = node.replica.heads_apart(digests)
        return Success(Comparison(node.replica.digests(), apart))

    async def fetch(paths: tuple[ObjectPath, ...]) -> Result[Objects, PeerProblem]:
        return Success(node.batch(paths))

    async def push(objects: Objects) -> Result[int, PeerProblem]:
        return Success(node.apply_objects(objects))

    async def report(message: Report) -> Result[None, PeerProblem]:
        node.reports[message.instance] = Heard(message, node.clock())
        return Success(None)

    return Peer(exchange, compare, fetch, push, report)
