"""Leases under lost replies, pauses, drift and outages."""

import pytest
from returns.result import Failure

from tanagercourse.coordination.claims import MAX_DRIFT, Claim, Sighting
from tanagercourse.coordination.leases import (
    HeldByOther,
    Lapsed,
    acquire,
    release,
    renew,
)
from tanagercourse.core.ids import InstanceId, ObjectPath
from tanagercourse.platform.store import Conflict, Store
from tanagercourse.platform.update import Unsettled
from tanagercourse.testing.stores import FakeStore, ManualClock

pytestmark = pytest.mark.anyio

PATH = ObjectPath("/system/leases/zones/split-a")
MINE = Claim(PATH, InstanceId("a"), 10_000)
OTHERS = Claim(PATH, InstanceId("b"), 10_000)


@pytest.fixture(autouse=True)
def no_wait(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("tanagercourse.platform.update.READ_BACK_INTERVAL_S", 0.0)


async def see(store: Store, ticks: ManualClock) -> Sighting:
    problem = (await acquire(store, OTHERS, None, ticks)).failure()
    assert isinstance(problem, HeldByOther)
    return problem.sighting


async def test_paused_holder_has_stopped_before_another_may_begin(
    fake_store: FakeStore, ticks: ManualClock
) -> None:
    store = fake_store.port()
    held = (await acquire(store, MINE, None, ticks)).unwrap()
    sighting = await see(store, ticks)
    ticks.now_s += 10.0 * (1 + MAX_DRIFT) - 0.001
    assert not held.is_held(ticks.now_s)
    assert isinstance(await acquire(store, OTHERS, sighting, ticks), Failure)
    ticks.now_s += 0.002
    taken = (await acquire(store, OTHERS, sighting, ticks)).unwrap()
    assert taken.fence > held.fence
    assert isinstance((await renew(store, held, ticks)).failure(), Lapsed)


async def test_paused_holder_whose_clock_stopped_loses_the_conditional_update(
    fake_store: FakeStore, ticks: ManualClock
) -> None:
    store = fake_store.port()
    held = (await acquire(store, MINE, None, ticks)).unwrap()
    sighting = await see(store, ticks)
    stopped_at_s = ticks.now_s
    ticks.now_s += 11.0
    await acquire(store, OTHERS, sighting, ticks)
    renewed = await renew(store, held, lambda: stopped_at_s)
    assert isinstance(renewed.failure(), Conflict)


async def test_renewal_starts_the_contenders_wait_anew(
    fake_store: FakeStore, ticks: ManualClock
) -> None:
    store = fake_store.port()
    held = (await acquire(store, MINE, None, ticks)).unwrap()
    sighting = await see(store, ticks)
    ticks.now_s += 9.0
    renewed = (await renew(store, held, ticks)).unwrap()
    assert renewed.fence == held.fence
    ticks.now_s += 2.0
    problem = (await acquire(store, OTHERS, sighting, ticks)).failure()
    assert isinstance(problem, HeldByOther)
    assert problem.sighting.first_seen_s == ticks.now_s


async def test_lost_replies_are_read_back_and_count_from_the_first_send(
    fake_store: FakeStore, ticks: ManualClock
) -> None:
    store = fake_store.port()
    fake_store.replies_to_lose = 1
    held = (await acquire(store, MINE, None, ticks)).unwrap()
    assert held.held_until_s == pytest.approx(ticks.now_s + 10.0 * (1 - MAX_DRIFT))
    fake_store.replies_to_lose = 1
    assert (await renew(store, held, ticks)).unwrap().fence == held.fence


async def test_nobody_holds_through_a_long_outage_and_one_does_after(
    fake_store: FakeStore, ticks: ManualClock
) -> None:
    store = fake_store.port()
    held = (await acquire(store, MINE, None, ticks)).unwrap()
    fake_store.is_down = True
    ticks.now_s += 5.0
    assert isinstance((await renew(store, held, ticks)).failure(), Unsettled)
    ticks.now_s += 3 * 3_600
    assert not held.is_held(ticks.now_s)
    fake_store.is_down = False
    sighting = await see(store, ticks)
    ticks.now_s += 11.0
    taken = (await acquire(store, OTHERS, sighting, ticks)).unwrap()
    assert taken.fence > held.fence


async def test_released_lease_is_free_at_once(
    fake_store: FakeStore, ticks: ManualClock
) -> None:
    store = fake_store.port()
    held = (await acquire(store, MINE, None, ticks)).unwrap()
    (await release(store, held)).unwrap()
    taken = (await acquire(store, OTHERS, None, ticks)).unwrap()
    assert taken.fence > held.fence
    assert isinstance(await renew(store, held, ticks), Failure)
