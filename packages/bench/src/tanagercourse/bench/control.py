"""Measure a node's cost of control traffic, and the time to apply a change everywhere.

Real nodes run as tasks of one process and communicate by gRPC on loopback TCP; the
usage per node is the total divided by the number of nodes. The store is in memory, so
a reader's calls to the platform are counted, but their processor time is not included.
"""

import time
import tracemalloc
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from random import Random

import anyio
import structlog
from hdrh.histogram import HdrHistogram

from tanagercourse.bench.loopback import (
    LoopbackFleet,
    Usage,
    connect_lossy,
    make_settings_value,
    run_fleet,
)
from tanagercourse.bench.measure import Bound, Measure, Target
from tanagercourse.coordination.grpc import connect_grpc
from tanagercourse.coordination.members import Address, Member, member_to_object
from tanagercourse.coordination.neighbours import choose_neighbours
from tanagercourse.coordination.node import Node
from tanagercourse.coordination.peers import Connect
from tanagercourse.core.ids import (
    Incarnation,
    InstanceId,
    ObjectPath,
    Version,
    WriterId,
    ZoneId,
)
from tanagercourse.platform.store import StoredObject

# Pairs of availability zones and instances per zone.
SIZES_BY_INSTANCES = ((1, 5), (1, 10), (1, 20), (1, 40))
SIZES_BY_ZONES = ((2, 10), (4, 10), (6, 10))
# Availability zones and instances per zone of the present fleet.
CURRENT_SIZE = (6, 2)

SETTLE_S = 4.0
IDLE_WINDOW_S = 4.0
CHANGES_PER_DAY = 23_000
CHANGES_PER_S = CHANGES_PER_DAY / 86_400
# Rate of changes in the busy window, as a multiple of CHANGES_PER_S.
BUSY_FACTOR = 10
BUSY_CHANGE_COUNT = 12

# Size of the fleet to which the results are extrapolated.
FULL_NODES = 2_900
FULL_ZONES = 68
# IP and TCP headers of a segment and of its acknowledgement.
HEADER_BYTES_PER_SEGMENT = 2 * 52
# Limits in percent of a core, bytes per second and milliseconds.
CPU_TARGET = Target(Bound.AT_MOST, 2.0)
BYTES_TARGET = Target(Bound.AT_MOST, 3_000.0)
APPLY_TIME_TARGET = Target(Bound.AT_MOST, 5_000.0)


@dataclass(frozen=True)
class FleetRun:
    """Results of one fleet.

    Attributes:
        zones: Number of availability zones.
        instances_per_zone: Number of instances in each zone.
        idle: Usage without changes.
        busy: Usage at ten times the daily rate of changes.
        changes: Number of changes made during the busy window.
        apply_times_ms: Times until a change is applied everywhere, in milliseconds.
    """

    zones: int
    instances_per_zone: int
    idle: Usage
    busy: Usage
    changes: int
    apply_times_ms: HdrHistogram

    @property
    def nodes(self) -> int:
        """Return the number of nodes."""
        return self.zones * self.instances_per_zone


@dataclass(frozen=True)
class NodeUsage:
    """Usage per node: percent of a core, bytes sent and messages per second."""

    cpu_percent: float
    sent_bytes_per_s: float
    messages_per_s: float


def measure_control(seed: int) -> Iterator[Measure]:
    """Measure fleets of several sizes, and extrapolate to the full size."""
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(50))
    runs = [
        measure_fleet(*size, seed) for size in (*SIZES_BY_INSTANCES, *SIZES_BY_ZONES)
    ]
    for run in runs:
        yield from _fleet_measures(f"control/{run.zones}x{run.instances_per_zone}", run)
    yield from _fleet_measures("control/today", measure_fleet(*CURRENT_SIZE, seed))
    lossy = measure_fleet(*CURRENT_SIZE, seed, connect_lossy(seed))
    yield from _apply_time_measures("control/today/lossy", lossy)
    yield from _extrapolate(runs)
    yield from _measure_memory(seed)


def measure_fleet(
    zones: int, instances_per_zone: int, seed: int, connect: Connect = connect_grpc
) -> FleetRun:
    """Run a fleet, and measure its usage idle and busy."""

    async def measure() -> FleetRun:
        async with run_fleet(zones, instances_per_zone, seed, connect) as fleet:
            path = ObjectPath("/teams/a/services/a")
            await fleet.wait_until_applied(path, fleet.change_setting(path))
            await anyio.sleep(SETTLE_S)
            idle = await fleet.measure_usage(IDLE_WINDOW_S)
            apply_times_ms = HdrHistogram(1, 600_000, 3)
            window_s = BUSY_CHANGE_COUNT / (CHANGES_PER_S * BUSY_FACTOR)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(_change_settings, fleet, apply_times_ms)
                busy = await fleet.measure_usage(window_s)
            return FleetRun(
                zones, instances_per_zone, idle, busy, BUSY_CHANGE_COUNT, apply_times_ms
            )

    return anyio.run(measure)


async def _change_settings(fleet: LoopbackFleet, apply_times_ms: HdrHistogram) -> None:
    """Change objects at the busy rate, and time each until it is applied everywhere."""

    async def change_and_time(index: int) -> None:
        path = ObjectPath(f"/teams/a/services/{index}")
        elapsed_s = await fleet.wait_until_applied(path, fleet.change_setting(path))
        apply_times_ms.record_value(max(1, round(elapsed_s * 1_000)))

    async with anyio.create_task_group() as tasks:
        for index in range(BUSY_CHANGE_COUNT):
            tasks.start_soon(change_and_time, index)
            await anyio.sleep(1 / (CHANGES_PER_S * BUSY_FACTOR))


