"""What control costs a node, and how soon a change is in force everywhere.

Real nodes run as tasks of one process and talk gRPC on loopback TCP; a node's part
is the total over their number. The store is in memory, so a reader's calls to the
platform are counted and their processor time is not in these figures.
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
    run_fleet,
    settings_value,
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

# Availability zones, and instances in each.
BY_INSTANCES = ((1, 5), (1, 10), (1, 20), (1, 40))
BY_ZONES = ((2, 10), (4, 10), (6, 10))
TODAY = (6, 2)

SETTLE_S = 4.0
WINDOW_S = 4.0
CHANGES_PER_DAY = 23_000
CHANGES_PER_S = CHANGES_PER_DAY / 86_400
BUSY_FACTOR = 10
BUSY_CHANGES = 12

FULL_NODES = 2_900
FULL_ZONES = 68
# A segment and its acknowledgement, each with its IP and TCP headers.
HEADER_BYTES = 2 * 52
PROCESSOR_TARGET = Target(Bound.AT_MOST, 2.0)
BYTES_TARGET = Target(Bound.AT_MOST, 3_000.0)
IN_FORCE_TARGET = Target(Bound.AT_MOST, 5_000.0)


@dataclass(frozen=True)
class Run:
    """One fleet's figures.

    Attributes:
        zones: How many availability zones.
        per_zone: How many instances in each.
        idle: Usage without changes.
        busy: Usage at ten times the daily rate of changes.
        changes: How many changes were made while busy.
        in_force: Times to in force everywhere, in milliseconds.
    """

    zones: int
    per_zone: int
    idle: Usage
    busy: Usage
    changes: int
    in_force: HdrHistogram

    @property
    def nodes(self) -> int:
        """Return how many nodes ran."""
        return self.zones * self.per_zone


@dataclass(frozen=True)
class Part:
    """One node's part: processor in percent of a core, and bytes a second."""

    processor: float
    sent_bytes: float
    messages: float


def measure_control(seed: int) -> Iterator[Measure]:
    """Measure fleets of several sizes, and carry the figures to the full size."""
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(50))
    runs = [run_once(*size, seed) for size in (*BY_INSTANCES, *BY_ZONES)]
    for run in runs:
        yield from _measures_of(f"control/{run.zones}x{run.per_zone}", run)
    yield from _measures_of("control/today", run_once(*TODAY, seed))
    lossy = run_once(*TODAY, seed, connect_lossy(seed))
    yield from _in_force("control/today/lossy", lossy)
    yield from _carry(runs)
    yield from _memory(seed)


def run_once(
    zones: int, per_zone: int, seed: int, connect: Connect = connect_grpc
) -> Run:
    """Run a fleet and measure it idle and busy."""

    async def run() -> Run:
        async with run_fleet(zones, per_zone, seed, connect) as fleet:
            path = ObjectPath("/teams/a/services/a")
            await fleet.wait_in_force(path, fleet.change(path))
            await anyio.sleep(SETTLE_S)
            idle = await fleet.measure(WINDOW_S)
            in_force = HdrHistogram(1, 600_000, 3)
            window_s = BUSY_CHANGES / (CHANGES_PER_S * BUSY_FACTOR)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(_change_often, fleet, in_force)
                busy = await fleet.measure(window_s)
            return Run(zones, per_zone, idle, busy, BUSY_CHANGES, in_force)

    return anyio.run(run)


async def _change_often(fleet: LoopbackFleet, in_force: HdrHistogram) -> None:
    """Change objects in turn, and time each until it is in force everywhere."""

    async def change(index: int) -> None:
        path = ObjectPath(f"/teams/a/services/{index}")
        elapsed_s = await fleet.wait_in_force(path, fleet.change(path))
        in_force.record_value(max(1, round(elapsed_s * 1_000)))

    async with anyio.create_task_group() as tasks:
        for index in range(BUSY_CHANGES):
            tasks.start_soon(change, index)
            await anyio.sleep(1 / (CHANGES_PER_S * BUSY_FACTOR))


