"""Shares under a region's lease with faulty messages, instances and platform."""

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from random import Random

import anyio
import pytest
from returns.result import Failure, Success

from tanagercourse.coordination.claims import Claim, Lease
from tanagercourse.coordination.granter import (
    GranterLedger,
    granter_handlers,
)
from tanagercourse.coordination.grpc import serve_peers
from tanagercourse.coordination.grpc_shares import ShareService, connect_granter
from tanagercourse.coordination.handlers import peer_handlers
from tanagercourse.coordination.members import Address, Member
from tanagercourse.coordination.node import Node
from tanagercourse.coordination.peers import Unreached
from tanagercourse.coordination.sharing import (
    DemandReport,
    ServiceDemand,
    find_granter,
)
from tanagercourse.core.ids import (
    FencingVersion,
    Incarnation,
    InstanceId,
    ObjectPath,
    RegionId,
    Version,
    ZoneId,
)
from tanagercourse.steering.shares import (
    DestinationCapacity,
    DestinationId,
    NotGranter,
    ShareHolderId,
    ShareRelease,
    ShareRequest,
    ShareSequence,
    StaleRequest,
    takeover_delay_s,
)
from tanagercourse.testing.sharing_fleet import (
    SERVICE,
    SLOTS,
    MessageFaults,
    SharingFleet,
)
from tanagercourse.testing.stores import ManualClock
from tanagercourse.testing.virtual import run_in_virtual_time
from tanagercourse.web.serving import address_of, listen

JADRAN, PANONIJA = RegionId("jadran"), RegionId("panonija")
REGIONS = {ZoneId("split-a"): JADRAN, ZoneId("osijek-a"): PANONIJA}
DESTINATION = DestinationId("motritelj@jadran")
GRANT_LIMIT_S = 40.0
LEASE_S = 15.0

Scenario = Callable[[SharingFleet], Awaitable[None]]


def run_sharing(scenario: Scenario, seed: int, faults: MessageFaults) -> None:
    """Run a scenario while checking that shares in use never exceed the capacity."""

    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            sharing = SharingFleet(REGIONS, Random(seed), faults)
            fleet = sharing.create_fleet(tasks, seed)
            for zone in REGIONS:
                for index in range(3):
                    fleet.start(f"{zone}-{index}", zone)
            tasks.start_soon(_assert_capacity_respected, sharing)
            await anyio.sleep(5.0)
            for index in range(3):
                sharing.start_holder(f"osijek-a-{index}", JADRAN, SLOTS)
            await anyio.sleep(GRANT_LIMIT_S)
            assert sharing.held_slots() > 0
            await scenario(sharing)
            tasks.cancel_scope.cancel()

    run_in_virtual_time(run)


async def _assert_capacity_respected(sharing: SharingFleet) -> None:
    while True:
        assert sharing.held_slots() <= SLOTS
        await anyio.sleep(0.1)


def current_granter(sharing: SharingFleet) -> InstanceId:
    node = sharing.fleet.nodes()[0]
    return find_granter(node.replica, JADRAN).unwrap().instance


@pytest.mark.parametrize("seed", range(3))
def test_shares_stay_within_capacity_under_random_faults(seed: int) -> None:
    async def scenario(sharing: SharingFleet) -> None:
        fleet = sharing.fleet
        for _ in range(3):
            granter_instance = current_granter(sharing)
            fleet.kill(granter_instance)
            await anyio.sleep(sharing.random.uniform(0.0, 20.0))
            fleet.start(granter_instance, "split-a")
            holder = f"osijek-a-{sharing.random.randrange(3)}"
            fleet.kill(holder)
            fleet.start(holder, "osijek-a")
            await anyio.sleep(1.5)
            sharing.start_holder(holder, JADRAN, SLOTS)
            fleet.store.is_down = True
            await anyio.sleep(sharing.random.uniform(0.0, 10.0))
            fleet.store.is_down = False
            await anyio.sleep(2 * GRANT_LIMIT_S)
            assert sharing.held_slots() > 0

    run_sharing(scenario, seed, MessageFaults(0.2, 0.2, 0.8))


def test_no_share_outlives_the_lease_during_platform_outage() -> None:
    async def scenario(sharing: SharingFleet) -> None:
        sharing.fleet.store.is_down = True
        await anyio.sleep(LEASE_S)
        for _ in range(60):
            assert sharing.held_slots() == 0
            await anyio.sleep(1.0)
        sharing.fleet.store.is_down = False
        await anyio.sleep(2 * GRANT_LIMIT_S)
        assert sharing.held_slots() > 0

    run_sharing(scenario, 1, MessageFaults())


