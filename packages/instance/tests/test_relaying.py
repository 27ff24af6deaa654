"""Tests of relays over HTTP."""

from collections.abc import AsyncIterator, Callable
from functools import partial

import anyio
import pytest
import structlog
from returns.result import Failure, Result, Success

from tanagercourse.core.ids import (
    InstanceId,
    ObjectPath,
    Version,
    WriterId,
    ZoneId,
)
from tanagercourse.following.change_log import ChangeLog
from tanagercourse.following.sources import Relay, RelayStatus
from tanagercourse.gateway.callers import (
    CallerConnections,
    CallerDependencies,
    serve_caller,
)
from tanagercourse.gateway.connections import ConnectionPool
from tanagercourse.gateway.messages import Response
from tanagercourse.instance.relaying import (
    MAX_CONFIRMATION_AGE_S,
    MAX_RELAYED_BYTES,
    Follower,
    RelayServer,
    StoreConfirmation,
    decode_changes,
    make_relay,
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
from tanagercourse.routing.configuration import DEFAULT_LIMITS
from tanagercourse.testing.gateway_harness import serve_on_free_port

pytestmark = pytest.mark.anyio

SERVERS = ObjectPath("/servers")
CHANGES = Listing(
    (
        StoredObject(ObjectPath("/servers/u0"), Version(6), b"\x00{}", WriterId("w")),
        StoredObject(
            ObjectPath("/servers/ü1"),
            Version(7),
            b"",
            WriterId(""),
            ObjectState.DELETED,
        ),
    ),
    Version(7),
)


@pytest.fixture
def server(anyio_backend: str) -> RelayServer:
    clock = anyio.current_time
    confirmation = StoreConfirmation(clock)
    followers = FollowerCounts(ZoneId("a1"), clock)
    return RelayServer(ChangeLog(frozenset({SERVERS}), clock), confirmation, followers)


@pytest.fixture
def zone_size(anyio_backend: str) -> ZoneSize:
    return ZoneSize(anyio.current_time)


@pytest.fixture
async def relay(server: RelayServer, zone_size: ZoneSize) -> AsyncIterator[Relay]:
    """Serve a relay whose store has just responded; yield a client of it."""
    server.confirmation.confirmed_at_s = anyio.current_time() + 60.0
    caller_deps = CallerDependencies(
        server.respond,
        lambda: DEFAULT_LIMITS,
        CallerConnections(),
        anyio.current_time,
        structlog.get_logger(),
    )
    async with anyio.create_task_group() as tasks:
        port = await tasks.start(serve_on_free_port, partial(serve_caller, caller_deps))
        pool = ConnectionPool(anyio.current_time, 1.0)
        follower = Follower(InstanceId("e&1"), ZoneId("a1"), zone_size)
        yield make_relay(Endpoint("127.0.0.1", port), pool, follower)
        tasks.cancel_scope.cancel()


async def test_follower_receives_changes_unchanged(
    server: RelayServer, relay: Relay
) -> None:
    server.change_log.begin(SERVERS, Version(5))
    server.change_log.record(SERVERS, CHANGES)
    assert await relay.watch(SERVERS, Version(5), 1.0) == Success(CHANGES)
    assert await relay.watch(SERVERS, Version(7), 0.0) == Success(
        Listing((), Version(7))
    )
    assert await relay.check() == Success(RelayStatus({SERVERS: Version(7)}))


async def test_check_counts_the_instances_of_the_followers_zone(
    server: RelayServer, relay: Relay, zone_size: ZoneSize
) -> None:
    server.change_log.begin(SERVERS, Version(5))
    server.followers.record(InstanceId("e2"), ZoneId("a1"))
    server.followers.record(InstanceId("e3"), ZoneId("b1"))
    for _ in range(2):
        assert await relay.check() == Success(RelayStatus({}))
    assert zone_size.instance_count() == 3


async def watch_while(
    relay: Relay, act: Callable[[], None]
) -> Result[Listing, StoreProblem]:
    """Return the result of a watch that is pending when something happens."""
    results: list[Result[Listing, StoreProblem]] = []

    async def watch() -> None:
        results.append(await relay.watch(SERVERS, Version(5), 15.0))

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
    server.change_log.begin(SERVERS, Version(5))
    result = await watch_while(
        relay, lambda: server.change_log.record(SERVERS, CHANGES)
    )
    assert result == Success(CHANGES)


async def test_relay_without_the_store_refuses_its_followers(
    server: RelayServer, relay: Relay
) -> None:
    """The relay was cut off from the store, so it may miss changes."""
    server.change_log.begin(SERVERS, Version(5))
    server.confirmation.confirmed_at_s = (
        anyio.current_time() - MAX_CONFIRMATION_AGE_S - 0.1
    )
    assert isinstance((await relay.check()).failure(), Unavailable)
    result = await relay.watch(SERVERS, Version(5), 1.0)
    assert isinstance(result.failure(), Unavailable)


async def test_relay_whose_watch_is_interrupted_refuses_its_followers(
    server: RelayServer, relay: Relay
) -> None:
    server.change_log.begin(SERVERS, Version(5))
    result = await watch_while(relay, lambda: server.change_log.interrupt(SERVERS))
    assert isinstance(result, Failure)
    assert isinstance(result.failure(), Unavailable)
    assert isinstance((await relay.check()).failure(), Unavailable)


async def test_changes_that_are_unknown_or_too_large_are_read_from_the_store(
    server: RelayServer, relay: Relay
) -> None:
    server.change_log.begin(SERVERS, Version(6))
    result = await relay.watch(SERVERS, Version(5), 1.0)
    assert isinstance(result.failure(), HistoryLost)
    value = bytes(range(256)) * 2 + b"".join(
        index.to_bytes(4, "big") for index in range(MAX_RELAYED_BYTES)
    )
    large = StoredObject(ObjectPath("/servers/u0"), Version(6), value, WriterId(""))
    server.change_log.begin(SERVERS, Version(5))
    server.change_log.record(SERVERS, Listing((large,), Version(6)))
    result = await relay.watch(SERVERS, Version(5), 1.0)
    assert isinstance(result.failure(), HistoryLost)


@pytest.mark.parametrize("body", [b"", b"no zlib", b"x\x9c\x03\x00\x00\x00\x00\x01"])
def test_malformed_response_of_a_relay_is_a_typed_failure(body: bytes) -> None:
    result = decode_changes(SERVERS, Version(5), Response(200, b"OK", (), body))
    assert isinstance(result, Failure) and isinstance(result.failure(), Malformed)
