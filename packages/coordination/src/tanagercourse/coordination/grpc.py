"""The peer port over gRPC: a client on a channel, and a server."""

import asyncio
import socket
from collections.abc import Awaitable, Callable
from typing import TypeVar

import anyio
from grpclib.client import Channel
from grpclib.const import Status
from grpclib.exceptions import GRPCError, ProtocolError, StreamTerminatedError
from grpclib.server import Server, Stream
from returns.result import Failure, Result, Success

from tanagercourse.coordination import encoding, peer_pb2
from tanagercourse.coordination.members import Address
from tanagercourse.coordination.peer_grpc import PeerBase, PeerStub, SharesBase
from tanagercourse.coordination.peers import (
    Comparison,
    Exchange,
    ExchangeReply,
    Objects,
    Peer,
    PeerProblem,
    Report,
    Unreached,
)
from tanagercourse.coordination.replica import Digests
from tanagercourse.core.ids import ObjectPath

# Time-out of heartbeats and other short calls; a connection without a reply within this
# time counts as silent.
HEARTBEAT_TIMEOUT_S = 1.0
# Time-out of calls that transfer objects or digests, which take longer.
TRANSFER_TIMEOUT_S = 5.0

TRANSPORT_ERRORS = (
    GRPCError,
    ProtocolError,
    StreamTerminatedError,
    TimeoutError,
    OSError,
)

RequestT = TypeVar("RequestT")
ReplyT = TypeVar("ReplyT")


def connect_grpc(address: Address) -> Peer:
    """Return a client of a peer; its first call opens the connection."""
    channel = Channel(address.host, address.port)
    stub = PeerStub(channel)

    async def call_peer(
        call: Callable[..., Awaitable[ReplyT]], message: RequestT, timeout_s: float
    ) -> Result[ReplyT, PeerProblem]:
        call_result: Result[ReplyT, PeerProblem] = await call_with_timeout(
            address, call, message, timeout_s
        )
        return call_result

    async def exchange(message: Exchange) -> Result[ExchangeReply, PeerProblem]:
        request = encoding.encode_exchange(message)
        reply = await call_peer(stub.Exchange, request, HEARTBEAT_TIMEOUT_S)
        return reply.map(encoding.decode_reply)

    async def compare(digests: Digests) -> Result[Comparison, PeerProblem]:
        request = encoding.encode_digests(digests)
        reply = await call_peer(stub.Compare, request, TRANSFER_TIMEOUT_S)
        return reply.map(encoding.decode_comparison)

    async def fetch(paths: tuple[ObjectPath, ...]) -> Result[Objects, PeerProblem]:
        request = encoding.encode_paths(paths)
        reply = await call_peer(stub.Fetch, request, TRANSFER_TIMEOUT_S)
        if isinstance(reply, Failure):
            return reply
        return encoding.decode_objects(reply.unwrap())

    async def push(objects: Objects) -> Result[int, PeerProblem]:
        request = encoding.encode_objects(objects)
        reply = await call_peer(stub.Push, request, TRANSFER_TIMEOUT_S)
        return reply.map(lambda pushed: pushed.taken)

    async def report(message: Report) -> Result[None, PeerProblem]:
        request = encoding.encode_report(message)
        reply = await call_peer(stub.Report, request, HEARTBEAT_TIMEOUT_S)
        return reply.map(lambda _: None)

    return Peer(exchange, compare, fetch, push, report, channel.close)


class PeerService(PeerBase):
    """Serves calls with the handlers of a peer port; one task for each call."""

    def __init__(self, handlers: Peer) -> None:
        self._handlers = handlers

    async def Exchange(  # noqa: N802 - the name of the call
        self, stream: Stream[peer_pb2.ExchangeRequest, peer_pb2.ExchangeReply]
    ) -> None:
        """Reply to a heartbeat."""
        message = encoding.decode_exchange(await receive_message(stream))
        reply = _unwrap_or_raise(await self._handlers.exchange(message))
        await stream.send_message(encoding.encode_reply(reply))

    async def Compare(  # noqa: N802
        self, stream: Stream[peer_pb2.CompareRequest, peer_pb2.CompareReply]
    ) -> None:
        """Reply to digests with the heads in the buckets that differ."""
        digests = encoding.decode_digests(await receive_message(stream))
        compared = _unwrap_or_raise(await self._handlers.compare(digests))
        await stream.send_message(encoding.encode_comparison(compared))

    async def Fetch(  # noqa: N802
        self, stream: Stream[peer_pb2.FetchRequest, peer_pb2.Objects]
    ) -> None:
        """Reply with the requested objects, as many as fit a message."""
        paths = encoding.decode_paths(await receive_message(stream))
        objects = _unwrap_or_raise(await self._handlers.fetch(paths))
        await stream.send_message(encoding.encode_objects(objects))

    async def Push(  # noqa: N802
        self, stream: Stream[peer_pb2.Objects, peer_pb2.PushReply]
    ) -> None:
        """Apply the objects that a peer sends."""
        objects = _unwrap_or_raise(
            encoding.decode_objects(await receive_message(stream))
        )
        applied_count = _unwrap_or_raise(await self._handlers.push(objects))
        await stream.send_message(peer_pb2.PushReply(taken=applied_count))

    async def Report(  # noqa: N802
        self, stream: Stream[peer_pb2.ReportRequest, peer_pb2.ReportReply]
    ) -> None:
        """Record the active settings version of an instance."""
        message = encoding.decode_report(await receive_message(stream))
        _unwrap_or_raise(await self._handlers.report(message))
        await stream.send_message(peer_pb2.ReportReply())


async def call_with_timeout(
    address: Address,
    call: Callable[..., Awaitable[ReplyT]],
    message: RequestT,
    timeout_s: float,
) -> Result[ReplyT, Unreached]:
    """Make one call with a time-out.

    Args:
        address: Address of the peer, for the problem.
        call: The call of the stub.
        message: The request message.
        timeout_s: How long to wait for the reply, in seconds.

    Returns:
        The reply, or `Unreached` if the call failed or got no reply in time.
    """
    try:
        return Success(await call(message, timeout=timeout_s))
    except TRANSPORT_ERRORS as error:
        return Failure(Unreached(address, f"{type(error).__name__}: {error}"))


async def serve_peers(
    handlers: Peer, listener: socket.socket, *extra_services: SharesBase
) -> None:
    """Serve peers on a listening socket until cancelled.

    Args:
        handlers: Handlers of this instance for the calls of peers.
        listener: The socket that peers connect to.
        extra_services: Further gRPC services on the same socket.
    """
    server = Server([PeerService(handlers), *extra_services])
    await server.start(sock=listener)
    try:
        await anyio.sleep_forever()
    finally:
        server.close()
        with anyio.CancelScope(shield=True), anyio.move_on_after(HEARTBEAT_TIMEOUT_S):
            await asyncio.shield(server.wait_closed())


async def receive_message(stream: Stream[RequestT, ReplyT]) -> RequestT:
    """Return the single request message of a call.

    Raises:
        GRPCError: The call ended without a message.
    """
    message = await stream.recv_message()
    if message is None:
        raise GRPCError(Status.INVALID_ARGUMENT, "no message")
    return message


def _unwrap_or_raise(result: Result[ReplyT, PeerProblem]) -> ReplyT:
    if isinstance(result, Failure):
        raise GRPCError(Status.DATA_LOSS, result.failure().describe())
    return result.unwrap()
