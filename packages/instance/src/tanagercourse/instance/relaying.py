"""Relays: instances that watch the platform's store for other instances.

A relay answers over HTTP. A watch returns MessagePack, compressed, as soon as there are
changes; a check is answered with 200 only while the store responds to the relay, and
with the number of instances in the follower's zone and the versions of the newest
changes, by which followers notice a pending watch that is never answered.

The body of a check may be a report of the follower, from which the relay chooses the
members that look-ups name. Its answer then has a third element: these members, or nil
if the relay doesn't know them yet. Without that element the follower sends no report:
the machines of its zone are alike, or the relay runs earlier code, which ignores the
body. Earlier followers ignore the element.
"""

import zlib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Annotated
from urllib.parse import quote, unquote

import anyio
import msgspec
from returns.result import Failure, Result, Success

from tanagercourse.core.ids import (
    InstanceId,
    ObjectPath,
    Version,
    WriterId,
    ZoneId,
)
from tanagercourse.following.availability import CheckPlatform
from tanagercourse.following.change_log import ChangeLog
from tanagercourse.following.sources import Relay, RelayStatus
from tanagercourse.gateway.connection_pool import ConnectionPool
from tanagercourse.gateway.connections import OutboundRequest
from tanagercourse.gateway.endpoints import empty_response
from tanagercourse.gateway.messages import CallerRequest, Response
from tanagercourse.instance.member_reports import (
    EncodedMembers,
    decode_named,
    decode_report,
    decode_zone_reports,
    encode_named,
    encode_report,
    encode_zone_reports,
)
from tanagercourse.instance.members import (
    FollowedMembers,
    Member,
    NamedMembers,
    NoMembers,
    RelayMembers,
    ZoneReport,
)
from tanagercourse.instance.settings import Endpoint
from tanagercourse.instance.zone_size import FollowerCounts, ZoneSize
from tanagercourse.platform.store import (
    HistoryLost,
    Listing,
    Malformed,
    ObjectState,
    StoredObject,
    StoreProblem,
    Unavailable,
)

# Interval between two checks of the store by a relay, in seconds.
STORE_CHECK_INTERVAL_S = 0.4
# Age of the store's last response from which a relay refuses its followers, in seconds.
MAX_CONFIRMATION_AGE_S = 0.8
# Time limit for the response to a check of a relay, in seconds.
CHECK_TIMEOUT_S = 0.4
CONNECT_TIMEOUT_S = 0.3
# Interval between requests for the reports of another relay's followers, in seconds. A
# report passes through two checks and one such request before it is too old.
REPORT_INTERVAL_S = 0.4
# Time limit for the response to a watch, in addition to the requested wait, in seconds.
WATCH_MARGIN_S = 1.0
# Maximum size of a compressed response. A relay has many followers and a slow link, so
# they list the objects instead of receiving larger changes.
MAX_RELAYED_BYTES = 32_768
COMPRESSION_LEVEL = 1
# Maximum number of instances in a check's response.
MAX_INSTANCE_COUNT = 1_000_000
# Path of watches and checks, without the query: the prefix that is watched, or the zone
# and the id of the follower.
WATCH_PATH = b"/watch"
CHECK_PATH = b"/check"
# Path of the reports of a relay's followers, which the other relays request.
REPORTS_PATH = b"/reports"


class _RelayedObject(msgspec.Struct, array_like=True):
    path: str
    version: int
    value: bytes
    writer: str
    is_deleted: bool


class _RelayedListing(msgspec.Struct, array_like=True):
    objects: list[_RelayedObject]
    version: int


class _CheckResponse(msgspec.Struct, array_like=True):
    """Response to a check; the count is 0 if the follower does not name itself."""

    instance_count: Annotated[int, msgspec.Meta(ge=0, le=MAX_INSTANCE_COUNT)]
    newest_changes: dict[ObjectPath, Version]


class _CheckResponseWithMembers(_CheckResponse, array_like=True):
    """Response to a check of a follower that reports itself."""

    members: EncodedMembers = msgspec.UNSET


@dataclass
class StoreConfirmation:
    """When the store last responded to this instance.

    Attributes:
        clock: A monotonic clock, in seconds.
        confirmed_at_s: Time of the last response, None before the first one.
    """

    clock: Callable[[], float]
    confirmed_at_s: float | None = None

    def wrap(self, check: CheckPlatform) -> CheckPlatform:
        """Return a check of the store that records its successes."""

        async def check_and_record() -> Result[None, StoreProblem]:
            sent_at_s = self.clock()
            result = await check()
            if isinstance(result, Success):
                self.confirmed_at_s = sent_at_s
            return result

        return check_and_record

    def is_recent(self) -> bool:
        """Return whether followers may rely on this instance."""
        if self.confirmed_at_s is None:
            return False
        return self.clock() - self.confirmed_at_s <= MAX_CONFIRMATION_AGE_S


@dataclass
class _EncodedChanges:
    """The last response under a prefix, which most followers request alike."""

    changes: Listing
    response: Response


