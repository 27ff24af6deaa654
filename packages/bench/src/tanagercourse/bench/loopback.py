"""A fleet of nodes on loopback TCP in one process, with its resource usage counted."""

import time
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager, contextmanager
from dataclasses import dataclass, field, replace
from random import Random

import anyio
from grpclib.protocol import H2Protocol
from returns.result import Failure, Result

from tanagercourse.coordination.grpc import HEARTBEAT_TIMEOUT_S, connect_grpc
from tanagercourse.coordination.members import Address, Member
from tanagercourse.coordination.node import Node
from tanagercourse.coordination.peers import (
    Connect,
    Exchange,
    ExchangeReply,
    Peer,
    PeerProblem,
    Unreached,
)
from tanagercourse.coordination.running import run_node
from tanagercourse.core.ids import (
    Incarnation,
    InstanceId,
    ObjectPath,
    Version,
    WriterId,
    ZoneId,
)
from tanagercourse.core.states import Idempotency, Rank
from tanagercourse.platform.store import Update
from tanagercourse.settings.check import encode
from tanagercourse.settings.schema import ServiceSettings, UpstreamSettings
from tanagercourse.testing.stores import FakeStore
from tanagercourse.web.serving import address_of, listen

IDEMPOTENT = Idempotency.IDEMPOTENT
TEAMS_PREFIX = ObjectPath("/teams/")
UPSTREAM_COUNT = 14
POLL_INTERVAL_S = 0.002
LOSSY_CONNECTION_SHARE = 0.1
LOST_CALL_SHARE = 0.3


@dataclass
class ReceivedTraffic:
    """Bytes and segments that all nodes received over their connections."""

    received_bytes: int = 0
    segments: int = 0


@dataclass(frozen=True)
class Usage:
    """Resource usage of a fleet in an interval, as totals over its nodes.

    Attributes:
        elapsed_s: Length of the interval, in seconds.
        cpu_s: Processor time of the process, in seconds.
        received_bytes: TCP payload received, in bytes.
        segments: Reads from sockets, approximately the number of TCP segments.
        platform_calls: Calls to the platform.
    """

    elapsed_s: float
    cpu_s: float
    received_bytes: int
    segments: int
    platform_calls: int


@dataclass
class LoopbackFleet:
    """Running nodes, and the store that they read settings from."""

    store: FakeStore
    traffic: ReceivedTraffic
    nodes: list[Node] = field(default_factory=list)

    def change_setting(self, path: ObjectPath) -> Version:
        """Write a new value of a setting and return its version."""
        objects = self.store.objects
        version = objects.version_of(path)
        value = make_settings_value(objects.version)
        update = Update(path, version, value, WriterId("bench"))
        return objects.write(update).unwrap().version

    async def wait_until_applied(self, path: ObjectPath, version: Version) -> float:
        """Wait until all nodes have a version; return the time waited, in seconds."""
        start_s = time.monotonic()
        while any(node.replica.version_of(path) < version for node in self.nodes):
            await anyio.sleep(POLL_INTERVAL_S)
        return time.monotonic() - start_s

    async def measure_usage(self, window_s: float) -> Usage:
        """Return the fleet's usage in the next `window_s` seconds."""
        before = self._read_totals()
        await anyio.sleep(window_s)
        after = self._read_totals()
        return Usage(
            after.elapsed_s - before.elapsed_s,
            after.cpu_s - before.cpu_s,
            after.received_bytes - before.received_bytes,
            after.segments - before.segments,
            after.platform_calls - before.platform_calls,
        )

    def _read_totals(self) -> Usage:
        return Usage(
            time.monotonic(),
            time.process_time(),
            self.traffic.received_bytes,
            self.traffic.segments,
            self.store.calls,
        )


def make_settings_value(seed: int) -> bytes:
    """Return encoded settings of a service with 14 upstreams at random addresses."""
    random = Random(seed)
    upstreams = tuple(
        UpstreamSettings(
            f"motritelj-{index}",
            f"10.{random.randrange(256)}.{random.randrange(256)}.{index}",
            random.randrange(1_024, 65_536),
            f"zone-{random.randrange(68)}",
        )
        for index in range(UPSTREAM_COUNT)
    )
    return encode(ServiceSettings("motritelj", Rank.MOST_URGENT, IDEMPOTENT, upstreams))


@asynccontextmanager
async def run_fleet(
    zones: int, instances_per_zone: int, seed: int, connect: Connect = connect_grpc
) -> AsyncIterator[LoopbackFleet]:
    """Run a fleet on loopback TCP for the duration of a block.

    Args:
        zones: Number of availability zones.
        instances_per_zone: Number of instances in each zone.
        seed: Seed of all random choices.
        connect: Opens connections to peers.
    """
    with count_traffic() as traffic:
        async with anyio.create_task_group() as tasks:
            fleet = LoopbackFleet(FakeStore(), traffic)
            random = Random(seed)
            for index in range(zones * instances_per_zone):
                listener = listen("127.0.0.1", 0)
                own_member = Member(
                    InstanceId(f"e{index}"),
                    ZoneId(f"zone-{index % zones}"),
                    Address(*address_of(listener)),
                    Incarnation(time.time_ns() // 1_000_000),
                )
                node = Node(own_member, time.monotonic, Random(random.random()))
                fleet.nodes.append(node)
                store = fleet.store.as_store()
                tasks.start_soon(
                    run_node, node, store, listener, (TEAMS_PREFIX,), connect
                )
            yield fleet
            tasks.cancel_scope.cancel()


@contextmanager
def count_traffic() -> Iterator[ReceivedTraffic]:
    """Count the traffic that all gRPC connections of this process receive."""
    traffic = ReceivedTraffic()
    receive = H2Protocol.data_received

    def count_and_receive(self: H2Protocol, data: bytes) -> None:
        traffic.received_bytes += len(data)
        traffic.segments += 1
        receive(self, data)

    H2Protocol.data_received = count_and_receive  # type: ignore[method-assign]
    try:
        yield traffic
    finally:
        H2Protocol.data_received = receive  # type: ignore[method-assign]


def connect_lossy(seed: int) -> Connect:
    """Return a connect function that makes a tenth of the connections lossy.

    A lossy connection drops a share of its exchanges, after the heartbeat timeout.
    """
    random = Random(seed)

    def connect(address: Address) -> Peer:
        peer = connect_grpc(address)
        if random.random() >= LOSSY_CONNECTION_SHARE:
            return peer

        async def exchange(message: Exchange) -> Result[ExchangeReply, PeerProblem]:
            if random.random() < LOST_CALL_SHARE:
                await anyio.sleep(HEARTBEAT_TIMEOUT_S)
                return Failure(
                    Unreached(address, "call dropped by the simulated lossy connection")
                )
            return await peer.exchange(message)

        return replace(peer, exchange=exchange)

    return connect
