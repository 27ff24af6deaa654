"""Tables that follow the platform, through outages and forgotten history."""

from collections.abc import Callable
from random import Random

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
    Version,
    WriterId,
    ZoneId,
)
from tanagercourse.core.problems import Problem
from tanagercourse.following.availability import (
    PAUSE_SPREAD,
    REGAIN_CHECK_S,
    Contact,
    keep_contact,
)
from tanagercourse.following.operator_objects import (
    ConfigurationInForce,
    follow_evacuations,
)
from tanagercourse.following.upstreams import LAPSE_GRACE_S, FleetFeed
from tanagercourse.following.watching import Follower, Source, follow
from tanagercourse.platform.store import (
    HistoryLost,
    Listing,
    Malformed,
    NotFound,
    ObjectState,
    Store,
    StoredObject,
    StoreProblem,
    Unavailable,
)
from tanagercourse.routing.configuration import DEFAULT_LIMITS, Configuration
from tanagercourse.routing.fleet import Duty, Fleet, UpstreamRegistration

pytestmark = pytest.mark.anyio

LOG = structlog.get_logger()
SERVERS = ObjectPath("/servers")
Answer = Result[Listing, StoreProblem]


class Clock:
    """A clock that a test sets."""

    def __init__(self) -> None:
        self.now_s = 0.0

    def __call__(self) -> float:
        return self.now_s


def stored(
    name: str,
    version: int = 1,
    state: ObjectState = ObjectState.PRESENT,
    value: bytes = b"ready",
    prefix: str = "/servers",
) -> StoredObject:
    path = ObjectPath(f"{prefix}/{name}")
    return StoredObject(path, Version(version), value, WriterId(""), state)


def decode_entry(one: StoredObject) -> Result[UpstreamRegistration, Problem]:
    if one.value not in (b"ready", b"draining"):
        return Failure(Malformed(one.path, "no entry"))
    name = UpstreamId(one.path.rsplit("/", 1)[-1])
    duty = Duty(one.value.decode())
    service, zone = ServiceId("stock"), ZoneId("a1")
    return Success(UpstreamRegistration(name, service, "::", 80, zone, 3, duty, 0.0, 1))


@pytest.fixture
def clock() -> Clock:
    return Clock()


@pytest.fixture
def fleet() -> Fleet:
    return Fleet()


@pytest.fixture
def left() -> list[str]:
    return []


@pytest.fixture
def feed(fleet: Fleet, left: list[str], clock: Clock) -> FleetFeed:
    return FleetFeed(fleet, decode_entry, left.append, LOG, clock)


def names(fleet: Fleet) -> list[str]:
    return sorted(record.registration.upstream for record in fleet)


def test_a_removed_entry_is_gone_at_once(
    feed: FleetFeed, fleet: Fleet, left: list[str]
) -> None:
    feed.replace((stored("u0"), stored("u1")))
    feed.change(stored("u0", 2, ObjectState.DELETED))
    assert names(fleet) == ["u1"] and left == ["u0"]


def test_a_draining_entry_takes_nothing_new(
    feed: FleetFeed, fleet: Fleet, left: list[str]
) -> None:
    feed.replace((stored("u0"),))
    feed.change(stored("u0", 2, value=b"draining"))
    assert list(fleet.serving(ServiceId("stock"))) == [] and left == ["u0"]


@pytest.mark.parametrize("how", ["listed", "watched"])
def test_an_entry_that_lapsed_in_an_outage_may_come_back(
    feed: FleetFeed, fleet: Fleet, clock: Clock, how: str
) -> None:
    feed.replace((stored("u0"), stored("u1")))
    feed.follower().regained()
    if how == "listed":
        feed.replace((stored("u1"),))
    else:
        feed.change(stored("u0", 2, ObjectState.DELETED))
    record = fleet.get(UpstreamId("u0"))
    assert record is not None and record.is_missing
    clock.now_s = LAPSE_GRACE_S / 2
    feed.drop_missing()
    feed.change(stored("u0", 3))
    clock.now_s = 2 * LAPSE_GRACE_S
    feed.drop_missing()
    assert names(fleet) == ["u0", "u1"] and not record.is_missing


