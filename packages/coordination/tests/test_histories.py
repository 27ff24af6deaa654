"""Random histories check the properties of docs/spec/coordination.md on the code."""

from dataclasses import dataclass, field
from enum import Enum, unique
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure, Success

from tanagercourse.coordination.claims import MAX_DRIFT, Claim, Lease, Sighting
from tanagercourse.coordination.handlers import peer_handlers
from tanagercourse.coordination.leases import HeldByOther, acquire, release, renew
from tanagercourse.coordination.links import Link, exchange_heartbeat
from tanagercourse.coordination.members import Address, Member
from tanagercourse.coordination.node import Node
from tanagercourse.core.ids import (
    Incarnation,
    InstanceId,
    ObjectPath,
    Version,
    WriterId,
    ZoneId,
)
from tanagercourse.platform.store import ObjectState, StoredObject
from tanagercourse.testing.stores import FakeStore, ManualClock
from tanagercourse.testing.virtual import run_in_virtual_time

PATH = ObjectPath("/system/leases/zones/split-a")
INSTANCE_INDEXES = range(3)
# Rates of the instances' clocks, which differ by the maximum that leases assume.
CLOCK_RATES = (1 - MAX_DRIFT / 2, 1.0, 1 + MAX_DRIFT / 2)


@unique
class LeaseAction(Enum):
    """A step in a history of leases."""

    ACQUIRE = "acquire"
    RENEW = "renew"
    RELEASE = "release"
    RESTART = "restart"
    LOSE_REPLY = "lose_reply"
    OUTAGE = "outage"


@dataclass
class Contender:
    """An instance that contends for the lease, with its own clock."""

    claim: Claim
    clock: ManualClock = field(default_factory=ManualClock)
    lease: Lease | None = None
    sighting: Sighting | None = None

    def holds(self) -> bool:
        """Return whether the lease is unexpired on this instance's clock."""
        return self.lease is not None and self.lease.is_held(self.clock())


lease_steps = st.tuples(
    st.sampled_from(LeaseAction),
    st.sampled_from(INSTANCE_INDEXES),
    st.sampled_from((0.0, 4.0, 11.0)),
)


@given(st.lists(lease_steps, max_size=40))
@settings(derandomize=True, max_examples=150, deadline=None)
def test_single_holder_and_increasing_fences(
    steps: list[tuple[LeaseAction, int, float]],
) -> None:
    async def run() -> None:
        store = FakeStore()
        contenders = [
            Contender(Claim(PATH, InstanceId(f"e{i}"), 10_000)) for i in CLOCK_RATES
        ]
        fences = []
        for action, index, elapsed_s in steps:
            for contender, rate in zip(contenders, CLOCK_RATES, strict=True):
                contender.clock.now_s += elapsed_s * rate
            await _perform(store, contenders[index], action)
            holders = [contender for contender in contenders if contender.holds()]
            assert len(holders) <= 1
            fences += [c.lease.fence for c in holders if c.lease is not None]
        assert fences == sorted(fences)

    run_in_virtual_time(run)


async def _perform(store: FakeStore, contender: Contender, action: LeaseAction) -> None:
    port = store.as_store()
    if action is LeaseAction.ACQUIRE and not contender.holds():
        acquired = await acquire(
            port, contender.claim, contender.sighting, contender.clock
        )
        if not isinstance(acquired, Failure):
            contender.lease = acquired.unwrap()
        elif isinstance(problem := acquired.failure(), HeldByOther):
            contender.sighting = problem.sighting
    elif action is LeaseAction.RENEW and contender.lease is not None:
        renewed = await renew(port, contender.lease, contender.clock)
        if not isinstance(renewed, Failure):
            contender.lease = renewed.unwrap()
    elif action is LeaseAction.RELEASE and contender.lease is not None:
        lease, contender.lease = contender.lease, None
        await release(port, lease)
    elif action is LeaseAction.RESTART:
        contender.lease = contender.sighting = None
    elif action is LeaseAction.LOSE_REPLY:
        store.replies_to_lose = 1
    elif action is LeaseAction.OUTAGE:
        store.is_down = not store.is_down


def make_node(index: int, incarnation: int, applied: list[StoredObject]) -> Node:
    """Return a node in one of two zones."""
    own_member = Member(
        InstanceId(f"e{index}"),
        ZoneId(f"zone-{index // 2}"),
        Address(f"e{index}", 1),
        Incarnation(incarnation),
    )
    return Node(own_member, ManualClock(), Random(index), applied.append)


SETTING_PATH = ObjectPath("/teams/a/services/a")
spread_steps = st.tuples(
    st.sampled_from(("exchange", "read", "restart", "replay")),
    st.sampled_from(INSTANCE_INDEXES),
    st.sampled_from(INSTANCE_INDEXES),
    st.integers(1, 6),
)


@given(st.lists(spread_steps, max_size=40))
@settings(derandomize=True, max_examples=100, deadline=None)
def test_replicas_never_regress_and_converge(
    steps: list[tuple[str, int, int, int]],
) -> None:
    """Nodes read stale and replayed versions, restart and exchange heartbeats."""

    async def run() -> None:
        applied: list[list[StoredObject]] = [[] for _ in INSTANCE_INDEXES]
        nodes = [make_node(i, 1, applied[i]) for i in INSTANCE_INDEXES]
        for incarnation, (action, index, peer_index, version) in enumerate(steps, 2):
            if action == "exchange" and peer_index != index:
                link = Link(nodes[peer_index].own_member.address, None, 0)
                assert await exchange_heartbeat(
                    nodes[index], peer_handlers(nodes[peer_index]), link
                ) == (Success(None))
            elif action in ("read", "replay"):
                nodes[index].apply_objects((_setting(version),))
            elif action == "restart":
                applied[index] = []
                nodes[index] = make_node(index, incarnation, applied[index])
        for instance_objects in applied:
            versions = [s.version for s in instance_objects if s.path == SETTING_PATH]
            assert versions == sorted(set(versions))
        newest = max(node.replica.version_of(SETTING_PATH) for node in nodes)
        for index in (0, 1, 2, 0, 1, 2):
            next_node = nodes[(index + 1) % 3]
            link = Link(next_node.own_member.address, None, 0)
            await exchange_heartbeat(nodes[index], peer_handlers(next_node), link)
        assert {node.replica.version_of(SETTING_PATH) for node in nodes} == {newest}

    run_in_virtual_time(run)


def _setting(version: int) -> StoredObject:
    """Return the setting at a version; even versions are deletion markers."""
    state = ObjectState.DELETED if version % 2 == 0 else ObjectState.PRESENT
    return StoredObject(SETTING_PATH, Version(version), b"v", WriterId("w"), state)
