"""Tests of relays over HTTP."""

from collections.abc import AsyncIterator, Callable, Iterable
from contextlib import asynccontextmanager
from functools import partial
from typing import Annotated
from urllib.parse import quote, unquote

import anyio
import msgspec
import pytest
import structlog
from returns.result import Failure, Result, Success

from tanagercourse.core.ids import (
    InstanceId,
    ObjectPath,
    ZoneId,
)
from tanagercourse.following.change_log import ChangeLog
from tanagercourse.following.eras import EraTracker
from tanagercourse.following.sources import Relay, RelayStatus
from tanagercourse.gateway.callers import (
    CallerConnections,
    CallerDependencies,
    RequestHandler,
    serve_caller,
)
from tanagercourse.gateway.connection_pool import ConnectionPool
from tanagercourse.gateway.connections import OutboundRequest
from tanagercourse.gateway.messages import CallerRequest, Response
from tanagercourse.instance.member_reports import decode_report, decode_zone_reports
from tanagercourse.instance.members import (
    MAX_AGE_S,
    FollowedMembers,
    Member,
    NamedMember,
    RelayMembers,
)
from tanagercourse.instance.relay_messages import (
    MAX_RELAYED_BYTES,
    decode_changes,
)
from tanagercourse.instance.relaying import (
    MAX_CONFIRMATION_AGE_S,
    Follower,
    RelayServer,
    StoreConfirmation,
    make_relay,
    make_report_reader,
)
from tanagercourse.instance.settings import Endpoint
from tanagercourse.instance.zone_size import FollowerCounts, ZoneSize
from tanagercourse.platform.reading import (
    ONLY_ERA,
    Era,
    HistoryLost,
    ReadProblem,
    VersionedListing,
    VersionedObject,
)
from tanagercourse.platform.store import Malformed, ObjectState, Unavailable
from tanagercourse.routing.configuration import DEFAULT_LIMITS
from tanagercourse.testing.gateway_harness import serve_on_free_port
from tanagercourse.testing.store_versions import at
from tanagercourse.testing.stores import ManualClock

pytestmark = pytest.mark.anyio

SERVERS = ObjectPath("/servers")
CHANGES = VersionedListing(
    (
        VersionedObject(ObjectPath("/servers/u0"), at(6), b"\x00{}"),
        VersionedObject(
            ObjectPath("/servers/ü1"),
            at(7),
            b"",
            ObjectState.DELETED,
        ),
    ),
    at(7),
)


@pytest.fixture
async def server(anyio_backend: str, relay_members: RelayMembers) -> RelayServer:
    """Return a relay whose store has just responded."""
    clock = anyio.current_time
    confirmation = StoreConfirmation(clock, anyio.current_time() + 60.0)
    followers = FollowerCounts(ZoneId("a1"), clock)
    change_log = ChangeLog(frozenset({SERVERS}), clock)
    return RelayServer(change_log, confirmation, followers, relay_members)


@pytest.fixture
def zone_size(anyio_backend: str) -> ZoneSize:
    return ZoneSize(anyio.current_time)


@asynccontextmanager
async def serve_requests(respond: RequestHandler) -> AsyncIterator[Endpoint]:
    """Serve requests on a free port; yield its address."""
    caller_deps = CallerDependencies(
        respond,
        lambda: DEFAULT_LIMITS,
        CallerConnections(),
        anyio.current_time,
        structlog.get_logger(),
    )
    async with anyio.create_task_group() as tasks:
        port = await tasks.start(serve_on_free_port, partial(serve_caller, caller_deps))
        yield Endpoint("127.0.0.1", port)
        tasks.cancel_scope.cancel()


@pytest.fixture
def eras(anyio_backend: str) -> EraTracker:
    """Return the latest era that the follower knows."""
    return EraTracker(structlog.get_logger())


@pytest.fixture
def followed(manual_clock: ManualClock) -> FollowedMembers:
    return FollowedMembers(manual_clock)


@pytest.fixture
async def endpoint(server: RelayServer) -> AsyncIterator[Endpoint]:
    async with serve_requests(server.respond) as endpoint:
        yield endpoint


