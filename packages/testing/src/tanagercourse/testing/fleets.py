"""In-memory fleet of nodes, with faults between the nodes and to the platform."""

from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass, field
from random import Random
from typing import TypeVar

import anyio
from anyio.abc import TaskGroup
from returns.result import Failure, Result

from tanagercourse.coordination.handlers import peer_handlers
from tanagercourse.coordination.members import Address, Member
from tanagercourse.coordination.node import Node
from tanagercourse.coordination.peers import Peer, PeerProblem, Unreached
from tanagercourse.coordination.running import run_node
from tanagercourse.core.ids import (
    Incarnation,
    InstanceId,
    ObjectPath,
    Version,
    WriterId,
    ZoneId,
)
from tanagercourse.platform.store import (
    Machine,
    ObjectState,
    Presence,
    Store,
    StoredObject,
    StoreProblem,
    Unavailable,
    Update,
)
from tanagercourse.testing.stores import FakeStore

TEAMS = ObjectPath("/teams/")
ONE_WAY_DELAY_S = 0.001
PEER_TIMEOUT_S = 1.0

M = TypeVar("M")
R = TypeVar("R")

# Runs a further task of an instance, such as granting shares.
RunExtraTask = Callable[[Node, Store], Coroutine[None, None, None]]


@dataclass
class LinkFaults:
    """Faults of the links between instances and to the platform.

    Attributes:
        split_zone_pairs: Pairs of availability zones that cannot reach each other.
        zones_without_platform: Availability zones that cannot reach the platform.
        silent_connections: Numbers of the connections on which no reply arrives;
            connections opened later work.
    """

    split_zone_pairs: set[frozenset[ZoneId]] = field(default_factory=set)
    zones_without_platform: set[ZoneId] = field(default_factory=set)
    silent_connections: set[int] = field(default_factory=set)


@dataclass
class RunningNode:
    """A running node.

    Attributes:
        node: The node.
        scope: Cancelled to end the node.
        applied: Objects that the node has applied, in order.
    """

    node: Node
    scope: anyio.CancelScope
    applied: list[StoredObject] = field(default_factory=list)


class Fleet:
    """Running nodes that share one in-memory store.

    Attributes:
        store: The platform's store.
        links: Faults between instances and to the platform.
        running: The running nodes by instance id.
        connections: Number of connections opened between instances so far.
    """

    def __init__(
        self,
        tasks: TaskGroup,
        seed: int = 1,
        run_extra_task: RunExtraTask | None = None,
    ) -> None:
        self.store = FakeStore()
        self.links = LinkFaults()
        self.running: dict[InstanceId, RunningNode] = {}
        self.connections = 0
        self._run_extra_task = run_extra_task
        self._tasks = tasks
        self._random = Random(seed)
        self._start_count = 0

    def start(self, name: str, zone: str, seeds: tuple[str, ...] = ()) -> Node:
        """Start an instance with empty state and a new incarnation.

        Args:
            name: Name of the instance, which is also its host name.
            zone: The instance's availability zone.
            seeds: Names of instances whose addresses it gets as seeds.
        """
        instance = InstanceId(name)
        self._start_count += 1
        incarnation = Incarnation(1_700_000_000_000 + self._start_count)
        member = Member(instance, ZoneId(zone), Address(name, 1), incarnation)
        applied: list[StoredObject] = []
        addresses = tuple(Address(seed, 1) for seed in seeds)
        random = Random(self._random.random())
        node = Node(member, anyio.current_time, random, applied.append, addresses)
        scope = anyio.CancelScope()
        self.running[instance] = RunningNode(node, scope, applied)
        self.store.objects.machines[name] = Machine(
            instance, name, 80, ZoneId(zone), Presence.LIVE
        )
        self._tasks.start_soon(self._run, node, scope)
        return node

    def kill(self, name: str) -> None:
        """End an instance without a graceful shutdown."""
        self.running.pop(InstanceId(name)).scope.cancel()
        self.store.objects.machines.pop(name, None)

    def stop(self) -> None:
        """End all instances."""
        for running in self.running.values():
            running.scope.cancel()

    def nodes(self) -> list[Node]:
        """Return the running nodes."""
        return [running.node for running in self.running.values()]

    def write_setting(
        self, path: str, state: ObjectState = ObjectState.PRESENT
    ) -> Version:
        """Write or delete a setting in the platform and return its new version."""
        object_path = ObjectPath(path)
        objects = self.store.objects
        update = Update(
            object_path, objects.version_of(object_path), b"{}", WriterId("test"), state
        )
        return objects.write(update).unwrap().version

    async def wait_until_converged(
        self, path: str, version: Version, within_s: float
    ) -> bool:
        """Wait until every running instance has an object's version or a newer one.

        Returns:
            False if an instance does not have it within the given time.
        """
        object_path = ObjectPath(path)
        with anyio.move_on_after(within_s):
            while any(
                n.replica.version_of(object_path) < version for n in self.nodes()
            ):
                await anyio.sleep(0.01)
            return True
        return False

    async def _run(self, node: Node, scope: anyio.CancelScope) -> None:
        with scope:
            connect = self._connect_from(node)
            store = self._store_for(node)
            async with anyio.create_task_group() as tasks:
                if self._run_extra_task is not None:
                    tasks.start_soon(self._run_extra_task, node, store)
                await run_node(node, store, None, (TEAMS,), connect)

    def _connect_from(self, node: Node) -> Callable[[Address], Peer]:
        def connect(address: Address) -> Peer:
            self.connections += 1
            connection = self.connections

            async def deliver(
                call: Callable[
                    [Peer], Callable[[M], Awaitable[Result[R, PeerProblem]]]
                ],
                message: M,
            ) -> Result[R, PeerProblem]:
                target = self.running.get(InstanceId(address.host))
                if target is None:
                    return Failure(Unreached(address, "refused"))
                zones = frozenset((node.own_member.zone, target.node.own_member.zone))
                if (
                    zones in self.links.split_zone_pairs
                    or connection in self.links.silent_connections
                ):
                    await anyio.sleep(PEER_TIMEOUT_S)
                    return Failure(Unreached(address, "timeout"))
                await anyio.sleep(ONE_WAY_DELAY_S)
                reply = await call(peer_handlers(target.node))(message)
                await anyio.sleep(ONE_WAY_DELAY_S)
                return reply

            return Peer(
                lambda message: deliver(lambda peer: peer.exchange, message),
                lambda message: deliver(lambda peer: peer.compare, message),
                lambda message: deliver(lambda peer: peer.fetch, message),
                lambda message: deliver(lambda peer: peer.push, message),
                lambda message: deliver(lambda peer: peer.report, message),
            )

        return connect

    def _store_for(self, node: Node) -> Store:
        store = self.store.as_store()
        zone = node.own_member.zone

        async def apply_outage(
            path: ObjectPath, call: Awaitable[Result[R, StoreProblem]]
        ) -> Result[R, StoreProblem]:
            # The call is always made: in an outage it may take effect and only its
            # reply be lost.
            reply = await call
            if zone in self.links.zones_without_platform:
                return Failure(Unavailable(path, "zone cannot reach the platform"))
            return reply

        return Store(
            lambda path: apply_outage(path, store.read(path)),
            lambda prefix: apply_outage(prefix, store.list_all(prefix)),
            lambda update: apply_outage(update.path, store.write(update)),
            lambda prefix, after, wait_s: apply_outage(
                prefix, store.watch(prefix, after, wait_s)
            ),
            lambda: apply_outage(ObjectPath("/machines"), store.list_machines()),
        )