@dataclass
class RelayServer:
    """Answers the watches and checks of followers.

    Attributes:
        change_log: The changes that this instance received from the store.
        confirmation: When the store last responded.
        followers: The instances that recently checked this relay.
        members: The members of the zones, from which look-ups name some.
    """

    change_log: ChangeLog
    confirmation: StoreConfirmation
    followers: FollowerCounts
    members: RelayMembers
    _encoded: dict[ObjectPath, _EncodedChanges] = field(default_factory=dict)

    async def respond(self, request: CallerRequest) -> Response:
        """Handle one request of a follower."""
        path, _, query = request.target.partition(b"?")
        if path == REPORTS_PATH:
            reports = self.members.reports_for_relays()
            body = encode_zone_reports(reports, self.members.now_s())
            return Response(200, b"OK", (), body)
        if path == CHECK_PATH:
            return self._answer_check(query, request.body)
        if not self._is_up_to_date():
            return empty_response(503)
        watch = _parse_watch(query) if path == WATCH_PATH else None
        if watch is None:
            return Response(404, b"Not Found", (), b"")
        prefix, after, wait_s = watch
        changes = await self.change_log.wait_for_changes(prefix, after, wait_s)
        if not self._is_up_to_date():
            return empty_response(503)
        if changes is None:
            return Response(410, b"Gone", (), b"")
        return self._encode(prefix, changes)

    def _is_up_to_date(self) -> bool:
        return self.confirmation.is_recent() and self.change_log.is_complete()

    def _answer_check(self, query: bytes, body: bytes) -> Response:
        zone_text, _, instance_text = unquote(query.decode("latin-1")).partition("&")
        zone, instance = ZoneId(zone_text), InstanceId(instance_text)
        named: NamedMembers = NoMembers.ALIKE
        if zone and instance:
            self.members.record_check(zone, instance, decode_report(body))
            named = self.members.named_for(zone, instance)
        encoded_members = encode_named(named, self.members.now_s())
        if not self._is_up_to_date():
            return _refuse_check(encoded_members)
        count = 0
        if zone and instance:
            self.followers.record(instance, zone)
            count = self.followers.count(zone)
        changes = self.change_log.newest_changes()
        if isinstance(encoded_members, msgspec.UnsetType):
            return _respond(200, b"OK", _CheckResponse(count, changes))
        answer = _CheckResponseWithMembers(count, changes, encoded_members)
        return _respond(200, b"OK", answer)

    def _encode(self, prefix: ObjectPath, changes: Listing) -> Response:
        encoded = self._encoded.get(prefix)
        if encoded is None or encoded.changes != changes:
            encoded = _EncodedChanges(changes, _encode_changes(changes))
            self._encoded[prefix] = encoded
        return encoded.response


def _respond(status: int, reason: bytes, message: object) -> Response:
    return Response(status, reason, (), msgspec.msgpack.encode(message))


def _refuse_check(members: EncodedMembers) -> Response:
    """Refuse a follower; members that are known are stated in any case.

    An outage of the store makes no difference to which members are named.
    """
    if isinstance(members, msgspec.UnsetType):
        return empty_response(503)
    answer = _CheckResponseWithMembers(0, {}, members)
    return _respond(503, b"Service Unavailable", answer)


def _parse_watch(query: bytes) -> tuple[ObjectPath, Version, float] | None:
    """Return the prefix, the version and the time to wait; None if malformed."""
    try:
        prefix, after, wait_ms = query.decode("ascii").split("&")
        return ObjectPath(unquote(prefix)), Version(int(after)), int(wait_ms) / 1000
    except ValueError:
        return None


def _encode_changes(changes: Listing) -> Response:
    objects = [
        _RelayedObject(
            stored.path,
            stored.version,
            stored.value,
            stored.writer,
            stored.state is ObjectState.DELETED,
        )
        for stored in changes.objects
    ]
    encoded = msgspec.msgpack.encode(_RelayedListing(objects, changes.version))
    body = zlib.compress(encoded, COMPRESSION_LEVEL)
    if len(body) > MAX_RELAYED_BYTES:
        return Response(410, b"Gone", (), b"")
    return Response(200, b"OK", (), body)


@dataclass(frozen=True)
class Follower:
    """An instance that follows relays.

    Attributes:
        instance: Id of the instance.
        zone: Zone of the instance.
        zone_size: Receives the relay's count of the instances in that zone.
        members: Receives the members that look-ups name.
        describe_self: Returns this instance's report, None if it serves no callers.
    """

    instance: InstanceId
    zone: ZoneId
    zone_size: ZoneSize
    members: FollowedMembers
    describe_self: Callable[[], Member | None]


