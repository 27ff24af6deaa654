"""Peers over gRPC: the asking side by a channel, the answering side by a server."""

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

# A heartbeat without an answer for so long means that the connection is silent.
HEARTBEAT_TIMEOUT_S = 1.0
# Longer, for calls that carry objects.
TRANSFER_TIMEOUT_S = 5.0

FAULTS = (GRPCError, ProtocolError, StreamTerminatedError, TimeoutError, OSError)

Q = TypeVar("Q")
R = TypeVar("R")


def connect_grpc(address: Address) -> Peer:
    """Return a peer over a connection that is opened by its first call."""
    channel = Channel(address.host, address.port)
    stub = PeerStub(channel)

    async def ask(
        call: Callable[..., Awaitable[R]], message: Q, timeout_s: float
    ) -> Result[R, PeerProblem]:
        answered: Result[R, PeerProblem] = await ask_within(
            address, call, message, timeout_s
        )
        return answered

    async def exchange(message: Exchange) -> Result[ExchangeReply, PeerProblem]:
        request = encoding.encode_exchange(message)
        reply = await ask(stub.Exchange, request, HEARTBEAT_TIMEOUT_S)
        return reply.map(encoding.decode_reply)

    async def compare(digests: Digests) -> Result[Comparison, PeerProblem]:
        request = encoding.encode_digests(digests)
        reply = await ask(stub.Compare, request, TRANSFER_TIMEOUT_S)
        return reply.map(encoding.decode_comparison)

    async def fetch(paths: tuple[ObjectPath, ...]) -> Result[Objects, PeerProblem]:
        request = encoding.encode_paths(paths)
        reply = await ask(stub.Fetch, request, TRANSFER_TIMEOUT_S)
        if isinstance(reply, Failure):
            return reply
        return encoding.decode_objects(reply.unwrap())

    async def push(objects: Objects) -> Result[int, PeerProblem]:
        request = encoding.encode_objects(objects)
        reply = await ask(stub.Push, request, TRANSFER_TIMEOUT_S)
        return reply.map(lambda pushed: pushed.taken)

    async def report(message: Report) -> Result[None, PeerProblem]:
        request = encoding.encode_report(message)
        reply = await ask(stub.Report, request, HEARTBEAT_TIMEOUT_S)
        return reply.map(lambda _: None)

    return Peer(exchange, compare, fetch, push, report, channel.close)


class PeerService(PeerBase):
    """Answers calls by the functions of a peer port; one task for each call."""

    def __init__(self, answers: Peer) -> None:
        self._answers = answers

    async def Exchange(  # noqa: N802 - the name of the call
        self, stream: Stream[peer_pb2.ExchangeRequest, peer_pb2.ExchangeReply]
    ) -> None:
        """Answer a heartbeat."""
        message = encoding.decode_exchange(await receive(stream))
        reply = _or_raise(await self._answers.exchange(message))
        await stream.send_message(encoding.encode_reply(reply))

    async def Compare(  # noqa: N802
        self, stream: Stream[peer_pb2.CompareRequest, peer_pb2.CompareReply]
    ) -> None:
        """Answer digests with the heads that differ."""
        digests = encoding.decode_digests(await receive(stream))
        compared = _or_raise(await self._answers.compare(digests))
        await stream.send_message(encoding.encode_comparison(compared))

    async def Fetch(  # noqa: N802
        self, stream: Stream[peer_pb2.FetchRequest, peer_pb2.Objects]
    ) -> None:
        """Answer with wanted objects, as many as fit."""
        paths = encoding.decode_paths(await receive(stream))
        objects = _or_raise(await self._answers.fetch(paths))
        await stream.send_message(encoding.encode_objects(objects))

    async def Push(  # noqa: N802
        self, stream: Stream[peer_pb2.Objects, peer_pb2.PushReply]
    ) -> None:
        """Take objects."""
        objects = _or_raise(encoding.decode_objects(await receive(stream)))
        taken = _or_raise(await self._answers.push(objects))
        await stream.send_message(peer_pb2.PushReply(taken=taken))

    async def Report(  # noqa: N802
        self, stream: Stream[peer_pb2.ReportRequest, peer_pb2.ReportReply]
    ) -> None:
        """Take the version that an instance has in force."""
        message = encoding.decode_report(await receive(stream))
        _or_raise(await self._answers.report(message))
        await stream.send_message(peer_pb2.ReportReply())


async def ask_within(
    address: Address, call: Callable[..., Awaitable[R]], message: Q, timeout_s: float
) -> Result[R, Unreached]:
    """Make one call, which fails when it gets no answer in time.

    Args:
        address: Who is called, for the problem's sake.
        call: The stub's call.
        message: What it carries.
        timeout_s: How long to wait for an answer, in seconds.
    """
    try:
        return Success(await call(message, timeout=timeout_s))
    except FAULTS as fault:
        return Failure(Unreached(address, f"{type(fault).__name__}: {fault}"))


async def serve_peers(
    answers: Peer, listener: socket.socket, *others: SharesBase
) -> None:
    """Serve peers on a listening socket until cancelled.

    Args:
        answers: This instance's answers.
        listener: The socket that peers connect to.
        others: Other services on the same socket.
    """
    server = Server([PeerService(answers), *others])
    await server.start(sock=listener)
    try:
        await anyio.sleep_forever()
    finally:
        server.close()
        with anyio.CancelScope(shield=True), anyio.move_on_after(HEARTBEAT_TIMEOUT_S):
            await asyncio.shield(server.wait_closed())


async def receive(stream: Stream[Q, R]) -> Q:
    """Return the one message of a call."""
    message = await stream.recv_message()
    if message is None:
        raise GRPCError(Status.INVALID_ARGUMENT, "no message")
    return message


def _or_raise(answer: Result[R, PeerProblem]) -> R:
    if isinstance(answer, Failure):
        raise GRPCError(Status.DATA_LOSS, answer.failure().describe())
    return answer.unwrap()
