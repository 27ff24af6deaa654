"""Tests of the dispatcher: ranks, limits, drains, sheds, losses and remote regions."""

import itertools
from collections import Counter
from collections.abc import Iterator
from contextlib import ExitStack
from random import Random

import anyio
import pytest
from returns.result import Failure, Success

from tanagercourse.core.ids import (
    InstanceId,
    RegionId,
    RequestId,
    ServiceId,
    Version,
    WriterId,
    ZoneId,
)
from tanagercourse.core.problems import Refusal
from tanagercourse.core.states import Idempotency, Rank, RefusalReason
from tanagercourse.core.work import Work
from tanagercourse.entry.active_settings import ActiveSettings
from tanagercourse.entry.dispatch import MAX_CONCURRENT_REQUESTS, Dispatcher
from tanagercourse.entry.instance_directory import InstanceDirectory
from tanagercourse.entry.pool import (
    EndShareUse,
    HomeCapacity,
    PoolDependencies,
    Slot,
    SlotOutcome,
    SpillHooks,
)
from tanagercourse.entry.topology import Topology
from tanagercourse.platform.store import Machine, Presence, StoredObject
from tanagercourse.settings.check import FLEET_PATH, encode
from tanagercourse.settings.schema import (
    Duty,
    FleetSettings,
    ServiceSettings,
    UpstreamSettings,
    ZoneSettings,
)
from tanagercourse.steering.upstreams import prefer_own_slots

pytestmark = pytest.mark.anyio

READS = ServiceId("reads")
ZONES = (("split-a", "jadran"), ("rijeka-b", "jadran"), ("osijek-a", "panonija"))

PANONIJA = RegionId("panonija")


class DispatcherHarness:
    """A dispatcher with a fake clock and fake shares of remote regions.

    Attributes:
        shares: Free slots of the share held in each remote region.
        now_s: The monotonic time, in seconds.
    """

    def __init__(self) -> None:
        self.shares: Counter[RegionId] = Counter()
        self.now_s = 0.0
        self.directory = InstanceDirectory()
        self.active_settings = ActiveSettings()
        zones = tuple(ZoneSettings(zone, region) for zone, region in ZONES)
        stored = StoredObject(
            FLEET_PATH, Version(1), encode(FleetSettings(zones)), WriterId("test")
        )
        assert self.active_settings.apply(stored) is None
        topology = Topology(
            InstanceId("entry-1"),
            ZoneId("split-a"),
            lambda: self.active_settings,
            self.directory,
        )
        random = Random(1)
        deps = PoolDependencies(
            prefer_own_slots(random, lambda: True),
            topology,
            self.directory.is_leaving,
            lambda: self.now_s,
            random,
            SpillHooks(lambda work: None, self._choose_region, self._begin_share_use),
        )
        self.dispatcher = Dispatcher(deps)
        self._ids = itertools.count()

    def _choose_region(
        self, work: Work, home_capacity: HomeCapacity
    ) -> RegionId | None:
        if home_capacity is HomeCapacity.HAS_SLOT:
            return None
        return next((region for region in self.shares if self.shares[region]), None)

    def _begin_share_use(self, work: Work, region: RegionId) -> EndShareUse:
        assert self.shares[region] > 0
        self.shares[region] -= 1

        def end_share_use(outcome: SlotOutcome) -> None:
            self.shares[region] += 1

        return end_share_use

    def configure(
        self, *upstreams: UpstreamSettings, rank: Rank = Rank.NEXT, name: str = READS
    ) -> None:
        self.dispatcher.configure(
            ServiceSettings(name, rank, Idempotency.IDEMPOTENT, upstreams)
        )

    def work(
        self, rank: Rank = Rank.NEXT, name: str = READS, deadline_s: float = 60.0
    ) -> Work:
        return Work(
            RequestId(str(next(self._ids))),
            ServiceId(name),
            rank,
            Idempotency.IDEMPOTENT,
            self.now_s + deadline_s,
        )

    async def acquire_slot(self, stack: ExitStack, work: Work | None = None) -> Slot:
        acquired = await self.dispatcher.acquire(work or self.work())
        return stack.enter_context(self.dispatcher.holding(acquired.unwrap()))


