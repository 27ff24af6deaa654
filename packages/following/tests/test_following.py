"""Tests of mirroring the platform's objects, also after outages and lost history."""

from collections.abc import Callable
from random import Random
from typing import Any

import anyio
import pytest
import structlog
from returns.result import Failure, Result, Success

from tanagercourse.adapter.objects import CHECK_TIMEOUT_S
from tanagercourse.core.ids import (
    ConfigurationVersion,
    ObjectPath,
    ServiceId,
    UpstreamId,
    ZoneId,
)
from tanagercourse.core.problems import Problem
from tanagercourse.following.availability import (
    CHECK_JITTER,
    OUTAGE_CHECK_INTERVAL_S,
    PlatformAvailability,
    monitor_platform,
)
from tanagercourse.following.evacuations import EvacuationUpdater
from tanagercourse.following.operator_objects import (
    ActiveConfiguration,
)
from tanagercourse.following.sources import StoreFunctions
from tanagercourse.following.upstreams import LAPSED_REGISTRATION_GRACE_S, FleetUpdater
from tanagercourse.following.watching import ObjectHandlers, WatchSource, watch_prefix
from tanagercourse.platform.reading import (
    HistoryLost,
    ReadProblem,
    StoreVersion,
    VersionedListing,
    VersionedObject,
)
from tanagercourse.platform.store import (
    Malformed,
    ObjectState,
    Unavailable,
)
from tanagercourse.routing.configuration import DEFAULT_LIMITS, Configuration
from tanagercourse.routing.fleet import Duty, Fleet, UpstreamRegistration
from tanagercourse.testing.store_versions import at

pytestmark = pytest.mark.anyio

LOG = structlog.get_logger()
SERVERS = ObjectPath("/servers")
ListResult = Result[VersionedListing, ReadProblem]


class Clock:
    """A clock whose time is set by tests."""

    def __init__(self) -> None:
        self.now_s = 0.0

    def __call__(self) -> float:
        return self.now_s


def make_object(
    name: str,
    version: int = 1,
    state: ObjectState = ObjectState.PRESENT,
    value: bytes = b"ready",
    prefix: str = "/servers",
) -> VersionedObject:
    path = ObjectPath(f"{prefix}/{name}")
    return VersionedObject(path, at(version), value, state)


def decode_registration(
    stored: VersionedObject,
) -> Result[UpstreamRegistration, Problem]:
    if stored.value not in (b"ready", b"draining"):
        return Failure(Malformed(stored.path, "not a registration"))
    name = UpstreamId(stored.path.rsplit("/", 1)[-1])
    duty = Duty(stored.value.decode())
    service, zone = ServiceId("stock"), ZoneId("a1")
    return Success(UpstreamRegistration(name, service, "::", 80, zone, 3, duty, 0.0, 1))


@pytest.fixture
def clock() -> Clock:
    return Clock()


@pytest.fixture
def fleet() -> Fleet:
    return Fleet()


@pytest.fixture
def left_upstreams() -> list[str]:
    return []


@pytest.fixture
def fleet_updater(
    fleet: Fleet, left_upstreams: list[str], clock: Clock
) -> FleetUpdater:
    return FleetUpdater(fleet, decode_registration, left_upstreams.append, LOG, clock)


def registered_upstreams(fleet: Fleet) -> list[str]:
    return sorted(record.registration.upstream for record in fleet)


def test_deleted_registration_removes_upstream_at_once(
    fleet_updater: FleetUpdater, fleet: Fleet, left_upstreams: list[str]
) -> None:
    fleet_updater.apply_listing((make_object("u0"), make_object("u1")))
    fleet_updater.apply_change(make_object("u0", 2, ObjectState.DELETED))
    assert registered_upstreams(fleet) == ["u1"] and left_upstreams == ["u0"]


def test_draining_upstream_gets_no_new_requests(
    fleet_updater: FleetUpdater, fleet: Fleet, left_upstreams: list[str]
) -> None:
    fleet_updater.apply_listing((make_object("u0"),))
    fleet_updater.apply_change(make_object("u0", 2, value=b"draining"))
    assert list(fleet.serving(ServiceId("stock"))) == [] and left_upstreams == ["u0"]


