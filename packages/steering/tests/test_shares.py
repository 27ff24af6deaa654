"""Shares: the sum in use never passes capacity, whatever is lost or restarted."""

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure

from tanagercourse.core.ids import FencingVersion, Incarnation, InstanceId, RegionId
from tanagercourse.steering.holder import ShareHolder
from tanagercourse.steering.ledger import ShareLedger
from tanagercourse.steering.shares import (
    CLOCK_DRIFT,
    DestinationCapacity,
    DestinationId,
    GranterLease,
    NotGranter,
    ShareGrant,
    ShareHolderId,
    ShareRelease,
    ShareRequest,
    ShareSequence,
    StaleRequest,
    holder_ttl_s,
    link_slots,
    takeover_delay_s,
)

HOME = RegionId("jadran")
REGIONS = (HOME, RegionId("panonija"), RegionId("gorje"))
CAPACITY = DestinationCapacity(12, HOME, 7, {REGIONS[1]: 4, REGIONS[2]: 5})
DESTINATION = DestinationId("motritelj@jadran")
LEASE_TERM_S = 6.0
MAX_REQUEST_S = 2.0
HOLDERS = 5
GRANTERS = 3

Message = ShareRequest | ShareGrant | ShareRelease
Wait = Callable[[float], float]


@dataclass
class Node:
    """A granter or a holder with a clock of its own."""

    rate: float
    offset_s: float
    region: RegionId
    holder: ShareHolder | None = None
    book: ShareLedger | None = None
    fencing: int = 0

    def clock(self, true_s: float) -> float:
        return self.offset_s + self.rate * true_s


@dataclass
class Use:
    """A request that holds a slot until its deadline by its sender's clock."""

    node: Node
    holder: ShareHolder
    until_s: float


@dataclass
class World:
    """Everything in one history; `true_s` is the time that no node sees."""

    random: Random
    wait: Wait = takeover_delay_s
    true_s: float = 0.0
    fencing: int = 0
    incarnation: int = 0
    granters: list[Node] = field(default_factory=list)
    holders: list[Node] = field(default_factory=list)
    messages: list[Message] = field(default_factory=list)
    uses: list[Use] = field(default_factory=list)
    largest_use: int = 0

    def __post_init__(self) -> None:
        self.granters = [self._node(index) for index in range(GRANTERS)]
        self.holders = [self._node(index) for index in range(HOLDERS)]
        for node in self.holders:
            self.restart(node)

    def _node(self, index: int) -> Node:
        rate = 1.0 + self.random.choice((-1, 0, 1)) * CLOCK_DRIFT
        region = REGIONS[index % len(REGIONS)]
        return Node(rate, self.random.uniform(0, 1_000), region)

    def restart(self, node: Node) -> None:
        self.incarnation += 1
        holder = ShareHolderId(InstanceId("entry"), Incarnation(self.incarnation))
        node.holder = ShareHolder(DESTINATION, holder, node.region)

    def acquire(self, node: Node) -> None:
        """Take the lease over, the former holder's term run out or not."""
        self.fencing += 1
        node.fencing = self.fencing
        now_s = node.clock(self.true_s)
        tenure = GranterLease(
            FencingVersion(self.fencing),
            now_s,
            now_s + LEASE_TERM_S,
            self.wait(LEASE_TERM_S),
        )
        node.book = ShareLedger(DESTINATION, CAPACITY, tenure)

    def renew(self, node: Node) -> None:
        if node.book is not None and node.fencing == self.fencing:
            node.book.renew(node.clock(self.true_s) + LEASE_TERM_S)

    def ask(self, node: Node) -> None:
        assert node.holder is not None
        wanted = self.random.randint(0, 10)
        self.messages.append(node.holder.request(wanted, node.clock(self.true_s)))

    def give_back(self, node: Node) -> None:
        assert node.holder is not None
        release = node.holder.release()
        if release is not None:
            self.messages.append(release)

    def use(self, node: Node) -> None:
        """Send as many requests as the share allows."""
        assert node.holder is not None
        now_s = node.clock(self.true_s)
        until_s = now_s + self.random.uniform(0.1, MAX_REQUEST_S)
        while node.holder.try_acquire_slot(now_s, until_s):
            self.uses.append(Use(node, node.holder, until_s))

    def deliver(self) -> None:
        """Deliver any message, and sometimes leave it to be delivered again."""
        if not self.messages:
            return
        index = self.random.randrange(len(self.messages))
        message = self.messages[index]
        if self.random.random() < 0.7:
            self.messages.pop(index)
        if isinstance(message, ShareGrant):
            for node in self.holders:
                assert node.holder is not None
                node.holder.accept(message)
            return
        node = self.random.choice(self.granters)
        if node.book is None:
            return
        now_s = node.clock(self.true_s)
        if isinstance(message, ShareRelease):
            node.book.release(message, now_s)
            return
        granted = node.book.grant(message, now_s)
        if not isinstance(granted, Failure):
            self.messages.append(granted.unwrap())

    def pass_time(self) -> None:
        self.true_s += self.random.expovariate(4.0)
        going_on = []
        for use in self.uses:
            ended = use.until_s <= use.node.clock(self.true_s)
            if ended or self.random.random() < 0.05:
                use.holder.release_slot()
            else:
                going_on.append(use)
        self.uses = going_on

    def check(self) -> None:
        regions = [use.node.region for use in self.uses]
        remote = len(regions) - regions.count(HOME)
        assert len(regions) <= CAPACITY.slots
        assert remote <= CAPACITY.remote_slots
        for region, limit in CAPACITY.link_slots.items():
            assert regions.count(region) <= limit
        self.largest_use = max(self.largest_use, len(regions))


