"""Faults of reports, zones and upstreams: what the most urgent work keeps."""

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
def test_most_urgent_work_fares_no_worse_than_the_naive_way(
    fleet: Fleet, scenario: Scenario
) -> None:
    mine, its = (
        run(fleet, scenario, each, SEED)
        for each in (product_policy(), baseline_policy())
    )
    urgent = Rank.MOST_URGENT
    assert mine.ranks[urgent].goodput >= its.ranks[urgent].goodput


@pytest.mark.parametrize("make", [false_load_reports, stopped_reports])
def test_false_or_stopped_reports_cost_no_request(
    fleet: Fleet, make: Callable[[float], Scenario]
) -> None:
    faulty = run(fleet, make(DURATION_S), product_policy(), SEED)
    truthful = run(fleet, steady_load(DURATION_S), product_policy(), SEED)
    for rank in RANKS:
        assert faulty.ranks[rank].good == truthful.ranks[rank].good
