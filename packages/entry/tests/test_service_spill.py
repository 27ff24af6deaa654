"""Spill within held shares: which requests leave, what is asked for, what runs out."""

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
from tanagercourse.entry.pool import Ending, Home
from tanagercourse.entry.remote_regions import Away
from tanagercourse.entry.service_spill import MAX_DESTINATIONS, ShareCalls, SpillParts
from tanagercourse.entry.spill_manager import Spilling
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
OTHERS = [RegionId(name) for name in ("gorje", "panonija", "slavonija")]
ONE_WAY_S = 0.02


class Granters:
    """Granters of all regions, and the spill of one instance.

    Attributes:
        now_s: The clock that both read.
        gives: Slots that each region gives at most.
        asked: Every request, in order.
        released: Every release, in order.
    """

    def __init__(self) -> None:
        self.now_s = 100.0
        self.gives = dict.fromkeys(OTHERS, 4)
        self.asked: list[ShareRequest] = []
        self.released: list[ShareRelease] = []
        self._ids = itertools.count()
        me = ShareHolderId(InstanceId("entry-1"), Incarnation(1))
        parts = SpillParts(lambda: JADRAN, self._away, lambda: self.now_s, Random(1))
        self.spilling = Spilling(me, parts)
        settings = ServiceSettings(READS, Rank.NEXT, Idempotency.IDEMPOTENT)
        self.spilling.configure(settings)
        self.port = self.spilling.port()

    async def ask(
        self, region: RegionId, request: ShareRequest
    ) -> Result[ShareGrant, ShareProblem]:
        self.asked.append(request)
        if not self.gives[region]:
            return Failure(NoGranter(region))
        slots = min(self.gives[region], request.wanted_slots)
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
        self.released.append(release)
        return Success(None)

    def work(self, deadline_s: float = 2.0) -> Work:
        return Work(
            RequestId(str(next(self._ids))),
            READS,
            Rank.NEXT,
            Idempotency.IDEMPOTENT,
            self.now_s + deadline_s,
        )

    def leave(self, home: Home, deadline_s: float = 2.0) -> RegionId | None:
        work = self.work(deadline_s)
        self.port.record_arrival(work)
        return self.port.region_for(work, home)

    async def renew(self) -> None:
        spill = self.spilling.of(READS)
        assert spill is not None
        for region, slots in spill.wanted_slots().items():
            await spill.ask(ShareCalls(self.ask, self.release), region, slots)

    def held(self) -> int:
        spill = self.spilling.of(READS)
        return sum(spill.held_slots().values()) if spill else 0

    def _away(self, service: ServiceId) -> Sequence[Away]:
        return [Away(region, 40, ONE_WAY_S) for region in OTHERS]


@pytest.fixture
def granters() -> Granters:
    return Granters()


async def test_nothing_is_asked_for_while_home_has_slots(granters: Granters) -> None:
    for _ in range(50):
        assert granters.leave(Home.HAS_SLOT) is None
    await granters.renew()
    assert granters.asked == []


async def test_service_that_nothing_serves_at_home_leaves_within_its_shares(
    granters: Granters,
) -> None:
    for _ in range(20):
        assert granters.leave(Home.NONE) is None
    await granters.renew()
    held = granters.held()
    assert 0 < held <= sum(granters.gives.values())
    ends: list[Callable[[Ending], None]] = []
    while (region := granters.leave(Home.NONE)) is not None:
        ends.append(granters.port.begin(granters.work(), region))
    assert len(ends) == held
    ends.pop()(Ending.ANSWERED)
    assert granters.leave(Home.NONE) is not None


async def test_full_home_sends_away_no_more_than_the_cap(granters: Granters) -> None:
    granters.gives = dict.fromkeys(OTHERS, 40)
    for _ in range(100):
        granters.leave(Home.FULL)
    for _ in range(4):
        await granters.renew()
    left = 0
    for _ in range(100):
        region = granters.leave(Home.FULL)
        if region is not None:
            left += 1
            granters.port.begin(granters.work(), region)(Ending.ANSWERED)
    assert 0 < left <= 0.2 * 200


@pytest.mark.parametrize(("deadline_s", "may_leave"), [(0.03, False), (1.0, True)])
async def test_request_that_can_not_be_answered_in_time_stays(
    granters: Granters, deadline_s: float, may_leave: bool
) -> None:
    granters.leave(Home.NONE)
    await granters.renew()
    assert (granters.leave(Home.NONE, deadline_s) is not None) == may_leave


async def test_share_runs_out_when_no_granter_answers(granters: Granters) -> None:
    granters.leave(Home.NONE)
    await granters.renew()
    granters.gives = dict.fromkeys(OTHERS, 0)
    granters.now_s += SHARE_TTL_S
    await granters.renew()
    assert granters.held() == 0
    assert granters.leave(Home.NONE) is None


async def test_region_that_gives_nothing_makes_room_for_the_next(
    granters: Granters,
) -> None:
    granters.gives = {**dict.fromkeys(OTHERS, 0), OTHERS[0]: 4}
    for _ in range(3):
        granters.leave(Home.NONE)
        before = len(granters.asked)
        await granters.renew()
        assert len(granters.asked) - before <= MAX_DESTINATIONS
    assert granters.held() > 0


async def test_share_that_is_wanted_no_more_is_given_back(granters: Granters) -> None:
    granters.leave(Home.NONE)
    await granters.renew()
    for _ in range(30):
        granters.now_s += 1.0
        await granters.renew()
    assert granters.held() == 0
    assert granters.released
    asked = len(granters.asked)
    await granters.renew()
    assert len(granters.asked) == asked


async def test_edited_cap_keeps_the_shares(granters: Granters) -> None:
    granters.leave(Home.NONE)
    await granters.renew()
    held = granters.held()
    granters.spilling.configure(
        ServiceSettings(READS, Rank.NEXT, Idempotency.IDEMPOTENT, shift_cap_share=0.5)
    )
    assert granters.held() == held > 0
