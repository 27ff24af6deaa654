"""Measure service by rank in the model: each scenario for both users."""

from collections.abc import Iterator
from dataclasses import replace

from tanagercourse.bench.fleets import make_fleet
from tanagercourse.bench.measure import Bound, Measure, Target
from tanagercourse.core.states import RANKS, Rank
from tanagercourse.model.fleet import Fleet
from tanagercourse.model.policy import Policy, baseline_policy, product_policy
from tanagercourse.model.result import RankTally, RunResult
from tanagercourse.model.run import run
from tanagercourse.model.scenarios import (
    Scenario,
    combine_pairs,
    drained_third,
    false_load_reports,
    flood,
    lost_region,
    partitioned_zone,
    slow_upstreams,
    steady_load,
    stopped_reports,
)
from tanagercourse.testing.deployments import DEPLOYMENTS

DURATION_S = 4.0
PAIR_S = 2.0
STEADY_LOADS = (0.5, 0.7, 0.9, 3.0)
P99_RATIO = 1.2

URGENT_GOODPUT = Target(Bound.AT_LEAST, 0.999)
NEXT_GOODPUT = Target(Bound.AT_LEAST, 0.95)
SLOT_USE = Target(Bound.AT_LEAST, 0.95)


def measure_ranks(seed: int) -> Iterator[Measure]:
    """Run every scenario for both users with our decisions and the naive ones."""
    for customer, deployment in DEPLOYMENTS.items():
        fleet = make_fleet(deployment)
        for scenario in scenarios_of(fleet, DURATION_S):
            name = f"steering/{customer}/{scenario.name}"
            mine = run(fleet, scenario, product_policy(), seed)
            its = run(fleet, scenario, baseline_policy(), seed)
            yield from _measure_scenario(name, fleet, mine, its)
        yield _measure_latency_in_flood(f"steering/{customer}", fleet, seed)


def scenarios_of(fleet: Fleet, duration_s: float) -> list[Scenario]:
    """Return the scenarios that are measured, steady loads first.

    Args:
        fleet: The fleet they run on.
        duration_s: Length of each, in seconds.
    """
    return [
        *(_named(steady_load(duration_s, load), load) for load in STEADY_LOADS),
        flood(Rank.LEAST_URGENT, 10.0, duration_s),
        flood(Rank.MOST_URGENT, 3.0, duration_s),
        stopped_reports(duration_s),
        lost_region(fleet.zones[0].region, duration_s),
        drained_third(duration_s),
        partitioned_zone(0, duration_s),
        false_load_reports(duration_s),
        slow_upstreams(duration_s),
    ]


def measure_pairs(seed: int) -> Iterator[Measure]:
    """Run each pair of a steady load's faults and floods at once, for both users."""
    for customer, deployment in DEPLOYMENTS.items():
        fleet = make_fleet(deployment)
        faults = scenarios_of(fleet, PAIR_S)[len(STEADY_LOADS) :]
        for scenario in combine_pairs(faults):
            mine = run(fleet, scenario, product_policy(), seed)
            its = run(fleet, scenario, baseline_policy(), seed)
            for rank in RANKS:
                name = f"pairs/{customer}/{scenario.name}/{rank.value}/goodput"
                one, other = mine.ranks[rank].goodput, its.ranks[rank].goodput
                yield Measure(name, "share", one, other)


def _named(scenario: Scenario, load: float) -> Scenario:
    return replace(scenario, name=f"steady-{load:.0%}")


def _measure_scenario(
    name: str, fleet: Fleet, mine: RunResult, its: RunResult
) -> Iterator[Measure]:
    for rank in RANKS:
        yield from _measure_rank(
            f"{name}/{rank.value}", _goodput_target(name, rank), mine, its, rank
        )
    for service in fleet.services:
        yield Measure(
            f"{name}/{service.service}/slot-use",
            "share",
            mine.slot_utilisation(service.service),
            its.slot_utilisation(service.service),
            SLOT_USE,
        )
    mine_load, its_load = mine.max_region_load(), its.max_region_load()
    yield Measure(f"{name}/highest-region-load", "share", mine_load, its_load)


def _goodput_target(name: str, rank: Rank) -> Target | None:
    if "flood-least_urgent" in name and rank is Rank.MOST_URGENT:
        return URGENT_GOODPUT
    return NEXT_GOODPUT if "flood" in name and rank is Rank.NEXT else None


def _measure_rank(
    name: str, goodput: Target | None, mine: RunResult, its: RunResult, rank: Rank
) -> Iterator[Measure]:
    one, other = mine.ranks[rank], its.ranks[rank]
    yield Measure(f"{name}/goodput", "share", one.goodput, other.goodput, goodput)
    for percentile in (50, 99):
        one_ms, other_ms = (tally.percentile_ms(percentile) for tally in (one, other))
        yield Measure(f"{name}/p{percentile}", "ms", one_ms, other_ms)
    for figure in ("sheds", "retries", "spills", "refused", "lost"):
        yield Measure(
            f"{name}/{figure}", "1/sent", _share(one, figure), _share(other, figure)
        )


def _share(tally: RankTally, figure: str) -> float:
    count: int = getattr(tally, figure)
    return count / tally.sent if tally.sent else 0.0


def _measure_latency_in_flood(name: str, fleet: Fleet, seed: int) -> Measure:
    """Compare the most urgent p99 in a flood of the least urgent with none."""
    flooded = flood(Rank.LEAST_URGENT, 10.0, DURATION_S)

    def ratio(policy: Policy) -> float:
        during, before = (
            run(fleet, scenario, policy, seed).ranks[Rank.MOST_URGENT]
            for scenario in (flooded, steady_load(DURATION_S))
        )
        return during.percentile_ms(99) / before.percentile_ms(99)

    target = Target(Bound.AT_MOST, P99_RATIO)
    name = f"{name}/flood-p99-over-steady-p99"
    return Measure(
        name, "ratio", ratio(product_policy()), ratio(baseline_policy()), target
    )
