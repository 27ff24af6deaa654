"""Tests of relays: which source an instance reads from, and what relays pass on."""

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

import anyio
import pytest
import structlog
from returns.result import Failure, Result, Success

from tanagercourse.core.ids import ObjectPath
from tanagercourse.following.availability import CHECK_JITTER, PlatformAvailability
from tanagercourse.following.change_log import CHANGES_TTL_S, ChangeLog
from tanagercourse.following.sources import (
    FIRST_WATCH_WAIT_S,
    FOLLOWER_OUTAGE_CHECK_INTERVAL_S,
    Relay,
    RelayStatus,
    SourceSelector,
    StoreFunctions,
    apply_changes,
    record_watches,
    select_source,
    watch_briefly_at_first,
)
from tanagercourse.following.verification import make_relay_times, verify_watches
from tanagercourse.following.watching import ObjectHandlers, WatchSource, watch_prefix
from tanagercourse.platform.reading import (
    HistoryLost,
    ListObjects,
    ReadProblem,
    StoreVersion,
    VersionedListing,
    VersionedObject,
)
from tanagercourse.platform.store import ObjectState, Unavailable
from tanagercourse.testing.store_versions import FIRST_ERA, at

pytestmark = pytest.mark.anyio

LOG = structlog.get_logger()
SERVERS = ObjectPath("/servers")
SILENT = Unavailable(SERVERS, "no response")
ListResult = Result[VersionedListing, ReadProblem]


def make_object(
    name: str, version: int, state: ObjectState = ObjectState.PRESENT
) -> VersionedObject:
    path = ObjectPath(f"{SERVERS}/{name}")
    return VersionedObject(path, at(version), b"", state)


def make_listing(version: int, *objects: VersionedObject) -> VersionedListing:
    return VersionedListing(objects, at(version))


@dataclass
class Clock:
    """A clock whose time is set by tests."""

    now_s: float = 0.0

    def __call__(self) -> float:
        return self.now_s


@dataclass
class FakeStore:
    """A store that counts calls, and one relay that may fail."""

    calls: list[str] = field(default_factory=list)
    check_count: int = 0
    is_up: bool = True
    is_relay_up: bool = True
    changes: anyio.Event = field(default_factory=anyio.Event)
    objects: tuple[VersionedObject, ...] = (make_object("u0", 5),)
    version: int = 5
    relay_history_from: int = 0
    silenced_relay_watches: int = 0

    def put(self, name: str, state: ObjectState = ObjectState.PRESENT) -> None:
        self.version += 1
        self.objects += (make_object(name, self.version, state),)
        self.changes.set()
        self.changes = anyio.Event()

    def functions(self) -> StoreFunctions:
        return StoreFunctions(
            self._list("list"), self._list("stale"), self._watch, self._check
        )

    def relay(self) -> Relay:
        return Relay("relay", self._watch_relay, self._check_relay)

    def _list(self, name: str) -> ListObjects:
        async def list_all(prefix: ObjectPath) -> ListResult:
            self.calls.append(name)
            if not self.is_up:
                return Failure(SILENT)
            if name == "stale":
                return Success(make_listing(5, make_object("u0", 5)))
            return Success(make_listing(self.version, *self.objects))

        return list_all

    async def _check(self) -> Result[None, ReadProblem]:
        self.check_count += 1
        return Success(None) if self.is_up else Failure(SILENT)

    async def _watch(
        self, prefix: ObjectPath, after: StoreVersion, wait_s: float
    ) -> ListResult:
        self.calls.append(f"watch {after.revision}")
        return await self._changes(after, wait_s)

    async def _changes(self, after: StoreVersion, wait_s: float) -> ListResult:
        with anyio.move_on_after(wait_s):
            while at(self.version) <= after:
                await self.changes.wait()
        objects = tuple(stored for stored in self.objects if stored.version > after)
        version = max(after.revision, self.version)
        return Success(make_listing(version, *objects))

    async def _check_relay(self) -> Result[RelayStatus, ReadProblem]:
        if not self.is_relay_up:
            return Failure(SILENT)
        return Success(RelayStatus({SERVERS: at(self.version)}))

    async def _watch_relay(
        self, prefix: ObjectPath, after: StoreVersion, wait_s: float
    ) -> ListResult:
        if not self.is_relay_up:
            return Failure(SILENT)
        silenced_before = self.silenced_relay_watches
        changes = await self._changes(after, wait_s)
        if self.silenced_relay_watches > silenced_before:
            await anyio.sleep_forever()
        if after < at(self.relay_history_from):
            return Failure(HistoryLost(prefix, after))
        return changes


