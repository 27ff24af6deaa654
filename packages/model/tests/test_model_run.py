"""The model counts each request once and repeats itself for a seed."""

import pytest

from tanagercourse.core.states import Rank
from tanagercourse.model.fleet import Fleet
from tanagercourse.model.policy import Policy, baseline_policy, product_policy
from tanagercourse.model.run import run
from tanagercourse.model.scenarios import (
    Scenario,
    combine,
    flood,
    lost_region,
    steady_load,
)

DURATION_S = 1.0
POLICIES = [product_policy(), baseline_policy()]


def scenarios(fleet: Fleet) -> list[Scenario]:
    lost = lost_region(fleet.zones[0].region, DURATION_S)
    flooded = flood(Rank.LEAST_URGENT, 4.0, DURATION_S)
    return [steady_load(DURATION_S), combine(lost, flooded)]


@pytest.mark.parametrize("policy", POLICIES, ids=lambda policy: policy.name)
def test_each_request_ends_once(fleet: Fleet, policy: Policy) -> None:
    for scenario in scenarios(fleet):
        for tally in run(fleet, scenario, policy, seed=3).ranks.values():
            ended = tally.good + tally.late + tally.refused + tally.lost
            assert ended == tally.sent


@pytest.mark.parametrize("policy", POLICIES, ids=lambda policy: policy.name)
def test_slots_are_never_used_twice(fleet: Fleet, policy: Policy) -> None:
    result = run(fleet, scenarios(fleet)[1], policy, seed=4)
    for meter in result.meters.values():
        assert 0 <= meter.busy_slots <= meter.slots
        assert meter.used_slot_s <= meter.offered_slot_s


def test_equal_seeds_give_equal_runs(fleet: Fleet) -> None:
    scenario = scenarios(fleet)[1]
    one, other = (run(fleet, scenario, product_policy(), seed=5) for _ in range(2))
    for rank in Rank:
        mine, its = one.ranks[rank], other.ranks[rank]
        assert (mine.sent, mine.good, mine.retries) == (its.sent, its.good, its.retries)


def test_policies_meet_the_same_arrivals(fleet: Fleet) -> None:
    one, other = (
        run(fleet, steady_load(DURATION_S), each, seed=6) for each in POLICIES
    )
    for rank in Rank:
        assert one.ranks[rank].sent == other.ranks[rank].sent