@pytest.fixture
def harness() -> DispatcherHarness:
    return DispatcherHarness()


@pytest.fixture
def slot_stack() -> Iterator[ExitStack]:
    with ExitStack() as stack:
        yield stack


def upstream(
    name: str, zone: str = "split-a", slots: int = 2, duty: Duty = Duty.SERVE
) -> UpstreamSettings:
    return UpstreamSettings(name, "127.0.0.1", 1, zone, slots, duty=duty)


async def test_all_slots_are_used_but_none_twice(
    harness: DispatcherHarness, slot_stack: ExitStack
) -> None:
    harness.configure(upstream("a"), upstream("b", slots=3))
    slots = [await harness.acquire_slot(slot_stack) for _ in range(5)]
    assert sorted(slot.upstream.id for slot in slots) == ["a"] * 2 + ["b"] * 3
    with anyio.move_on_after(0.05) as wait_scope:
        await harness.dispatcher.acquire(harness.work())
    assert wait_scope.cancelled_caught
    assert harness.dispatcher.waiting_count(READS) == 0


async def test_freed_slot_goes_to_most_urgent_waiting_request(
    harness: DispatcherHarness,
) -> None:
    served_services: list[str] = []
    harness.configure(upstream("a", slots=MAX_CONCURRENT_REQUESTS))
    harness.configure(upstream("u", slots=1), rank=Rank.MOST_URGENT, name="urgent")

    async def serve(work: Work) -> None:
        acquired = await harness.dispatcher.acquire(work)
        with harness.dispatcher.holding(acquired.unwrap()):
            served_services.append(work.service)

    with ExitStack() as busy_slots:
        for _ in range(MAX_CONCURRENT_REQUESTS):
            await harness.acquire_slot(busy_slots)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(serve, harness.work())
            tasks.start_soon(serve, harness.work(Rank.MOST_URGENT, "urgent"))
            await anyio.sleep(0.01)
            assert served_services == []
            busy_slots.close()
    assert served_services == ["urgent", READS]


async def test_drain_takes_effect_at_once_and_keeps_running_requests(
    harness: DispatcherHarness, slot_stack: ExitStack
) -> None:
    harness.configure(upstream("a"))
    held_slot = await harness.acquire_slot(slot_stack)
    harness.configure(upstream("a", duty=Duty.DRAIN), upstream("b"))
    assert held_slot.upstream.id == "a"
    assert [(await harness.acquire_slot(slot_stack)).upstream.id for _ in range(2)] == [
        "b",
        "b",
    ]


async def test_upstream_listed_as_leaving_gets_no_new_requests(
    harness: DispatcherHarness, slot_stack: ExitStack
) -> None:
    harness.configure(upstream("a"), upstream("b"))
    leaving = Machine(
        InstanceId("a"), "127.0.0.1", 1, ZoneId("split-a"), Presence.LEAVING
    )
    harness.directory.replace([leaving])
    assert [(await harness.acquire_slot(slot_stack)).upstream.id for _ in range(2)] == [
        "b",
        "b",
    ]


async def test_new_upstream_serves_waiting_requests(harness: DispatcherHarness) -> None:
    harness.configure(upstream("a", duty=Duty.DRAIN))
    acquired: list[object] = []

    async def acquire() -> None:
        acquired.append(await harness.dispatcher.acquire(harness.work()))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(acquire)
        await anyio.sleep(0.01)
        harness.configure(upstream("b"))
    assert isinstance(acquired[0], Success)


