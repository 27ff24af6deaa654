"""Settings, entries, configurations and calls as the platform writes them."""

import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
import pytest
from returns.result import Failure, Success

from tanagercourse.adapter.configuration import decode_configuration
from tanagercourse.adapter.objects import connect_store, open_check, open_store
from tanagercourse.adapter.registrations import decode_entry
from tanagercourse.adapter.settings import read_settings
from tanagercourse.core.ids import NO_VERSION, ObjectPath, Version, WriterId
from tanagercourse.core.states import Idempotency
from tanagercourse.instance.settings import Endpoint
from tanagercourse.platform.store import (
    Conflict,
    HistoryLost,
    NotFound,
    ObjectState,
    Store,
    StoredObject,
    Unavailable,
    Update,
)
from tanagercourse.routing.fleet import Duty

pytestmark = pytest.mark.anyio

SERVERS = ObjectPath("/servers")
Json = dict[str, Any]


def stored(value: Any, path: str = "/servers/u0") -> StoredObject:
    encoded = msgspec.json.encode(value)
    return StoredObject(ObjectPath(path), Version(1), encoded, WriterId(""))


def test_settings_are_read_and_unknown_fields_ignored(
    make_settings: Callable[..., Path],
) -> None:
    path = make_settings(9000, (9001, 9002, 9003))
    settings = read_settings({"TANAGERCOURSE_BOOT": str(path)}).unwrap()
    assert settings.callers == Endpoint("127.0.0.1", 9001)
    assert settings.look_ups == Endpoint("127.0.0.1", 9003)
    assert settings.location.regions == {"a1": "a", "b1": "b"}
    assert (settings.grace_s, settings.repeat_slack) == (6.0, 60.0)


@pytest.mark.parametrize("content", ["", "{", "[]", '{"self": {}}', None])
def test_settings_that_can_t_be_read_are_a_problem(
    tmp_path: Path, content: str | None
) -> None:
    path = tmp_path / "settings.json"
    if content is not None:
        path.write_text(content)
    read = read_settings({"TANAGERCOURSE_BOOT": str(path)})
    assert isinstance(read, Failure) and str(path) in read.failure().describe()


def test_an_entry_is_decoded(make_entry: Callable[..., Json]) -> None:
    draining = make_entry(8080, state="draining", cold_remaining_ms=1500)
    entry = decode_entry(stored(draining)).unwrap()
    assert (entry.upstream, entry.port, entry.duty) == ("u0", 8080, Duty.DRAINING)
    assert entry.cold_s == 1.5 and entry.started_unix_ms == 1770000000000


@pytest.mark.parametrize(
    "changes",
    [
        {"state": "unknown"},
        {"state": 3},
        {"slots": "3"},
        {"slots": 0},
        {"address": "10.0.0.1"},
        {"address": "10.0.0.1:port"},
        {"address": "10.0.0.1:70000"},
        {"service": None},
        {"zone": ["a1"]},
        {"cold_remaining_ms": "soon"},
    ],
)
def test_an_entry_of_another_writer_names_no_upstream(
    make_entry: Callable[..., Json], changes: Json
) -> None:
    assert isinstance(decode_entry(stored(make_entry(80, **changes))), Failure)


@pytest.mark.parametrize("value", [None, "text", 3, [], {}])
def test_something_else_in_place_of_an_entry_names_no_upstream(value: Any) -> None:
    assert isinstance(decode_entry(stored(value)), Failure)


def test_a_configuration_is_decoded(configuration: Json) -> None:
    decoded = decode_configuration(stored(configuration)).unwrap()
    safe, once = decoded.hosts[b"h.example"]
    assert decoded.version == 12
    assert [part.weight for part in safe.service_weights] == [90, 10]
    assert (safe.target_latency_s, safe.timeout_s, safe.is_sticky) == (0.4, 3.0, True)
    assert once.idempotency is Idempotency.NON_IDEMPOTENT
    assert once.home_regions == {"a"} and not once.is_sticky
    assert decoded.limits.idle_timeout_s == 15.0


