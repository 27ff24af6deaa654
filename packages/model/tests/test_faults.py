"""Goodput of the most urgent rank while load reports, zones or upstreams fail."""

from collections.abc import Callable

import pytest

from tanagercourse.core.states import RANKS, Rank
from tanagercourse.model.fleet import Fleet
from tanagercourse.model.policy import baseline_policy, product_policy
from tanagercourse.model.run import run
from tanagercourse.model.scenarios import (
    Scenario,
    drained_third,
    false_load_reports,
    partitioned_zone,
    slow_upstreams,
    steady_load,
    stopped_reports,
)

SEED = 13
DURATION_S = 2.0
SCENARIOS = [
    drained_third(DURATION_S),
    false_load_reports(DURATION_S),
    slow_upstreams(DURATION_S),
    partitioned_zone(0, DURATION_S),
    stopped_reports(DURATION_S),
]


@pytest.mark.parametrize("scenario", SCENARIOS, ids=lambda scenario: scenario.name)
def test_most_urgent_goodput_is_at_least_that_of_the_baseline_during_faults(
    fleet: Fleet, scenario: Scenario
) -> None:
    product, baseline = (
        run(fleet, scenario, policy, SEED)
        for policy in (product_policy(), baseline_policy())
    )
    rank = Rank.MOST_URGENT
    assert product.ranks[rank].goodput >= baseline.ranks[rank].goodput


@pytest.mark.parametrize("make_scenario", [false_load_reports, stopped_reports])
def test_false_or_stopped_load_reports_do_not_change_goodput(
    fleet: Fleet, make_scenario: Callable[[float], Scenario]
) -> None:
    with_fault = run(fleet, make_scenario(DURATION_S), product_policy(), SEED)
    without_fault = run(fleet, steady_load(DURATION_S), product_policy(), SEED)
    for rank in RANKS:
        assert with_fault.ranks[rank].good == without_fault.ranks[rank].good
