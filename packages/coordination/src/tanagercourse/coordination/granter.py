"""Granting of shares in this region's slots under the region's lease.

One lease for each region covers all of its services, each with a ledger of its own.
While nobody can hold the lease there are no shares: grants expire with the lease, and
the region's own callers are served without any.
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
from tanagercourse.coordination.node_tasks import LEASE_MS, run_while_chosen
from tanagercourse.coordination.sharing import (
    DemandReport,
    Granter,
    GranterRecord,
    ShareProblem,
    granter_to_object,
    service_of_destination,
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

REGION_LEASES_PREFIX = ObjectPath("/system/leases/regions/")
MS_PER_S = 1_000


@dataclass(frozen=True)
class LocalDemand:
    """Demand of a region's own callers for a service.

    Attributes:
        wanted_slots: Number of slots that the callers need.
        age_s: Age of the newest demand report, in seconds.
    """

    wanted_slots: int
    age_s: float


# Returns the current capacity of a destination, None if it is not in this region.
GetCapacity = Callable[[DestinationId, LocalDemand], DestinationCapacity | None]


@dataclass(frozen=True)
class HomeRegion:
    """This instance's region according to the active settings.

    Attributes:
        region: Returns the id of the region.
        zones: Returns the availability zones of the region.
        get_capacity: Returns the capacity of a destination in the region.
    """

    region: Callable[[], RegionId]
    zones: Callable[[], tuple[ZoneId, ...]]
    get_capacity: GetCapacity


class GranterLedger:
    """A share ledger for each destination of a region, all under the region's lease."""

    def __init__(self, clock: Clock, get_capacity: GetCapacity) -> None:
        self._clock = clock
        self._get_capacity = get_capacity
        self._granter_lease: GranterLease | None = None
        self._ledgers: dict[DestinationId, ShareLedger] = {}
        self._demand_tally = DemandTally()

    def update_lease(self, lease: Lease | None) -> None:
        """Update the region's lease.

        Args:
            lease: The lease as acquired or renewed; None if it was lost.
        """
        if lease is None:
            self._granter_lease = None
            self._ledgers.clear()
        elif self._granter_lease is None or self._granter_lease.fencing != lease.fence:
            self._start_lease(lease)
        else:
            self._granter_lease = replace(
                self._granter_lease, ends_at_s=lease.held_until_s
            )
            for ledger in self._ledgers.values():
                ledger.renew(lease.held_until_s)

    def live_slots(self, destination: DestinationId) -> int:
        """Return the number of slots that holders may use under unexpired grants."""
        ledger = self._ledgers.get(destination)
        return ledger.live_slots(self._clock()) if ledger else 0

    def request_share(self, request: ShareRequest) -> Result[ShareGrant, ShareProblem]:
        """Grant or refuse a request for a share."""
        destination = request.destination
        granter_lease = self._granter_lease
        capacity = self._capacity(destination)
        if granter_lease is None or capacity is None:
            fence = (
                granter_lease.fencing if granter_lease else FencingVersion(NO_VERSION)
            )
            return Failure(NotGranter(destination, fence, math.inf))
        ledger = self._ledgers.get(destination)
        if ledger is None:
            ledger = ShareLedger(destination, capacity, granter_lease)
            self._ledgers[destination] = ledger
        ledger.capacity = capacity
        granted = ledger.grant(request, self._clock())
        if isinstance(granted, Failure):
            problem: ShareProblem = granted.failure()
            return Failure(problem)
        return Success(granted.unwrap())

    def release(self, release: ShareRelease) -> None:
        """Release a share of a holder."""
        ledger = self._ledgers.get(release.destination)
        if ledger is not None:
            ledger.release(release, self._clock())

    def report_demand(self, report: DemandReport) -> None:
        """Record the demand of an instance's own callers."""
        self._demand_tally.record(report, self._clock())

    def _start_lease(self, lease: Lease) -> None:
        grant_delay_s = takeover_delay_s(lease.claim.duration_ms / MS_PER_S)
        self._granter_lease = GranterLease(
            lease.fence, self._clock(), lease.held_until_s, grant_delay_s
        )
        self._ledgers.clear()

    def _capacity(self, destination: DestinationId) -> DestinationCapacity | None:
        service: ServiceId = service_of_destination(destination)
        wanted_slots = self._demand_tally.wanted_slots(service)
        age_s = self._demand_tally.age_s(self._clock())
        return self._get_capacity(destination, LocalDemand(wanted_slots, age_s))


def granter_handlers(granter_ledger: GranterLedger) -> Granter:
    """Return the handlers of a ledger for the calls of holders."""

    async def request_share(request: ShareRequest) -> Result[ShareGrant, ShareProblem]:
        return granter_ledger.request_share(request)

    async def release(message: ShareRelease) -> Result[None, ShareProblem]:
        granter_ledger.release(message)
        return Success(None)

    async def report_demand(report: DemandReport) -> Result[None, ShareProblem]:
        granter_ledger.report_demand(report)
        return Success(None)

    return Granter(request_share, release, report_demand)


async def run_granter(
    node: Node, store: Store, home: HomeRegion, granter_ledger: GranterLedger
) -> None:
    """Contend for the region's lease while chosen, and grant shares; never returns.

    A settings change may move this instance to another region; it then releases the
    lease of the old region first.

    Args:
        node: State of this instance.
        store: The platform.
        home: The region of this instance.
        granter_ledger: The ledger that follows the lease.
    """
    claimed_region: RegionId | None = None

    def is_chosen() -> bool:
        if not node.is_ready or claimed_region not in (None, home.region()):
            return False
        members = [m for zone in home.zones() for m in node.membership.in_zone(zone)]
        contenders = choose_contenders(members)
        return any(
            contender.instance == node.own_member.instance for contender in contenders
        )

    async def hold_home_lease() -> None:
        nonlocal claimed_region
        claimed_region = home.region()
        try:
            await _hold_region_lease(node, store, claimed_region, granter_ledger)
        finally:
            claimed_region = None

    await run_while_chosen(node, is_chosen, hold_home_lease)


async def _hold_region_lease(
    node: Node, store: Store, region: RegionId, granter_ledger: GranterLedger
) -> None:
    def update_lease(lease: Lease | None) -> None:
        granter_ledger.update_lease(lease)
        if lease is not None:
            own_member = node.own_member
            record = GranterRecord(own_member.instance, own_member.address, lease.fence)
            node.replica.apply(granter_to_object(region, record))

    claim = Claim(
        ObjectPath(REGION_LEASES_PREFIX + region),
        node.own_member.instance,
        LEASE_MS,
    )
    await hold_lease(store, claim, node.clock, node.random, update_lease)
