"""Tests of granters and holders in virtual time, with faults of all kinds."""

from functools import partial
from random import Random

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from tanagercourse.core.ids import InstanceId, TenantId
from tanagercourse.quota.granter import Granter
from tanagercourse.quota.granter_records import GranterId
from tanagercourse.quota.holder import Holder
from tanagercourse.quota.limits import STANDBY_S, QuotaBounds, QuotaLimit
from tanagercourse.quota.messages import MAX_TENANTS, Answer, Need, Query, encode
from tanagercourse.testing.quota_simulation import QuotaSimulation, start_requests

BOUNDS = QuotaBounds(5.0, 0.1, 20.0)
LARGE, SMALL = TenantId("large"), TenantId("small")
LIMITS = {LARGE: QuotaLimit(45.0, 2.0), SMALL: QuotaLimit(3.0, 2.0)}
GRANTERS = [GranterId(f"g{index}") for index in range(3)]
HOLDERS = [InstanceId(f"front-{index}") for index in range(3)]

node_names = st.sampled_from([*GRANTERS, *HOLDERS])
fault_times = st.floats(0.0, 25.0)
lengths = st.sampled_from([0.05, 0.4, 1.5, 6.0, 20.0])
faults = st.one_of(
    st.tuples(st.just("restart"), fault_times, node_names, lengths),
    st.tuples(st.just("suspend"), fault_times, node_names, lengths),
    # Both directions of a link, one direction, or all links of a node.
    st.tuples(st.just("cut"), fault_times, node_names, lengths),
    st.tuples(st.just("cut_in"), fault_times, node_names, lengths),
    st.tuples(st.just("cut_out"), fault_times, node_names, lengths),
)


def make_simulation(seed: int = 1, loss: float = 0.0) -> QuotaSimulation:
    simulation = QuotaSimulation(Random(seed), LIMITS, BOUNDS, (0, 1, 2), (0, 1, 2))
    simulation.loss = loss
    return simulation


def schedule(
    simulation: QuotaSimulation, kind: str, after_s: float, name: str, length_s: float
) -> None:
    def links() -> set[tuple[str, str]]:
        others = [other for other in (*GRANTERS, *HOLDERS) if other != name]
        inbound = {(other, name) for other in others if kind != "cut_out"}
        outbound = {(name, other) for other in others if kind != "cut_in"}
        return inbound | outbound

    def begin() -> None:
        if kind == "restart" and name in GRANTERS:
            simulation.restart_granter(GranterId(name))
        elif kind == "restart":
            simulation.restart_holder(InstanceId(name))
        elif kind == "suspend":
            resumes_at_s = simulation.now_s + length_s
            simulation.node(name).resumes_at_s = resumes_at_s
        else:
            simulation.blocked |= links()
            ends_at_s = simulation.now_s + length_s
            simulation.at(
                ends_at_s, lambda: simulation.blocked.difference_update(links())
            )

    simulation.at(simulation.now_s + after_s, begin)


@settings(derandomize=True, max_examples=10, deadline=None)
@given(
    seed=st.integers(0, 2**32),
    fault_list=st.lists(faults, max_size=8),
    loss=st.sampled_from([0.0, 0.02, 0.3]),
    demands=st.lists(st.sampled_from([0.0, 0.6, 3.0]), min_size=2, max_size=8),
)
@example(1, [("cut", 0.0, HOLDERS[0], 20.0)], 0.0, [3.0, 3.0])
@example(1, [("cut_in", 0.0, HOLDERS[0], 20.0)], 0.0, [3.0, 3.0])
@example(
    1,
    [("cut", 0.0, HOLDERS[0], 20.0), ("restart", 1.0, GRANTERS[0], 0.0)],
    0.0,
    [3.0, 3.0],
)
@example(
    1,
    [("cut", 0.0, HOLDERS[0], 20.0), ("suspend", 0.5, GRANTERS[0], 6.0)],
    0.0,
    [3.0, 3.0],
)
def test_no_window_exceeds_the_limit_in_any_faults(
    seed: int,
    fault_list: list[tuple[str, float, str, float]],
    loss: float,
    demands: list[float],
) -> None:
    """Guards against any interleaving by which more requests run than allowed.

    Load pattern: each holder's demand changes every 4 s between none, 60% and three
    times its part of the limits.
    """
    simulation = make_simulation(seed, loss)
    # Standby rates are issued once the granters run for STANDBY_S.
    for tenant, limit in LIMITS.items():
        ordinary_per_s = 0.6 * limit.rate_per_s
        start_requests(simulation, tenant, HOLDERS, ordinary_per_s, Random(seed))
    simulation.run(18.0)
    for kind, after_s, name, length_s in fault_list:
        schedule(simulation, kind, after_s, name, length_s)
    random = Random(seed)
    for phase in range(27):
        rate_per_s = demands[phase % len(demands)] / 3
        for tenant, limit in LIMITS.items():
            at_s = simulation.now_s + phase // 3 * 4.0
            for _ in range(round(4 * rate_per_s * limit.rate_per_s)):
                arrive = partial(simulation.request, HOLDERS[phase % 3], tenant)
                simulation.at(at_s + random.uniform(0, 4.0), arrive)
    simulation.run(36.0)
    for tenant in LIMITS:
        assert simulation.largest_excess(tenant) <= 0
        for window_s in (0.5, 5.0, 20.0):
            assert simulation.largest_excess_of_issued(tenant, window_s) <= 0


