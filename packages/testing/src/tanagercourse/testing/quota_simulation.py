"""Simulate granters and holders of quotas in virtual time, with faults.

`python -m tanagercourse.testing.quota_simulation` measures messages, bytes, overshoot
and undershoot of deployments of several sizes.
"""

import sys
from bisect import bisect_left
from collections import Counter, defaultdict
from collections.abc import Callable, Collection, Mapping, Sequence
from dataclasses import dataclass, field
from functools import partial
from heapq import heappop, heappush
from itertools import count
from random import Random

from tanagercourse.core.ids import InstanceId, TenantId
from tanagercourse.quota.accounts import QUERY_INTERVAL_S
from tanagercourse.quota.granter import Granter
from tanagercourse.quota.granter_records import GranterId
from tanagercourse.quota.holder import Holder
from tanagercourse.quota.limits import (
    SEND_MARGIN_S,
    STANDBY_BACKLOG_S,
    STANDBY_SHARE,
    QuotaBounds,
    QuotaLimit,
    bucket_size,
    max_requests,
)
from tanagercourse.quota.messages import Answer, Query, encode

MAX_WAIT_S = 0.25
RECHECK_INTERVAL_S = 0.1
# Time for which requests use their tokens late, and then for which they do not.
HOLD_S = 3.0
# Bytes of the IP and UDP headers.
HEADER_BYTES = 28
# Virtual time before a measurement, in seconds. Granters reserve for standby rates in
# the first 15 s.
SETTLING_S = 18.0

Limits = dict[TenantId, QuotaLimit]


@dataclass
class _Node:
    """A granter's or holder's process.

    Attributes:
        region: Number of its region.
        resumes_at_s: Time until which it is suspended.
        generation: Number of restarts.
    """

    region: int
    resumes_at_s: float = 0.0
    generation: int = 0


@dataclass
class _Waiting:
    tenant: TenantId
    until_s: float
    checked_at_s: float = 0.0


@dataclass
class _HolderNode(_Node):
    state: Holder = field(init=False)
    waiting: list[_Waiting] = field(default_factory=list)
    outstanding: dict[GranterId, int | None] = field(default_factory=dict)


@dataclass
class _GranterNode(_Node):
    state: Granter = field(init=False)