def part_of(usage: Usage, nodes: int) -> Part:
    """Return one node's part of a fleet's usage, headers included."""
    node_s = usage.elapsed_s * nodes
    sent_bytes = usage.received_bytes + usage.segments * HEADER_BYTES
    return Part(
        100 * usage.processor_s / node_s, sent_bytes / node_s, usage.segments / node_s
    )


def _measures_of(name: str, run: Run) -> Iterable[Measure]:
    idle = part_of(run.idle, run.nodes)
    busy = part_of(run.busy, run.nodes)
    calls = run.idle.platform_calls / run.idle.elapsed_s
    yield Measure(f"{name}/idle/processor", "%", idle.processor)
    yield Measure(f"{name}/idle/sent", "B/s", idle.sent_bytes)
    yield Measure(f"{name}/idle/messages", "1/s", idle.messages)
    yield Measure(f"{name}/busy/processor", "%", busy.processor)
    yield Measure(f"{name}/busy/sent", "B/s", busy.sent_bytes)
    # Every instance that watches makes as many calls as a reader does.
    naive_calls = calls / min(run.nodes, 2 * run.zones) * run.nodes
    yield Measure(f"{name}/idle/platform", "calls/s", calls, naive_calls)
    yield from _in_force(name, run)


def _in_force(name: str, run: Run) -> Iterable[Measure]:
    p50_ms = run.in_force.get_value_at_percentile(50)
    p99_ms = run.in_force.get_value_at_percentile(99)
    yield Measure(f"{name}/in-force/p50", "ms", p50_ms)
    yield Measure(f"{name}/in-force/p99", "ms", p99_ms, target=IN_FORCE_TARGET)


def _carry(runs: list[Run]) -> Iterable[Measure]:
    """Carry the costliest run's figures to the full size at the daily rate.

    A node's part does not grow with the fleet: its neighbours are bounded. Every
    byte that one node sends another receives, so both ways are twice the sent.
    """
    processor = max(_daily(run, lambda part: part.processor) for run in runs)
    sent = max(_daily(run, lambda part: part.sent_bytes) for run in runs)
    by_zone = [run.idle.platform_calls / run.idle.elapsed_s / run.zones for run in runs]
    calls = max(by_zone) * FULL_ZONES
    yield Measure("control/full/processor", "%", processor, target=PROCESSOR_TARGET)
    yield Measure("control/full/sent", "B/s", sent)
    yield Measure("control/full/both-ways", "B/s", 2 * sent, target=BYTES_TARGET)
    yield Measure("control/full/platform", "calls/s", calls, max(by_zone) * 1_450)


def _daily(run: Run, figure: Callable[[Part], float]) -> float:
    """Return a figure at the daily rate of changes, between idle and busy."""
    idle = figure(part_of(run.idle, run.nodes))
    busy = figure(part_of(run.busy, run.nodes))
    return idle + (busy - idle) / BUSY_FACTOR


def _memory(seed: int) -> Iterable[Measure]:
    """Measure what a member and an object take, and choosing among all members."""
    zone, address = ZoneId("zone-0"), Address("127.0.0.1", 1)
    me = Member(InstanceId("me"), zone, address, Incarnation(1))
    node = Node(me, time.monotonic, Random(seed))
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
            settings_value(index),
            WriterId("w"),
        )
        for index in range(FULL_NODES)
    ]
    members_bytes = _grown(node, tuple(map(member_to_object, members)))
    objects_bytes = _grown(node, tuple(objects))
    yield Measure("control/memory/member", "B", members_bytes / FULL_NODES)
    yield Measure("control/memory/object", "B", objects_bytes / FULL_NODES)
    start_s = time.process_time()
    for period in range(10):
        choose_neighbours(me, node.membership.present_members(), period)
    elapsed_ms = (time.process_time() - start_s) * 100
    yield Measure("control/neighbours/choose", "ms", elapsed_ms)


def _grown(node: Node, objects: tuple[StoredObject, ...]) -> int:
    """Return how much a node grows by taking objects, their values included."""
    tracemalloc.start()
    node.apply_objects(
        tuple(StoredObject(o.path, o.version, o.value, o.writer) for o in objects)
    )
    grown_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return grown_bytes + sum(len(stored.value) for stored in objects)
