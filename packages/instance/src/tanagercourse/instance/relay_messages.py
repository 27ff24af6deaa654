"""Encoding of the messages between relays and their followers.

A watch returns MessagePack, compressed. A header states the era of the versions in a
message; without it they are of the era that its receiver follows, as in the messages
of instances that run earlier code and of those whose store states no era.
"""

import zlib
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Annotated
from urllib.parse import quote, unquote

import msgspec
from returns.result import Failure, Result, Success

from tanagercourse.core.ids import ObjectPath
from tanagercourse.following.eras import parse_era
from tanagercourse.gateway.endpoints import empty_response
from tanagercourse.gateway.headers import Headers, find_header
from tanagercourse.gateway.messages import CallerRequest, Response
from tanagercourse.instance.member_reports import EncodedMembers
from tanagercourse.platform.reading import (
    Era,
    HistoryLost,
    ReadProblem,
    Revision,
    StoreVersion,
    VersionedListing,
    VersionedObject,
)
from tanagercourse.platform.store import Malformed, ObjectState, Unavailable

ERA_HEADER = b"Era"
# Maximum size of a compressed response. A relay has many followers and a slow link, so
# they list the objects instead of receiving larger changes.
MAX_RELAYED_BYTES = 32_768
COMPRESSION_LEVEL = 1
# Maximum number of instances in a check's response.
MAX_INSTANCE_COUNT = 1_000_000


class _RelayedObject(msgspec.Struct, array_like=True):
    """An object; the writer is not known and stays empty."""

    path: str
    revision: Revision
    value: bytes
    writer: str
    is_deleted: bool


class _RelayedListing(msgspec.Struct, array_like=True):
    objects: list[_RelayedObject]
    revision: Revision


class _CheckResponse(msgspec.Struct, array_like=True):
    """Response to a check; the count is 0 if the follower does not name itself."""

    instance_count: Annotated[int, msgspec.Meta(ge=0, le=MAX_INSTANCE_COUNT)]
    newest_changes: dict[ObjectPath, Revision]


class _CheckResponseWithMembers(_CheckResponse, array_like=True):
    """Response to a check of a follower that reports itself."""

    members: EncodedMembers = msgspec.UNSET


@dataclass(frozen=True)
class WatchRequest:
    """A follower's watch.

    Attributes:
        prefix: Prefix of the objects.
        era: Era of the revision, None if the follower states none.
        revision: Revision after which changes are requested.
        wait_s: Maximum time to wait for changes, in seconds.
    """

    prefix: ObjectPath
    era: Era | None
    revision: Revision
    wait_s: float


@dataclass(frozen=True)
class CheckAnswer:
    """A relay's answer to a check.

    Attributes:
        status: Status of the response.
        era: Era that the relay follows, None if it states none.
        instance_count: Number of instances in the follower's zone, 0 if not known.
        newest_revisions: Revision of the newest change under each prefix that has any.
        members: The members that look-ups name.
    """

    status: int
    era: Era | None
    instance_count: int
    newest_revisions: Mapping[ObjectPath, Revision]
    members: EncodedMembers


def encode_watch(prefix: ObjectPath, after: StoreVersion, wait_s: float) -> bytes:
    """Return the query of a watch; `era_headers` states the era of its version."""
    return f"{quote(prefix)}&{after.revision}&{int(wait_s * 1000)}".encode()


def decode_watch(request: CallerRequest) -> WatchRequest | None:
    """Return a follower's watch, None if it is malformed."""
    _, _, query = request.target.partition(b"?")
    try:
        prefix, revision, wait_ms = query.decode("ascii").split("&")
        return WatchRequest(
            ObjectPath(unquote(prefix)),
            read_era(request.headers),
            Revision(int(revision)),
            int(wait_ms) / 1000,
        )
    except ValueError:
        return None


def era_headers(era: Era) -> Headers:
    """Return the headers that state an era; none for a store without eras."""
    return ((ERA_HEADER, b"%d" % era),) if era else ()


