"""The properties of docs/spec/coordination.md against the real code."""

from dataclasses import dataclass, field
from enum import Enum, unique
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure, Success

from tanagercourse.coordination.claims import MAX_DRIFT, Claim, Lease, Sighting
from tanagercourse.coordination.handlers import peer_handlers
from tanagercourse.coordination.leases import HeldByOther, acquire, release, renew
from tanagercourse.coordination.links import Link, visit
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
INSTANCES = range(3)
# Rates of the instances' clocks, as far apart as is assumed.
RATES = (1 - MAX_DRIFT / 2, 1.0, 1 + MAX_DRIFT / 2)


@unique
class Act(Enum):
    """What happens next in a history of leases."""

    ACQUIRE = "acquire"
    RENEW = "renew"
    RELEASE = "release"
    RESTART = "restart"
    LOSE_REPLY = "lose_reply"
    OUTAGE = "outage"


@dataclass
class Contender:
    """An instance that wants the lease, and its own clock."""

    claim: Claim
    clock: ManualClock = field(default_factory=ManualClock)
    lease: Lease | None = None
    sighting: Sighting | None = None

    def holds(self) -> bool:
        """Whether this instance believes that it holds the lease."""
        return self.lease is not None and self.lease.is_held(self.clock())


lease_steps = st.tuples(
    st.sampled_from(Act), st.sampled_from(INSTANCES), st.sampled_from((0.0, 4.0, 11.0))
)


@given(st.lists(lease_steps, max_size=40))
@settings(derandomize=True, max_examples=150, deadline=None)
def test_one_holder_and_growing_fences(steps: list[tuple[Act, int, float]]) -> None:
    async def run() -> None:
        store = FakeStore()
        contenders = [
            Contender(Claim(PATH, InstanceId(f"e{i}"), 10_000)) for i in RATES
        ]
        fences = []
        for act, index, passes_s in steps:
            for contender, rate in zip(contenders, RATES, strict=True):
                contender.clock.now_s += passes_s * rate
            await _act(store, contenders[index], act)
            holders = [contender for contender in contenders if contender.holds()]
            assert len(holders) <= 1
            fences += [c.lease.fence for c in holders if c.lease is not None]
        assert fences == sorted(fences)

    run_in_virtual_time(run)


async def _act(store: FakeStore, own: Contender, act: Act) -> None:
    port = store.port()
    if act is Act.ACQUIRE and not own.holds():
        acquired = await acquire(port, own.claim, own.sighting, own.clock)
        if not isinstance(acquired, Failure):
            own.lease = acquired.unwrap()
        elif isinstance(problem := acquired.failure(), HeldByOther):
            own.sighting = problem.sighting
    elif act is Act.RENEW and own.lease is not None:
        renewed = await renew(port, own.lease, own.clock)
        if not isinstance(renewed, Failure):
            own.lease = renewed.unwrap()
    elif act is Act.RELEASE and own.lease is not None:
        lease, own.lease = own.lease, None
        await release(port, lease)
    elif act is Act.RESTART:
        own.lease = own.sighting = None
    elif act is Act.LOSE_REPLY:
        store.replies_to_lose = 1
    elif act is Act.OUTAGE:
        store.is_down = not store.is_down


def make_node(index: int, incarnation: int, applied: list[StoredObject]) -> Node:
    """Return a node of one of two zones."""
    me = Member(
        InstanceId(f"e{index}"),
        ZoneId(f"zone-{index // 2}"),
        Address(f"e{index}", 1),
        Incarnation(incarnation),
    )
    return Node(me, ManualClock(), Random(index), applied.append)


SETTING = ObjectPath("/teams/a/services/a")
spread_steps = st.tuples(
    st.sampled_from(("visit", "read", "restart", "replay")),
    st.sampled_from(INSTANCES),
    st.sampled_from(INSTANCES),
    st.integers(1, 6),
)


@given(st.lists(spread_steps, max_size=40))
@settings(derandomize=True, max_examples=100, deadline=None)
def test_spread_never_goes_back_and_agrees_in_the_end(
    steps: list[tuple[str, int, int, int]],
) -> None:
    """Read versions stale and replayed, at nodes that restart and visit each other."""

    async def run() -> None:
        applied: list[list[StoredObject]] = [[] for _ in INSTANCES]
        nodes = [make_node(i, 1, applied[i]) for i in INSTANCES]
        for incarnation, (act, index, other, version) in enumerate(steps, 2):
            if act == "visit" and other != index:
                link = Link(nodes[other].own_member.address, None, 0)
                assert await visit(nodes[index], peer_handlers(nodes[other]), link) == (
                    Success(None)
                )
            elif act in ("read", "replay"):
                nodes[index].apply_objects((_setting(version),))
            elif act == "restart":
                applied[index] = []
                nodes[index] = make_node(index, incarnation, applied[index])
        for own in applied:
            versions = [s.version for s in own if s.path == SETTING]
            assert versions == sorted(set(versions))
        newest = max(node.replica.version_of(SETTING) for node in nodes)
        for index in (0, 1, 2, 0, 1, 2):
            next_node = nodes[(index + 1) % 3]
            link = Link(next_node.own_member.address, None, 0)
            await visit(nodes[index], peer_handlers(next_node), link)
        assert {node.replica.version_of(SETTING) for node in nodes} == {newest}

    run_in_virtual_time(run)


def _setting(version: int) -> StoredObject:
    """Return the setting at a version; even ones are deletions."""
    state = ObjectState.DELETED if version % 2 == 0 else ObjectState.PRESENT
    return StoredObject(SETTING, Version(version), b"v", WriterId("w"), state)
