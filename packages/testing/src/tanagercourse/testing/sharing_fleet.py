"""Granters and holders of shares on an in-memory fleet, with message faults."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from random import Random
from typing import TypeVar

import anyio
from anyio.abc import TaskGroup
from returns.result import Failure, Result

from tanagercourse.coordination.granter import (
    GranterLedger,
    HomeRegion,
    LocalDemand,
    granter_handlers,
    run_granter,
)
from tanagercourse.coordination.grpc_shares import GranterClient
from tanagercourse.coordination.members import Address
from tanagercourse.coordination.node import Node
from tanagercourse.coordination.peers import Unreached
from tanagercourse.coordination.sharing import (
    ConnectGranter,
    Granter,
    ShareProblem,
    destination_of,
)
from tanagercourse.core.ids import InstanceId, RegionId, ServiceId, ZoneId
from tanagercourse.platform.store import Store
from tanagercourse.steering.holder import ShareHolder
from tanagercourse.steering.shares import (
    DestinationCapacity,
    DestinationId,
    ShareHolderId,
)
from tanagercourse.testing.fleets import PEER_TIMEOUT_S, Fleet

M = TypeVar("M")
R = TypeVar("R")

SERVICE = ServiceId("motritelj")
SLOTS = 8


@dataclass
class MessageFaults:
    """Faults of the messages between holders and granters.

    Attributes:
        lost_reply_probability: Probability that a message takes effect and its reply
            is lost.
        duplicate_probability: Probability that a message is delivered twice.
        max_delay_s: Maximum one-way delay of a message, in seconds.
    """

    lost_reply_probability: float = 0.0
    duplicate_probability: float = 0.0
    max_delay_s: float = 0.02


@dataclass
class SharingFleet:
    """A fleet whose instances grant shares of their region's slots.

    Attributes:
        regions: The region of each availability zone.
        random: Source of message delays and faults.
        faults: Faults of the messages between holders and granters.
        ledgers: Ledger by instance id, of the latest incarnation of the instance.
        holders: Active holders; that of a killed instance is removed once its
            current request and the pause after it have ended.
    """

    regions: dict[ZoneId, RegionId]
    random: Random
    faults: MessageFaults = field(default_factory=MessageFaults)
    ledgers: dict[InstanceId, GranterLedger] = field(default_factory=dict)
    holders: list[ShareHolder] = field(default_factory=list)

    def create_fleet(self, tasks: TaskGroup, seed: int) -> Fleet:
        """Create the fleet without any instances.

        Args:
            tasks: Task group of the instances and holders.
            seed: Seed of the fleet's random choices.
        """
        self._tasks = tasks
        self.fleet = Fleet(tasks, seed, self._run_granter)
        return self.fleet

    def held_slots(self) -> int:
        """Return the total number of slots that the holders may use now."""
        now_s = anyio.current_time()
        return sum(holder.held_slots(now_s) for holder in self.holders)

    def start_holder(self, name: str, home_region: RegionId, wanted_slots: int) -> None:
        """Make an instance request slots of a region repeatedly while it runs.

        Args:
            name: Name of the instance.
            home_region: The region that grants the slots.
            wanted_slots: Number of slots in each request.
        """
        self._tasks.start_soon(self._run_holder, name, home_region, wanted_slots)

    async def _run_holder(
        self, name: str, home_region: RegionId, wanted_slots: int
    ) -> None:
        instance = InstanceId(name)
        node = self.fleet.running[instance].node
        holder_id = ShareHolderId(instance, node.own_member.incarnation)
        region = self.regions[node.own_member.zone]
        holder = ShareHolder(destination_of(SERVICE, home_region), holder_id, region)
        self.holders.append(holder)
        client = GranterClient(
            node, self._connect_from(node), self._handlers_of(instance)
        )
        while self._is_running(node):
            request = holder.request(wanted_slots, anyio.current_time())
            result = await client.request_share(home_region, request)
            if not isinstance(result, Failure):
                holder.accept(result.unwrap())
            await anyio.sleep(1.0)
        self.holders.remove(holder)

    def _is_running(self, node: Node) -> bool:
        running = self.fleet.running.get(node.own_member.instance)
        return running is not None and running.node is node

    async def _run_granter(self, node: Node, store: Store) -> None:
        region = self.regions[node.own_member.zone]
        zones = tuple(zone for zone in self.regions if self.regions[zone] == region)

        def get_capacity(
            destination: DestinationId, demand: LocalDemand
        ) -> DestinationCapacity | None:
            if destination != destination_of(SERVICE, region):
                return None
            return DestinationCapacity(
                SLOTS, region, SLOTS, dict.fromkeys(self.regions.values(), SLOTS)
            )

        ledger = GranterLedger(anyio.current_time, get_capacity)
        self.ledgers[node.own_member.instance] = ledger
        home_region = HomeRegion(lambda: region, lambda: zones, get_capacity)
        await run_granter(node, store, home_region, ledger)

    def _handlers_of(self, instance: InstanceId) -> Granter:
        return granter_handlers(self.ledgers[instance])

    def _connect_from(self, node: Node) -> ConnectGranter:
        def connect(address: Address) -> Granter:
            async def deliver(
                call: Callable[
                    [Granter], Callable[[M], Awaitable[Result[R, ShareProblem]]]
                ],
                message: M,
            ) -> Result[R, ShareProblem]:
                target = self.fleet.running.get(InstanceId(address.host))
                if target is None:
                    return Failure(Unreached(address, "refused"))
                zones = frozenset((node.own_member.zone, target.node.own_member.zone))
                if zones in self.fleet.links.split_zone_pairs:
                    await anyio.sleep(PEER_TIMEOUT_S)
                    return Failure(Unreached(address, "timeout"))
                handle_message = call(
                    self._handlers_of(target.node.own_member.instance)
                )
                await self._delay()
                if self.random.random() < self.faults.duplicate_probability:
                    await handle_message(message)
                    await self._delay()
                result = await handle_message(message)
                await self._delay()
                if self.random.random() < self.faults.lost_reply_probability:
                    await anyio.sleep(PEER_TIMEOUT_S)
                    return Failure(Unreached(address, "reply lost"))
                return result

            return Granter(
                lambda message: deliver(lambda granter: granter.request_share, message),
                lambda message: deliver(lambda granter: granter.release, message),
                lambda message: deliver(lambda granter: granter.report_demand, message),
            )

        return connect

    async def _delay(self) -> None:
        await anyio.sleep(self.random.uniform(0.001, self.faults.max_delay_s))