def test_an_entry_that_stays_away_after_an_outage_is_gone(
    feed: FleetFeed, fleet: Fleet, clock: Clock
) -> None:
    feed.replace((stored("u0"),))
    feed.follower().regained()
    feed.replace(())
    clock.now_s = LAPSE_GRACE_S
    feed.drop_missing()
    assert names(fleet) == []


def test_an_entry_that_can_t_be_read_names_no_upstream(
    feed: FleetFeed, fleet: Fleet
) -> None:
    feed.replace((stored("u0"), stored("bad", value=b"{")))
    assert names(fleet) == ["u0"]
    feed.change(stored("u0", 2, value=b"{"))
    assert names(fleet) == []


def decode_version(one: StoredObject) -> Result[Configuration, Problem]:
    if not one.value.isdigit():
        return Failure(Malformed(one.path, "no version"))
    version = ConfigurationVersion(int(one.value))
    return Success(Configuration(version, {}, {}, DEFAULT_LIMITS))


def test_a_configuration_never_goes_back() -> None:
    path = ObjectPath("/config/main")
    held = ConfigurationInForce(path, decode_version, LOG)
    seen = []
    for value in (b"5", b"4", b"nonsense", b"7"):
        held.take(stored("main", 1, value=value, prefix="/config"))
        current = held.current()
        seen.append(current.version if current else None)
    held.take(stored("main", 9, ObjectState.DELETED, prefix="/config"))
    held.take(stored("other", 9, value=b"9", prefix="/config"))
    current = held.current()
    assert seen == [5, 5, 5, 7] and current is not None and current.version == 7


def test_evacuations_begin_and_end(fleet: Fleet, clock: Clock) -> None:
    fleet.put(decode_entry(stored("u0")).unwrap(), 0.0)
    follower = follow_evacuations(fleet, dict, LOG, clock)
    zone = stored("a1", prefix="/evacuations")
    follower.change(zone)
    assert fleet.evacuated == {"a1"}
    follower.replace((zone,))
    assert fleet.evacuated == {"a1"}
    follower.replace(())
    record = fleet.get(UpstreamId("u0"))
    assert fleet.evacuated == set() and record is not None and record.is_cold(0.0)


def scripted_store(
    lists: list[Answer],
    watches: list[Answer],
    calls: list[str],
    waits: list[float] | None = None,
) -> Store:
    """Return a store that gives the scripted answers, then waits for ever."""
    waits = [] if waits is None else waits

    async def list_all(prefix: ObjectPath) -> Answer:
        calls.append("list")
        if not lists:
            await anyio.sleep_forever()
        return lists.pop(0)

    async def watch(prefix: ObjectPath, after: Version, wait_s: float) -> Answer:
        calls.append(f"watch {after}")
        waits.append(wait_s)
        if not watches:
            await anyio.sleep_forever()
        return watches.pop(0)

    async def unused(*_: object) -> Result[StoredObject, StoreProblem]:
        return Failure(NotFound(SERVERS))

    async def no_machines() -> Failure[StoreProblem]:
        return Failure(NotFound(SERVERS))

    return Store(unused, list_all, unused, watch, no_machines)


async def run_until(
    store: Store,
    follower: Follower,
    is_done: Callable[[], bool],
    contact: Contact | None = None,
) -> None:
    source = Source(store, contact or Contact(), 15.0)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(follow, source, SERVERS, follower, LOG, Random(1))
        while not is_done():
            await anyio.sleep(0.01)
        tasks.cancel_scope.cancel()


def listing(version: int, *objects: StoredObject) -> Answer:
    return Success(Listing(objects, Version(version)))


async def test_watches_go_on_from_the_version_read() -> None:
    calls: list[str] = []
    changed: list[str] = []
    lists = [listing(5, stored("u0"))]
    watches = [listing(7, stored("u1", 7)), listing(7), listing(9, stored("u2", 9))]
    store = scripted_store(lists, watches, calls)
    follower = Follower(lambda objects: None, lambda one: changed.append(one.path))
    await run_until(store, follower, lambda: len(calls) == 5)
    assert calls == ["list", "watch 5", "watch 7", "watch 7", "watch 9"]
    assert changed == ["/servers/u1", "/servers/u2"]


