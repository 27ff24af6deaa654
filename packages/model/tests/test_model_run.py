"""The model counts each request once, and equal seeds give equal runs."""

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


def make_scenarios(fleet: Fleet) -> list[Scenario]:
    region_loss = lost_region(fleet.zones[0].region, DURATION_S)
    least_urgent_flood = flood(Rank.LEAST_URGENT, 4.0, DURATION_S)
    return [steady_load(DURATION_S), combine(region_loss, least_urgent_flood)]


@pytest.mark.parametrize("policy", POLICIES, ids=lambda policy: policy.name)
def test_each_request_has_one_outcome(fleet: Fleet, policy: Policy) -> None:
    for scenario in make_scenarios(fleet):
        for tally in run(fleet, scenario, policy, seed=3).ranks.values():
            outcomes = tally.good + tally.late + tally.refused + tally.lost
            assert outcomes == tally.sent


@pytest.mark.parametrize("policy", POLICIES, ids=lambda policy: policy.name)
def test_busy_slots_never_exceed_the_slots(fleet: Fleet, policy: Policy) -> None:
    result = run(fleet, make_scenarios(fleet)[1], policy, seed=4)
    for meter in result.meters.values():
        assert 0 <= meter.busy_slots <= meter.slots
        assert meter.used_slot_s <= meter.offered_slot_s


def test_equal_seeds_give_equal_runs(fleet: Fleet) -> None:
    scenario = make_scenarios(fleet)[1]
    first_run, second_run = (
        run(fleet, scenario, product_policy(), seed=5) for _ in range(2)
    )
    for rank in Rank:
        first_tally, second_tally = first_run.ranks[rank], second_run.ranks[rank]
        assert (first_tally.sent, first_tally.good, first_tally.retries) == (
            second_tally.sent,
            second_tally.good,
            second_tally.retries,
        )


def test_arrivals_do_not_depend_on_the_policy(fleet: Fleet) -> None:
    first_run, second_run = (
        run(fleet, steady_load(DURATION_S), policy, seed=6) for policy in POLICIES
    )
    for rank in Rank:
        assert first_run.ranks[rank].sent == second_run.ranks[rank].sent
