"""Relays: instances that watch the platform's store for other instances.

A relay answers over HTTP. A watch returns as soon as there are changes; a check is
answered with 200 only while the store responds to the relay, and with the number of
instances in the follower's zone and the versions of the newest changes, by which
followers notice a pending watch that is never answered. All answers state the era that
the relay follows; one that is behind its follower's is no source for it.

The body of a check may be a report of the follower, from which the relay chooses the
members that look-ups name. Its answer then has a third element: these members, or nil
if the relay doesn't know them yet. Without that element the follower sends no report:
the machines of its zone are alike, or the relay runs earlier code, which ignores the
body. Earlier followers ignore the element.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Protocol
from urllib.parse import quote, unquote

import anyio
from returns.result import Failure, Result, Success

from tanagercourse.core.ids import (
    InstanceId,
    ObjectPath,
    ZoneId,
)
from tanagercourse.following.availability import CheckPlatform
from tanagercourse.following.change_log import ChangeLog
from tanagercourse.following.eras import EraTracker
from tanagercourse.following.sources import Relay, RelayStatus
from tanagercourse.gateway.connection_pool import ConnectionPool
from tanagercourse.gateway.connections import OutboundRequest
from tanagercourse.gateway.endpoints import empty_response
from tanagercourse.gateway.headers import Headers
from tanagercourse.gateway.messages import CallerRequest, Response
from tanagercourse.instance.member_reports import (
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
from tanagercourse.instance.relay_messages import (
    decode_changes,
    decode_check,
    decode_watch,
    encode_changes,
    encode_check,
    encode_watch,
    era_headers,
    read_era,
    refuse_check,
)
from tanagercourse.instance.settings import Endpoint
from tanagercourse.instance.zone_size import FollowerCounts, ZoneSize
from tanagercourse.platform.reading import (
    Era,
    ReadProblem,
    StoreVersion,
    VersionedListing,
)
from tanagercourse.platform.store import Unavailable

# Interval between two checks of the store by a relay, in seconds.
STORE_CHECK_INTERVAL_S = 0.4
# Age of the store's last response from which a relay refuses its followers, in seconds.
MAX_CONFIRMATION_AGE_S = 0.8
# Time limit for the response to a check of a relay, in seconds.
CHECK_TIMEOUT_S = 0.4
PEER_CONNECT_TIMEOUT_S = 0.3
# Interval between requests for the reports of another relay's followers, in seconds. A
# report passes through two checks and one such request before it is too old.
REPORT_INTERVAL_S = 0.4
# Time limit for the response to a watch, in addition to the requested wait, in seconds.
WATCH_MARGIN_S = 1.0
# Path of watches and checks, without the query: the prefix that is watched, or the zone
# and the id of the follower.
WATCH_PATH = b"/watch"
CHECK_PATH = b"/check"
# Path of the reports of a relay's followers, which the other relays request.
REPORTS_PATH = b"/reports"


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

        async def check_and_record() -> Result[None, ReadProblem]:
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

    changes: VersionedListing
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
        if path != WATCH_PATH:
            return Response(404, b"Not Found", (), b"")
        return await self._answer_watch(request)

    async def _answer_watch(self, request: CallerRequest) -> Response:
        era = self._current_era()
        if era is None:
            return empty_response(503)
        watch = decode_watch(request)
        if watch is None:
            return Response(404, b"Not Found", (), b"")
        after_era = era if watch.era is None else watch.era
        after = StoreVersion(after_era, watch.revision)
        changes = await self.change_log.wait_for_changes(
            watch.prefix, after, watch.wait_s
        )
        era = self._current_era()
        if era is None:
            return empty_response(503)
        if changes is None:
            return Response(410, b"Gone", era_headers(era), b"")
        return self._encode(watch.prefix, changes)

    def _current_era(self) -> Era | None:
        """Return the era that this relay follows, None unless it is up to date."""
        return self.change_log.era() if self.confirmation.is_recent() else None

    def _answer_check(self, query: bytes, body: bytes) -> Response:
        zone_text, _, instance_text = unquote(query.decode("latin-1")).partition("&")
        zone, instance = ZoneId(zone_text), InstanceId(instance_text)
        named: NamedMembers = NoMembers.ALIKE
        if zone and instance:
            self.members.record_check(zone, instance, decode_report(body))
            named = self.members.named_for(zone, instance)
        encoded_members = encode_named(named, self.members.now_s())
        era = self._current_era()
        if era is None:
            return refuse_check(encoded_members)
        count = 0
        if zone and instance:
            self.followers.record(instance, zone)
            count = self.followers.count(zone)
        changes = self.change_log.newest_changes()
        return encode_check(era, count, changes, encoded_members)

    def _encode(self, prefix: ObjectPath, changes: VersionedListing) -> Response:
        encoded = self._encoded.get(prefix)
        if encoded is None or encoded.changes != changes:
            encoded = _EncodedChanges(changes, encode_changes(changes))
            self._encoded[prefix] = encoded
        return encoded.response


@dataclass(frozen=True)
class Follower:
    """An instance that follows relays.

    Attributes:
        instance: Id of the instance.
        zone: Zone of the instance.
        zone_size: Receives the relay's count of the instances in that zone.
        members: Receives the members that look-ups name.
        eras: The latest era that this instance knows; receives that of the relays.
        describe_self: Returns this instance's report, None if it serves no callers.
    """

    instance: InstanceId
    zone: ZoneId
    zone_size: ZoneSize
    members: FollowedMembers
    describe_self: Callable[[], Member | None]
    eras: EraTracker


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

    async def check() -> Result[RelayStatus, ReadProblem]:
        nonlocal is_report_wanted
        member = follower.describe_self() if is_report_wanted else None
        report = b"" if member is None else encode_report(member)
        sent_at_s = follower.members.now_s()
        target = CHECK_PATH + b"?" + identity
        response = await request(target, CHECK_TIMEOUT_S, body=report)
        if isinstance(response, Failure):
            is_report_wanted = True
            return response
        decoded = decode_check(ObjectPath(name), response.unwrap())
        if isinstance(decoded, Failure):
            return decoded
        answer = decoded.unwrap()
        named = decode_named(answer.members, sent_at_s)
        follower.members.record(named)
        is_report_wanted = named is not NoMembers.ALIKE
        if answer.status != 200:
            return Failure(Unavailable(ObjectPath(name), f"status {answer.status}"))
        if answer.instance_count:
            follower.zone_size.record(answer.instance_count)
        era = follower.eras.record(answer.era)
        if era < follower.eras.latest:
            detail = f"the relay follows the earlier era {era}"
            return Failure(Unavailable(ObjectPath(name), detail))
        newest_changes = {
            prefix: StoreVersion(era, revision)
            for prefix, revision in answer.newest_revisions.items()
        }
        return Success(RelayStatus(newest_changes))

    async def watch(
        prefix: ObjectPath, after: StoreVersion, wait_s: float
    ) -> Result[VersionedListing, ReadProblem]:
        target = WATCH_PATH + b"?" + encode_watch(prefix, after, wait_s)
        headers = era_headers(after.era)
        response = await request(target, wait_s + WATCH_MARGIN_S, headers)
        if isinstance(response, Failure):
            return response
        answer = response.unwrap()
        follower.eras.record(read_era(answer.headers))
        return decode_changes(prefix, after, answer)

    return Relay(name, watch, check)


class _Send(Protocol):
    """Sends a request target, with a time limit in seconds."""

    def __call__(
        self, target: bytes, timeout_s: float, headers: Headers = (), body: bytes = b""
    ) -> Awaitable[Result[Response, ReadProblem]]: ...


def _make_sender(endpoint: Endpoint, pool: ConnectionPool) -> _Send:
    host, port = endpoint.host, endpoint.port
    name = f"{host}:{port}"

    async def send(
        target: bytes, timeout_s: float, headers: Headers = (), body: bytes = b""
    ) -> Result[Response, ReadProblem]:
        method = b"POST" if body else b"GET"
        host_header = (b"Host", name.encode())
        request = OutboundRequest(method, target, (host_header, *headers), body)
        result = await pool.exchange(host, port, request, timeout_s)
        if isinstance(result, Failure):
            return Failure(Unavailable(ObjectPath(name), result.failure().detail))
        return Success(result.unwrap())

    return send


def make_report_reader(
    endpoint: Endpoint, pool: ConnectionPool, clock: Callable[[], float]
) -> Callable[[], Awaitable[Result[list[ZoneReport], ReadProblem]]]:
    """Return a function that reads the reports of another relay's followers.

    Args:
        endpoint: Address of the relay.
        pool: Connections to relays.
        clock: A clock that includes suspended time, in seconds.
    """
    name = ObjectPath(f"{endpoint.host}:{endpoint.port}")
    request = _make_sender(endpoint, pool)

    async def read_reports() -> Result[list[ZoneReport], ReadProblem]:
        sent_at_s = clock()
        response = await request(REPORTS_PATH, CHECK_TIMEOUT_S)
        if isinstance(response, Failure):
            return response
        answer = response.unwrap()
        if answer.status != 200:
            return Failure(Unavailable(name, f"status {answer.status}"))
        return decode_zone_reports(name, answer.body, sent_at_s)

    return read_reports


async def exchange_reports(
    read_reports: Callable[[], Awaitable[Result[list[ZoneReport], ReadProblem]]],
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
