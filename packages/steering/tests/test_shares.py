"""Shares in use never exceed capacity, with lost messages, restarts and clock drift."""

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
TakeoverDelay = Callable[[float], float]


@dataclass
class Node:
    """A granter or a holder with its own clock, which has an offset and a drift."""

    rate: float
    offset_s: float
    region: RegionId
    holder: ShareHolder | None = None
    ledger: ShareLedger | None = None
    fencing: int = 0

    def clock(self, global_s: float) -> float:
        return self.offset_s + self.rate * global_s


@dataclass
class RunningRequest:
    """A request that occupies a slot until its deadline by its sender's clock."""

    node: Node
    holder: ShareHolder
    until_s: float


@dataclass
class History:
    """State of one random history.

    Attributes:
        random: Source of all randomness of the history.
        takeover_delay: Returns how long a new granter waits, given its lease term.
        global_s: Global time, in seconds, which no node can read.
        fencing: Fencing version of the last lease.
        incarnation: Last incarnation of a holder.
        granters: The nodes that may grant shares.
        holders: The nodes that hold shares.
        messages: Messages in transit.
        requests: Requests that occupy a slot.
        max_in_use: Maximum number of slots in use so far.
    """

    random: Random
    takeover_delay: TakeoverDelay = takeover_delay_s
    global_s: float = 0.0
    fencing: int = 0
    incarnation: int = 0
    granters: list[Node] = field(default_factory=list)
    holders: list[Node] = field(default_factory=list)
    messages: list[Message] = field(default_factory=list)
    requests: list[RunningRequest] = field(default_factory=list)
    max_in_use: int = 0

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

    def acquire_lease(self, node: Node) -> None:
        """Acquire the lease, even if the former granter's lease has not lapsed."""
        self.fencing += 1
        node.fencing = self.fencing
        now_s = node.clock(self.global_s)
        lease = GranterLease(
            FencingVersion(self.fencing),
            now_s,
            now_s + LEASE_TERM_S,
            self.takeover_delay(LEASE_TERM_S),
        )
        node.ledger = ShareLedger(DESTINATION, CAPACITY, lease)

    def renew(self, node: Node) -> None:
        if node.ledger is not None and node.fencing == self.fencing:
            node.ledger.renew(node.clock(self.global_s) + LEASE_TERM_S)

    def request_share(self, node: Node) -> None:
        assert node.holder is not None
        wanted_slots = self.random.randint(0, 10)
        self.messages.append(
            node.holder.request(wanted_slots, node.clock(self.global_s))
        )

    def release_share(self, node: Node) -> None:
        assert node.holder is not None
        release = node.holder.release()
        if release is not None:
            self.messages.append(release)

    def send_requests(self, node: Node) -> None:
        """Send as many requests as the holder's share allows."""
        assert node.holder is not None
        now_s = node.clock(self.global_s)
        until_s = now_s + self.random.uniform(0.1, MAX_REQUEST_S)
        while node.holder.try_acquire_slot(now_s, until_s):
            self.requests.append(RunningRequest(node, node.holder, until_s))

    def deliver_message(self) -> None:
        """Deliver a random message, and sometimes keep it for another delivery."""
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
        if node.ledger is None:
            return
        now_s = node.clock(self.global_s)
        if isinstance(message, ShareRelease):
            node.ledger.release(message, now_s)
            return
        granted = node.ledger.grant(message, now_s)
        if not isinstance(granted, Failure):
            self.messages.append(granted.unwrap())

    def advance_time(self) -> None:
        self.global_s += self.random.expovariate(4.0)
        still_running = []
        for request in self.requests:
            is_past_deadline = request.until_s <= request.node.clock(self.global_s)
            if is_past_deadline or self.random.random() < 0.05:
                request.holder.release_slot()
            else:
                still_running.append(request)
        self.requests = still_running

    def check_limits(self) -> None:
        regions = [request.node.region for request in self.requests]
        remote_count = len(regions) - regions.count(HOME)
        assert len(regions) <= CAPACITY.slots
        assert remote_count <= CAPACITY.remote_slots
        for region, limit in CAPACITY.link_slots.items():
            assert regions.count(region) <= limit
        self.max_in_use = max(self.max_in_use, len(regions))


def run_history(history: History, steps: int = 600) -> None:
    """Run random steps and check after each that no limit is exceeded."""
    history.acquire_lease(history.granters[0])
    for _ in range(steps):
        step = history.random.choices(
            (history.deliver_message, history.advance_time, None), weights=(4, 2, 6)
        )[0]
        if step is None:
            _random_action(history)
        else:
            step()
        history.check_limits()