class QuotaSimulation:
    """Granters and holders, the network between them and the requests.

    Attributes:
        now_s: Virtual time, in seconds.
        loss: Share of datagrams that are lost.
        blocked: Pairs of sender and receiver whose datagrams are lost.
        used_at_s: Times at which requests ran, by tenant.
        issued_at_s: Times at which tokens were granted, or taken from a standby rate.
        demand: Number of requests by tenant.
        refused: Number of refused requests by tenant.
        datagrams: Number of datagrams that each node sent or received.
        wire_bytes: Bytes that each node sent or received, with headers.
    """

    def __init__(
        self,
        random: Random,
        limits: Limits,
        bounds: QuotaBounds,
        granter_regions: Sequence[int],
        holder_regions: Sequence[int],
    ) -> None:
        """Start all processes; each granter and holder is in one region."""
        self.now_s = 1000.0
        self.loss = 0.0
        self.blocked: set[tuple[str, str]] = set()
        self.used_at_s: dict[TenantId, list[float]] = defaultdict(list)
        self.issued_at_s: dict[TenantId, list[float]] = defaultdict(list)
        self.demand: Counter[TenantId] = Counter()
        self.refused: Counter[TenantId] = Counter()
        self.datagrams: Counter[str] = Counter()
        self.wire_bytes: Counter[str] = Counter()
        self._random, self._limits, self._bounds = random, limits, bounds
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = count()
        self.granters = {
            GranterId(f"g{index}"): _GranterNode(region)
            for index, region in enumerate(granter_regions)
        }
        self.holders = {
            InstanceId(f"front-{index}"): _HolderNode(region)
            for index, region in enumerate(holder_regions)
        }
        for granter_id in self.granters:
            self.restart_granter(granter_id)
        for holder_id in self.holders:
            self.restart_holder(holder_id)

    def at(self, time_s: float, action: Callable[[], None]) -> None:
        """Run an action at a time."""
        heappush(self._events, (time_s, next(self._numbers), action))

    def run(self, length_s: float) -> None:
        """Run all actions of a length of time."""
        end_s = self.now_s + length_s
        while self._events and self._events[0][0] <= end_s:
            self.now_s, _, action = heappop(self._events)
            action()
        self.now_s = end_s

    def restart_granter(self, granter_id: GranterId) -> None:
        """Replace a granter's process by a new one."""
        node = self.granters[granter_id]
        node.generation += 1
        node.state = Granter(self._bounds, len(self.granters))
        node.state.configure(self._limits, self.now_s)

    def restart_holder(self, holder_id: InstanceId) -> None:
        """Replace a holder's process by a new one, which has no tokens."""
        node = self.holders[holder_id]
        node.generation += 1
        node.waiting.clear()
        node.state = Holder(holder_id, self.granters, self._random.getrandbits(40))
        node.state.configure(self._limits)
        for granter_id in self.granters:
            node.outstanding[granter_id] = None
            self._tick(holder_id, granter_id, node.generation)

    def request(self, holder_id: InstanceId, tenant: TenantId) -> None:
        """Let a request of a tenant arrive at a holder."""
        node = self.holders[holder_id]
        if node.resumes_at_s > self.now_s:
            return
        self.demand[tenant] += 1
        node.state.record_demand(tenant, self.now_s)
        waiting = _Waiting(tenant, self.now_s + MAX_WAIT_S)
        if not self._try_take(node, waiting):
            node.state.change_waiting(tenant, 1)
            node.waiting.append(waiting)
            self._check_waiting(holder_id, node.generation, {tenant})

    def _try_take(self, node: _HolderNode, waiting: _Waiting) -> bool:
        token = node.state.take(waiting.tenant, self.now_s)
        if token is None:
            return False
        if token.expires_at_s == self.now_s + SEND_MARGIN_S:
            self.issued_at_s[waiting.tenant].append(self.now_s)
        delay_s = 0.002
        if self.now_s % (2 * HOLD_S) < HOLD_S:
            # The longest possible: a wait until the token expires, and a slow way. The
            # requests after that time are fast, so that both run in one window.
            delay_s = max(0.0, token.expires_at_s - self.now_s) + SEND_MARGIN_S
        self.used_at_s[waiting.tenant].append(self.now_s + delay_s)
        return True

    def _check_waiting(
        self, holder_id: InstanceId, generation: int, tenants: Collection[TenantId]
    ) -> None:
        """Serve or refuse the waiting requests of tenants, and ask for tokens."""
        node = self.holders[holder_id]
        if generation != node.generation:
            return
        if node.resumes_at_s > self.now_s:
            again = partial(self._check_waiting, holder_id, generation, tenants)
            self.at(node.resumes_at_s, again)
            return
        open_requests = []
        for waiting in node.waiting:
            if waiting.tenant not in tenants:
                open_requests.append(waiting)
                continue
            resumes_at_s = node.state.exhausted_until_s(waiting.tenant, self.now_s)
            is_served = self._try_take(node, waiting)
            if is_served or max(resumes_at_s, self.now_s) >= waiting.until_s:
                node.state.change_waiting(waiting.tenant, -1)
                self.refused[waiting.tenant] += not is_served
                continue
            open_requests.append(waiting)
            if resumes_at_s > self.now_s:
                until_s = min(resumes_at_s, waiting.until_s)
            else:
                until_s = min(self.now_s + RECHECK_INTERVAL_S, waiting.until_s)
                granter = node.state.granter_for(waiting.tenant, self.now_s)
                for granter_id in self.granters if granter is None else [granter]:
                    self._query(holder_id, granter_id)
            if not self.now_s < waiting.checked_at_s <= until_s:
                waiting.checked_at_s = until_s
                only = {waiting.tenant}
                again = partial(self._check_waiting, holder_id, generation, only)
                self.at(until_s, again)
        node.waiting[:] = open_requests

    def _tick(self, holder_id: InstanceId, granter: GranterId, generation: int) -> None:
        node = self.holders[holder_id]
        if generation != node.generation:
            return
        self._query(holder_id, granter)
        tick = partial(self._tick, holder_id, granter, generation)
        self.at(self.now_s + QUERY_INTERVAL_S, tick)

    def _query(self, holder_id: InstanceId, granter_id: GranterId) -> None:
        node = self.holders[holder_id]
        if node.outstanding[granter_id] is not None or node.resumes_at_s > self.now_s:
            return
        query = node.state.make_query(granter_id, self.now_s)
        if query is None:
            return
        node.outstanding[granter_id] = query.number
        deliver = partial(self._receive_query, granter_id, query, node.generation)
        self._send(holder_id, granter_id, query, deliver)
        timeout_s = node.state.answer_timeout_s(granter_id)
        self.at(
            self.now_s + timeout_s,
            partial(self._time_out, holder_id, granter_id, query.number),
        )

    def _time_out(self, holder_id: InstanceId, granter: GranterId, number: int) -> None:
        node = self.holders[holder_id]
        if node.outstanding[granter] == number:
            node.outstanding[granter] = None
            node.state.record_timeout(granter, number)
            for other in self.granters:
                self._query(holder_id, other)

    def _receive_query(self, granter: GranterId, query: Query, generation: int) -> None:
        node = self.granters[granter]
        if node.resumes_at_s > self.now_s:
            again = partial(self._receive_query, granter, query, generation)
            self.at(node.resumes_at_s, again)
            return
        answer = node.state.answer(query, self.now_s)
        if answer is not None:
            for tenant, grant in answer.grants.items():
                self.issued_at_s[tenant] += [self.now_s] * grant.count
            deliver = partial(
                self._receive_answer, query.holder, granter, answer, generation
            )
            self._send(granter, query.holder, answer, deliver)

    def _receive_answer(
        self, holder: InstanceId, granter: GranterId, answer: Answer, generation: int
    ) -> None:
        node = self.holders[holder]
        if node.resumes_at_s > self.now_s:
            again = partial(self._receive_answer, holder, granter, answer, generation)
            self.at(node.resumes_at_s, again)
            return
        if generation != node.generation:
            return
        if node.state.handle_answer(granter, answer, self.now_s):
            if node.outstanding[granter] == answer.number:
                node.outstanding[granter] = None
            self._check_waiting(holder, generation, answer.grants.keys())
            self._query(holder, granter)

    def _send(
        self,
        sender: str,
        receiver: str,
        message: Query | Answer,
        deliver: Callable[[], None],
    ) -> None:
        size_bytes = len(encode(message)) + HEADER_BYTES
        for node in (sender, receiver):
            self.datagrams[node] += 1
            self.wire_bytes[node] += size_bytes
        if (sender, receiver) in self.blocked or self._random.random() < self.loss:
            return
        is_near = self.node(sender).region == self.node(receiver).region
        delay_s = (0.001 if is_near else 0.02) * self._random.uniform(0.9, 1.3)
        self.at(self.now_s + delay_s, deliver)
        if self._random.random() < self.loss:
            self.at(self.now_s + 3 * delay_s, deliver)

    def node(self, name: str) -> _Node:
        """Return the granter or holder with a name."""
        if name in self.granters:
            return self.granters[GranterId(name)]
        return self.holders[InstanceId(name)]

    def largest_excess(self, tenant: TenantId) -> float:
        """Return the most requests in a window of the bounds less the allowed ones."""
        allowed = max_requests(self._limits[tenant], self._bounds)
        return self._most(self.used_at_s, tenant, self._bounds.window_s) - allowed

    def largest_excess_of_issued(self, tenant: TenantId, window_s: float) -> float:
        """Return the most tokens issued in a window less what the buckets allow.

        This shows faults that the tokens that expire unused would hide.
        """
        size = bucket_size(self._limits[tenant], self._bounds, 1)
        lag_s = STANDBY_SHARE * STANDBY_BACKLOG_S
        allowed = size.rate_per_s * (window_s + lag_s) + size.capacity
        return self._most(self.issued_at_s, tenant, window_s) - allowed

    def _most(
        self,
        times_by_tenant: Mapping[TenantId, list[float]],
        tenant: TenantId,
        window_s: float,
    ) -> int:
        times = sorted(times_by_tenant[tenant])
        return max(
            (
                bisect_left(times, start_s + window_s) - index
                for index, start_s in enumerate(times)
            ),
            default=0,
        )


