"""Tests of decoding the platform's documents, and of calls to its store."""

import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
import pytest
import structlog
from returns.result import Failure, Success

from tanagercourse.adapter.configuration import decode_configuration
from tanagercourse.adapter.object_calls import ObjectCalls, make_object_calls
from tanagercourse.adapter.objects import (
    StoreClient,
    make_reader,
    make_store_client,
)
from tanagercourse.adapter.registrations import decode_registration
from tanagercourse.adapter.settings import decode_settings, read_settings
from tanagercourse.core.ids import (
    NO_VERSION,
    ApiKey,
    ObjectPath,
    RegionId,
    TenantId,
    WriterId,
)
from tanagercourse.core.states import Idempotency
from tanagercourse.following.eras import EraTracker
from tanagercourse.following.sources import StoreFunctions
from tanagercourse.instance.settings import Endpoint
from tanagercourse.platform.reading import (
    NO_STORE_VERSION,
    ONLY_ERA,
    HistoryLost,
    VersionedListing,
    VersionedObject,
)
from tanagercourse.platform.store import (
    Conflict,
    NotFound,
    ObjectState,
    Unavailable,
    Update,
)
from tanagercourse.routing.fleet import Duty
from tanagercourse.routing.tenants import Tenant
from tanagercourse.standin.documents import make_settings_document
from tanagercourse.testing.store_versions import at

pytestmark = pytest.mark.anyio

LOG = structlog.get_logger()
SERVERS = ObjectPath("/servers")
Json = dict[str, Any]


def make_object(value: Any, path: str = "/servers/u0") -> VersionedObject:
    encoded = msgspec.json.encode(value)
    return VersionedObject(ObjectPath(path), at(1), encoded)


def test_settings_are_read_and_unknown_fields_are_ignored(
    make_settings: Callable[..., Path],
) -> None:
    path = make_settings(9000, (9001, 9002, 9003))
    settings = read_settings({"TANAGERCOURSE_BOOT": str(path)}).unwrap()
    assert settings.caller_endpoint == Endpoint("127.0.0.1", 9001)
    assert settings.lookup_endpoint == Endpoint("127.0.0.1", 9003)
    assert settings.location.regions == {"a1": "a", "b1": "b"}
    assert (settings.grace_s, settings.retry_budget_slack) == (6.0, 60.0)
    assert settings.memory_bytes == 300_000_000
    assert (settings.cores, settings.link_mbps) == (1.0, 100.0)
    assert settings.sockets == 3900
    assert settings.heartbeat_interval_s == 1.5
    assert settings.relay_endpoint is None and settings.relays == ()


@pytest.mark.parametrize(
    ("file_descriptors", "sockets"), [(1535, 1335), (201, 1), (200, None), (-1, None)]
)
def test_settings_state_how_many_sockets_may_be_open(
    file_descriptors: int, sockets: int | None
) -> None:
    document = make_settings_document(9000, (9001, 9002, 9003))
    document["self"]["limits"]["file_descriptors"] = file_descriptors
    decoded = decode_settings("settings", msgspec.json.encode(document))
    assert decoded.map(lambda settings: settings.sockets).value_or(None) == sockets


def test_relays_are_the_platforms_seeds() -> None:
    document = make_settings_document(9000, (9001, 9002, 9003))
    document["network"]["seeds"] = ["127.0.0.1:9004", "127.0.0.2:9004"]
    document["network"]["listen"]["control_plane"] = "127.0.0.1:9004"
    document["self"]["limits"].update(cpu_share=1.075, cpu_cores=2, link_mbps=5)
    settings = decode_settings("settings", msgspec.json.encode(document)).unwrap()
    assert (settings.cores, settings.link_mbps) == (2.15, 5.0)
    assert settings.relay_endpoint == Endpoint("127.0.0.1", 9004)
    assert settings.relays == (
        Endpoint("127.0.0.1", 9004),
        Endpoint("127.0.0.2", 9004),
    )


def test_settings_bound_the_overshoot_of_quotas() -> None:
    """Guards against bounds of the platform that quotas ignore."""
    document = make_settings_document(9000, (9001, 9002, 9003))
    default = decode_settings("settings", msgspec.json.encode(document)).unwrap()
    document["terms"]["bounds"] |= {"quota_window_s": 4, "quota_slack": 7}
    settings = decode_settings("settings", msgspec.json.encode(document)).unwrap()
    assert (default.quota_window_s, default.quota_slack) == (5.0, 20.0)
    assert (settings.quota_window_s, settings.quota_slack) == (4.0, 7.0)
    assert settings.quota_overshoot == 0.1
    document["terms"]["bounds"]["quota_window_s"] = 0
    assert isinstance(
        decode_settings("settings", msgspec.json.encode(document)), Failure
    )


