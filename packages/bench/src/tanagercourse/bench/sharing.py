"""What sharing slots between regions costs a node in messages and bytes.

A granter answers over gRPC on loopback TCP. What one call carries is measured; its
rate in the largest fleet follows from the intervals that the code keeps to.
"""

from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass
from random import Random

import anyio

from tanagercourse.bench.control import FULL_NODES, HEADER_BYTES
from tanagercourse.bench.loopback import counted_traffic
from tanagercourse.bench.measure import Bound, Measure, Target
from tanagercourse.coordination.granter import GranterLedger, granter_handlers
from tanagercourse.coordination.grpc import serve_peers
from tanagercourse.coordination.grpc_shares import ShareService, connect_granter
from tanagercourse.coordination.handlers import peer_handlers
from tanagercourse.coordination.members import Address, Member
from tanagercourse.coordination.node import Node
from tanagercourse.coordination.sharing import (
    DemandReport,
    ServiceDemand,
    destination_of,
)
from tanagercourse.core.ids import (
    Incarnation,
    InstanceId,
    RegionId,
    ServiceId,
    ZoneId,
)
from tanagercourse.entry.service_spill import MAX_DESTINATIONS
from tanagercourse.entry.slot_sharing import DEMAND_REPORTS_PER_S
from tanagercourse.steering.holder import ShareHolder
from tanagercourse.steering.shares import (
    SHARE_RENEWAL_S,
    DestinationCapacity,
    ShareHolderId,
)
from tanagercourse.web.serving import address_of, listen

FULL_REGIONS = 22
SERVICES = tuple(ServiceId(f"service-{number}") for number in range(3))
HOME, AWAY = RegionId("jadran"), RegionId("panonija")
CALLS = 500
BYTES_TARGET = Target(Bound.AT_MOST, 3_000.0)


@dataclass(frozen=True)
class _Cost:
    """What one call carries, both ways together, with its answer."""

    size_bytes: float
    segments: float


def measure_sharing(seed: int) -> Iterable[Measure]:
    """Measure requests for shares and reports of demand, carried to full size."""
    ask, report = anyio.run(_run, seed)
    yield Measure("sharing/ask", "B", ask.size_bytes)
    yield Measure("sharing/report", "B", report.size_bytes)
    asks_per_s = MAX_DESTINATIONS * len(SERVICES) / SHARE_RENEWAL_S
    per_region = FULL_NODES / FULL_REGIONS
    reports_per_s = min(1.0, DEMAND_REPORTS_PER_S / per_region)
    idle = reports_per_s * report.size_bytes
    short = idle + asks_per_s * ask.size_bytes
    granted_per_s = asks_per_s * per_region / (FULL_REGIONS - 1)
    granter = DEMAND_REPORTS_PER_S * report.size_bytes
    busy = granter + granted_per_s * ask.size_bytes
    name = "sharing/full size"
    yield Measure(f"{name}/asks of a short node", "1/s", asks_per_s)
    yield Measure(f"{name}/idle node", "B/s", idle, None, BYTES_TARGET)
    yield Measure(f"{name}/short node", "B/s", short, None, BYTES_TARGET)
    yield Measure(f"{name}/idle granter", "B/s", granter, None, BYTES_TARGET)
    yield Measure(f"{name}/granter, a region short", "B/s", busy, None, BYTES_TARGET)


async def _run(seed: int) -> tuple[_Cost, _Cost]:
    listener = listen("127.0.0.1", 0)
    address = Address(*address_of(listener))
    capacity = DestinationCapacity(100, HOME, 100, {AWAY: 100})
    books = GranterLedger(anyio.current_time, lambda destination, demand: capacity)
    me = Member(InstanceId("entry-1"), ZoneId("split-a"), address, Incarnation(1))
    node = Node(me, anyio.current_time, Random(seed))
    service = ShareService(granter_handlers(books))
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(serve_peers, peer_handlers(node), listener, service)
        granter = connect_granter(address)
        holder = _holder()
        demands = tuple(ServiceDemand(each, 12) for each in SERVICES)
        report = DemandReport(InstanceId("entry-0123"), demands)
        ask_cost = await _cost_of(
            lambda: granter.request_share(holder.request(4, anyio.current_time()))
        )
        report_cost = await _cost_of(lambda: granter.report_demand(report))
        granter.close()
        tasks.cancel_scope.cancel()
    return ask_cost, report_cost


def _holder() -> ShareHolder:
    me = ShareHolderId(InstanceId("entry-0123"), Incarnation(1_700_000_000_000))
    return ShareHolder(destination_of(SERVICES[0], HOME), me, AWAY)


async def _cost_of(call: Callable[[], Awaitable[object]]) -> _Cost:
    """Return the mean cost of a call on a connection that is open already."""
    await call()
    with counted_traffic() as traffic:
        for _ in range(CALLS):
            await call()
        # Headers of each segment and its acknowledgement count, too.
        size_bytes = traffic.received_bytes + traffic.segments * HEADER_BYTES
        return _Cost(size_bytes / CALLS, traffic.segments / CALLS)
