"""Tests of spill: choice of regions, and request, expiry and release of shares."""

import itertools
from collections.abc import Callable, Sequence
from random import Random

import pytest
from returns.result import Failure, Result, Success

from tanagercourse.coordination.sharing import NoGranter, ShareProblem
from tanagercourse.core.ids import (
    FencingVersion,
    Incarnation,
    InstanceId,
    RegionId,
    RequestId,
    ServiceId,
)
from tanagercourse.core.states import Idempotency, Rank
from tanagercourse.core.work import Work
from tanagercourse.entry.pool import HomeCapacity, SlotOutcome
from tanagercourse.entry.remote_regions import RemoteRegion
from tanagercourse.entry.service_spill import (
    MAX_DESTINATIONS,
    ShareCalls,
    SpillDependencies,
)
from tanagercourse.entry.spill_manager import SpillManager
from tanagercourse.settings.schema import ServiceSettings
from tanagercourse.steering.shares import (
    SHARE_TTL_S,
    ShareGrant,
    ShareHolderId,
    ShareRelease,
    ShareRequest,
)

pytestmark = pytest.mark.anyio

READS = ServiceId("reads")
JADRAN = RegionId("jadran")
REMOTE_REGIONS = [RegionId(name) for name in ("gorje", "panonija", "slavonija")]
ONE_WAY_LATENCY_S = 0.02


class FakeGranters:
    """Fake granters of all remote regions, with the spill of one instance.

    Attributes:
        now_s: The monotonic time of granters and instance, in seconds.
        max_granted: Maximum number of slots that each region grants.
        requests: All requests for shares, in order.
        releases: All releases of shares, in order.
        spill_manager: The spill of the instance.
        hooks: Callbacks that the instance's pools would use.
    """

    def __init__(self) -> None:
        self.now_s = 100.0
        self.max_granted = dict.fromkeys(REMOTE_REGIONS, 4)
        self.requests: list[ShareRequest] = []
        self.releases: list[ShareRelease] = []
        self._ids = itertools.count()
        holder_id = ShareHolderId(InstanceId("entry-1"), Incarnation(1))
        deps = SpillDependencies(
            lambda: JADRAN, self._remote_regions, lambda: self.now_s, Random(1)
        )
        self.spill_manager = SpillManager(holder_id, deps)
        settings = ServiceSettings(READS, Rank.NEXT, Idempotency.IDEMPOTENT)
        self.spill_manager.configure(settings)
        self.hooks = self.spill_manager.hooks()

    async def request_share(
        self, region: RegionId, request: ShareRequest
    ) -> Result[ShareGrant, ShareProblem]:
        self.requests.append(request)
        if not self.max_granted[region]:
            return Failure(NoGranter(region))
        slots = min(self.max_granted[region], request.wanted_slots)
        return Success(
            ShareGrant(
                request.destination,
                request.holder,
                request.sequence,
                FencingVersion(1),
                slots,
                SHARE_TTL_S,
            )
        )

    async def release(
        self, region: RegionId, release: ShareRelease
    ) -> Result[None, ShareProblem]:
        self.releases.append(release)
        return Success(None)

    def work(self, deadline_s: float = 2.0) -> Work:
        return Work(
            RequestId(str(next(self._ids))),
            READS,
            Rank.NEXT,
            Idempotency.IDEMPOTENT,
            self.now_s + deadline_s,
        )

    def choose_region(
        self, home_capacity: HomeCapacity, deadline_s: float = 2.0
    ) -> RegionId | None:
        work = self.work(deadline_s)
        self.hooks.record_arrival(work)
        return self.hooks.choose_region(work, home_capacity)

    async def renew_shares(self) -> None:
        spill = self.spill_manager.get_spill(READS)
        assert spill is not None
        for region, slots in spill.slots_to_request().items():
            await spill.request_share(
                ShareCalls(self.request_share, self.release), region, slots
            )

    def held_slots(self) -> int:
        spill = self.spill_manager.get_spill(READS)
        return sum(spill.held_slots().values()) if spill else 0

    def _remote_regions(self, service: ServiceId) -> Sequence[RemoteRegion]:
        return [
            RemoteRegion(region, 40, ONE_WAY_LATENCY_S) for region in REMOTE_REGIONS
        ]