def make_relay(endpoint: Endpoint, pool: ConnectionPool, follower: Follower) -> Relay:
    """Return a client of another instance's relay.

    Args:
        endpoint: Address of the relay.
        pool: Connections to relays.
        follower: This instance.
    """
    name = f"{endpoint.host}:{endpoint.port}"
    request = _make_sender(endpoint, pool)
    identity = quote(f"{follower.zone}&{follower.instance}").encode()

    # A relay that has not answered may not know this instance.
    is_report_wanted = True

    async def check() -> Result[RelayStatus, StoreProblem]:
        nonlocal is_report_wanted
        member = follower.describe_self() if is_report_wanted else None
        report = b"" if member is None else encode_report(member)
        sent_at_s = follower.members.now_s()
        response = await request(CHECK_PATH + b"?" + identity, CHECK_TIMEOUT_S, report)
        if isinstance(response, Failure):
            is_report_wanted = True
            return response
        answer = response.unwrap()
        decoded = _decode_check(ObjectPath(name), answer)
        if isinstance(decoded, Failure):
            return decoded
        status = decoded.unwrap()
        named = decode_named(status.members, sent_at_s)
        follower.members.record(named)
        is_report_wanted = named is not NoMembers.ALIKE
        if answer.status != 200:
            return Failure(Unavailable(ObjectPath(name), f"status {answer.status}"))
        if status.instance_count:
            follower.zone_size.record(status.instance_count)
        return Success(RelayStatus(status.newest_changes))

    async def watch(
        prefix: ObjectPath, after: Version, wait_s: float
    ) -> Result[Listing, StoreProblem]:
        target = f"?{quote(prefix)}&{after}&{int(wait_s * 1000)}".encode()
        response = await request(WATCH_PATH + target, wait_s + WATCH_MARGIN_S, b"")
        if isinstance(response, Failure):
            return response
        return decode_changes(prefix, after, response.unwrap())

    return Relay(name, watch, check)


# Sends a request target and a body, with a time limit in seconds.
_Send = Callable[[bytes, float, bytes], Awaitable[Result[Response, StoreProblem]]]


def _make_sender(endpoint: Endpoint, pool: ConnectionPool) -> _Send:
    host, port = endpoint.host, endpoint.port
    name = f"{host}:{port}"

    async def send(
        target: bytes, timeout_s: float, body: bytes
    ) -> Result[Response, StoreProblem]:
        method = b"POST" if body else b"GET"
        request = OutboundRequest(method, target, ((b"Host", name.encode()),), body)
        result = await pool.exchange(host, port, request, timeout_s)
        if isinstance(result, Failure):
            return Failure(Unavailable(ObjectPath(name), result.failure().detail))
        return Success(result.unwrap())

    return send


def _decode_check(
    name: ObjectPath, response: Response
) -> Result[_CheckResponseWithMembers, StoreProblem]:
    try:
        decoded = msgspec.msgpack.decode(response.body, type=_CheckResponseWithMembers)
        return Success(decoded)
    except msgspec.MsgspecError as error:
        if response.status != 200:
            return Failure(Unavailable(name, f"status {response.status}"))
        return Failure(Malformed(name, str(error)))


def make_report_reader(
    endpoint: Endpoint, pool: ConnectionPool, clock: Callable[[], float]
) -> Callable[[], Awaitable[Result[list[ZoneReport], StoreProblem]]]:
    """Return a function that reads the reports of another relay's followers.

    Args:
        endpoint: Address of the relay.
        pool: Connections to relays.
        clock: A clock that includes suspended time, in seconds.
    """
    name = ObjectPath(f"{endpoint.host}:{endpoint.port}")
    request = _make_sender(endpoint, pool)

    async def read_reports() -> Result[list[ZoneReport], StoreProblem]:
        sent_at_s = clock()
        response = await request(REPORTS_PATH, CHECK_TIMEOUT_S, b"")
        if isinstance(response, Failure):
            return response
        answer = response.unwrap()
        if answer.status != 200:
            return Failure(Unavailable(name, f"status {answer.status}"))
        return decode_zone_reports(name, answer.body, sent_at_s)

    return read_reports


async def exchange_reports(
    read_reports: Callable[[], Awaitable[Result[list[ZoneReport], StoreProblem]]],
    members: RelayMembers,
) -> None:
    """Read another relay's reports until cancelled.

    A relay that doesn't answer is no reason to act: its reports expire.
    """
    while True:
        result = await read_reports()
        if isinstance(result, Success):
            members.record_from_relay(result.unwrap())
        await anyio.sleep(REPORT_INTERVAL_S)


def decode_changes(
    prefix: ObjectPath, after: Version, response: Response
) -> Result[Listing, StoreProblem]:
    """Decode a relay's response to a watch.

    Args:
        prefix: The watched prefix.
        after: Version after which the changes were requested.
        response: The response.
    """
    if response.status == 410:
        return Failure(HistoryLost(prefix, after))
    if response.status != 200:
        return Failure(Unavailable(prefix, f"status {response.status}"))
    try:
        encoded = zlib.decompress(response.body)
        decoded = msgspec.msgpack.decode(encoded, type=_RelayedListing)
    except (zlib.error, msgspec.MsgspecError) as error:
        return Failure(Malformed(prefix, str(error)))
    objects = tuple(
        StoredObject(
            ObjectPath(relayed.path),
            Version(relayed.version),
            relayed.value,
            WriterId(relayed.writer),
            ObjectState.DELETED if relayed.is_deleted else ObjectState.PRESENT,
        )
        for relayed in decoded.objects
    )
    return Success(Listing(objects, Version(decoded.version)))