@pytest.mark.parametrize("source_of_loss", ["listed", "watched"])
def test_registration_that_lapsed_in_an_outage_may_reappear(
    fleet_updater: FleetUpdater, fleet: Fleet, clock: Clock, source_of_loss: str
) -> None:
    fleet_updater.apply_listing((make_object("u0"), make_object("u1")))
    fleet_updater.handlers().on_recovery()
    if source_of_loss == "listed":
        fleet_updater.apply_listing((make_object("u1"),))
    else:
        fleet_updater.apply_change(make_object("u0", 2, ObjectState.DELETED))
    record = fleet.get(UpstreamId("u0"))
    assert record is not None and record.is_missing
    clock.now_s = LAPSED_REGISTRATION_GRACE_S / 2
    fleet_updater.remove_expired()
    fleet_updater.apply_change(make_object("u0", 3))
    clock.now_s = 2 * LAPSED_REGISTRATION_GRACE_S
    fleet_updater.remove_expired()
    assert registered_upstreams(fleet) == ["u0", "u1"] and not record.is_missing


def test_registration_that_does_not_reappear_removes_upstream(
    fleet_updater: FleetUpdater, fleet: Fleet, clock: Clock
) -> None:
    fleet_updater.apply_listing((make_object("u0"),))
    fleet_updater.handlers().on_recovery()
    fleet_updater.apply_listing(())
    clock.now_s = LAPSED_REGISTRATION_GRACE_S
    fleet_updater.remove_expired()
    assert registered_upstreams(fleet) == []


def test_invalid_registration_removes_upstream(
    fleet_updater: FleetUpdater, fleet: Fleet
) -> None:
    fleet_updater.apply_listing((make_object("u0"), make_object("bad", value=b"{")))
    assert registered_upstreams(fleet) == ["u0"]
    fleet_updater.apply_change(make_object("u0", 2, value=b"{"))
    assert registered_upstreams(fleet) == []


def decode_version(stored: VersionedObject) -> Result[Configuration, Problem]:
    if not stored.value.isdigit():
        return Failure(Malformed(stored.path, "not a version number"))
    version = ConfigurationVersion(int(stored.value))
    return Success(Configuration(version, {}, {}, DEFAULT_LIMITS))


def test_older_configuration_is_not_applied() -> None:
    path = ObjectPath("/config/main")
    active = ActiveConfiguration(path, decode_version, LOG)
    observed = []
    for value in (b"5", b"4", b"nonsense", b"7"):
        active.apply(make_object("main", 1, value=value, prefix="/config"))
        current = active.current()
        observed.append(current.version if current else None)
    active.apply(make_object("main", 9, ObjectState.DELETED, prefix="/config"))
    active.apply(make_object("other", 9, value=b"9", prefix="/config"))
    current = active.current()
    assert observed == [5, 5, 5, 7] and current is not None and current.version == 7


def test_evacuation_begins_and_ends_with_its_object(fleet: Fleet, clock: Clock) -> None:
    fleet.put(decode_registration(make_object("u0")).unwrap(), 0.0)
    handlers = EvacuationUpdater(fleet, dict, LOG, clock).handlers()
    evacuation = make_object("a1", prefix="/evacuations")
    handlers.on_change(evacuation)
    assert fleet.evacuated == {"a1"}
    handlers.on_listing((evacuation,))
    assert fleet.evacuated == {"a1"}
    handlers.on_listing(())
    record = fleet.get(UpstreamId("u0"))
    assert fleet.evacuated == set() and record is not None and record.is_cold(0.0)


def scripted_store(
    lists: list[ListResult],
    watches: list[ListResult],
    calls: list[str],
    wait_times_s: list[float] | None = None,
) -> StoreFunctions:
    """Return a store with scripted results; further calls never return."""
    wait_times_s = [] if wait_times_s is None else wait_times_s

    async def list_all(prefix: ObjectPath) -> ListResult:
        calls.append("list")
        if not lists:
            await anyio.sleep_forever()
        return lists.pop(0)

    async def watch(
        prefix: ObjectPath, after: StoreVersion, wait_s: float
    ) -> ListResult:
        calls.append(f"watch {after.revision}")
        wait_times_s.append(wait_s)
        if not watches:
            await anyio.sleep_forever()
        return watches.pop(0)

    async def check() -> Result[None, ReadProblem]:
        return Success(None)

    return StoreFunctions(list_all, list_all, watch, check)


def make_source(
    store: StoreFunctions, availability: PlatformAvailability
) -> WatchSource:
    return WatchSource(store.list_all, store.watch, availability, 15.0, lambda: 1.0)


async def run_until(
    store: StoreFunctions,
    handlers: ObjectHandlers,
    condition: Callable[[], bool],
    availability: PlatformAvailability | None = None,
) -> None:
    source = make_source(store, availability or PlatformAvailability())
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(watch_prefix, source, SERVERS, handlers, LOG, Random(1))
        while not condition():
            await anyio.sleep(0.01)
        tasks.cancel_scope.cancel()


def listing(version: int, *objects: VersionedObject) -> ListResult:
    return Success(VersionedListing(objects, at(version)))


