"""Share slots between regions: grant them, hold them and report the demand."""

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
    service_of_destination,
)
from tanagercourse.core.ids import RegionId
from tanagercourse.core.states import UpstreamState
from tanagercourse.entry.service_spill import INITIAL_SERVICE_TIME_S, ShareCalls
from tanagercourse.entry.state import EntryState
from tanagercourse.platform.store import Store
from tanagercourse.steering.shares import DestinationCapacity, DestinationId, link_slots
from tanagercourse.steering.spill import spare_slots

# Assumed sizes of a request and its response, to compute how many slots a link carries.
ASSUMED_REQUEST_BYTES = 2_000.0
ASSUMED_RESPONSE_BYTES = 100_000.0
# Total rate of demand reports to a region's granter, from all instances of the region.
DEMAND_REPORTS_PER_S = 4.0
MIN_DEMAND_INTERVAL_S = 1.0


@dataclass(frozen=True)
class SlotSharing:
    """The objects with which an instance shares slots between regions.

    Attributes:
        ledger: Shares granted while this instance is its region's granter.
        service: Serves the requests of holders.
        calls: Sends requests to granters.
    """

    ledger: GranterLedger
    service: ShareService
    calls: GranterClient


def open_sharing(node: Node, state: EntryState) -> SlotSharing:
    """Return an instance's objects for sharing slots, with nothing granted or held."""
    ledger = GranterLedger(state.clock, capacity_finder(state))
    handlers = granter_handlers(ledger)
    return SlotSharing(
        ledger, ShareService(handlers), GranterClient(node, connect_granter, handlers)
    )


async def share_slots(
    node: Node, store: Store, state: EntryState, sharing: SlotSharing
) -> None:
    """Run the tasks that grant, renew and report until cancelled."""
    home_region = HomeRegion(
        state.topology.home_region, state.topology.home_zones, capacity_finder(state)
    )
    calls = ShareCalls(sharing.calls.request_share, sharing.calls.release)
    try:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(run_granter, node, store, home_region, sharing.ledger)
            tasks.start_soon(state.spill_manager.renew_shares, calls)
            tasks.start_soon(_report_demand, node, state, sharing.calls)
    finally:
        sharing.calls.close()


def capacity_finder(
    state: EntryState,
) -> Callable[[DestinationId, LocalDemand], DestinationCapacity | None]:
    """Return a function that computes how many slots remote regions may use here."""

    def find_capacity(
        destination: DestinationId, demand: LocalDemand
    ) -> DestinationCapacity | None:
        home_region = state.topology.home_region()
        service = service_of_destination(destination)
        pool = state.dispatcher.pools().get(service)
        if pool is None or destination != destination_of(service, home_region):
            return None
        live_views = (
            view for view in pool.home_views() if view.state is UpstreamState.LIVE
        )
        slots = sum(view.slots for view in live_views)
        spare = spare_slots(slots, demand.wanted_slots, demand.age_s)
        return DestinationCapacity(
            slots, home_region, spare, _link_slots(state, home_region)
        )

    return find_capacity


def _link_slots(state: EntryState, home_region: RegionId) -> dict[RegionId, int]:
    """Return how many slots of one service the link to each other region carries."""
    fleet = state.active_settings.fleet
    slots_per_link = link_slots(
        fleet.link_mbit_s,
        ASSUMED_REQUEST_BYTES,
        ASSUMED_RESPONSE_BYTES,
        INITIAL_SERVICE_TIME_S,
    )
    slots_per_service = slots_per_link // max(1, len(state.active_settings.services()))
    regions = _known_regions(state) - {home_region}
    return dict.fromkeys(regions, slots_per_service)


def _known_regions(state: EntryState) -> set[RegionId]:
    """Return all regions that the settings name, in zones or by upstreams."""
    return {
        state.topology.region_of(upstream.zone_id)
        for service in state.active_settings.services()
        for upstream in service.settings.upstreams
    } | {zone.region_id for zone in state.active_settings.fleet.zones}


async def _report_demand(node: Node, state: EntryState, calls: GranterClient) -> None:
    """Report the demand of this instance to its region's granter until cancelled."""
    while True:
        home_region = state.topology.home_region()
        report = DemandReport(node.own_member.instance, _service_demands(state))
        await calls.report_demand(home_region, report)
        interval_s = (
            len(state.topology.instances_in_home_region()) / DEMAND_REPORTS_PER_S
        )
        jitter_factor = 0.9 + 0.2 * node.random.random()
        await anyio.sleep(max(MIN_DEMAND_INTERVAL_S, interval_s) * jitter_factor)


def _service_demands(state: EntryState) -> tuple[ServiceDemand, ...]:
    return tuple(
        ServiceDemand(
            service,
            sum(view.in_flight for view in pool.home_views())
            + state.dispatcher.waiting_count(service),
        )
        for service, pool in state.dispatcher.pools().items()
    )
