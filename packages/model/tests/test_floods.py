"""The users' requirements by rank while one rank is overloaded."""

from dataclasses import dataclass, replace
from functools import cache

import pytest

from tanagercourse.core.states import Rank
from tanagercourse.model.fleet import Fleet
from tanagercourse.model.policy import baseline_policy, product_policy
from tanagercourse.model.result import RunResult
from tanagercourse.model.run import run
from tanagercourse.model.scenarios import flood, steady_load

SEED = 11
DURATION_S = 3.0
MIN_URGENT_GOODPUT = 0.999
MAX_URGENT_P99_RATIO = 1.2
MIN_NEXT_GOODPUT = 0.95
MIN_SLOT_UTILISATION = 0.95


@dataclass(frozen=True)
class FloodResults:
    """Results of one fleet.

    Attributes:
        steady: Product policy at a steady load.
        product: Product policy in the flood.
        baseline: Baseline policy in the flood.
    """

    steady: RunResult
    product: RunResult
    baseline: RunResult


@cache
def least_urgent_flood(fleet: Fleet) -> FloodResults:
    scenario = flood(Rank.LEAST_URGENT, 10.0, DURATION_S)
    return FloodResults(
        run(fleet, steady_load(DURATION_S), product_policy(), SEED),
        run(fleet, scenario, product_policy(), SEED),
        run(fleet, scenario, baseline_policy(), SEED),
    )


@cache
def most_urgent_flood(fleet: Fleet) -> RunResult:
    return run(fleet, flood(Rank.MOST_URGENT, 3.0, DURATION_S), product_policy(), SEED)


def test_most_urgent_goodput_holds_in_a_least_urgent_flood(fleet: Fleet) -> None:
    results = least_urgent_flood(fleet)
    assert results.product.ranks[Rank.MOST_URGENT].goodput >= MIN_URGENT_GOODPUT


def test_most_urgent_p99_holds_in_a_least_urgent_flood(fleet: Fleet) -> None:
    results = least_urgent_flood(fleet)
    steady_ms = results.steady.ranks[Rank.MOST_URGENT].percentile_ms(99)
    flood_ms = results.product.ranks[Rank.MOST_URGENT].percentile_ms(99)
    assert flood_ms <= MAX_URGENT_P99_RATIO * steady_ms


def test_next_rank_goodput_holds_in_either_flood(fleet: Fleet) -> None:
    for result in (least_urgent_flood(fleet).product, most_urgent_flood(fleet)):
        assert result.ranks[Rank.NEXT].goodput >= MIN_NEXT_GOODPUT


def test_higher_ranks_hold_in_a_flood_with_half_the_concurrency_limit(
    fleet: Fleet,
) -> None:
    half_limit_fleet = replace(fleet, max_running=12)
    in_flood = run(
        half_limit_fleet,
        flood(Rank.LEAST_URGENT, 10.0, DURATION_S),
        product_policy(),
        SEED,
    )
    steady = run(
        half_limit_fleet, steady_load(DURATION_S), product_policy(), SEED
    ).ranks[Rank.MOST_URGENT]
    most_urgent = in_flood.ranks[Rank.MOST_URGENT]
    assert most_urgent.goodput >= MIN_URGENT_GOODPUT
    assert most_urgent.percentile_ms(99) <= MAX_URGENT_P99_RATIO * steady.percentile_ms(
        99
    )
    assert in_flood.ranks[Rank.NEXT].goodput >= MIN_NEXT_GOODPUT


def test_least_urgent_rank_gets_its_floor_in_a_most_urgent_flood(fleet: Fleet) -> None:
    tally = most_urgent_flood(fleet).ranks[Rank.LEAST_URGENT]
    floor_per_s = (
        0.1
        * fleet.instance_count
        * fleet.max_running
        / fleet.services[2].service_time_s
    )
    assert tally.good >= min(MIN_NEXT_GOODPUT * tally.sent, floor_per_s * DURATION_S)


@pytest.mark.parametrize("rank", [Rank.MOST_URGENT, Rank.LEAST_URGENT])
def test_slots_of_a_flooded_service_are_utilised(fleet: Fleet, rank: Rank) -> None:
    is_least_urgent = rank is Rank.LEAST_URGENT
    result = (
        least_urgent_flood(fleet).product
        if is_least_urgent
        else most_urgent_flood(fleet)
    )
    service = next(service for service in fleet.services if service.rank is rank)
    assert result.slot_utilisation(service.service) >= MIN_SLOT_UTILISATION


def test_goodput_of_higher_ranks_is_at_least_that_of_the_baseline_in_a_flood(
    fleet: Fleet,
) -> None:
    results = least_urgent_flood(fleet)
    for rank in (Rank.MOST_URGENT, Rank.NEXT):
        assert (
            results.product.ranks[rank].goodput >= results.baseline.ranks[rank].goodput
        )
