"""Slots given to waiting requests: ranks, limits, drain, sheds, losses and regions."""

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
from tanagercourse.entry.dispatch import PLACES, Dispatcher
from tanagercourse.entry.instance_directory import InstanceDirectory
from tanagercourse.entry.pool import (
    Ending,
    EndUse,
    Home,
    PoolDependencies,
    Slot,
    SpillPort,
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


class Fleet:
    """A dispatcher with a clock that a test sets.

    Attributes:
        shares: Free slots of the share held of each other region.
    """

    def __init__(self) -> None:
        self.shares: Counter[RegionId] = Counter()
        self.now_s = 0.0
        self.roster = InstanceDirectory()
        self.in_force = ActiveSettings()
        zones = tuple(ZoneSettings(zone, region) for zone, region in ZONES)
        stored = StoredObject(
            FLEET_PATH, Version(1), encode(FleetSettings(zones)), WriterId("test")
        )
        assert self.in_force.apply(stored) is None
        surroundings = Topology(
            InstanceId("entry-1"), ZoneId("split-a"), lambda: self.in_force, self.roster
        )
        random = Random(1)
        parts = PoolDependencies(
            prefer_own_slots(random, lambda: True),
            surroundings,
            self.roster.is_leaving,
            lambda: self.now_s,
            random,
            SpillPort(lambda work: None, self._region_for, self._begin),
        )
        self.dispatcher = Dispatcher(parts)
        self._ids = itertools.count()

    def _region_for(self, work: Work, home: Home) -> RegionId | None:
        if home is Home.HAS_SLOT:
            return None
        return next((region for region in self.shares if self.shares[region]), None)

    def _begin(self, work: Work, region: RegionId) -> EndUse:
        assert self.shares[region] > 0
        self.shares[region] -= 1

        def end(ending: Ending) -> None:
            self.shares[region] += 1

        return end

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

    async def take(self, stack: ExitStack, work: Work | None = None) -> Slot:
        acquired = await self.dispatcher.acquire(work or self.work())
        return stack.enter_context(self.dispatcher.holding(acquired.unwrap()))


@pytest.fixture
def fleet() -> Fleet:
    return Fleet()


@pytest.fixture
def held() -> Iterator[ExitStack]:
    with ExitStack() as stack:
        yield stack


def upstream(
    name: str, zone: str = "split-a", slots: int = 2, duty: Duty = Duty.SERVE
) -> UpstreamSettings:
    return UpstreamSettings(name, "127.0.0.1", 1, zone, slots, duty=duty)


async def test_slots_are_never_overdrawn_and_each_is_used(
    fleet: Fleet, held: ExitStack
) -> None:
    fleet.configure(upstream("a"), upstream("b", slots=3))
    slots = [await fleet.take(held) for _ in range(5)]
    assert sorted(slot.upstream.id for slot in slots) == ["a"] * 2 + ["b"] * 3
    with anyio.move_on_after(0.05) as waited:
        await fleet.dispatcher.acquire(fleet.work())
    assert waited.cancelled_caught
    assert fleet.dispatcher.waiting(READS) == 0


async def test_freed_slot_goes_to_the_most_urgent_that_waits(fleet: Fleet) -> None:
    served: list[str] = []
    fleet.configure(upstream("a", slots=PLACES))
    fleet.configure(upstream("u", slots=1), rank=Rank.MOST_URGENT, name="urgent")

    async def serve(work: Work) -> None:
        acquired = await fleet.dispatcher.acquire(work)
        with fleet.dispatcher.holding(acquired.unwrap()):
            served.append(work.service)

    with ExitStack() as busy:
        for _ in range(PLACES):
            await fleet.take(busy)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(serve, fleet.work())
            tasks.start_soon(serve, fleet.work(Rank.MOST_URGENT, "urgent"))
            await anyio.sleep(0.01)
            assert served == []
            busy.close()
    assert served == ["urgent", READS]


async def test_drain_takes_effect_at_once_and_leaves_what_runs(
    fleet: Fleet, held: ExitStack
) -> None:
    fleet.configure(upstream("a"))
    running = await fleet.take(held)
    fleet.configure(upstream("a", duty=Duty.DRAIN), upstream("b"))
    assert running.upstream.id == "a"
    assert [(await fleet.take(held)).upstream.id for _ in range(2)] == ["b", "b"]


async def test_upstream_that_the_platform_lists_as_leaving_gets_no_new_work(
    fleet: Fleet, held: ExitStack
) -> None:
    fleet.configure(upstream("a"), upstream("b"))
    leaving = Machine(
        InstanceId("a"), "127.0.0.1", 1, ZoneId("split-a"), Presence.LEAVING
    )
    fleet.roster.replace([leaving])
    assert [(await fleet.take(held)).upstream.id for _ in range(2)] == ["b", "b"]


async def test_new_upstream_serves_what_waits(fleet: Fleet) -> None:
    fleet.configure(upstream("a", duty=Duty.DRAIN))
    acquired: list[object] = []

    async def acquire() -> None:
        acquired.append(await fleet.dispatcher.acquire(fleet.work()))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(acquire)
        await anyio.sleep(0.01)
        fleet.configure(upstream("b"))
    assert isinstance(acquired[0], Success)


async def test_upstream_that_shed_is_left_alone_then_tried_again(fleet: Fleet) -> None:
    fleet.configure(upstream("a"), upstream("b", zone="rijeka-b"))
    with ExitStack() as stack:
        slot = await fleet.take(stack)
        assert slot.upstream.id == "a"
        slot.ending = Ending.SHED
    with ExitStack() as stack:
        assert (await fleet.take(stack)).upstream.id == "b"
    fleet.now_s = 1.0
    with ExitStack() as stack:
        assert (await fleet.take(stack)).upstream.id == "a"


async def test_upstreams_that_lose_requests_are_ejected_but_never_all(
    fleet: Fleet,
) -> None:
    fleet.shares[PANONIJA] = 1
    fleet.configure(upstream("a"), upstream("far", zone="osijek-a"))
    seen = []
    for _ in range(8):
        fleet.now_s += 0.3
        with ExitStack() as stack:
            slot = await fleet.take(stack)
            seen.append(slot.upstream.id)
            slot.ending = Ending.LOST
    assert seen[:4] == ["a", "a", "a", "far"]
    assert set(seen[4:]) <= {"a", "far"}


async def test_other_region_serves_only_within_a_held_share(
    fleet: Fleet, held: ExitStack
) -> None:
    far = upstream("far", zone="osijek-a", slots=4)
    fleet.configure(upstream("near", slots=1), far)
    assert (await fleet.take(held)).upstream.id == "near"
    for near in (upstream("near", slots=1), upstream("near", duty=Duty.DRAIN)):
        fleet.configure(near, far)
        with anyio.move_on_after(0.05) as waited:
            await fleet.dispatcher.acquire(fleet.work())
        assert waited.cancelled_caught
    fleet.shares[PANONIJA] = 2
    with ExitStack() as stack:
        taken = [(await fleet.take(stack)).upstream.id for _ in range(2)]
        assert taken == ["far", "far"]
        with anyio.move_on_after(0.05) as waited:
            await fleet.dispatcher.acquire(fleet.work())
        assert waited.cancelled_caught
    assert fleet.shares[PANONIJA] == 2


async def test_service_with_no_upstream_at_home_uses_its_share(
    fleet: Fleet, held: ExitStack
) -> None:
    fleet.shares[PANONIJA] = 1
    fleet.configure(upstream("far", zone="osijek-a", slots=4))
    assert (await fleet.take(held)).upstream.id == "far"


async def test_work_that_can_not_finish_in_time_is_refused_not_run(
    fleet: Fleet, held: ExitStack
) -> None:
    fleet.configure(upstream("a", slots=1))
    await fleet.take(held)
    late = await fleet.dispatcher.acquire(fleet.work(deadline_s=0.0))
    assert isinstance(late, Failure)
    assert late.failure().reason is RefusalReason.DEADLINE

    async def pass_time() -> None:
        await anyio.sleep(0.01)
        fleet.now_s = 2.0

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(pass_time)
        waited = await fleet.dispatcher.acquire(fleet.work(deadline_s=1.0))
    refusal = waited.failure()
    assert isinstance(refusal, Refusal)
    assert refusal.reason is RefusalReason.DEADLINE


async def test_service_without_upstreams_is_refused(fleet: Fleet) -> None:
    fleet.configure()
    refused = await fleet.dispatcher.acquire(fleet.work())
    assert refused.failure().reason is RefusalReason.NO_UPSTREAM


def test_connections_are_shared_out_among_instances(fleet: Fleet) -> None:
    scarce = UpstreamSettings("a", "127.0.0.1", 1, "split-a", 4, connections=20)
    fleet.configure(scarce)
    fleet.roster.replace(
        Machine(InstanceId(f"e{i}"), "127.0.0.1", 1, ZoneId("split-a"), Presence.LIVE)
        for i in range(10)
    )
    (view,) = fleet.dispatcher.pools()[READS].views()
    assert view.slots == 1