async def test_forgotten_history_is_listed_again_and_never_from_an_older_version() -> (
    None
):
    calls: list[str] = []
    replaced: list[int] = []
    lists = [listing(5), listing(4, stored("old")), listing(8, stored("u0"))]
    lost: Answer = Failure(HistoryLost(SERVERS, Version(5)))
    store = scripted_store(lists, [lost], calls)
    follower = Follower(lambda objects: replaced.append(len(objects)), lambda one: None)
    await run_until(store, follower, lambda: "watch 8" in calls)
    assert replaced == [0, 1]


async def test_an_outage_is_told_once_at_each_end() -> None:
    calls: list[str] = []
    told: list[str] = []
    away: Answer = Failure(Unavailable(SERVERS, "status 503"))
    store = scripted_store([listing(5)], [away, away, away, listing(5)], calls)
    follower = Follower(
        lambda objects: None,
        lambda one: None,
        lambda: told.append("lost"),
        lambda: told.append("regained"),
    )
    await run_until(store, follower, lambda: len(calls) == 6)
    assert told == ["lost", "regained"]
    assert calls == ["list", *["watch 5"] * 5]


async def test_a_watch_that_is_never_answered_ends_with_the_contact() -> None:
    """A silent store takes a watch and may never answer it, even once it is back."""
    calls: list[str] = []
    changed: list[str] = []
    contact = Contact()
    store = scripted_store([listing(5)], [], calls)
    follower = Follower(lambda objects: None, lambda one: changed.append(one.path))
    async with anyio.create_task_group() as tasks:
        source = Source(store, contact, 15.0)
        tasks.start_soon(follow, source, SERVERS, follower, LOG, Random(1))
        while calls != ["list", "watch 5"]:
            await anyio.sleep(0.01)
        contact.lose()
        await anyio.sleep(0.05)
        assert calls == ["list", "watch 5"]
        contact.regain()
        while calls != ["list", "watch 5", "watch 5"]:
            await anyio.sleep(0.01)
        tasks.cancel_scope.cancel()


async def test_a_lost_contact_is_told_once_at_each_end() -> None:
    calls: list[str] = []
    told: list[str] = []
    contact = Contact()
    contact.lose()
    follower = Follower(
        lambda objects: None,
        lambda one: None,
        lambda: told.append("lost"),
        lambda: told.append("regained"),
    )
    watches = [listing(6), listing(7)]
    store = scripted_store([listing(5)], watches, calls)
    async with anyio.create_task_group() as tasks:
        source = Source(store, contact, 15.0)
        tasks.start_soon(follow, source, SERVERS, follower, LOG, Random(1))
        await anyio.sleep(0.05)
        assert calls == []
        contact.regain()
        while len(calls) < 4:
            await anyio.sleep(0.01)
        contact.lose()
        await anyio.sleep(0.05)
        assert told == ["lost"]
        tasks.cancel_scope.cancel()


async def test_checks_find_an_outage_and_its_end() -> None:
    contact = Contact()
    away: Result[None, StoreProblem] = Failure(Unavailable(SERVERS, "no answer"))
    answers = [away, away, Success(None)]
    seen: list[bool] = []

    async def check() -> Result[None, StoreProblem]:
        seen.append(contact.is_lost)
        if not answers:
            await anyio.sleep_forever()
        return answers.pop(0)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(keep_contact, contact, check, LOG, Random(1))
        while len(seen) < 4:
            await anyio.sleep(0.01)
        tasks.cancel_scope.cancel()
    assert seen == [False, True, True, False]


def test_the_end_of_an_outage_is_seen_before_a_change_must_be_in_force() -> None:
    # Counted from a store's return: 3 s until it counts as stable again, then 2.5 s for
    # a change. The last check of the outage may just have begun; then come a pause, a
    # check that answers, a listing, and half a second to read it.
    pause_s = REGAIN_CHECK_S * (1 + PAUSE_SPREAD)
    assert CHECK_TIMEOUT_S + pause_s + CHECK_TIMEOUT_S + 1.5 <= 3.0 + 2.5 - 0.5