@pytest.fixture
def make_client(
    zone_size: ZoneSize,
    followed: FollowedMembers,
    make_member: Callable[..., Member],
    eras: EraTracker,
) -> Callable[[Endpoint, float], Relay]:
    """Return a function that makes a client of a relay, given the follower's cores."""

    def make(endpoint: Endpoint, cores: float) -> Relay:
        pool = ConnectionPool(anyio.current_time, 1.0)
        follower = Follower(
            InstanceId("e&1"),
            ZoneId("a1"),
            zone_size,
            followed,
            lambda: make_member("e1", cores),
            eras,
        )
        return make_relay(endpoint, pool, follower)

    return make


@pytest.fixture
def relay(endpoint: Endpoint, make_client: Callable[[Endpoint, float], Relay]) -> Relay:
    """Return a client of the relay, for a follower with a small machine."""
    return make_client(endpoint, 0.4)


async def test_follower_receives_changes_unchanged(
    server: RelayServer, relay: Relay
) -> None:
    server.change_log.begin(SERVERS, at(5))
    server.change_log.record(SERVERS, CHANGES)
    assert await relay.watch(SERVERS, at(5), 1.0) == Success(CHANGES)
    assert await relay.watch(SERVERS, at(7), 0.0) == Success(
        VersionedListing((), at(7))
    )
    assert await relay.check() == Success(RelayStatus({SERVERS: at(7)}))


async def test_check_counts_the_instances_of_the_followers_zone(
    server: RelayServer, relay: Relay, zone_size: ZoneSize
) -> None:
    server.change_log.begin(SERVERS, at(5))
    server.followers.record(InstanceId("e2"), ZoneId("a1"))
    server.followers.record(InstanceId("e3"), ZoneId("b1"))
    for _ in range(2):
        assert await relay.check() == Success(RelayStatus({}))
    assert zone_size.instance_count() == 3


def hear_of(server: RelayServer, members: Iterable[Member], clock: ManualClock) -> None:
    """Let a relay run until it has heard of members of its zone."""
    for _ in range(4):
        clock.now_s += 0.8
        for member in members:
            instance = InstanceId(member.address)
            server.members.record_check(ZoneId("a1"), instance, member)


async def test_follower_reports_itself_and_learns_the_named_members(
    server: RelayServer,
    relay: Relay,
    followed: FollowedMembers,
    manual_clock: ManualClock,
    make_member: Callable[..., Member],
) -> None:
    server.change_log.begin(SERVERS, at(5))
    hear_of(server, [make_member("e2", 2.0)], manual_clock)
    manual_clock.now_s += 0.7
    await relay.check()
    assert followed.addresses() == ("e2", "relay")
    # The age that the relay stated counts as well.
    manual_clock.now_s += MAX_AGE_S - 0.6
    assert followed.addresses() == ("relay",)
    (report,) = (
        report
        for report in server.members.reports_for_relays()
        if report.instance == "e&1"
    )
    assert report.member == make_member("e1", 0.4)


async def test_named_members_stay_during_an_outage_of_the_store(
    server: RelayServer,
    relay: Relay,
    followed: FollowedMembers,
    manual_clock: ManualClock,
    make_member: Callable[..., Member],
) -> None:
    """A relay without the store refuses its followers, but its members are there."""
    hear_of(server, [make_member("e2", 2.0)], manual_clock)
    assert isinstance((await relay.check()).failure(), Unavailable)
    assert followed.addresses() == ("e2", "relay")


async def test_checks_carry_no_more_where_machines_are_alike(
    server: RelayServer,
    make_client: Callable[[Endpoint, float], Relay],
    manual_clock: ManualClock,
) -> None:
    """Zones of one kind of machine would pay for what they don't use."""
    server.change_log.begin(SERVERS, at(5))
    requests: list[CallerRequest] = []
    answers: list[bytes] = []
    respond = server.respond

    async def record(request: CallerRequest) -> Response:
        requests.append(request)
        response = await respond(request)
        answers.append(response.body)
        return response

    hear_of(server, [], manual_clock)
    async with serve_requests(record) as endpoint:
        client = make_client(endpoint, 1.9)
        for _ in range(8):
            manual_clock.now_s += 0.8
            await client.check()
    assert [bool(request.body) for request in requests[-3:]] == [False] * 3
    assert {request.method for request in requests[-3:]} == {b"GET"}
    assert answers[-1] == msgspec.msgpack.encode([2, {}])