def test_takeover_by_new_granter_never_exceeds_capacity() -> None:
    async def scenario(sharing: SharingFleet) -> None:
        cancelled_granter = current_granter(sharing)
        sharing.fleet.running[cancelled_granter].scope.cancel()
        for _ in range(300):
            await anyio.sleep(0.2)
            assert sharing.held_slots() <= SLOTS
        assert current_granter(sharing) != cancelled_granter
        assert sharing.held_slots() > 0

    run_sharing(scenario, 2, MessageFaults())


def make_request(sequence: int, wanted_slots: int = 3) -> ShareRequest:
    holder = ShareHolderId(InstanceId("osijek-a-0"), Incarnation(7))
    return ShareRequest(
        DESTINATION, holder, PANONIJA, ShareSequence(sequence), 0, wanted_slots
    )


def make_lease(fence: int, held_until_s: float) -> Lease:
    path = ObjectPath("/system/leases/regions/jadran")
    claim = Claim(path, InstanceId("split-a-0"), int(LEASE_S * 1_000))
    return Lease(claim, FencingVersion(fence), Version(fence), held_until_s)


@pytest.fixture
def ledger(clock: ManualClock) -> GranterLedger:
    capacity = DestinationCapacity(SLOTS, JADRAN, SLOTS, {PANONIJA: SLOTS})
    return GranterLedger(clock, lambda destination, demand: capacity)


def test_only_lease_holder_grants_after_takeover_delay(
    ledger: GranterLedger, clock: ManualClock
) -> None:
    assert isinstance(ledger.request_share(make_request(1)).failure(), NotGranter)
    ledger.update_lease(make_lease(5, clock.now_s + LEASE_S))
    refusal = ledger.request_share(make_request(1)).failure()
    assert isinstance(refusal, NotGranter)
    assert refusal.retry_after_s == pytest.approx(takeover_delay_s(LEASE_S))
    clock.now_s += takeover_delay_s(LEASE_S)
    ledger.update_lease(make_lease(5, clock.now_s + LEASE_S))
    assert ledger.request_share(make_request(1)).unwrap().slots == 3
    ledger.update_lease(None)
    assert isinstance(ledger.request_share(make_request(2)).failure(), NotGranter)


def test_each_acquired_lease_restarts_takeover_delay(
    ledger: GranterLedger, clock: ManualClock
) -> None:
    for fence in (5, 9):
        ledger.update_lease(make_lease(fence, clock.now_s + LEASE_S))
        assert isinstance(ledger.request_share(make_request(fence)), Failure)
        clock.now_s += takeover_delay_s(LEASE_S)
        ledger.update_lease(make_lease(fence, clock.now_s + LEASE_S))
        assert isinstance(ledger.request_share(make_request(fence)), Success)


@asynccontextmanager
async def serve_granter(
    ledger: GranterLedger, clock: ManualClock
) -> AsyncIterator[Address]:
    listener = listen("127.0.0.1", 0)
    address = Address(*address_of(listener))
    own_member = Member(
        InstanceId("split-a-0"), ZoneId("split-a"), address, Incarnation(1)
    )
    handlers = peer_handlers(Node(own_member, clock, Random(1)))
    service = ShareService(granter_handlers(ledger))
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(serve_peers, handlers, listener, service)
        yield address
        tasks.cancel_scope.cancel()


@pytest.mark.anyio
async def test_every_call_round_trips(
    ledger: GranterLedger, clock: ManualClock
) -> None:
    ledger.update_lease(make_lease(5, clock.now_s))
    clock.now_s += takeover_delay_s(LEASE_S)
    ledger.update_lease(make_lease(5, clock.now_s + LEASE_S))
    async with serve_granter(ledger, clock) as address:
        granter = connect_granter(address)
        assert await granter.request_share(make_request(2)) == ledger.request_share(
            make_request(2)
        )
        stale = await granter.request_share(make_request(1))
        assert stale.failure() == StaleRequest(ShareSequence(1), ShareSequence(2))
        holder = make_request(2).holder
        release = ShareRelease(DESTINATION, holder, ShareSequence(3))
        assert await granter.release(release) == Success(None)
        assert ledger.live_slots(DESTINATION) == 0
        demand = ServiceDemand(SERVICE, 4)
        report = DemandReport(InstanceId("split-a-1"), (demand,))
        assert await granter.report_demand(report) == Success(None)
        ledger.update_lease(None)
        not_granter_result = await granter.request_share(make_request(4))
        assert isinstance(not_granter_result.failure(), NotGranter)
        granter.close()
    unreached = await connect_granter(address).request_share(make_request(5))
    assert isinstance(unreached.failure(), Unreached)