@dataclass
class Follower:
    """What an instance knows, and the outages it saw."""

    names: set[str] = field(default_factory=set)
    outages: list[str] = field(default_factory=list)

    def handlers(self) -> ObjectHandlers:
        def list_objects(objects: tuple[VersionedObject, ...]) -> None:
            self.names = {stored.path.rsplit("/", 1)[-1] for stored in objects}

        def change(stored: VersionedObject) -> None:
            name = stored.path.rsplit("/", 1)[-1]
            is_deleted = stored.state is ObjectState.DELETED
            (self.names.discard if is_deleted else self.names.add)(name)

        return ObjectHandlers(
            list_objects, change, lambda: self.outages.append("outage")
        )


@pytest.fixture
def store() -> FakeStore:
    return FakeStore()


@pytest.fixture
def follower() -> Follower:
    return Follower()


async def follow(
    store: FakeStore, follower: Follower, script: Callable[[], object]
) -> None:
    """Run an instance that follows the store's relay while a script runs."""
    selector = SourceSelector(store.functions(), PlatformAvailability())
    times = make_relay_times()
    watch = verify_watches(selector.watch, selector.versions, lambda: times, LOG)
    source = WatchSource(
        selector.list_all, watch, selector.availability, 15.0, lambda: 0.01
    )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(
            select_source, selector, store._check, (store.relay(),), LOG, Random(1)
        )
        tasks.start_soon(
            watch_prefix, source, SERVERS, follower.handlers(), LOG, Random(1)
        )
        await script()  # type: ignore[misc]
        tasks.cancel_scope.cancel()


async def until(condition: Callable[[], bool]) -> None:
    with anyio.fail_after(5.0):
        while not condition():
            await anyio.sleep(0.01)


async def test_follower_of_a_relay_makes_one_cheap_call(
    store: FakeStore, follower: Follower
) -> None:
    async def script() -> None:
        await until(lambda: follower.names == {"u0"})
        for name in ("u1", "u2", "u3"):
            store.put(name)
            await until(lambda name=name: name in follower.names)  # type: ignore[misc]

    await follow(store, follower, script)
    assert store.calls == ["stale"]


async def test_upstream_that_left_before_a_restart_is_not_used_again(
    store: FakeStore, follower: Follower
) -> None:
    """The stale listing still has the upstream; the relay knows that it left."""
    seen: list[set[str]] = []
    store.put("u0", ObjectState.DELETED)
    store.put("u1")

    async def script() -> None:
        await until(lambda: bool(follower.names))
        seen.append(set(follower.names))

    await follow(store, follower, script)
    assert seen == [{"u1"}]


async def test_follower_lists_anew_when_the_relay_lost_its_history(
    store: FakeStore, follower: Follower
) -> None:
    """The relay's own watch was interrupted and it lists anew; so does the follower."""

    async def script() -> None:
        await until(lambda: follower.names == {"u0"})
        store.relay_history_from = 8
        for name in ("u1", "u2", "u3"):
            store.put(name)
        await until(lambda: "list" in store.calls)
        store.put("u4")
        await until(lambda: "u4" in follower.names)

    await follow(store, follower, script)
    assert "watch" not in " ".join(store.calls)