class EarlierCheckResponse(msgspec.Struct, array_like=True):
    """Response to a check, as instances before look-ups by capacity decode it."""

    instance_count: Annotated[int, msgspec.Meta(ge=0, le=1_000_000)]
    newest_changes: dict[ObjectPath, int]


async def test_earlier_follower_decodes_the_answer_of_a_new_relay(
    server: RelayServer,
    endpoint: Endpoint,
    manual_clock: ManualClock,
    make_member: Callable[..., Member],
) -> None:
    """During an upgrade a follower would lose all its relays."""
    server.change_log.begin(SERVERS, at(5))
    members = [make_member("e1", 0.4), make_member("e2", 2.0)]
    hear_of(server, members, manual_clock)
    pool = ConnectionPool(anyio.current_time, 1.0)
    bodies = []
    for instance in ("e1", "earlier"):
        target = f"/check?{quote('a1&' + instance)}".encode()
        request = OutboundRequest(b"GET", target, ((b"Host", b"h"),), b"")
        result = await pool.exchange(endpoint.host, endpoint.port, request, 1.0)
        bodies.append(result.unwrap().body)
    assert [len(msgspec.msgpack.decode(body)) for body in bodies] == [3, 3]
    for count, body in enumerate(bodies, 2):
        decoded = msgspec.msgpack.decode(body, type=EarlierCheckResponse)
        assert decoded == EarlierCheckResponse(count, {})


async def test_new_follower_of_an_earlier_relay_names_itself(
    zone_size: ZoneSize,
    followed: FollowedMembers,
    manual_clock: ManualClock,
    make_client: Callable[[Endpoint, float], Relay],
) -> None:
    """An earlier relay counts followers by the query, which must stay the same."""
    queries: list[str] = []

    async def respond_as_before(request: CallerRequest) -> Response:
        path, _, query = request.target.partition(b"?")
        assert path == b"/check"
        queries.append(unquote(query.decode("latin-1")))
        answer = EarlierCheckResponse(25, {SERVERS: 7})
        return Response(200, b"OK", (), msgspec.msgpack.encode(answer))

    followed.record((NamedMember("e2", manual_clock.now_s),) * 2)
    async with serve_requests(respond_as_before) as endpoint:
        client = make_client(endpoint, 0.4)
        expected = Success(RelayStatus({SERVERS: at(7, ONLY_ERA)}))
        for _ in range(2):
            assert await client.check() == expected
    assert queries == ["a1&e&1"] * 2
    assert zone_size.instance_count() == 25 and followed.addresses() == ()


async def test_relays_read_each_others_reports(
    server: RelayServer,
    endpoint: Endpoint,
    manual_clock: ManualClock,
    make_member: Callable[..., Member],
) -> None:
    hear_of(server, [make_member("e2", 2.0)], manual_clock)
    pool = ConnectionPool(anyio.current_time, 1.0)
    read_reports = make_report_reader(endpoint, pool, manual_clock)
    reports = (await read_reports()).unwrap()
    assert {report.instance: report.member for report in reports} == {
        "e2": make_member("e2", 2.0),
        "relay": make_member("relay", 2.0),
    }


@pytest.mark.parametrize("body", [b"", b"no zlib", b"x\x9c\x03\x00\x00\x00\x00\x01"])
def test_malformed_reports_are_a_typed_failure(body: bytes) -> None:
    result = decode_zone_reports(ObjectPath("r"), body, 0.0)
    assert isinstance(result, Failure) and isinstance(result.failure(), Malformed)
    assert decode_report(body) is None


async def watch_while(
    relay: Relay, act: Callable[[], None]
) -> Result[VersionedListing, ReadProblem]:
    """Return the result of a watch that is pending when something happens."""
    results: list[Result[VersionedListing, ReadProblem]] = []

    async def watch() -> None:
        results.append(await relay.watch(SERVERS, at(5), 15.0))

    with anyio.fail_after(5.0):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(watch)
            await anyio.sleep(0.05)
            act()
    (result,) = results
    return result


async def test_waiting_follower_receives_a_change_when_it_arrives(
    server: RelayServer, relay: Relay
) -> None:
    server.change_log.begin(SERVERS, at(5))
    result = await watch_while(
        relay, lambda: server.change_log.record(SERVERS, CHANGES)
    )
    assert result == Success(CHANGES)