async def test_upstream_that_shed_is_used_again_after_its_cooldown(
    harness: DispatcherHarness,
) -> None:
    harness.configure(upstream("a"), upstream("b", zone="rijeka-b"))
    with ExitStack() as stack:
        slot = await harness.acquire_slot(stack)
        assert slot.upstream.id == "a"
        slot.outcome = SlotOutcome.SHED
    with ExitStack() as stack:
        assert (await harness.acquire_slot(stack)).upstream.id == "b"
    harness.now_s = 1.0
    with ExitStack() as stack:
        assert (await harness.acquire_slot(stack)).upstream.id == "a"


async def test_upstreams_that_lose_requests_are_ejected_but_never_all_of_them(
    harness: DispatcherHarness,
) -> None:
    harness.shares[PANONIJA] = 1
    harness.configure(upstream("a"), upstream("far", zone="osijek-a"))
    used_upstreams = []
    for _ in range(8):
        harness.now_s += 0.3
        with ExitStack() as stack:
            slot = await harness.acquire_slot(stack)
            used_upstreams.append(slot.upstream.id)
            slot.outcome = SlotOutcome.LOST
    assert used_upstreams[:4] == ["a", "a", "a", "far"]
    assert set(used_upstreams[4:]) <= {"a", "far"}


async def test_remote_region_serves_only_within_a_held_share(
    harness: DispatcherHarness, slot_stack: ExitStack
) -> None:
    far = upstream("far", zone="osijek-a", slots=4)
    harness.configure(upstream("near", slots=1), far)
    assert (await harness.acquire_slot(slot_stack)).upstream.id == "near"
    for near in (upstream("near", slots=1), upstream("near", duty=Duty.DRAIN)):
        harness.configure(near, far)
        with anyio.move_on_after(0.05) as wait_scope:
            await harness.dispatcher.acquire(harness.work())
        assert wait_scope.cancelled_caught
    harness.shares[PANONIJA] = 2
    with ExitStack() as stack:
        upstream_ids = [
            (await harness.acquire_slot(stack)).upstream.id for _ in range(2)
        ]
        assert upstream_ids == ["far", "far"]
        with anyio.move_on_after(0.05) as wait_scope:
            await harness.dispatcher.acquire(harness.work())
        assert wait_scope.cancelled_caught
    assert harness.shares[PANONIJA] == 2


async def test_service_without_home_upstreams_uses_its_share(
    harness: DispatcherHarness, slot_stack: ExitStack
) -> None:
    harness.shares[PANONIJA] = 1
    harness.configure(upstream("far", zone="osijek-a", slots=4))
    assert (await harness.acquire_slot(slot_stack)).upstream.id == "far"


async def test_request_past_its_deadline_is_refused_without_being_run(
    harness: DispatcherHarness, slot_stack: ExitStack
) -> None:
    harness.configure(upstream("a", slots=1))
    await harness.acquire_slot(slot_stack)
    expired = await harness.dispatcher.acquire(harness.work(deadline_s=0.0))
    assert isinstance(expired, Failure)
    assert expired.failure().reason is RefusalReason.DEADLINE

    async def advance_clock() -> None:
        await anyio.sleep(0.01)
        harness.now_s = 2.0

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(advance_clock)
        acquired = await harness.dispatcher.acquire(harness.work(deadline_s=1.0))
    refusal = acquired.failure()
    assert isinstance(refusal, Refusal)
    assert refusal.reason is RefusalReason.DEADLINE


async def test_service_without_upstreams_is_refused(harness: DispatcherHarness) -> None:
    harness.configure()
    result = await harness.dispatcher.acquire(harness.work())
    assert result.failure().reason is RefusalReason.NO_UPSTREAM


def test_connections_are_divided_among_instances(harness: DispatcherHarness) -> None:
    limited = UpstreamSettings("a", "127.0.0.1", 1, "split-a", 4, connections=20)
    harness.configure(limited)
    harness.directory.replace(
        Machine(InstanceId(f"e{i}"), "127.0.0.1", 1, ZoneId("split-a"), Presence.LIVE)
        for i in range(10)
    )
    (view,) = harness.dispatcher.pools()[READS].views()
    assert view.slots == 1