async def test_watch_continues_from_the_newest_version() -> None:
    calls: list[str] = []
    changed_paths: list[str] = []
    lists = [listing(5, make_object("u0"))]
    watches = [
        listing(7, make_object("u1", 7)),
        listing(7),
        listing(9, make_object("u2", 9)),
    ]
    store = scripted_store(lists, watches, calls)
    handlers = ObjectHandlers(
        lambda objects: None,
        lambda stored: changed_paths.append(stored.path),
    )
    await run_until(store, handlers, lambda: len(calls) == 5)
    assert calls == ["list", "watch 5", "watch 7", "watch 7", "watch 9"]
    assert changed_paths == ["/servers/u1", "/servers/u2"]


async def test_old_deletion_does_not_end_a_newer_evacuation(
    fleet: Fleet, clock: Clock
) -> None:
    """A relay repeated it beside the write that undid it (EVAC, review/2)."""

    def evacuation(version: int, state: ObjectState = ObjectState.PRESENT) -> Any:
        return make_object("a1", version, state, prefix="/evacuations")

    calls: list[str] = []
    repeated = (evacuation(5, ObjectState.DELETED), evacuation(9))
    lists = [listing(8, evacuation(5))]
    watches = [listing(9, *repeated), listing(10), listing(11, *repeated)]
    store = scripted_store(lists, watches, calls)
    handlers = EvacuationUpdater(fleet, dict, LOG, clock).handlers()
    await run_until(store, handlers, lambda: len(calls) == 5)
    assert fleet.evacuated == {"a1"}


async def test_old_deletion_does_not_remove_an_upstream_that_came_back(
    fleet_updater: FleetUpdater, fleet: Fleet, left_upstreams: list[str]
) -> None:
    """The upstream started again under its id, and a relay repeated its deletion."""
    calls: list[str] = []
    repeated = (make_object("u0", 5, ObjectState.DELETED), make_object("u0", 9))
    lists = [listing(10, make_object("u0", 9))]
    store = scripted_store(lists, [listing(11, *repeated)], calls)
    await run_until(store, fleet_updater.handlers(), lambda: len(calls) == 3)
    assert registered_upstreams(fleet) == ["u0"] and left_upstreams == []


@pytest.mark.parametrize("deletion_version", [5, 9])
async def test_deletion_is_applied_whichever_version_it_carries(
    fleet_updater: FleetUpdater, fleet: Fleet, deletion_version: int
) -> None:
    """A deletion carries the version of the last write, or a version of its own."""
    calls: list[str] = []
    deletion = make_object("u0", deletion_version, ObjectState.DELETED)
    lists = [listing(8, make_object("u0", 5), make_object("u1", 6))]
    store = scripted_store(lists, [listing(9, deletion)], calls)
    await run_until(store, fleet_updater.handlers(), lambda: len(calls) == 3)
    assert registered_upstreams(fleet) == ["u1"]


async def test_lost_history_is_relisted_and_older_listings_are_ignored() -> None:
    calls: list[str] = []
    listing_sizes: list[int] = []
    lists = [listing(5), listing(4, make_object("old")), listing(8, make_object("u0"))]
    history_lost: ListResult = Failure(HistoryLost(SERVERS, at(5)))
    store = scripted_store(lists, [history_lost], calls)
    handlers = ObjectHandlers(
        lambda objects: listing_sizes.append(len(objects)), lambda stored: None
    )
    await run_until(store, handlers, lambda: "watch 8" in calls)
    assert listing_sizes == [0, 1]


async def test_listing_of_a_later_era_replaces_what_was_seen_at_higher_versions() -> (
    None
):
    """A configuration was late: its listing counted as too old (CONFIG, review/14)."""
    calls: list[str] = []
    listed: list[tuple[str, ...]] = []
    new_eras: list[int] = []
    lists = [
        listing(50, make_object("u0", 40)),
        Success(VersionedListing((), at(60))),
        Success(VersionedListing((make_object("u1", 9),), at(10, era=2))),
        Success(VersionedListing((make_object("u0", 40),), at(70))),
        Success(VersionedListing((), at(12, era=2))),
    ]
    lost: ListResult = Failure(HistoryLost(SERVERS, at(50)))
    store = scripted_store(lists, [lost] * 3, calls)
    handlers = ObjectHandlers(
        lambda objects: listed.append(tuple(stored.path for stored in objects)),
        lambda stored: None,
        on_new_era=new_eras.append,
    )
    await run_until(store, handlers, lambda: len(listed) == 4)
    assert listed == [("/servers/u0",), (), ("/servers/u1",), ()]
    assert new_eras == [2]