@pytest.mark.parametrize(
    ("field", "value"),
    [("version", "no number"), ("hosts", None), ("limits", {}), ("services", "none")],
)
def test_a_configuration_that_can_t_be_read_is_a_problem(
    configuration: Json, field: str, value: Any
) -> None:
    configuration[field] = value
    assert isinstance(decode_configuration(stored(configuration)), Failure)


def test_a_route_without_a_service_is_a_problem(configuration: Json) -> None:
    del configuration["hosts"][0]["paths"][1]["service"]
    assert isinstance(decode_configuration(stored(configuration)), Failure)


@pytest.fixture
def client(store_port: int) -> Store:
    return open_store(connect_store(Endpoint("127.0.0.1", store_port), time.monotonic))


async def test_all_pages_of_a_listing_are_read(
    client: Store, store: Any, make_entry: Callable[..., Json]
) -> None:
    for index in range(5):
        store.put("servers", f"u{index}", make_entry(80 + index))
    listing = (await client.list_all(SERVERS)).unwrap()
    assert [each.path for each in listing.objects] == [
        f"/servers/u{index}" for index in range(5)
    ]
    assert listing.version == 5 and len(store.calls) == 3


async def test_a_watch_tells_changes_and_deletions(client: Store, store: Any) -> None:
    store.put("servers", "u0", {"n": 1})
    store.delete("servers", "u0")
    watched = (await client.watch(SERVERS, NO_VERSION, 1.0)).unwrap()
    states = [each.state for each in watched.objects]
    assert states == [ObjectState.PRESENT, ObjectState.DELETED]
    assert watched.version == 2


async def test_forgotten_history_is_told_apart(client: Store, store: Any) -> None:
    store.compacted_revision = 7
    lost = await client.watch(SERVERS, Version(3), 1.0)
    assert lost == Failure(HistoryLost(SERVERS, Version(3)))


@pytest.mark.parametrize("status", [429, 500, 503])
async def test_a_store_that_refuses_is_away(
    client: Store, store: Any, status: int
) -> None:
    store.status = status
    listing = await client.list_all(SERVERS)
    assert isinstance(listing, Failure)
    assert isinstance(listing.failure(), Unavailable)


@pytest.mark.parametrize("status", [200, 429, 503])
async def test_a_check_tells_whether_the_store_answers(
    store_port: int, store: Any, status: int
) -> None:
    store.status = status
    endpoint = Endpoint("127.0.0.1", store_port)
    check = open_check(connect_store(endpoint, time.monotonic))
    assert isinstance(await check(), Success) is (status == 200)
    assert store.calls == ["GET /objects/evacuations?stale_ok=1"]


async def test_a_store_that_is_not_there_is_away(unused_port: int) -> None:
    client = open_store(
        connect_store(Endpoint("127.0.0.1", unused_port), time.monotonic)
    )
    listing = await client.list_all(SERVERS)
    assert isinstance(listing, Failure)
    assert isinstance(listing.failure(), Unavailable)


@pytest.fixture
def unused_port() -> int:
    # Nothing listens on the discard port of loopback.
    return 9


async def test_conditional_writes_conflict_with_the_object_as_it_is(
    client: Store,
) -> None:
    path, writer = ObjectPath("/mine/x"), WriterId("w")
    first = (await client.write(Update(path, NO_VERSION, b"1", writer))).unwrap()
    again = await client.write(Update(path, NO_VERSION, b"2", writer))
    assert isinstance(again, Failure)
    conflict = again.failure()
    assert isinstance(conflict, Conflict) and conflict.found is not None
    assert (conflict.found.value, conflict.found.version) == (b"1", first.version)
    second = (await client.write(Update(path, first.version, b"2", writer))).unwrap()
    assert isinstance(await client.read(path), Success)
    gone = Update(path, second.version, b"", writer, ObjectState.DELETED)
    assert isinstance(await client.write(gone), Success)
    assert await client.read(path) == Failure(NotFound(path))
