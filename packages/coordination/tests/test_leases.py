"""Leases under lost replies, paused processes, clock drift and outages."""

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
OWN_CLAIM = Claim(PATH, InstanceId("a"), 10_000)
RIVAL_CLAIM = Claim(PATH, InstanceId("b"), 10_000)


@pytest.fixture(autouse=True)
def no_read_back_delay(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("tanagercourse.platform.update.READ_BACK_INTERVAL_S", 0.0)


async def observe_lease(store: Store, ticks: ManualClock) -> Sighting:
    problem = (await acquire(store, RIVAL_CLAIM, None, ticks)).failure()
    assert isinstance(problem, HeldByOther)
    return problem.sighting


async def test_paused_holder_expires_before_takeover(
    fake_store: FakeStore, ticks: ManualClock
) -> None:
    store = fake_store.as_store()
    held = (await acquire(store, OWN_CLAIM, None, ticks)).unwrap()
    sighting = await observe_lease(store, ticks)
    ticks.now_s += 10.0 * (1 + MAX_DRIFT) - 0.001
    assert not held.is_held(ticks.now_s)
    assert isinstance(await acquire(store, RIVAL_CLAIM, sighting, ticks), Failure)
    ticks.now_s += 0.002
    taken_over = (await acquire(store, RIVAL_CLAIM, sighting, ticks)).unwrap()
    assert taken_over.fence > held.fence
    assert isinstance((await renew(store, held, ticks)).failure(), Lapsed)


async def test_holder_with_stopped_clock_fails_conditional_update(
    fake_store: FakeStore, ticks: ManualClock
) -> None:
    store = fake_store.as_store()
    held = (await acquire(store, OWN_CLAIM, None, ticks)).unwrap()
    sighting = await observe_lease(store, ticks)
    stopped_at_s = ticks.now_s
    ticks.now_s += 11.0
    await acquire(store, RIVAL_CLAIM, sighting, ticks)
    renewed = await renew(store, held, lambda: stopped_at_s)
    assert isinstance(renewed.failure(), Conflict)


async def test_renewal_restarts_the_wait_of_a_contender(
    fake_store: FakeStore, ticks: ManualClock
) -> None:
    store = fake_store.as_store()
    held = (await acquire(store, OWN_CLAIM, None, ticks)).unwrap()
    sighting = await observe_lease(store, ticks)
    ticks.now_s += 9.0
    renewed = (await renew(store, held, ticks)).unwrap()
    assert renewed.fence == held.fence
    ticks.now_s += 2.0
    problem = (await acquire(store, RIVAL_CLAIM, sighting, ticks)).failure()
    assert isinstance(problem, HeldByOther)
    assert problem.sighting.first_seen_s == ticks.now_s


async def test_lost_reply_is_read_back_and_lease_counts_from_first_send(
    fake_store: FakeStore, ticks: ManualClock
) -> None:
    store = fake_store.as_store()
    fake_store.replies_to_lose = 1
    held = (await acquire(store, OWN_CLAIM, None, ticks)).unwrap()
    assert held.held_until_s == pytest.approx(ticks.now_s + 10.0 * (1 - MAX_DRIFT))
    fake_store.replies_to_lose = 1
    assert (await renew(store, held, ticks)).unwrap().fence == held.fence


async def test_lease_expires_in_a_long_outage_and_is_acquired_after_it(
    fake_store: FakeStore, ticks: ManualClock
) -> None:
    store = fake_store.as_store()
    held = (await acquire(store, OWN_CLAIM, None, ticks)).unwrap()
    fake_store.is_down = True
    ticks.now_s += 5.0
    assert isinstance((await renew(store, held, ticks)).failure(), Unsettled)
    ticks.now_s += 3 * 3_600
    assert not held.is_held(ticks.now_s)
    fake_store.is_down = False
    sighting = await observe_lease(store, ticks)
    ticks.now_s += 11.0
    taken_over = (await acquire(store, RIVAL_CLAIM, sighting, ticks)).unwrap()
    assert taken_over.fence > held.fence


async def test_released_lease_is_acquired_at_once(
    fake_store: FakeStore, ticks: ManualClock
) -> None:
    store = fake_store.as_store()
    held = (await acquire(store, OWN_CLAIM, None, ticks)).unwrap()
    (await release(store, held)).unwrap()
    taken_over = (await acquire(store, RIVAL_CLAIM, None, ticks)).unwrap()
    assert taken_over.fence > held.fence
    assert isinstance(await renew(store, held, ticks), Failure)