def _random_action(history: History) -> None:
    holder = history.random.choice(history.holders)
    granter = history.random.choice(history.granters)
    actions: tuple[Callable[[], None], ...] = (
        lambda: history.send_requests(holder),
        lambda: history.request_share(holder),
        lambda: history.renew(granter),
        lambda: history.release_share(holder),
        lambda: history.restart(holder),
        lambda: history.acquire_lease(granter),
    )
    history.random.choices(actions, weights=(40, 20, 30, 3, 2, 0.5))[0]()


@settings(derandomize=True, max_examples=40, deadline=None)
@given(st.integers(0, 2**32))
def test_shares_in_use_stay_within_every_limit(seed: int) -> None:
    run_history(History(Random(seed)))


def test_histories_reach_full_capacity() -> None:
    max_in_use = 0
    for seed in range(20):
        history = History(Random(seed))
        run_history(history)
        max_in_use = max(max_in_use, history.max_in_use)
    assert max_in_use == CAPACITY.slots


def test_histories_detect_a_granter_without_takeover_delay() -> None:
    with pytest.raises(AssertionError):
        for seed in range(200):
            run_history(History(Random(seed), takeover_delay=lambda term_s: 0.0))


def test_histories_detect_a_holder_that_ignores_expiry(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(ShareHolder, "held_slots", _slots_ignoring_expiry)
    monkeypatch.setattr(ShareHolder, "try_acquire_slot", _use_ignoring_expiry)
    with pytest.raises(AssertionError):
        for seed in range(200):
            run_history(History(Random(seed)))


def _slots_ignoring_expiry(holder: ShareHolder, now_s: float) -> int:
    return holder._slots


def _use_ignoring_expiry(holder: ShareHolder, now_s: float, until_s: float) -> bool:
    if holder.in_use >= holder._slots:
        return False
    holder.in_use += 1
    return True


@pytest.fixture
def ledger() -> ShareLedger:
    lease = GranterLease(FencingVersion(7), 0.0, 60.0, takeover_delay_s(LEASE_TERM_S))
    return ShareLedger(DESTINATION, CAPACITY, lease)


def request_share(
    name: str, sequence: int, wanted_slots: int, region: RegionId = HOME
) -> ShareRequest:
    holder = ShareHolderId(InstanceId(name), Incarnation(1))
    return ShareRequest(
        DESTINATION, holder, region, ShareSequence(sequence), 0, wanted_slots
    )


def test_new_granter_waits_for_earlier_shares_to_expire(ledger: ShareLedger) -> None:
    problem = ledger.grant(request_share("a", 1, 3), 1.0).failure()
    assert isinstance(problem, NotGranter)
    assert problem.retry_after_s == pytest.approx(takeover_delay_s(LEASE_TERM_S) - 1.0)


def test_lapsed_granter_grants_nothing(ledger: ShareLedger) -> None:
    problem = ledger.grant(request_share("a", 1, 3), 60.0).failure()
    assert problem == NotGranter(DESTINATION, FencingVersion(7), math.inf)


def test_share_never_outlives_the_lease(ledger: ShareLedger) -> None:
    assert ledger.grant(request_share("a", 1, 3), 58.0).unwrap().ttl_s == 2.0


def test_repeated_request_returns_the_same_grant(ledger: ShareLedger) -> None:
    first_grant = ledger.grant(request_share("a", 2, 3), 20.0)
    assert ledger.grant(request_share("a", 2, 3), 21.0) == first_grant
    assert isinstance(
        ledger.grant(request_share("a", 1, 9), 21.0).failure(), StaleRequest
    )
    assert ledger.live_slots(21.0) == 3


@pytest.mark.parametrize(
    ("region", "expected"), [(HOME, [4, 4, 4]), (REGIONS[2], [2, 2, 1])]
)
def test_competing_holders_converge_to_equal_shares(
    ledger: ShareLedger, region: RegionId, expected: list[int]
) -> None:
    sequences = {"a": 1, "b": 1, "c": 1}
    held = dict.fromkeys(sequences, 0)
    for round_number in range(1, 6):
        for name in sequences:
            holder = ShareHolderId(InstanceId(name), Incarnation(1))
            request = ShareRequest(
                DESTINATION, holder, region, ShareSequence(round_number), held[name], 12
            )
            held[name] = ledger.grant(request, 10.0 + round_number).unwrap().slots
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


def test_link_slots_are_limited_by_the_busier_direction() -> None:
    bytes_per_s = 4_000 * 1_000_000 / 8
    by_responses = link_slots(4_000, 1.0, 1_000_000.0, 1.0)
    by_requests = link_slots(4_000, 1_000_000.0, 1.0, 1.0)
    assert by_responses + by_requests == pytest.approx(bytes_per_s / 1_000_000, abs=1)
