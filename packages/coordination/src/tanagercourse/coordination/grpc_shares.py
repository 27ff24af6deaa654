"""The granter port over gRPC, and an instance's client of all regions' granters."""

from grpclib.client import Channel
from grpclib.server import Stream
from returns.result import Failure, Result, Success

from tanagercourse.coordination import peer_pb2, share_encoding
from tanagercourse.coordination.grpc import (
    HEARTBEAT_TIMEOUT_S,
    call_with_timeout,
    receive_message,
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
    """Return a client of a granter; its first call opens the connection."""
    channel = Channel(address.host, address.port)
    stub = SharesStub(channel)

    async def request_share(message: ShareRequest) -> Result[ShareGrant, ShareProblem]:
        request = share_encoding.encode_request(message)
        reply = await call_with_timeout(address, stub.Ask, request, HEARTBEAT_TIMEOUT_S)
        if isinstance(reply, Failure):
            return reply
        decoded = share_encoding.decode_share_answer(reply.unwrap())
        if isinstance(decoded, Failure):
            problem: ShareProblem = decoded.failure()
            return Failure(problem)
        return Success(decoded.unwrap())

    async def release(message: ShareRelease) -> Result[None, ShareProblem]:
        request = share_encoding.encode_release(message)
        reply = await call_with_timeout(
            address, stub.Release, request, HEARTBEAT_TIMEOUT_S
        )
        return reply if isinstance(reply, Failure) else Success(None)

    async def report_demand(message: DemandReport) -> Result[None, ShareProblem]:
        request = share_encoding.encode_demand(message)
        reply = await call_with_timeout(
            address, stub.TellDemand, request, HEARTBEAT_TIMEOUT_S
        )
        return reply if isinstance(reply, Failure) else Success(None)

    return Granter(request_share, release, report_demand, channel.close)


class ShareService(SharesBase):
    """Serves calls with the handlers of a granter; one task for each call."""

    def __init__(self, granter: Granter) -> None:
        self._granter = granter

    async def Ask(  # noqa: N802 - the name of the call
        self, stream: Stream[peer_pb2.ShareRequest, peer_pb2.ShareAnswer]
    ) -> None:
        """Reply to a request for a share."""
        request = share_encoding.decode_request(await receive_message(stream))
        result = await self._granter.request_share(request)
        await stream.send_message(share_encoding.encode_share_answer(result))

    async def Release(  # noqa: N802
        self, stream: Stream[peer_pb2.ShareRelease, peer_pb2.ShareReleaseReply]
    ) -> None:
        """Release a share of a holder."""
        await self._granter.release(
            share_encoding.decode_release(await receive_message(stream))
        )
        await stream.send_message(peer_pb2.ShareReleaseReply())

    async def TellDemand(  # noqa: N802
        self, stream: Stream[peer_pb2.DemandReport, peer_pb2.DemandReply]
    ) -> None:
        """Record the demand of an instance's own callers."""
        await self._granter.report_demand(
            share_encoding.decode_demand(await receive_message(stream))
        )
        await stream.send_message(peer_pb2.DemandReply())


class GranterClient:
    """An instance's connections to the granters of regions, one for each granter.

    A call without a reply closes its connection, and the next call opens a new one.
    """

    def __init__(
        self, node: Node, connect: ConnectGranter, local_granter: Granter
    ) -> None:
        self._node = node
        self._connect = connect
        self._local_granter = local_granter
        self._connections: dict[Address, Granter] = {}

    async def request_share(
        self, region: RegionId, request: ShareRequest
    ) -> Result[ShareGrant, ShareProblem]:
        """Request a share from a region's granter."""
        granter = self._find_granter(region)
        if granter is None:
            return Failure(NoGranter(region))
        call_result = await granter.request_share(request)
        self._close_unreached(call_result)
        return call_result

    async def release(
        self, region: RegionId, release: ShareRelease
    ) -> Result[None, ShareProblem]:
        """Release a share to a region's granter."""
        granter = self._find_granter(region)
        if granter is None:
            return Failure(NoGranter(region))
        call_result = await granter.release(release)
        self._close_unreached(call_result)
        return call_result

    async def report_demand(
        self, region: RegionId, report: DemandReport
    ) -> Result[None, ShareProblem]:
        """Report the demand of this instance's callers to a region's granter."""
        granter = self._find_granter(region)
        if granter is None:
            return Failure(NoGranter(region))
        call_result = await granter.report_demand(report)
        self._close_unreached(call_result)
        return call_result

    def close(self) -> None:
        """Close every connection."""
        for granter in self._connections.values():
            granter.close()
        self._connections.clear()

    def _find_granter(self, region: RegionId) -> Granter | None:
        found = find_granter(self._node.replica, region)
        if isinstance(found, Failure):
            return None
        record = found.unwrap()
        if record.instance == self._node.own_member.instance:
            return self._local_granter
        if record.address not in self._connections:
            self._connections[record.address] = self._connect(record.address)
        return self._connections[record.address]

    def _close_unreached(self, call_result: Result[object, ShareProblem]) -> None:
        if not isinstance(call_result, Failure):
            return
        problem: ShareProblem = call_result.failure()
        if isinstance(problem, Unreached):
            granter = self._connections.pop(problem.address, None)
            if granter is not None:
                granter.close()
