"""Grant shares of this region's slots while this instance holds the region's lease.

One lease for each region covers all of its services, each with a book of its own.
While nobody can hold the lease there are no shares: what was granted runs out with
the lease, and the region's own work goes on without any.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass, replace

from returns.result import Failure, Result, Success

from tanagercourse.coordination.claims import Claim, Lease
from tanagercourse.coordination.demand import DemandTally
from tanagercourse.coordination.lease_holding import hold_lease
from tanagercourse.coordination.neighbours import choose_contenders
from tanagercourse.coordination.node import Node
from tanagercourse.coordination.node_tasks import LEASE_MS, run_while
from tanagercourse.coordination.sharing import (
    DemandReport,
    Granter,
    GranterRecord,
    ShareProblem,
    granter_object,
    service_of,
)
from tanagercourse.core.ids import (
    NO_VERSION,
    FencingVersion,
    ObjectPath,
    RegionId,
    ServiceId,
    ZoneId,
)
from tanagercourse.core.work import Clock
from tanagercourse.platform.store import Store
from tanagercourse.steering.ledger import ShareLedger
from tanagercourse.steering.shares import (
    DestinationCapacity,
    DestinationId,
    GranterLease,
    NotGranter,
    ShareGrant,
    ShareRelease,
    ShareRequest,
    takeover_delay_s,
)

REGION_LEASES = ObjectPath("/system/leases/regions/")
MS_PER_S = 1_000


@dataclass(frozen=True)
class LocalDemand:
    """What a region's own callers want of a service.

    Attributes:
        wanted_slots: Slots that they want.
        age_s: Age of the newest report of it, in seconds.
    """

    wanted_slots: int
    age_s: float


# What a destination can give now, None for one that is not of this region.
GetCapacity = Callable[[DestinationId, LocalDemand], DestinationCapacity | None]


@dataclass(frozen=True)
class HomeRegion:
    """This instance's region, as the settings in force have it.

    Attributes:
        region: Its id.
        zones: Its availability zones.
        capacity_of: What its destinations can give.
    """

    region: Callable[[], RegionId]
    zones: Callable[[], tuple[ZoneId, ...]]
    capacity_of: GetCapacity


class GranterLedger:
    """A book for each destination of a region, all under the region's lease."""

    def __init__(self, clock: Clock, capacity_of: GetCapacity) -> None:
        self._clock = clock
        self._capacity_of = capacity_of
        self._tenure: GranterLease | None = None
        self._books: dict[DestinationId, ShareLedger] = {}
        self._demand = DemandTally()

    def note_lease(self, lease: Lease | None) -> None:
        """Take the lease as acquired or renewed, or that it was lost."""
        if lease is None:
            self._tenure = None
            self._books.clear()
        elif self._tenure is None or self._tenure.fencing != lease.fence:
            self._begin(lease)
        else:
            self._tenure = replace(self._tenure, ends_at_s=lease.held_until_s)
            for book in self._books.values():
                book.renew(lease.held_until_s)

    def live_slots(self, destination: DestinationId) -> int:
        """Return how many slots others may be using by this instance's grants."""
        book = self._books.get(destination)
        return book.live_slots(self._clock()) if book else 0

    def request_share(self, request: ShareRequest) -> Result[ShareGrant, ShareProblem]:
        """Answer a request for a share."""
        destination = request.destination
        tenure = self._tenure
        capacity = self._capacity(destination)
        if tenure is None or capacity is None:
            fence = tenure.fencing if tenure else FencingVersion(NO_VERSION)
            return Failure(NotGranter(destination, fence, math.inf))
        book = self._books.get(destination)
        if book is None:
            book = ShareLedger(destination, capacity, tenure)
            self._books[destination] = book
        book.capacity = capacity
        granted = book.grant(request, self._clock())
        if isinstance(granted, Failure):
            problem: ShareProblem = granted.failure()
            return Failure(problem)
        return Success(granted.unwrap())

    def release(self, release: ShareRelease) -> None:
        """Take a share back."""
        book = self._books.get(release.destination)
        if book is not None:
            book.release(release, self._clock())

    def report_demand(self, report: DemandReport) -> None:
        """Take what an instance's own callers want."""
        self._demand.note(report, self._clock())

    def _begin(self, lease: Lease) -> None:
        wait_s = takeover_delay_s(lease.claim.duration_ms / MS_PER_S)
        self._tenure = GranterLease(
            lease.fence, self._clock(), lease.held_until_s, wait_s
        )
        self._books.clear()

    def _capacity(self, destination: DestinationId) -> DestinationCapacity | None:
        service: ServiceId = service_of(destination)
        wanted_slots = self._demand.wanted_slots(service)
        age_s = self._demand.age_s(self._clock())
        return self._capacity_of(destination, LocalDemand(wanted_slots, age_s))


def granter_handlers(books: GranterLedger) -> Granter:
    """Return the answers of an instance's books."""

    async def request_share(request: ShareRequest) -> Result[ShareGrant, ShareProblem]:
        return books.request_share(request)

    async def release(message: ShareRelease) -> Result[None, ShareProblem]:
        books.release(message)
        return Success(None)

    async def report_demand(report: DemandReport) -> Result[None, ShareProblem]:
        books.report_demand(report)
        return Success(None)

    return Granter(request_share, release, report_demand)


async def run_granter(
    node: Node, store: Store, home: HomeRegion, books: GranterLedger
) -> None:
    """Contend for the region's lease while chosen to, and grant; never returns.

    An edit may move this instance to another region: its lease is given up first.
    """
    claimed: RegionId | None = None

    def is_chosen() -> bool:
        if not node.is_ready or claimed not in (None, home.region()):
            return False
        members = [m for zone in home.zones() for m in node.membership.in_zone(zone)]
        contenders = choose_contenders(members)
        return any(each.instance == node.own_member.instance for each in contenders)

    async def hold() -> None:
        nonlocal claimed
        claimed = home.region()
        try:
            await _hold(node, store, claimed, books)
        finally:
            claimed = None

    await run_while(node, is_chosen, hold)


async def _hold(
    node: Node, store: Store, region: RegionId, books: GranterLedger
) -> None:
    def note_lease(lease: Lease | None) -> None:
        books.note_lease(lease)
        if lease is not None:
            me = node.own_member
            record = GranterRecord(me.instance, me.address, lease.fence)
            node.replica.apply(granter_object(region, record))

    claim = Claim(
        ObjectPath(REGION_LEASES + region), node.own_member.instance, LEASE_MS
    )
    await hold_lease(store, claim, node.clock, node.random, note_lease)