def read_era(headers: Headers) -> Era | None:
    """Return the era that a message states, None if it states none."""
    return parse_era(find_header(headers, ERA_HEADER))


def encode_changes(changes: VersionedListing) -> Response:
    """Return the response to a watch."""
    objects = [
        _RelayedObject(
            stored.path,
            stored.version.revision,
            stored.value,
            "",
            stored.state is ObjectState.DELETED,
        )
        for stored in changes.objects
    ]
    listing = _RelayedListing(objects, changes.version.revision)
    body = zlib.compress(msgspec.msgpack.encode(listing), COMPRESSION_LEVEL)
    headers = era_headers(changes.version.era)
    if len(body) > MAX_RELAYED_BYTES:
        return Response(410, b"Gone", headers, b"")
    return Response(200, b"OK", headers, body)


def decode_changes(
    prefix: ObjectPath, after: StoreVersion, response: Response
) -> Result[VersionedListing, ReadProblem]:
    """Decode a relay's response to a watch.

    Args:
        prefix: The watched prefix.
        after: Version after which the changes were requested.
        response: The response.
    """
    era = read_era(response.headers) or after.era
    if era < after.era:
        return Failure(Unavailable(prefix, f"the relay follows the earlier era {era}"))
    if era > after.era or response.status == 410:
        return Failure(HistoryLost(prefix, after))
    if response.status != 200:
        return Failure(Unavailable(prefix, f"status {response.status}"))
    try:
        encoded = zlib.decompress(response.body)
        decoded = msgspec.msgpack.decode(encoded, type=_RelayedListing)
    except (zlib.error, msgspec.MsgspecError) as error:
        return Failure(Malformed(prefix, str(error)))
    objects = tuple(
        VersionedObject(
            ObjectPath(relayed.path),
            StoreVersion(era, relayed.revision),
            relayed.value,
            ObjectState.DELETED if relayed.is_deleted else ObjectState.PRESENT,
        )
        for relayed in decoded.objects
    )
    version = StoreVersion(era, decoded.revision)
    return Success(VersionedListing(objects, version))


def encode_check(
    era: Era,
    instance_count: int,
    newest_changes: Mapping[ObjectPath, StoreVersion],
    members: EncodedMembers,
) -> Response:
    """Return the response to a check, while the store responds to the relay.

    Args:
        era: Era that the relay follows.
        instance_count: Number of instances in the follower's zone.
        newest_changes: Version of the newest change under each prefix that has any.
        members: The members that look-ups name, UNSET to state none.
    """
    revisions = {prefix: version.revision for prefix, version in newest_changes.items()}
    answer = _CheckResponse(instance_count, revisions)
    if not isinstance(members, msgspec.UnsetType):
        answer = _CheckResponseWithMembers(instance_count, revisions, members)
    body = msgspec.msgpack.encode(answer)
    return Response(200, b"OK", era_headers(era), body)


def refuse_check(members: EncodedMembers) -> Response:
    """Refuse a follower; members that are known are stated in any case.

    An outage of the store makes no difference to which members are named.
    """
    if isinstance(members, msgspec.UnsetType):
        return empty_response(503)
    body = msgspec.msgpack.encode(_CheckResponseWithMembers(0, {}, members))
    return Response(503, b"Service Unavailable", (), body)


def decode_check(
    name: ObjectPath, response: Response
) -> Result[CheckAnswer, ReadProblem]:
    """Decode a relay's response to a check.

    Args:
        name: Address of the relay, for the problem.
        response: The response.
    """
    try:
        decoded = msgspec.msgpack.decode(response.body, type=_CheckResponseWithMembers)
    except msgspec.MsgspecError as error:
        if response.status != 200:
            return Failure(Unavailable(name, f"status {response.status}"))
        return Failure(Malformed(name, str(error)))
    return Success(
        CheckAnswer(
            response.status,
            read_era(response.headers),
            decoded.instance_count,
            decoded.newest_changes,
            decoded.members,
        )
    )