@pytest.mark.parametrize("content", ["", "{", "[]", '{"self": {}}', None])
def test_invalid_settings_file_is_reported_with_its_path(
    tmp_path: Path, content: str | None
) -> None:
    path = tmp_path / "settings.json"
    if content is not None:
        path.write_text(content)
    result = read_settings({"TANAGERCOURSE_BOOT": str(path)})
    assert isinstance(result, Failure) and str(path) in result.failure().describe()


def test_registration_is_decoded(make_registration: Callable[..., Json]) -> None:
    draining = make_registration(8080, state="draining", cold_remaining_ms=1500)
    registration = decode_registration(make_object(draining)).unwrap()
    assert (registration.upstream, registration.port, registration.duty) == (
        "u0",
        8080,
        Duty.DRAINING,
    )
    assert registration.cold_s == 1.5 and registration.started_unix_ms == 1770000000000


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
        {"cold_remaining_ms": 10**400},
        {"slots": 10**400},
        {"address": "10.0.0.256:80"},
        {"address": "\0:80"},
        {"address": f"10.0.0.1:{'9' * 5000}"},
    ],
)
def test_registration_with_an_invalid_field_is_refused(
    make_registration: Callable[..., Json], changes: Json
) -> None:
    assert isinstance(
        decode_registration(make_object(make_registration(80, **changes))), Failure
    )


@pytest.mark.parametrize("value", [None, "text", 3, [], {}])
def test_value_that_is_no_registration_is_refused(value: Any) -> None:
    assert isinstance(decode_registration(make_object(value)), Failure)


def test_configuration_is_decoded(configuration: Json) -> None:
    decoded = decode_configuration(make_object(configuration)).unwrap()
    sticky_route, single_service_route = decoded.hosts[b"h.example"]
    assert decoded.version == 12
    assert [part.weight for part in sticky_route.service_weights] == [90, 10]
    assert (
        sticky_route.target_latency_s,
        sticky_route.timeout_s,
        sticky_route.is_sticky,
    ) == (0.4, 3.0, True)
    assert single_service_route.idempotency is Idempotency.NON_IDEMPOTENT
    assert (
        single_service_route.home_regions == {"a"}
        and not single_service_route.is_sticky
    )
    assert decoded.limits.idle_timeout_s == 15.0


@pytest.mark.parametrize(
    ("field", "value"),
    [("version", "no number"), ("hosts", None), ("limits", {}), ("services", "none")],
)
def test_configuration_with_an_invalid_field_is_refused(
    configuration: Json, field: str, value: Any
) -> None:
    configuration[field] = value
    assert isinstance(decode_configuration(make_object(configuration)), Failure)


def test_downloads_are_idempotent(configuration: Json) -> None:
    # A configuration with one route of this kind was refused as a whole.
    configuration["hosts"][0]["paths"][1]["kind"] = "download"
    decoded = decode_configuration(make_object(configuration)).unwrap()
    assert decoded.hosts[b"h.example"][1].idempotency is Idempotency.IDEMPOTENT


TENANT = {
    "name": "t1",
    "api_keys": ["k1", "k2"],
    "priority": 0,
    "rate_per_s": 2.5,
    "burst": 467,
    "home_regions": ["a"],
    "unknown": 1,
}


def test_tenants_are_decoded(configuration: Json) -> None:
    configuration["tenants"] = [TENANT, {"name": "t2"}]
    directory = decode_configuration(make_object(configuration)).unwrap().tenants
    assert directory is not None
    homes = frozenset({RegionId("a")})
    assert directory.find(ApiKey(b"k2")) == Tenant(TenantId("t1"), 0, homes, 2.5, 467)
    assert not directory.tenants[TenantId("t2")].has_quota


