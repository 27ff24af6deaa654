"""Relays: instances that watch the platform's store for other instances.

A relay answers over HTTP. A watch returns MessagePack, compressed, as soon as there are
changes; a check is answered with 200 only while the store responds to the relay, and
with the number of instances in the follower's zone and the versions of the newest
changes, by which followers notice a pending watch that is never answered.
"""

import zlib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Annotated
from urllib.parse import quote, unquote

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
from tanagercourse.gateway.connections import ConnectionPool, OutboundRequest
from tanagercourse.gateway.endpoints import empty_response
from tanagercourse.gateway.messages import CallerRequest, Response
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
    """

    change_log: ChangeLog
    confirmation: StoreConfirmation
    followers: FollowerCounts
    _encoded: dict[ObjectPath, _EncodedChanges] = field(default_factory=dict)

    async def respond(self, request: CallerRequest) -> Response:
        """Handle one request of a follower."""
        path, _, query = request.target.partition(b"?")
        if not self._is_up_to_date():
            return empty_response(503)
        if path == CHECK_PATH:
            return self._answer_check(query)
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

    def _answer_check(self, query: bytes) -> Response:
        zone, _, instance = unquote(query.decode("latin-1")).partition("&")
        count = 0
        if zone and instance:
            self.followers.record(InstanceId(instance), ZoneId(zone))
            count = self.followers.count(ZoneId(zone))
        status = _CheckResponse(count, self.change_log.newest_changes())
        return Response(200, b"OK", (), msgspec.msgpack.encode(status))

    def _encode(self, prefix: ObjectPath, changes: Listing) -> Response:
        encoded = self._encoded.get(prefix)
        if encoded is None or encoded.changes != changes:
            encoded = _EncodedChanges(changes, _encode_changes(changes))
            self._encoded[prefix] = encoded
        return encoded.response


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
    """

    instance: InstanceId
    zone: ZoneId
    zone_size: ZoneSize


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

    async def check() -> Result[RelayStatus, StoreProblem]:
        response = await request(CHECK_PATH + b"?" + identity, CHECK_TIMEOUT_S)
        decoded: Result[_CheckResponse, StoreProblem] = response.bind(
            partial(_decode_check, ObjectPath(name))
        )
        if isinstance(decoded, Failure):
            return decoded
        status = decoded.unwrap()
        if status.instance_count:
            follower.zone_size.record(status.instance_count)
        return Success(RelayStatus(status.newest_changes))

    async def watch(
        prefix: ObjectPath, after: Version, wait_s: float
    ) -> Result[Listing, StoreProblem]:
        target = f"?{quote(prefix)}&{after}&{int(wait_s * 1000)}".encode()
        response = await request(WATCH_PATH + target, wait_s + WATCH_MARGIN_S)
        if isinstance(response, Failure):
            return response
        return decode_changes(prefix, after, response.unwrap())

    return Relay(name, watch, check)


def _make_sender(
    endpoint: Endpoint, pool: ConnectionPool
) -> Callable[[bytes, float], Awaitable[Result[Response, StoreProblem]]]:
    host, port = endpoint.host, endpoint.port
    name = f"{host}:{port}"

    async def send(target: bytes, timeout_s: float) -> Result[Response, StoreProblem]:
        request = OutboundRequest(b"GET", target, ((b"Host", name.encode()),), b"")
        result = await pool.exchange(host, port, request, timeout_s)
        if isinstance(result, Failure):
            return Failure(Unavailable(ObjectPath(name), result.failure().detail))
        return Success(result.unwrap())

    return send


def _decode_check(
    name: ObjectPath, response: Response
) -> Result[_CheckResponse, StoreProblem]:
    if response.status != 200:
        return Failure(Unavailable(name, f"status {response.status}"))
    try:
        return Success(msgspec.msgpack.decode(response.body, type=_CheckResponse))
    except msgspec.MsgspecError as error:
        return Failure(Malformed(name, str(error)))


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
