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
    """Encode a request for a share."""
    return peer_pb2.ShareRequest(
        destination=message.destination,
        holder=_encode_holder(message.holder),
        region=message.region,
        sequence=message.sequence,
        kept_slots=message.kept_slots,
        wanted_slots=message.wanted_slots,
    )


def decode_request(message: peer_pb2.ShareRequest) -> ShareRequest:
    """Decode a request for a share."""
    return ShareRequest(
        DestinationId(message.destination),
        _decode_holder(message.holder),
        RegionId(message.region),
        ShareSequence(message.sequence),
        message.kept_slots,
        message.wanted_slots,
    )


def encode_share_answer(
    result: Result[ShareGrant, ShareProblem],
) -> peer_pb2.ShareAnswer:
    """Encode the reply to a request for a share.

    Args:
        result: The grant, or why the request was refused.

    Returns:
        The message; empty for problems that only a client has, such as `Unreached`.
    """
    if not isinstance(result, Failure):
        return peer_pb2.ShareAnswer(grant=_encode_grant(result.unwrap()))
    problem: ShareProblem = result.failure()
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


def decode_share_answer(
    message: peer_pb2.ShareAnswer,
) -> Result[ShareGrant, NotGranter | StaleRequest]:
    """Decode the reply to a request for a share.

    Returns:
        The grant, or why the request was refused; an empty message decodes as
        `NotGranter` with default values.
    """
    if message.HasField("grant"):
        return Success(_decode_grant(message.grant))
    if message.HasField("stale"):
        return Failure(
            StaleRequest(
                ShareSequence(message.stale.sequence),
                ShareSequence(message.stale.taken),
            )
        )
    refusal = message.not_granter
    return Failure(
        NotGranter(
            DestinationId(refusal.destination),
            FencingVersion(refusal.fencing),
            refusal.retry_after_s,
        )
    )


def encode_release(message: ShareRelease) -> peer_pb2.ShareRelease:
    """Encode the release of a share."""
    return peer_pb2.ShareRelease(
        destination=message.destination,
        holder=_encode_holder(message.holder),
        sequence=message.sequence,
    )


def decode_release(message: peer_pb2.ShareRelease) -> ShareRelease:
    """Decode the release of a share."""
    return ShareRelease(
        DestinationId(message.destination),
        _decode_holder(message.holder),
        ShareSequence(message.sequence),
    )


def encode_demand(report: DemandReport) -> peer_pb2.DemandReport:
    """Encode a demand report."""
    demands = [
        peer_pb2.Demand(service=demand.service, wanted_slots=demand.wanted_slots)
        for demand in report.demands
    ]
    return peer_pb2.DemandReport(instance=report.instance, demands=demands)


def decode_demand(message: peer_pb2.DemandReport) -> DemandReport:
    """Decode a demand report."""
    demands = tuple(
        ServiceDemand(ServiceId(demand.service), demand.wanted_slots)
        for demand in message.demands
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
