"""Granters over gRPC, and the calls of an instance to the granters of regions."""

from grpclib.client import Channel
from grpclib.server import Stream
from returns.result import Failure, Result, Success

from tanagercourse.coordination import peer_pb2, share_encoding
from tanagercourse.coordination.grpc import (
    HEARTBEAT_TIMEOUT_S,
    ask_within,
    receive,
)
from tanagercourse.coordination.members import Address
from tanagercourse.coordination.node import Node
from tanagercourse.coordination.peer_grpc import SharesBase, SharesStub
from tanagercourse.coordination.peers import Unreached
from tanagercourse.coordination.sharing import (
    ConnectGranter,
    DemandReport,
    Granter,
    NoGranter,
    ShareProblem,
    find_granter,
)
from tanagercourse.core.ids import RegionId
from tanagercourse.steering.shares import ShareGrant, ShareRelease, ShareRequest


def connect_granter(address: Address) -> Granter:
    """Return a granter over a connection that is opened by its first call."""
    channel = Channel(address.host, address.port)
    stub = SharesStub(channel)

    async def request_share(message: ShareRequest) -> Result[ShareGrant, ShareProblem]:
        request = share_encoding.encode_request(message)
        reply = await ask_within(address, stub.Ask, request, HEARTBEAT_TIMEOUT_S)
        if isinstance(reply, Failure):
            return reply
        decoded = share_encoding.decode_answer(reply.unwrap())
        if isinstance(decoded, Failure):
            problem: ShareProblem = decoded.failure()
            return Failure(problem)
        return Success(decoded.unwrap())

    async def release(message: ShareRelease) -> Result[None, ShareProblem]:
        request = share_encoding.encode_release(message)
        reply = await ask_within(address, stub.Release, request, HEARTBEAT_TIMEOUT_S)
        return reply if isinstance(reply, Failure) else Success(None)

    async def report_demand(message: DemandReport) -> Result[None, ShareProblem]:
        request = share_encoding.encode_demand(message)
        reply = await ask_within(address, stub.TellDemand, request, HEARTBEAT_TIMEOUT_S)
        return reply if isinstance(reply, Failure) else Success(None)

    return Granter(request_share, release, report_demand, channel.close)


class ShareService(SharesBase):
    """Answers calls by the functions of a granter; one task for each call."""

    def __init__(self, granter: Granter) -> None:
        self._granter = granter

    async def Ask(  # noqa: N802 - the name of the call
        self, stream: Stream[peer_pb2.ShareRequest, peer_pb2.ShareAnswer]
    ) -> None:
        """Answer a request for a share."""
        request = share_encoding.decode_request(await receive(stream))
        answer = await self._granter.request_share(request)
        await stream.send_message(share_encoding.encode_answer(answer))

    async def Release(  # noqa: N802
        self, stream: Stream[peer_pb2.ShareRelease, peer_pb2.ShareReleaseReply]
    ) -> None:
        """Take a share back."""
        await self._granter.release(
            share_encoding.decode_release(await receive(stream))
        )
        await stream.send_message(peer_pb2.ShareReleaseReply())

    async def TellDemand(  # noqa: N802
        self, stream: Stream[peer_pb2.DemandReport, peer_pb2.DemandReply]
    ) -> None:
        """Take what an instance's own callers want."""
        await self._granter.report_demand(
            share_encoding.decode_demand(await receive(stream))
        )
        await stream.send_message(peer_pb2.DemandReply())


class GranterClient:
    """An instance's connections to the granters of regions, one for each granter.

    A call without an answer closes its connection, and the next opens a new one.
    """

    def __init__(self, node: Node, connect: ConnectGranter, own: Granter) -> None:
        self._node = node
        self._connect = connect
        self._own = own
        self._open: dict[Address, Granter] = {}

    async def request_share(
        self, region: RegionId, request: ShareRequest
    ) -> Result[ShareGrant, ShareProblem]:
        """Ask a region's granter for a share."""
        found = self._find(region)
        if found is None:
            return Failure(NoGranter(region))
        answered = await found.request_share(request)
        self._close_unreached(answered)
        return answered

    async def release(
        self, region: RegionId, release: ShareRelease
    ) -> Result[None, ShareProblem]:
        """Give a share back."""
        found = self._find(region)
        if found is None:
            return Failure(NoGranter(region))
        answered = await found.release(release)
        self._close_unreached(answered)
        return answered

    async def report_demand(
        self, region: RegionId, report: DemandReport
    ) -> Result[None, ShareProblem]:
        """Tell a region's granter what callers want."""
        found = self._find(region)
        if found is None:
            return Failure(NoGranter(region))
        answered = await found.report_demand(report)
        self._close_unreached(answered)
        return answered

    def close(self) -> None:
        """Close every connection."""
        for granter in self._open.values():
            granter.close()
        self._open.clear()

    def _find(self, region: RegionId) -> Granter | None:
        found = find_granter(self._node.replica, region)
        if isinstance(found, Failure):
            return None
        record = found.unwrap()
        if record.instance == self._node.own_member.instance:
            return self._own
        if record.address not in self._open:
            self._open[record.address] = self._connect(record.address)
        return self._open[record.address]

    def _close_unreached(self, answered: Result[object, ShareProblem]) -> None:
        if not isinstance(answered, Failure):
            return
        problem: ShareProblem = answered.failure()
        if isinstance(problem, Unreached):
            granter = self._open.pop(problem.address, None)
            if granter is not None:
                granter.close()