@pytest.mark.parametrize(
    ("length_s", "moves"), [(40.0, False), (40.0, True)], ids=["alone", "moving"]
)
def test_demand_below_the_limit_is_served_wherever_it_is(
    length_s: float, moves: bool
) -> None:
    """Guards against shares that are bound to a region while others are unused.

    Load pattern: all demand, 60% of the limit, at one holder; then at another region's.
    """
    simulation, random = make_simulation(loss=0.002), Random(2)
    simulation.run(1.0)
    simulation.request(HOLDERS[0], LARGE)
    simulation.run(16.0)
    half_s = length_s / 2
    arrivals_s = 0.0
    while arrivals_s < length_s:
        arrivals_s += random.expovariate(0.6 * LIMITS[LARGE].rate_per_s)
        holder = HOLDERS[1 if moves and arrivals_s > half_s else 0]
        arrive = partial(simulation.request, holder, LARGE)
        simulation.at(simulation.now_s + arrivals_s, arrive)
    simulation.run(length_s + 1)
    assert simulation.refused[LARGE] / simulation.demand[LARGE] < 0.005


def test_a_flood_gets_its_limit() -> None:
    """Guards against asking too rarely while a limit is exhausted.

    Load pattern: one tenant sends three times its limit at all holders.
    """
    simulation, random = make_simulation(), Random(3)
    start_requests(simulation, LARGE, HOLDERS, 135.0, random)
    simulation.run(16.0)
    served = len(simulation.used_at_s[LARGE])
    simulation.run(20.0)
    served = len(simulation.used_at_s[LARGE]) - served
    assert served >= 0.95 * 20.0 * LIMITS[LARGE].rate_per_s


def test_a_lost_granter_leaves_two_thirds_of_the_limit() -> None:
    """Guards against refusals of ordinary demand while one relay is down.

    Load pattern: 60% of the limit at all holders, one relay lost.
    """
    simulation, random = make_simulation(), Random(4)
    start_requests(simulation, LARGE, HOLDERS, 27.0, random)
    simulation.run(16.0)
    schedule(simulation, "cut", 0.0, GRANTERS[0], 60.0)
    before = simulation.demand[LARGE], simulation.refused[LARGE]
    simulation.run(30.0)
    demand, refused = (
        simulation.demand[LARGE] - before[0],
        simulation.refused[LARGE] - before[1],
    )
    assert refused / demand < 0.02


def test_a_partitioned_holder_is_served_by_its_standby_rate() -> None:
    """Guards against a partitioned zone that serves no request of a limited tenant.

    Load pattern: steady demand of 60% of the limit, one holder cut off for 14 s.
    """
    simulation, random = make_simulation(), Random(5)
    start_requests(simulation, LARGE, HOLDERS, 27.0, random)
    simulation.run(20.0)
    schedule(simulation, "cut", 0.0, HOLDERS[0], 20.0)
    simulation.run(1.5)
    before = len(simulation.used_at_s[LARGE])
    for other in HOLDERS[1:]:
        simulation.holders[other].resumes_at_s = simulation.now_s + 60.0
    simulation.run(10.0)
    served = len(simulation.used_at_s[LARGE]) - before
    # A quarter of one relay's share is 3.75 per second.
    assert 30 <= served <= 39
    simulation.run(5.0)
    before = len(simulation.used_at_s[LARGE])
    simulation.run(3.0)
    assert len(simulation.used_at_s[LARGE]) == before


def test_a_waiting_request_is_asked_for_before_tokens_ahead_of_need() -> None:
    """Guards against a delay of one tenant's request by many others' demand.

    Load pattern: more busy tenants than a query has room for, and one rare one.
    """
    tenants = [TenantId(f"busy-{index}") for index in range(MAX_TENANTS)]
    rare, now_s = TenantId("rare"), 1000.0
    holder = Holder(HOLDERS[0], GRANTERS[:1], 1)
    holder.configure(dict.fromkeys([*tenants, rare], QuotaLimit(100.0, 0.0)))
    holder.record_demand(tenants[0], now_s)
    first = holder.make_query(GRANTERS[0], now_s)
    assert first is not None
    holder.handle_answer(GRANTERS[0], Answer(first.number, {}), now_s + 0.001)
    for tenant in tenants:
        for _ in range(50):
            holder.record_demand(tenant, now_s + 0.002)
    holder.change_waiting(rare, 1)
    query = holder.make_query(GRANTERS[0], now_s + 0.003)
    assert query is not None and query.needs[rare].wanted == 1


def test_standby_rates_of_many_tenants_fit_into_a_datagram() -> None:
    """Guards against answers that can't be sent, after which nothing is granted.

    Load pattern: one holder with steady use of 600 tenants.
    """
    tenants = [TenantId(f"{index:03}" * 66) for index in range(600)]
    granter, now_s = Granter(BOUNDS, 1), 1000.0
    granter.configure(dict.fromkeys(tenants, QuotaLimit(100.0, 0.0)), now_s)
    now_s += STANDBY_S + 1
    answer: Answer | None = None
    for number in range(len(tenants) // MAX_TENANTS):
        asked = tenants[number * MAX_TENANTS :][:MAX_TENANTS]
        needs = dict.fromkeys(asked, Need(1, 500))
        query = Query(number + 1, number, HOLDERS[0], needs)
        answer = granter.answer(query, now_s + number / 10)
        assert answer is not None and len(encode(answer)) < 65_000
    assert answer is not None
    assert sum(grant.standby_per_100_s > 0 for grant in answer.grants.values()) > 100