async def test_failed_calls_report_outage_and_recovery_once() -> None:
    calls: list[str] = []
    notifications: list[str] = []
    outage: ListResult = Failure(Unavailable(SERVERS, "status 503"))
    store = scripted_store([listing(5)], [outage, outage, outage, listing(5)], calls)
    handlers = ObjectHandlers(
        lambda objects: None,
        lambda stored: None,
        lambda: notifications.append("outage"),
        lambda: notifications.append("recovery"),
    )
    await run_until(store, handlers, lambda: len(calls) == 6)
    assert notifications == ["outage", "recovery"]
    assert calls == ["list", *["watch 5"] * 5]


async def test_unavailability_cancels_a_pending_watch() -> None:
    """A store that was unresponsive may never answer watches from that time."""
    calls: list[str] = []
    changed_paths: list[str] = []
    availability = PlatformAvailability()
    store = scripted_store([listing(5)], [], calls)
    handlers = ObjectHandlers(
        lambda objects: None,
        lambda stored: changed_paths.append(stored.path),
    )
    async with anyio.create_task_group() as tasks:
        source = make_source(store, availability)
        tasks.start_soon(watch_prefix, source, SERVERS, handlers, LOG, Random(1))
        while calls != ["list", "watch 5"]:
            await anyio.sleep(0.01)
        availability.mark_unavailable()
        await anyio.sleep(0.05)
        assert calls == ["list", "watch 5"]
        availability.mark_available()
        while calls != ["list", "watch 5", "watch 5"]:
            await anyio.sleep(0.01)
        tasks.cancel_scope.cancel()


async def test_unavailability_reports_outage_and_recovery_once() -> None:
    calls: list[str] = []
    notifications: list[str] = []
    availability = PlatformAvailability()
    availability.mark_unavailable()
    handlers = ObjectHandlers(
        lambda objects: None,
        lambda stored: None,
        lambda: notifications.append("outage"),
        lambda: notifications.append("recovery"),
    )
    watches = [listing(6), listing(7)]
    store = scripted_store([listing(5)], watches, calls)
    async with anyio.create_task_group() as tasks:
        source = make_source(store, availability)
        tasks.start_soon(watch_prefix, source, SERVERS, handlers, LOG, Random(1))
        await anyio.sleep(0.05)
        assert calls == []
        availability.mark_available()
        while len(calls) < 4:
            await anyio.sleep(0.01)
        availability.mark_unavailable()
        await anyio.sleep(0.05)
        assert notifications == ["outage"]
        tasks.cancel_scope.cancel()


async def test_outage_between_two_watches_is_reported() -> None:
    """No watch was pending, so lapsed registrations got no grace period."""
    calls: list[str] = []
    notifications: list[str] = []
    availability = PlatformAvailability()
    handlers = ObjectHandlers(
        lambda objects: None,
        lambda stored: availability.mark_unavailable(),
        lambda: notifications.append("outage"),
        lambda: notifications.append("recovery"),
    )
    watches = [listing(6, make_object("u0", 6)), listing(7)]
    store = scripted_store([listing(5)], watches, calls)
    async with anyio.create_task_group() as tasks:
        source = make_source(store, availability)
        tasks.start_soon(watch_prefix, source, SERVERS, handlers, LOG, Random(1))
        while notifications != ["outage"]:
            await anyio.sleep(0.01)
        availability.mark_available()
        while len(calls) < 4:
            await anyio.sleep(0.01)
        tasks.cancel_scope.cancel()
    assert notifications == ["outage", "recovery"]


async def test_checks_detect_outage_and_recovery() -> None:
    availability = PlatformAvailability()
    outage: Result[None, ReadProblem] = Failure(Unavailable(SERVERS, "no response"))
    results = [outage, outage, Success(None)]
    observed: list[bool] = []

    async def check() -> Result[None, ReadProblem]:
        observed.append(availability.is_unavailable)
        if not results:
            await anyio.sleep_forever()
        return results.pop(0)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(monitor_platform, availability, check, LOG, Random(1))
        while len(observed) < 4:
            await anyio.sleep(0.01)
        tasks.cancel_scope.cancel()
    assert observed == [False, True, True, False]


def test_recovery_is_detected_before_a_change_must_be_applied() -> None:
    # The store counts as stable 3 s after its recovery, and a change must be applied
    # within a further 2.5 s. In the worst case, a check starts just before the recovery
    # and times out. A pause, a successful check and a listing (1.5 s) follow, and
    # reading the listing takes up to 0.5 s.
    pause_s = OUTAGE_CHECK_INTERVAL_S * (1 + CHECK_JITTER)
    assert CHECK_TIMEOUT_S + pause_s + CHECK_TIMEOUT_S + 1.5 <= 3.0 + 2.5 - 0.5
