"""Encoding of the messages between holders and granters of shares."""

from returns.result import Failure, Result, Success

from tanagercourse.coordination import peer_pb2
from tanagercourse.coordination.sharing import (
    DemandReport,
    ServiceDemand,
    ShareProblem,
)
from tanagercourse.core.ids import (
    FencingVersion,
    Incarnation,
    InstanceId,
    RegionId,
    ServiceId,
)
from tanagercourse.steering.shares import (
    DestinationId,
    NotGranter,
    ShareGrant,
    ShareHolderId,
    ShareRelease,
    ShareRequest,
    ShareSequence,
    StaleRequest,
)


def encode_request(message: ShareRequest) -> peer_pb2.ShareRequest:
    """Return a request for a share as its protobuf message."""
    return peer_pb2.ShareRequest(
        destination=message.destination,
        holder=_encode_holder(message.holder),
        region=message.region,
        sequence=message.sequence,
        kept_slots=message.kept_slots,
        wanted_slots=message.wanted_slots,
    )


def decode_request(message: peer_pb2.ShareRequest) -> ShareRequest:
    """Return a request for a share from its protobuf message."""
    return ShareRequest(
        DestinationId(message.destination),
        _decode_holder(message.holder),
        RegionId(message.region),
        ShareSequence(message.sequence),
        message.kept_slots,
        message.wanted_slots,
    )


def encode_answer(
    answer: Result[ShareGrant, ShareProblem],
) -> peer_pb2.ShareAnswer:
    """Return the answer to a request as its protobuf message.

    Args:
        answer: A grant, or why there is none.
    """
    if not isinstance(answer, Failure):
        return peer_pb2.ShareAnswer(grant=_encode_grant(answer.unwrap()))
    problem: ShareProblem = answer.failure()
    if isinstance(problem, StaleRequest):
        stale = peer_pb2.StaleRequest(sequence=problem.sequence, taken=problem.taken)
        return peer_pb2.ShareAnswer(stale=stale)
    if isinstance(problem, NotGranter):
        not_granter = peer_pb2.NotGranter(
            destination=problem.destination,
            fencing=problem.fencing,
            retry_after_s=problem.retry_after_s,
        )
        return peer_pb2.ShareAnswer(not_granter=not_granter)
    return peer_pb2.ShareAnswer()


def decode_answer(
    message: peer_pb2.ShareAnswer,
) -> Result[ShareGrant, NotGranter | StaleRequest]:
    """Return the answer to a request from its protobuf message."""
    if message.HasField("grant"):
        return Success(_decode_grant(message.grant))
    if message.HasField("stale"):
        return Failure(
            StaleRequest(
                ShareSequence(message.stale.sequence),
                ShareSequence(message.stale.taken),
            )
        )
    refused = message.not_granter
    return Failure(
        NotGranter(
            DestinationId(refused.destination),
            FencingVersion(refused.fencing),
            refused.retry_after_s,
        )
    )


def encode_release(message: ShareRelease) -> peer_pb2.ShareRelease:
    """Return a release as its protobuf message."""
    return peer_pb2.ShareRelease(
        destination=message.destination,
        holder=_encode_holder(message.holder),
        sequence=message.sequence,
    )


def decode_release(message: peer_pb2.ShareRelease) -> ShareRelease:
    """Return a release from its protobuf message."""
    return ShareRelease(
        DestinationId(message.destination),
        _decode_holder(message.holder),
        ShareSequence(message.sequence),
    )


def encode_demand(report: DemandReport) -> peer_pb2.DemandReport:
    """Return a report of demand as its protobuf message."""
    demands = [
        peer_pb2.Demand(service=each.service, wanted_slots=each.wanted_slots)
        for each in report.demands
    ]
    return peer_pb2.DemandReport(instance=report.instance, demands=demands)


def decode_demand(message: peer_pb2.DemandReport) -> DemandReport:
    """Return a report of demand from its protobuf message."""
    demands = tuple(
        ServiceDemand(ServiceId(each.service), each.wanted_slots)
        for each in message.demands
    )
    return DemandReport(InstanceId(message.instance), demands)


def _encode_grant(grant: ShareGrant) -> peer_pb2.ShareGrant:
    return peer_pb2.ShareGrant(
        destination=grant.destination,
        holder=_encode_holder(grant.holder),
        sequence=grant.sequence,
        fencing=grant.fencing,
        slots=grant.slots,
        ttl_s=grant.ttl_s,
    )


def _decode_grant(message: peer_pb2.ShareGrant) -> ShareGrant:
    return ShareGrant(
        DestinationId(message.destination),
        _decode_holder(message.holder),
        ShareSequence(message.sequence),
        FencingVersion(message.fencing),
        message.slots,
        message.ttl_s,
    )


def _encode_holder(holder: ShareHolderId) -> peer_pb2.ShareHolder:
    return peer_pb2.ShareHolder(
        instance=holder.instance, incarnation=holder.incarnation
    )


def _decode_holder(message: peer_pb2.ShareHolder) -> ShareHolderId:
    return ShareHolderId(InstanceId(message.instance), Incarnation(message.incarnation))