def run_history(world: World, steps: int = 600) -> None:
    """Take random steps and check after each that no limit is passed."""
    world.acquire(world.granters[0])
    for _ in range(steps):
        step = world.random.choices(
            (world.deliver, world.pass_time, None), weights=(4, 2, 6)
        )[0]
        if step is None:
            _random_act(world)
        else:
            step()
        world.check()


def _random_act(world: World) -> None:
    holder = world.random.choice(world.holders)
    granter = world.random.choice(world.granters)
    acts: tuple[Callable[[], None], ...] = (
        lambda: world.use(holder),
        lambda: world.ask(holder),
        lambda: world.renew(granter),
        lambda: world.give_back(holder),
        lambda: world.restart(holder),
        lambda: world.acquire(granter),
    )
    world.random.choices(acts, weights=(40, 20, 30, 3, 2, 0.5))[0]()


@settings(derandomize=True, max_examples=40, deadline=None)
@given(st.integers(0, 2**32))
def test_shares_in_use_stay_within_every_limit(seed: int) -> None:
    run_history(World(Random(seed)))


def test_histories_use_the_whole_capacity() -> None:
    largest = 0
    for seed in range(20):
        world = World(Random(seed))
        run_history(world)
        largest = max(largest, world.largest_use)
    assert largest == CAPACITY.slots


def test_granter_that_does_not_wait_is_caught() -> None:
    with pytest.raises(AssertionError):
        for seed in range(200):
            run_history(World(Random(seed), wait=lambda term_s: 0.0))


def test_holder_that_ignores_expiry_is_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(ShareHolder, "held_slots", _slots_whenever)
    monkeypatch.setattr(ShareHolder, "try_use", _use_anyway)
    with pytest.raises(AssertionError):
        for seed in range(200):
            run_history(World(Random(seed)))


def _slots_whenever(holder: ShareHolder, now_s: float) -> int:
    return holder._slots


def _use_anyway(holder: ShareHolder, now_s: float, until_s: float) -> bool:
    if holder.in_use >= holder._slots:
        return False
    holder.in_use += 1
    return True


