"""A fleet of nodes on loopback TCP in one process, with what they use counted."""

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
TEAMS = ObjectPath("/teams/")
UPSTREAMS = 14
POLL_INTERVAL_S = 0.002
LOSSY_LINKS_SHARE = 0.1
LOST_CALLS_SHARE = 0.3


@dataclass
class Traffic:
    """Bytes and segments that all nodes received over their connections."""

    received_bytes: int = 0
    segments: int = 0


@dataclass(frozen=True)
class Usage:
    """What a fleet used in an interval, as totals over its nodes.

    Attributes:
        elapsed_s: The interval, in seconds.
        processor_s: Processor time of the process, in seconds.
        received_bytes: TCP payload received.
        segments: Reads from sockets, close to TCP segments.
        platform_calls: Calls to the platform.
    """

    elapsed_s: float
    processor_s: float
    received_bytes: int
    segments: int
    platform_calls: int


@dataclass
class LoopbackFleet:
    """Nodes that run, and the store that they follow."""

    store: FakeStore
    traffic: Traffic
    nodes: list[Node] = field(default_factory=list)

    def change(self, path: ObjectPath) -> Version:
        """Change a setting; return its version, accepted from now on."""
        objects = self.store.objects
        version = objects.version_of(path)
        value = settings_value(objects.version)
        update = Update(path, version, value, WriterId("bench"))
        return objects.write(update).unwrap().version

    async def wait_in_force(self, path: ObjectPath, version: Version) -> float:
        """Return how long a version takes to be in force everywhere, in seconds."""
        start_s = time.monotonic()
        while any(node.replica.version_of(path) < version for node in self.nodes):
            await anyio.sleep(POLL_INTERVAL_S)
        return time.monotonic() - start_s

    async def measure(self, window_s: float) -> Usage:
        """Return what the fleet uses in the next seconds."""
        before = self._now()
        await anyio.sleep(window_s)
        after = self._now()
        return Usage(
            after.elapsed_s - before.elapsed_s,
            after.processor_s - before.processor_s,
            after.received_bytes - before.received_bytes,
            after.segments - before.segments,
            after.platform_calls - before.platform_calls,
        )

    def _now(self) -> Usage:
        return Usage(
            time.monotonic(),
            time.process_time(),
            self.traffic.received_bytes,
            self.traffic.segments,
            self.store.calls,
        )


def settings_value(seed: int) -> bytes:
    """Return a service's settings with 14 upstreams at addresses of their own."""
    random = Random(seed)
    upstreams = tuple(
        UpstreamSettings(
            f"motritelj-{index}",
            f"10.{random.randrange(256)}.{random.randrange(256)}.{index}",
            random.randrange(1_024, 65_536),
            f"zone-{random.randrange(68)}",
        )
        for index in range(UPSTREAMS)
    )
    return encode(ServiceSettings("motritelj", Rank.MOST_URGENT, IDEMPOTENT, upstreams))


@asynccontextmanager
async def run_fleet(
    zones: int, per_zone: int, seed: int, connect: Connect = connect_grpc
) -> AsyncIterator[LoopbackFleet]:
    """Run a fleet on loopback for the length of a block.

    Args:
        zones: How many availability zones.
        per_zone: How many instances in each.
        seed: Of all random choices.
        connect: Opens connections to peers.
    """
    with counted_traffic() as traffic:
        async with anyio.create_task_group() as tasks:
            fleet = LoopbackFleet(FakeStore(), traffic)
            random = Random(seed)
            for index in range(zones * per_zone):
                listener = listen("127.0.0.1", 0)
                me = Member(
                    InstanceId(f"e{index}"),
                    ZoneId(f"zone-{index % zones}"),
                    Address(*address_of(listener)),
                    Incarnation(time.time_ns() // 1_000_000),
                )
                node = Node(me, time.monotonic, Random(random.random()))
                fleet.nodes.append(node)
                store = fleet.store.port()
                tasks.start_soon(run_node, node, store, listener, (TEAMS,), connect)
            yield fleet
            tasks.cancel_scope.cancel()


@contextmanager
def counted_traffic() -> Iterator[Traffic]:
    """Count what every connection of this process receives."""
    traffic = Traffic()
    receive = H2Protocol.data_received

    def count(self: H2Protocol, data: bytes) -> None:
        traffic.received_bytes += len(data)
        traffic.segments += 1
        receive(self, data)

    H2Protocol.data_received = count  # type: ignore[method-assign]
    try:
        yield traffic
    finally:
        H2Protocol.data_received = receive  # type: ignore[method-assign]


def connect_lossy(seed: int) -> Connect:
    """Return a way to connect in which a tenth of the connections lose heartbeats."""
    random = Random(seed)

    def connect(address: Address) -> Peer:
        peer = connect_grpc(address)
        if random.random() >= LOSSY_LINKS_SHARE:
            return peer

        async def exchange(message: Exchange) -> Result[ExchangeReply, PeerProblem]:
            if random.random() < LOST_CALLS_SHARE:
                await anyio.sleep(HEARTBEAT_TIMEOUT_S)
                return Failure(Unreached(address, "lost"))
            return await peer.exchange(message)

        return replace(peer, exchange=exchange)

    return connect