async def test_relay_without_the_store_refuses_its_followers(
    server: RelayServer, relay: Relay
) -> None:
    """The relay was cut off from the store, so it may miss changes."""
    server.change_log.begin(SERVERS, at(5))
    server.confirmation.confirmed_at_s = (
        anyio.current_time() - MAX_CONFIRMATION_AGE_S - 0.1
    )
    assert isinstance((await relay.check()).failure(), Unavailable)
    result = await relay.watch(SERVERS, at(5), 1.0)
    assert isinstance(result.failure(), Unavailable)


async def test_relay_whose_watch_is_interrupted_refuses_its_followers(
    server: RelayServer, relay: Relay
) -> None:
    server.change_log.begin(SERVERS, at(5))
    result = await watch_while(relay, lambda: server.change_log.interrupt(SERVERS))
    assert isinstance(result, Failure)
    assert isinstance(result.failure(), Unavailable)
    assert isinstance((await relay.check()).failure(), Unavailable)


async def test_changes_that_are_unknown_or_too_large_are_read_from_the_store(
    server: RelayServer, relay: Relay
) -> None:
    server.change_log.begin(SERVERS, at(6))
    result = await relay.watch(SERVERS, at(5), 1.0)
    assert isinstance(result.failure(), HistoryLost)
    value = bytes(range(256)) * 2 + b"".join(
        index.to_bytes(4, "big") for index in range(MAX_RELAYED_BYTES)
    )
    large = VersionedObject(ObjectPath("/servers/u0"), at(6), value)
    server.change_log.begin(SERVERS, at(5))
    server.change_log.record(SERVERS, VersionedListing((large,), at(6)))
    result = await relay.watch(SERVERS, at(5), 1.0)
    assert isinstance(result.failure(), HistoryLost)


async def test_follower_learns_of_a_new_era_from_its_relay(
    server: RelayServer, relay: Relay, eras: EraTracker
) -> None:
    """It went on from a revision that the store had assigned again (review/12)."""
    server.change_log.begin(SERVERS, at(5, era=2))
    result = await relay.watch(SERVERS, at(5, era=1), 1.0)
    assert result == Failure(HistoryLost(SERVERS, at(5, era=1)))
    assert eras.latest == 2


async def test_check_tells_the_era_of_the_newest_changes(
    server: RelayServer, relay: Relay, eras: EraTracker
) -> None:
    server.change_log.begin(SERVERS, at(5, era=2))
    listing = VersionedListing((), at(7, era=2))
    server.change_log.record(SERVERS, listing)
    assert await relay.check() == Success(RelayStatus({}))
    assert eras.latest == 2
    assert await relay.watch(SERVERS, at(5, era=2), 0.0) == Success(listing)


async def test_relay_of_an_earlier_era_is_no_source(
    server: RelayServer, relay: Relay, eras: EraTracker
) -> None:
    """Two relays of different eras would make a follower go back and forth."""
    server.change_log.begin(SERVERS, at(50, era=2))
    eras.record(Era(3))
    assert isinstance((await relay.check()).failure(), Unavailable)
    result = await relay.watch(SERVERS, at(5, era=3), 1.0)
    assert isinstance(result.failure(), Unavailable)
    assert eras.latest == 3


async def test_earlier_follower_is_served_in_the_era_of_the_relay(
    server: RelayServer, endpoint: Endpoint
) -> None:
    """It states no era, and would list all objects again and again."""
    server.change_log.begin(SERVERS, at(5, era=2))
    pool = ConnectionPool(anyio.current_time, 1.0)
    target = f"/watch?{quote(SERVERS)}&5&0".encode()
    request = OutboundRequest(b"GET", target, ((b"Host", b"h"),), b"")
    response = await pool.exchange(endpoint.host, endpoint.port, request, 1.0)
    assert response.unwrap().status == 200


@pytest.mark.parametrize("body", [b"", b"no zlib", b"x\x9c\x03\x00\x00\x00\x00\x01"])
def test_malformed_response_of_a_relay_is_a_typed_failure(body: bytes) -> None:
    result = decode_changes(SERVERS, at(5), Response(200, b"OK", (), body))
    assert isinstance(result, Failure) and isinstance(result.failure(), Malformed)