@pytest.fixture
def book() -> ShareLedger:
    tenure = GranterLease(FencingVersion(7), 0.0, 60.0, takeover_delay_s(LEASE_TERM_S))
    return ShareLedger(DESTINATION, CAPACITY, tenure)


def ask(name: str, sequence: int, wanted: int, region: RegionId = HOME) -> ShareRequest:
    holder = ShareHolderId(InstanceId(name), Incarnation(1))
    return ShareRequest(DESTINATION, holder, region, ShareSequence(sequence), 0, wanted)


def test_new_granter_waits_out_earlier_shares(book: ShareLedger) -> None:
    refused = book.grant(ask("a", 1, 3), 1.0).failure()
    assert isinstance(refused, NotGranter)
    assert refused.retry_after_s == pytest.approx(takeover_delay_s(LEASE_TERM_S) - 1.0)


def test_lapsed_granter_grants_nothing(book: ShareLedger) -> None:
    refused = book.grant(ask("a", 1, 3), 60.0).failure()
    assert refused == NotGranter(DESTINATION, FencingVersion(7), math.inf)


def test_share_never_outlives_the_lease(book: ShareLedger) -> None:
    assert book.grant(ask("a", 1, 3), 58.0).unwrap().ttl_s == 2.0


def test_same_request_gets_the_same_answer(book: ShareLedger) -> None:
    first = book.grant(ask("a", 2, 3), 20.0)
    assert book.grant(ask("a", 2, 3), 21.0) == first
    assert isinstance(book.grant(ask("a", 1, 9), 21.0).failure(), StaleRequest)
    assert book.live_slots(21.0) == 3


@pytest.mark.parametrize(
    ("region", "expected"), [(HOME, [4, 4, 4]), (REGIONS[2], [2, 2, 1])]
)
def test_holders_that_want_all_come_to_even_parts(
    book: ShareLedger, region: RegionId, expected: list[int]
) -> None:
    sequences = {"a": 1, "b": 1, "c": 1}
    held = dict.fromkeys(sequences, 0)
    for turn in range(1, 6):
        for name in sequences:
            holder = ShareHolderId(InstanceId(name), Incarnation(1))
            request = ShareRequest(
                DESTINATION, holder, region, ShareSequence(turn), held[name], 12
            )
            held[name] = book.grant(request, 10.0 + turn).unwrap().slots
    assert list(held.values()) == expected


def test_grant_of_an_older_lease_is_refused() -> None:
    holder_id = ShareHolderId(InstanceId("a"), Incarnation(1))
    holder = ShareHolder(DESTINATION, holder_id, HOME)
    request = holder.request(3, 0.0)
    newer = ShareGrant(
        DESTINATION, holder_id, request.sequence, FencingVersion(8), 3, 5.0
    )
    older = ShareGrant(
        DESTINATION, holder_id, request.sequence, FencingVersion(7), 9, 5.0
    )
    assert holder.accept(newer)
    assert not holder.accept(older)
    assert holder.held_slots(1.0) == 3


def test_request_that_outlasts_the_share_is_not_sent() -> None:
    holder_id = ShareHolderId(InstanceId("a"), Incarnation(1))
    holder = ShareHolder(DESTINATION, holder_id, HOME)
    request = holder.request(3, 0.0)
    holder.accept(
        ShareGrant(DESTINATION, holder_id, request.sequence, FencingVersion(1), 3, 5.0)
    )
    assert holder.try_acquire_slot(1.0, holder_ttl_s(5.0))
    assert not holder.try_acquire_slot(1.0, 5.0)


def test_link_bounds_slots_by_its_busier_way() -> None:
    bytes_per_s = 4_000 * 1_000_000 / 8
    by_answers = link_slots(4_000, 1.0, 1_000_000.0, 1.0)
    by_requests = link_slots(4_000, 1_000_000.0, 1.0, 1.0)
    assert by_answers + by_requests == pytest.approx(bytes_per_s / 1_000_000, abs=1)