def usage_per_node(usage: Usage, nodes: int) -> NodeUsage:
    """Return the mean usage per node of a fleet, TCP/IP headers included."""
    node_s = usage.elapsed_s * nodes
    sent_bytes = usage.received_bytes + usage.segments * HEADER_BYTES_PER_SEGMENT
    return NodeUsage(
        100 * usage.cpu_s / node_s, sent_bytes / node_s, usage.segments / node_s
    )


def _fleet_measures(name: str, run: FleetRun) -> Iterable[Measure]:
    idle = usage_per_node(run.idle, run.nodes)
    busy = usage_per_node(run.busy, run.nodes)
    calls_per_s = run.idle.platform_calls / run.idle.elapsed_s
    yield Measure(f"{name}/idle/processor", "%", idle.cpu_percent)
    yield Measure(f"{name}/idle/sent", "B/s", idle.sent_bytes_per_s)
    yield Measure(f"{name}/idle/messages", "1/s", idle.messages_per_s)
    yield Measure(f"{name}/busy/processor", "%", busy.cpu_percent)
    yield Measure(f"{name}/busy/sent", "B/s", busy.sent_bytes_per_s)
    # Only two readers per zone call the platform; in the baseline every instance makes
    # as many calls as a reader.
    baseline_calls_per_s = calls_per_s / min(run.nodes, 2 * run.zones) * run.nodes
    yield Measure(f"{name}/idle/platform", "calls/s", calls_per_s, baseline_calls_per_s)
    yield from _apply_time_measures(name, run)


def _apply_time_measures(name: str, run: FleetRun) -> Iterable[Measure]:
    p50_ms = run.apply_times_ms.get_value_at_percentile(50)
    p99_ms = run.apply_times_ms.get_value_at_percentile(99)
    yield Measure(f"{name}/in-force/p50", "ms", p50_ms)
    yield Measure(f"{name}/in-force/p99", "ms", p99_ms, target=APPLY_TIME_TARGET)


def _extrapolate(runs: list[FleetRun]) -> Iterable[Measure]:
    """Extrapolate the highest usage of any run to the full size, at the daily rate.

    The usage per node does not grow with the fleet, as its number of neighbours is
    bounded. Each byte that a node sends is received by another, so the traffic in both
    directions is twice the bytes sent.
    """
    cpu_percent = max(
        _at_daily_rate(run, lambda usage: usage.cpu_percent) for run in runs
    )
    sent_per_s = max(
        _at_daily_rate(run, lambda usage: usage.sent_bytes_per_s) for run in runs
    )
    calls_per_zone = [
        run.idle.platform_calls / run.idle.elapsed_s / run.zones for run in runs
    ]
    calls_per_s = max(calls_per_zone) * FULL_ZONES
    yield Measure("control/full/processor", "%", cpu_percent, target=CPU_TARGET)
    yield Measure("control/full/sent", "B/s", sent_per_s)
    yield Measure("control/full/both-ways", "B/s", 2 * sent_per_s, target=BYTES_TARGET)
    # Baseline: all 2,900 nodes call the platform as often as one of the two readers of
    # a zone does, so the calls per zone are multiplied by 2,900 / 2.
    yield Measure(
        "control/full/platform", "calls/s", calls_per_s, max(calls_per_zone) * 1_450
    )


def _at_daily_rate(run: FleetRun, get_figure: Callable[[NodeUsage], float]) -> float:
    """Return a figure at the daily rate, interpolated between idle and busy."""
    idle = get_figure(usage_per_node(run.idle, run.nodes))
    busy = get_figure(usage_per_node(run.busy, run.nodes))
    return idle + (busy - idle) / BUSY_FACTOR


def _measure_memory(seed: int) -> Iterable[Measure]:
    """Measure memory per member and object, and the time to choose neighbours."""
    zone, address = ZoneId("zone-0"), Address("127.0.0.1", 1)
    own_member = Member(InstanceId("me"), zone, address, Incarnation(1))
    node = Node(own_member, time.monotonic, Random(seed))
    members = [
        Member(
            InstanceId(f"instance-{index}"),
            ZoneId(f"zone-{index % FULL_ZONES}"),
            Address("127.0.0.1", index),
            Incarnation(1),
        )
        for index in range(FULL_NODES)
    ]
    objects = [
        StoredObject(
            ObjectPath(f"/teams/{index}/services/{index}"),
            Version(index + 1),
            make_settings_value(index),
            WriterId("w"),
        )
        for index in range(FULL_NODES)
    ]
    members_bytes = _measure_growth_bytes(node, tuple(map(member_to_object, members)))
    objects_bytes = _measure_growth_bytes(node, tuple(objects))
    yield Measure("control/memory/member", "B", members_bytes / FULL_NODES)
    yield Measure("control/memory/object", "B", objects_bytes / FULL_NODES)
    start_s = time.process_time()
    for period in range(10):
        choose_neighbours(own_member, node.membership.present_members(), period)
    # Milliseconds per choice: 1,000 ms over 10 periods.
    choice_ms = (time.process_time() - start_s) * 100
    yield Measure("control/neighbours/choose", "ms", choice_ms)


def _measure_growth_bytes(node: Node, objects: tuple[StoredObject, ...]) -> int:
    """Return the memory that a node adds for objects, plus the size of their values."""
    tracemalloc.start()
    node.apply_objects(
        tuple(
            StoredObject(stored.path, stored.version, stored.value, stored.writer)
            for stored in objects
        )
    )
    grown_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return grown_bytes + sum(len(stored.value) for stored in objects)