@pytest.mark.parametrize(
    "changes",
    [
        {"rate_per_s": -1},
        {"rate_per_s": "many"},
        {"burst": 10**400},
        {"name": ""},
        {"name": "a\r\nb"},
        {"name": "caf\u00e9"},
        {"api_keys": [1]},
    ],
)
def test_invalid_tenant_invalidates_the_configuration(
    configuration: Json, changes: Json
) -> None:
    configuration["tenants"] = [{**TENANT, **changes}]
    assert isinstance(decode_configuration(make_object(configuration)), Failure)


def test_shared_key_invalidates_the_configuration_and_is_not_named(
    configuration: Json,
) -> None:
    configuration["tenants"] = [TENANT, {**TENANT, "name": "t2", "api_keys": ["k2"]}]
    refused = decode_configuration(make_object(configuration)).failure().describe()
    assert "t1 and t2" in refused and "k2" not in refused


def test_route_of_an_unknown_kind_is_refused(configuration: Json) -> None:
    configuration["hosts"][0]["paths"][1]["kind"] = "upload"
    refused = decode_configuration(make_object(configuration))
    assert "unknown kind 'upload'" in refused.failure().describe()


def test_route_without_a_service_is_refused(configuration: Json) -> None:
    del configuration["hosts"][0]["paths"][1]["service"]
    assert isinstance(decode_configuration(make_object(configuration)), Failure)


@pytest.fixture
def store_client(store_port: int) -> StoreClient:
    return make_client(store_port)


def make_client(port: int) -> StoreClient:
    endpoint = Endpoint("127.0.0.1", port)
    return make_store_client(endpoint, time.monotonic, LOG, EraTracker(LOG))


@pytest.fixture
def store(store_client: StoreClient) -> StoreFunctions:
    return make_reader(store_client)


@pytest.fixture
def object_calls(store_client: StoreClient) -> ObjectCalls:
    return make_object_calls(store_client, ONLY_ERA)


async def test_all_pages_of_a_listing_are_read(
    store: StoreFunctions, fake_store: Any, make_registration: Callable[..., Json]
) -> None:
    for index in range(5):
        fake_store.put("servers", f"u{index}", make_registration(80 + index))
    listing = (await store.list_all(SERVERS)).unwrap()
    assert [stored.path for stored in listing.objects] == [
        f"/servers/u{index}" for index in range(5)
    ]
    assert listing.version == at(5, ONLY_ERA) and len(fake_store.calls) == 3


@pytest.mark.parametrize("eras", [[4], [4, 4, 5], []])
async def test_pages_of_one_era_are_a_listing(
    store: StoreFunctions,
    fake_store: Any,
    make_registration: Callable[..., Json],
    eras: list[int],
) -> None:
    fake_store.eras = eras
    for index in range(3):
        fake_store.put("servers", f"u{index}", make_registration(80 + index))
    assert len((await store.list_all(SERVERS)).unwrap().objects) == 3


async def test_pages_of_two_eras_are_no_listing(
    store: StoreFunctions, fake_store: Any, make_registration: Callable[..., Json]
) -> None:
    """The store came back from an older copy between two pages."""
    fake_store.eras = [4, 5]
    for index in range(3):
        fake_store.put("servers", f"u{index}", make_registration(80 + index))
    assert isinstance(await store.list_all(SERVERS), Failure)
    # The next attempt reads all pages from the copy.
    assert len((await store.list_all(SERVERS)).unwrap().objects) == 3


async def test_stale_listing_asks_for_it_on_every_page(
    store: StoreFunctions,
    fake_store: Any,
    make_registration: Callable[..., Json],
) -> None:
    for index in range(3):
        fake_store.put("servers", f"u{index}", make_registration(80 + index))
    listing = (await store.list_stale(SERVERS)).unwrap()
    assert len(listing.objects) == 3
    assert fake_store.calls == [
        "GET /objects/servers?stale_ok=1",
        "GET /objects/servers?after=u1&stale_ok=1",
    ]


async def test_watch_reports_changes_and_deletions(
    store: StoreFunctions, fake_store: Any
) -> None:
    fake_store.put("servers", "u0", {"n": 1})
    fake_store.delete("servers", "u0")
    changes = (await store.watch(SERVERS, NO_STORE_VERSION, 1.0)).unwrap()
    states = [stored.state for stored in changes.objects]
    assert states == [ObjectState.PRESENT, ObjectState.DELETED]
    assert changes.version == at(2, ONLY_ERA)