@pytest.fixture
def granters() -> FakeGranters:
    return FakeGranters()


async def test_no_share_is_requested_while_home_has_slots(
    granters: FakeGranters,
) -> None:
    for _ in range(50):
        assert granters.choose_region(HomeCapacity.HAS_SLOT) is None
    await granters.renew_shares()
    assert granters.requests == []


async def test_service_without_live_home_upstreams_spills_within_its_shares(
    granters: FakeGranters,
) -> None:
    for _ in range(20):
        assert granters.choose_region(HomeCapacity.NONE) is None
    await granters.renew_shares()
    held_slots = granters.held_slots()
    assert 0 < held_slots <= sum(granters.max_granted.values())
    end_calls: list[Callable[[SlotOutcome], None]] = []
    while (region := granters.choose_region(HomeCapacity.NONE)) is not None:
        end_calls.append(granters.hooks.begin_share_use(granters.work(), region))
    assert len(end_calls) == held_slots
    end_calls.pop()(SlotOutcome.ANSWERED)
    assert granters.choose_region(HomeCapacity.NONE) is not None


async def test_full_home_region_spills_no_more_than_the_cap(
    granters: FakeGranters,
) -> None:
    granters.max_granted = dict.fromkeys(REMOTE_REGIONS, 40)
    for _ in range(100):
        granters.choose_region(HomeCapacity.FULL)
    for _ in range(4):
        await granters.renew_shares()
    spilled = 0
    for _ in range(100):
        region = granters.choose_region(HomeCapacity.FULL)
        if region is not None:
            spilled += 1
            granters.hooks.begin_share_use(granters.work(), region)(
                SlotOutcome.ANSWERED
            )
    assert 0 < spilled <= 0.2 * 200


@pytest.mark.parametrize(("deadline_s", "may_spill"), [(0.03, False), (1.0, True)])
async def test_request_without_time_for_the_round_trip_is_not_spilled(
    granters: FakeGranters, deadline_s: float, may_spill: bool
) -> None:
    granters.choose_region(HomeCapacity.NONE)
    await granters.renew_shares()
    assert (
        granters.choose_region(HomeCapacity.NONE, deadline_s) is not None
    ) == may_spill


async def test_share_expires_when_no_granter_responds(granters: FakeGranters) -> None:
    granters.choose_region(HomeCapacity.NONE)
    await granters.renew_shares()
    granters.max_granted = dict.fromkeys(REMOTE_REGIONS, 0)
    granters.now_s += SHARE_TTL_S
    await granters.renew_shares()
    assert granters.held_slots() == 0
    assert granters.choose_region(HomeCapacity.NONE) is None


async def test_region_that_grants_nothing_is_replaced_by_the_next(
    granters: FakeGranters,
) -> None:
    granters.max_granted = {**dict.fromkeys(REMOTE_REGIONS, 0), REMOTE_REGIONS[0]: 4}
    for _ in range(3):
        granters.choose_region(HomeCapacity.NONE)
        requests_before = len(granters.requests)
        await granters.renew_shares()
        assert len(granters.requests) - requests_before <= MAX_DESTINATIONS
    assert granters.held_slots() > 0


async def test_unused_share_is_released(granters: FakeGranters) -> None:
    granters.choose_region(HomeCapacity.NONE)
    await granters.renew_shares()
    for _ in range(30):
        granters.now_s += 1.0
        await granters.renew_shares()
    assert granters.held_slots() == 0
    assert granters.releases
    request_count = len(granters.requests)
    await granters.renew_shares()
    assert len(granters.requests) == request_count


async def test_changed_cap_keeps_the_shares(granters: FakeGranters) -> None:
    granters.choose_region(HomeCapacity.NONE)
    await granters.renew_shares()
    held_slots = granters.held_slots()
    granters.spill_manager.configure(
        ServiceSettings(READS, Rank.NEXT, Idempotency.IDEMPOTENT, shift_cap_share=0.5)
    )
    assert granters.held_slots() == held_slots > 0