def start_requests(
    simulation: QuotaSimulation,
    tenant: TenantId,
    holders: Sequence[InstanceId],
    rate_per_s: float,
    random: Random,
) -> None:
    """Let requests of a tenant arrive at random holders from now on."""

    def arrive() -> None:
        simulation.request(random.choice(holders), tenant)
        simulation.at(simulation.now_s + random.expovariate(rate_per_s), arrive)

    simulation.at(simulation.now_s + random.expovariate(rate_per_s), arrive)


def measure(instance_count: int, overload: float, length_s: float = 20.0) -> str:
    """Return messages, bytes, overshoot and undershoot of a deployment as one line.

    Tenants' sizes fall as rank to the power of -1.2, and their limits are 1.6 times
    their ordinary demand, which is 1,000 requests per second in total.

    Args:
        instance_count: Number of instances and of tenants, in three regions.
        overload: Demand relative to the limits of all tenants.
        length_s: Virtual time that is measured after SETTLING_S, in seconds.
    """
    random = Random(1)
    sizes = [rank**-1.2 for rank in range(1, instance_count + 1)]
    bounds = QuotaBounds(5.0, 0.1, 20.0)
    limits = {
        TenantId(f"tenant-{rank}"): QuotaLimit(1600 * size / sum(sizes), 0.0)
        for rank, size in enumerate(sizes)
    }
    regions = [index % 3 for index in range(instance_count)]
    simulation = QuotaSimulation(random, limits, bounds, (0, 1, 2), regions)
    simulation.loss = 0.002
    for tenant, limit in limits.items():
        rate_per_s = overload * limit.rate_per_s
        start_requests(simulation, tenant, list(simulation.holders), rate_per_s, random)
    simulation.run(SETTLING_S)
    for counter in (simulation.datagrams, simulation.wire_bytes):
        counter.clear()
    simulation.demand.clear()
    simulation.refused.clear()
    simulation.run(length_s)
    return _summarize(simulation, limits, length_s, overload)


