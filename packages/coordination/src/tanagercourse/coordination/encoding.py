"""Encoding of the messages between instances as protobuf messages."""

from returns.result import Result

from tanagercourse.coordination import peer_pb2
from tanagercourse.coordination.peers import (
    Comparison,
    Exchange,
    ExchangeReply,
    Objects,
    Report,
)
from tanagercourse.coordination.replica import Digests, Head
from tanagercourse.coordination.snapshot import (
    DamagedSnapshot,
    decode_snapshot,
    encode_snapshot,
)
from tanagercourse.core.ids import Incarnation, InstanceId, ObjectPath, Version


def encode_exchange(message: Exchange) -> peer_pb2.ExchangeRequest:
    """Encode a heartbeat."""
    return peer_pb2.ExchangeRequest(
        sender=message.sender,
        version=message.version,
        is_ready=message.is_ready,
        root=message.root_digest,
        news=[_encode_head(head) for head in message.new_heads],
    )


def decode_exchange(message: peer_pb2.ExchangeRequest) -> Exchange:
    """Decode a heartbeat."""
    return Exchange(
        InstanceId(message.sender),
        Version(message.version),
        message.is_ready,
        message.root,
        tuple(_decode_head(head) for head in message.news),
    )


def encode_reply(message: ExchangeReply) -> peer_pb2.ExchangeReply:
    """Encode the reply to a heartbeat."""
    return peer_pb2.ExchangeReply(
        version=message.version,
        is_ready=message.is_ready,
        root=message.root_digest,
        wanted=message.wanted_paths,
    )


def decode_reply(message: peer_pb2.ExchangeReply) -> ExchangeReply:
    """Decode the reply to a heartbeat."""
    return ExchangeReply(
        Version(message.version),
        message.is_ready,
        message.root,
        tuple(ObjectPath(path) for path in message.wanted),
    )


def encode_digests(digests: Digests) -> peer_pb2.CompareRequest:
    """Encode bucket digests."""
    return peer_pb2.CompareRequest(digests=digests)


def decode_digests(message: peer_pb2.CompareRequest) -> Digests:
    """Decode bucket digests."""
    return tuple(message.digests)


def encode_comparison(message: Comparison) -> peer_pb2.CompareReply:
    """Encode a comparison."""
    heads = [_encode_head(head) for head in message.heads]
    return peer_pb2.CompareReply(digests=message.digests, heads=heads)


def decode_comparison(message: peer_pb2.CompareReply) -> Comparison:
    """Decode a comparison."""
    heads = tuple(_decode_head(head) for head in message.heads)
    return Comparison(tuple(message.digests), heads)


def encode_paths(paths: tuple[ObjectPath, ...]) -> peer_pb2.FetchRequest:
    """Encode the paths of requested objects."""
    return peer_pb2.FetchRequest(paths=paths)


def decode_paths(message: peer_pb2.FetchRequest) -> tuple[ObjectPath, ...]:
    """Decode the paths of requested objects."""
    return tuple(ObjectPath(path) for path in message.paths)


def encode_objects(objects: Objects) -> peer_pb2.Objects:
    """Encode objects as a snapshot with a checksum."""
    return peer_pb2.Objects(snapshot=encode_snapshot(objects))


def decode_objects(message: peer_pb2.Objects) -> Result[Objects, DamagedSnapshot]:
    """Decode objects; fails with `DamagedSnapshot` if the snapshot is damaged."""
    return decode_snapshot(message.snapshot)


def encode_report(message: Report) -> peer_pb2.ReportRequest:
    """Encode a report of an active settings version."""
    return peer_pb2.ReportRequest(
        instance=message.instance,
        incarnation=message.incarnation,
        version=message.version,
    )


def decode_report(message: peer_pb2.ReportRequest) -> Report:
    """Decode a report of an active settings version."""
    return Report(
        InstanceId(message.instance),
        Incarnation(message.incarnation),
        Version(message.version),
    )


def _encode_head(head: Head) -> peer_pb2.Head:
    return peer_pb2.Head(path=head.path, version=head.version)


def _decode_head(message: peer_pb2.Head) -> Head:
    return Head(ObjectPath(message.path), Version(message.version))