async def test_follower_lists_anew_if_the_relay_lacks_the_history(
    store: FakeStore, follower: Follower
) -> None:
    store.put("u1")
    store.relay_history_from = 6

    async def script() -> None:
        await until(lambda: bool(follower.names))

    await follow(store, follower, script)
    assert store.calls[:2] == ["stale", "list"]


@pytest.mark.parametrize("is_reset", [True, False])
async def test_loss_of_the_relay_is_no_outage_and_misses_no_change(
    store: FakeStore, follower: Follower, is_reset: bool
) -> None:
    """The relay resets its connections, or becomes silent and fails a check."""

    async def script() -> None:
        await until(lambda: follower.names == {"u0"})
        store.is_relay_up = False
        if is_reset:
            store.put("u1")
        await until(lambda: "watch 5" in store.calls or "watch 6" in store.calls)
        store.put("u2")
        await until(lambda: "u2" in follower.names)
        store.is_relay_up = True
        calls_before = len(store.calls)
        await anyio.sleep(2.5)
        store.put("u3")
        await until(lambda: "u3" in follower.names)
        store.put("u4")
        await until(lambda: "u4" in follower.names)
        assert len(store.calls) <= calls_before + 1

    await follow(store, follower, script)
    assert follower.outages == []


async def test_outage_of_store_and_relay_is_reported_once(
    store: FakeStore, follower: Follower
) -> None:
    async def script() -> None:
        await until(lambda: follower.names == {"u0"})
        store.is_relay_up = store.is_up = False
        await until(lambda: follower.outages == ["outage"])
        store.is_relay_up = store.is_up = True
        store.put("u1")
        await until(lambda: "u1" in follower.names)

    await follow(store, follower, script)
    assert follower.outages == ["outage"]


async def test_follower_whose_watch_went_silent_misses_no_change(
    store: FakeStore, follower: Follower
) -> None:
    """The watch's connection to the relay is dead, while checks succeed (CONFIG)."""

    async def script() -> None:
        await until(lambda: follower.names == {"u0"})
        await anyio.sleep(0.05)
        store.silenced_relay_watches += 1
        store.put("u1")
        await until(lambda: "u1" in follower.names)

    await follow(store, follower, script)
    assert store.calls == ["stale"] and follower.outages == []


def test_changes_replace_and_remove_listed_objects() -> None:
    listing = make_listing(5, make_object("u0", 3), make_object("u1", 4))
    changes = make_listing(
        7, make_object("u0", 6), make_object("u1", 7, ObjectState.DELETED)
    )
    assert apply_changes(listing, changes) == make_listing(7, make_object("u0", 6))


async def test_follower_makes_few_calls_in_an_outage_of_store_and_relay(
    store: FakeStore, follower: Follower
) -> None:
    """The calls of many followers add up; the relay notices the end of the outage."""
    outage_s = 2.5

    async def script() -> None:
        await until(lambda: follower.names == {"u0"})
        store.is_relay_up = store.is_up = False
        await anyio.sleep(outage_s)
        store.is_relay_up = store.is_up = True
        store.put("u1")
        await until(lambda: "u1" in follower.names)

    await follow(store, follower, script)
    max_checks = 2 + outage_s / (FOLLOWER_OUTAGE_CHECK_INTERVAL_S * (1 - CHECK_JITTER))
    assert store.check_count <= max_checks + 1
    assert store.calls.count("list") <= 1


async def test_follower_reads_the_store_if_only_the_relays_are_cut_off_from_it(
    store: FakeStore, follower: Follower
) -> None:
    async def script() -> None:
        await until(lambda: follower.names == {"u0"})
        store.is_relay_up = store.is_up = False
        await until(lambda: follower.outages == ["outage"])
        store.is_up = True
        store.put("u1")
        await until(lambda: "u1" in follower.names)

    await follow(store, follower, script)