async def test_lost_history_is_reported(store: StoreFunctions, fake_store: Any) -> None:
    fake_store.compacted_revision = 7
    version = at(3, ONLY_ERA)
    result = await store.watch(SERVERS, version, 1.0)
    assert result == Failure(HistoryLost(SERVERS, version))


async def test_late_response_of_an_earlier_era_is_ignored(
    store: StoreFunctions, fake_store: Any
) -> None:
    fake_store.eras = [5, 4, 5]
    listings = [await store.list_all(SERVERS) for _ in range(3)]
    assert listings[0] == listings[2] == Success(VersionedListing((), at(0, era=5)))
    assert isinstance(listings[1].failure(), Unavailable)


async def test_check_of_a_store_whose_stale_responses_lag_behind_succeeds(
    store: StoreFunctions, fake_store: Any
) -> None:
    """A relay would refuse its followers until the stale data is of the new era."""
    fake_store.eras = [5, 4]
    assert isinstance(await store.list_all(SERVERS), Success)
    assert await store.check() == Success(None)


async def test_watch_that_is_answered_in_a_later_era_lost_its_history(
    store: StoreFunctions, fake_store: Any
) -> None:
    """The store has the revision again, for another change (CONFIG, review/12)."""
    fake_store.eras = [1]
    fake_store.put("servers", "u0", {"n": 1})
    copied = fake_store.copy()
    fake_store.put("servers", "u0", {"n": 2})
    version = (await store.list_all(SERVERS)).unwrap().version
    fake_store.come_back(copied)
    fake_store.put("servers", "u0", {"n": 3})
    fake_store.put("servers", "u0", {"n": 4})
    result = await store.watch(SERVERS, version, 0.0)
    assert result == Failure(HistoryLost(SERVERS, version))


async def test_write_with_a_version_of_an_ended_era_is_not_sent(
    object_calls: ObjectCalls, store: StoreFunctions, fake_store: Any
) -> None:
    """The same revision may stand for another content now."""
    path, writer = ObjectPath("/mine/x"), WriterId("w")
    created = await object_calls.write(Update(path, NO_VERSION, b"1", writer))
    fake_store.eras = [1]
    assert isinstance(await store.check(), Success)
    calls_before = list(fake_store.calls)
    update = Update(path, created.unwrap().version, b"2", writer)
    result = await object_calls.write(update)
    assert isinstance(result.failure(), Unavailable)
    assert fake_store.calls == calls_before


@pytest.mark.parametrize("status", [429, 500, 503])
async def test_error_status_is_reported_as_unavailable(
    store: StoreFunctions, fake_store: Any, status: int
) -> None:
    fake_store.status = status
    listing = await store.list_all(SERVERS)
    assert isinstance(listing, Failure)
    assert isinstance(listing.failure(), Unavailable)


@pytest.mark.parametrize("status", [200, 429, 503])
async def test_check_succeeds_only_if_the_store_responds(
    store: StoreFunctions, fake_store: Any, status: int
) -> None:
    fake_store.status = status
    assert isinstance(await store.check(), Success) is (status == 200)
    assert fake_store.calls == ["GET /objects/evacuations?stale_ok=1"]


async def test_refused_connection_is_reported_as_unavailable(closed_port: int) -> None:
    store = make_reader(make_client(closed_port))
    listing = await store.list_all(SERVERS)
    assert isinstance(listing, Failure)
    assert isinstance(listing.failure(), Unavailable)


@pytest.fixture
def closed_port() -> int:
    # Nothing listens on loopback's discard port.
    return 9


async def test_conditional_write_conflict_returns_the_current_object(
    object_calls: ObjectCalls,
) -> None:
    read, write = object_calls.read, object_calls.write
    path, writer = ObjectPath("/mine/x"), WriterId("w")
    created = (await write(Update(path, NO_VERSION, b"1", writer))).unwrap()
    repeated_create = await write(Update(path, NO_VERSION, b"2", writer))
    assert isinstance(repeated_create, Failure)
    conflict = repeated_create.failure()
    assert isinstance(conflict, Conflict) and conflict.found is not None
    assert (conflict.found.value, conflict.found.version) == (b"1", created.version)
    updated = (await write(Update(path, created.version, b"2", writer))).unwrap()
    assert isinstance(await read(path), Success)
    deletion = Update(path, updated.version, b"", writer, ObjectState.DELETED)
    assert isinstance(await write(deletion), Success)
    assert await read(path) == Failure(NotFound(path))
