"""Measure the messages and bytes that a node spends on sharing slots between regions.

A granter responds over gRPC on loopback TCP. The bytes of one call are measured; the
rate of calls in the largest fleet is computed from the intervals set in the code.
"""

from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass
from random import Random

import anyio

from tanagercourse.bench.control import FULL_NODES, HEADER_BYTES_PER_SEGMENT
from tanagercourse.bench.loopback import count_traffic
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
HOME_REGION, REMOTE_REGION = RegionId("jadran"), RegionId("panonija")
MEASURED_CALLS = 500
CONTROL_BYTES_TARGET = Target(Bound.AT_MOST, 3_000.0)


@dataclass(frozen=True)
class _CallCost:
    """Mean bytes and segments of a call and its response, both directions together."""

    size_bytes: float
    segments: float


def measure_sharing(seed: int) -> Iterable[Measure]:
    """Measure share requests and demand reports, and extrapolate to the full size."""
    request_cost, report_cost = anyio.run(_measure_calls, seed)
    yield Measure("sharing/ask", "B", request_cost.size_bytes)
    yield Measure("sharing/report", "B", report_cost.size_bytes)
    requests_per_s = MAX_DESTINATIONS * len(SERVICES) / SHARE_RENEWAL_S
    nodes_per_region = FULL_NODES / FULL_REGIONS
    reports_per_s = min(1.0, DEMAND_REPORTS_PER_S / nodes_per_region)
    idle_bytes_s = reports_per_s * report_cost.size_bytes
    # A short node requests shares, as its home region lacks slots.
    short_bytes_s = idle_bytes_s + requests_per_s * request_cost.size_bytes
    granter_requests_per_s = requests_per_s * nodes_per_region / (FULL_REGIONS - 1)
    granter_bytes_s = DEMAND_REPORTS_PER_S * report_cost.size_bytes
    busy_granter_bytes_s = (
        granter_bytes_s + granter_requests_per_s * request_cost.size_bytes
    )
    name = "sharing/full size"
    yield Measure(f"{name}/asks of a short node", "1/s", requests_per_s)
    yield Measure(f"{name}/idle node", "B/s", idle_bytes_s, None, CONTROL_BYTES_TARGET)
    yield Measure(
        f"{name}/short node", "B/s", short_bytes_s, None, CONTROL_BYTES_TARGET
    )
    yield Measure(
        f"{name}/idle granter", "B/s", granter_bytes_s, None, CONTROL_BYTES_TARGET
    )
    yield Measure(
        f"{name}/granter, a region short",
        "B/s",
        busy_granter_bytes_s,
        None,
        CONTROL_BYTES_TARGET,
    )


async def _measure_calls(seed: int) -> tuple[_CallCost, _CallCost]:
    listener = listen("127.0.0.1", 0)
    address = Address(*address_of(listener))
    capacity = DestinationCapacity(100, HOME_REGION, 100, {REMOTE_REGION: 100})
    ledger = GranterLedger(anyio.current_time, lambda destination, demand: capacity)
    own_member = Member(
        InstanceId("entry-1"), ZoneId("split-a"), address, Incarnation(1)
    )
    node = Node(own_member, anyio.current_time, Random(seed))
    service = ShareService(granter_handlers(ledger))
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(serve_peers, peer_handlers(node), listener, service)
        granter = connect_granter(address)
        holder = _make_holder()
        demands = tuple(ServiceDemand(service_id, 12) for service_id in SERVICES)
        report = DemandReport(InstanceId("entry-0123"), demands)
        request_cost = await _measure_call_cost(
            lambda: granter.request_share(holder.request(4, anyio.current_time()))
        )
        report_cost = await _measure_call_cost(lambda: granter.report_demand(report))
        granter.close()
        tasks.cancel_scope.cancel()
    return request_cost, report_cost


def _make_holder() -> ShareHolder:
    holder_id = ShareHolderId(InstanceId("entry-0123"), Incarnation(1_700_000_000_000))
    return ShareHolder(
        destination_of(SERVICES[0], HOME_REGION), holder_id, REMOTE_REGION
    )


async def _measure_call_cost(call: Callable[[], Awaitable[object]]) -> _CallCost:
    """Return the mean cost of a call on an open connection."""
    await call()
    with count_traffic() as traffic:
        for _ in range(MEASURED_CALLS):
            await call()
        # Includes the TCP/IP headers of each segment and of its acknowledgement.
        size_bytes = (
            traffic.received_bytes + traffic.segments * HEADER_BYTES_PER_SEGMENT
        )
        return _CallCost(size_bytes / MEASURED_CALLS, traffic.segments / MEASURED_CALLS)
