"""What this region can lend to others, and the tasks that share slots."""

from collections.abc import Callable
from dataclasses import dataclass

import anyio

from tanagercourse.coordination.granter import (
    GranterLedger,
    HomeRegion,
    LocalDemand,
    granter_handlers,
    run_granter,
)
from tanagercourse.coordination.grpc_shares import (
    GranterClient,
    ShareService,
    connect_granter,
)
from tanagercourse.coordination.node import Node
from tanagercourse.coordination.sharing import (
    DemandReport,
    ServiceDemand,
    destination_of,
    service_of,
)
from tanagercourse.core.ids import RegionId
from tanagercourse.core.states import UpstreamState
from tanagercourse.entry.service_spill import FIRST_SERVICE_S, ShareCalls
from tanagercourse.entry.state import EntryState
from tanagercourse.platform.store import Store
from tanagercourse.steering.shares import DestinationCapacity, DestinationId, link_slots
from tanagercourse.steering.spill import spare_slots

# Sizes that a link's slots are reckoned with, in bytes.
REQUEST_BYTES = 2_000.0
ANSWER_BYTES = 100_000.0
# Reports of demand come to a region's granter at this rate altogether.
DEMAND_REPORTS_PER_S = 4.0
MIN_DEMAND_INTERVAL_S = 1.0


@dataclass(frozen=True)
class Sharing:
    """An instance's part in the sharing of slots between regions.

    Attributes:
        books: What it has granted, while it is its region's granter.
        service: Its answers to holders.
        calls: Its calls to granters.
    """

    books: GranterLedger
    service: ShareService
    calls: GranterClient


def open_sharing(node: Node, state: EntryState) -> Sharing:
    """Return an instance's part in sharing, with nothing granted or held yet."""
    books = GranterLedger(state.clock, capacity_of(state))
    own = granter_handlers(books)
    return Sharing(books, ShareService(own), GranterClient(node, connect_granter, own))


async def share_slots(
    node: Node, store: Store, state: EntryState, sharing: Sharing
) -> None:
    """Grant, hold and report until cancelled."""
    home = HomeRegion(
        state.surroundings.home, state.surroundings.home_zones, capacity_of(state)
    )
    calls = ShareCalls(sharing.calls.request_share, sharing.calls.release)
    try:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(run_granter, node, store, home, sharing.books)
            tasks.start_soon(state.spilling.keep_shares, calls)
            tasks.start_soon(_report_demand, node, state, sharing.calls)
    finally:
        sharing.calls.close()


def capacity_of(
    state: EntryState,
) -> Callable[[DestinationId, LocalDemand], DestinationCapacity | None]:
    """Return what tells how many slots of this region other regions may use."""

    def capacity(
        destination: DestinationId, demand: LocalDemand
    ) -> DestinationCapacity | None:
        home = state.surroundings.home()
        service = service_of(destination)
        pool = state.dispatcher.pools().get(service)
        if pool is None or destination != destination_of(service, home):
            return None
        live = (v for v in pool.home_views() if v.state is UpstreamState.LIVE)
        slots = sum(view.slots for view in live)
        spare = spare_slots(slots, demand.wanted_slots, demand.age_s)
        return DestinationCapacity(slots, home, spare, _link_slots(state, home))

    return capacity


def _link_slots(state: EntryState, home: RegionId) -> dict[RegionId, int]:
    """Return one service's part of what the link to each other region carries."""
    fleet = state.in_force.fleet
    by_link = link_slots(
        fleet.link_mbit_s, REQUEST_BYTES, ANSWER_BYTES, FIRST_SERVICE_S
    )
    each = by_link // max(1, len(state.in_force.services()))
    regions = _regions_of(state) - {home}
    return dict.fromkeys(regions, each)


def _regions_of(state: EntryState) -> set[RegionId]:
    """Return every region with an entry instance or an upstream, as far as known."""
    return {
        state.surroundings.region_of(upstream.zone_id)
        for service in state.in_force.services()
        for upstream in service.settings.upstreams
    } | {zone.region_id for zone in state.in_force.fleet.zones}


async def _report_demand(node: Node, state: EntryState, calls: GranterClient) -> None:
    """Tell the own region's granter what callers want; never returns."""
    while True:
        home = state.surroundings.home()
        report = DemandReport(node.own_member.instance, _demands(state))
        await calls.report_demand(home, report)
        fair_s = len(state.surroundings.neighbours()) / DEMAND_REPORTS_PER_S
        spread = 0.9 + 0.2 * node.random.random()
        await anyio.sleep(max(MIN_DEMAND_INTERVAL_S, fair_s) * spread)


def _demands(state: EntryState) -> tuple[ServiceDemand, ...]:
    return tuple(
        ServiceDemand(
            service,
            sum(view.in_flight for view in pool.home_views())
            + state.dispatcher.waiting(service),
        )
        for service, pool in state.dispatcher.pools().items()
    )
