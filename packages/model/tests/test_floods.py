"""Floods: bounds that the users ask of service by rank."""

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
URGENT_GOODPUT = 0.999
URGENT_P99_RATIO = 1.2
NEXT_GOODPUT = 0.95
SLOT_USE = 0.95


@dataclass(frozen=True)
class Flooded:
    """One fleet's runs without and with a flood, and the naive run of the latter."""

    before: RunResult
    product: RunResult
    baseline: RunResult


@cache
def least_urgent_flood(fleet: Fleet) -> Flooded:
    scenario = flood(Rank.LEAST_URGENT, 10.0, DURATION_S)
    return Flooded(
        run(fleet, steady_load(DURATION_S), product_policy(), SEED),
        run(fleet, scenario, product_policy(), SEED),
        run(fleet, scenario, baseline_policy(), SEED),
    )


@cache
def most_urgent_flood(fleet: Fleet) -> RunResult:
    return run(fleet, flood(Rank.MOST_URGENT, 3.0, DURATION_S), product_policy(), SEED)


def test_most_urgent_work_keeps_its_goodput(fleet: Fleet) -> None:
    flooded = least_urgent_flood(fleet)
    assert flooded.product.ranks[Rank.MOST_URGENT].goodput >= URGENT_GOODPUT


def test_most_urgent_work_keeps_its_latency(fleet: Fleet) -> None:
    flooded = least_urgent_flood(fleet)
    before_ms = flooded.before.ranks[Rank.MOST_URGENT].percentile_ms(99)
    during_ms = flooded.product.ranks[Rank.MOST_URGENT].percentile_ms(99)
    assert during_ms <= URGENT_P99_RATIO * before_ms


def test_next_rank_keeps_its_offered_load_in_either_flood(fleet: Fleet) -> None:
    for result in (least_urgent_flood(fleet).product, most_urgent_flood(fleet)):
        assert result.ranks[Rank.NEXT].goodput >= NEXT_GOODPUT


def test_ranks_that_share_a_small_instance_keep_the_same(fleet: Fleet) -> None:
    small = replace(fleet, max_running=12)
    mine = run(
        small, flood(Rank.LEAST_URGENT, 10.0, DURATION_S), product_policy(), SEED
    )
    before = run(small, steady_load(DURATION_S), product_policy(), SEED).ranks[
        Rank.MOST_URGENT
    ]
    most_urgent = mine.ranks[Rank.MOST_URGENT]
    assert most_urgent.goodput >= URGENT_GOODPUT
    assert most_urgent.percentile_ms(99) <= URGENT_P99_RATIO * before.percentile_ms(99)
    assert mine.ranks[Rank.NEXT].goodput >= NEXT_GOODPUT


def test_least_urgent_work_keeps_its_floor_in_an_urgent_flood(fleet: Fleet) -> None:
    kept = most_urgent_flood(fleet).ranks[Rank.LEAST_URGENT]
    floor = (
        0.1
        * fleet.instance_count
        * fleet.max_running
        / fleet.services[2].service_time_s
    )
    assert kept.good >= min(NEXT_GOODPUT * kept.sent, floor * DURATION_S)


@pytest.mark.parametrize("rank", [Rank.MOST_URGENT, Rank.LEAST_URGENT])
def test_a_flooded_service_has_no_idle_slots(fleet: Fleet, rank: Rank) -> None:
    is_least = rank is Rank.LEAST_URGENT
    result = least_urgent_flood(fleet).product if is_least else most_urgent_flood(fleet)
    service = next(each for each in fleet.services if each.rank is rank)
    assert result.slot_utilisation(service.service) >= SLOT_USE


def test_flood_costs_the_ranks_above_less_than_first_come_first_served(
    fleet: Fleet,
) -> None:
    flooded = least_urgent_flood(fleet)
    for rank in (Rank.MOST_URGENT, Rank.NEXT):
        assert (
            flooded.product.ranks[rank].goodput >= flooded.baseline.ranks[rank].goodput
        )