def _summarize(
    simulation: QuotaSimulation, limits: Limits, length_s: float, overload: float
) -> str:
    per_s = {
        kind: (
            sum(counter[name] for name in simulation.holders)
            / len(simulation.holders)
            / length_s,
            max(counter[name] for name in simulation.granters) / length_s,
        )
        for kind, counter in (
            ("datagrams", simulation.datagrams),
            ("bytes", simulation.wire_bytes),
        )
    }
    served = sum(simulation.demand.values()) - sum(simulation.refused.values())
    entitled = length_s * sum(limit.rate_per_s for limit in limits.values())
    largest_excess = max(simulation.largest_excess(tenant) for tenant in limits)
    texts = [
        f"instances {len(simulation.holders)}, demand {overload:.2f} of limits:",
        *(
            f"{kind}/s {holder:.1f} a holder and {granter:.0f} a granter,"
            for kind, (holder, granter) in per_s.items()
        ),
        f"refused {sum(simulation.refused.values()) / simulation.demand.total():.4f},",
        f"served {served / min(entitled, simulation.demand.total()):.4f} of the due,",
        f"largest excess in a window {largest_excess:.1f}",
    ]
    return " ".join(texts)


if __name__ == "__main__":
    for instances in map(int, sys.argv[1:] or ("84", "300", "1000")):
        for demand in (0.625, 0.95, 2.0):
            print(measure(instances, demand), flush=True)