async def test_relay_passes_on_every_change_after_a_version() -> None:
    clock = Clock()
    log = ChangeLog(frozenset({SERVERS}), clock)
    log.begin(SERVERS, at(5))
    log.record(SERVERS, make_listing(7, make_object("u0", 6), make_object("u1", 7)))
    log.record(SERVERS, make_listing(9, make_object("u2", 9)))
    assert log.find_changes(SERVERS, at(4)) is None
    assert log.find_changes(SERVERS, at(7)) == make_listing(9, make_object("u2", 9))
    clock.now_s = CHANGES_TTL_S + 1.0
    log.record(SERVERS, make_listing(9))
    assert log.find_changes(SERVERS, at(7)) is None
    assert log.find_changes(SERVERS, at(9)) == make_listing(9)


async def test_relay_knows_no_changes_after_a_version_of_another_era() -> None:
    """A revision of one era says nothing about another one (CONFIG, review/12)."""
    log = ChangeLog(frozenset({SERVERS}), Clock())
    log.begin(SERVERS, at(5, era=2))
    changes = VersionedListing((), at(9, era=2))
    log.record(SERVERS, changes)
    assert log.find_changes(SERVERS, at(7, era=2)) == changes
    assert log.find_changes(SERVERS, at(7, era=1)) is None
    assert log.find_changes(SERVERS, at(7, era=3)) is None
    log.begin(SERVERS, at(9, era=3))
    assert log.find_changes(SERVERS, at(9, era=2)) is None
    assert log.find_changes(SERVERS, at(9, era=3)) is not None


def test_relay_is_complete_only_within_one_era() -> None:
    evacuations = ObjectPath("/evacuations")
    log = ChangeLog(frozenset({SERVERS, evacuations}), Clock())
    log.begin(SERVERS, at(5, era=2))
    assert log.era() is None
    log.begin(evacuations, at(5, era=1))
    assert log.era() is None
    log.begin(evacuations, at(5, era=2))
    assert log.era() == 2


async def test_relay_whose_watch_failed_passes_on_nothing() -> None:
    log = ChangeLog(frozenset({SERVERS}), Clock())
    results: list[ListResult] = [Success(make_listing(7)), Failure(SILENT)]

    async def watch(
        prefix: ObjectPath, after: StoreVersion, wait_s: float
    ) -> ListResult:
        return results.pop(0)

    recorded_watch = record_watches(watch, log)
    assert log.era() is None
    await recorded_watch(SERVERS, at(5), 1.0)
    assert log.era() == FIRST_ERA
    assert log.find_changes(SERVERS, at(5)) == make_listing(7)
    await recorded_watch(SERVERS, at(7), 1.0)
    assert log.find_changes(SERVERS, at(7)) is None and log.era() is None


async def test_first_watch_after_a_failure_is_brief() -> None:
    """A store in trouble accepted a watch and never answered it (EVAC, scale-1)."""
    waits_s: list[float] = []
    results: list[ListResult] = [
        Success(make_listing(5)),
        Success(make_listing(5)),
        Failure(SILENT),
        Success(make_listing(5)),
    ]

    async def watch(
        prefix: ObjectPath, after: StoreVersion, wait_s: float
    ) -> ListResult:
        waits_s.append(wait_s)
        return results.pop(0)

    brief_watch = watch_briefly_at_first(watch)
    while results:
        await brief_watch(SERVERS, at(5), 15.0)
    assert waits_s == [FIRST_WATCH_WAIT_S, 15.0, 15.0, FIRST_WATCH_WAIT_S]


async def test_follower_is_told_at_once_when_the_relays_watch_fails() -> None:
    log = ChangeLog(frozenset({SERVERS}), Clock())
    log.begin(SERVERS, at(5))
    changes: list[VersionedListing | None] = []

    async def wait() -> None:
        changes.append(await log.wait_for_changes(SERVERS, at(5), 15.0))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(wait)
        await anyio.sleep(0.01)
        log.interrupt(SERVERS)
    assert changes == [None]
