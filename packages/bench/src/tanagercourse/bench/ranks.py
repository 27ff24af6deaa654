"""Measure goodput and latency by rank in the model, by scenario and user."""

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
PAIR_DURATION_S = 2.0
STEADY_LOADS = (0.5, 0.7, 0.9, 3.0)
MAX_P99_RATIO = 1.2

URGENT_GOODPUT_TARGET = Target(Bound.AT_LEAST, 0.999)
NEXT_GOODPUT_TARGET = Target(Bound.AT_LEAST, 0.95)
SLOT_UTILISATION_TARGET = Target(Bound.AT_LEAST, 0.95)


def measure_ranks(seed: int) -> Iterator[Measure]:
    """Run every scenario for both users, with the product's and the baseline policy."""
    for customer, deployment in DEPLOYMENTS.items():
        fleet = make_fleet(deployment)
        for scenario in measured_scenarios(fleet, DURATION_S):
            name = f"steering/{customer}/{scenario.name}"
            product = run(fleet, scenario, product_policy(), seed)
            baseline = run(fleet, scenario, baseline_policy(), seed)
            yield from _measure_scenario(name, fleet, product, baseline)
        yield _measure_latency_in_flood(f"steering/{customer}", fleet, seed)


def measured_scenarios(fleet: Fleet, duration_s: float) -> list[Scenario]:
    """Return the measured scenarios, steady loads first.

    Args:
        fleet: The fleet; the lost region is that of its first zone.
        duration_s: Length of each scenario, in seconds.
    """
    return [
        *(_name_by_load(steady_load(duration_s, load), load) for load in STEADY_LOADS),
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
    """Run each pair of faults or floods combined, for both users and both policies."""
    for customer, deployment in DEPLOYMENTS.items():
        fleet = make_fleet(deployment)
        faults = measured_scenarios(fleet, PAIR_DURATION_S)[len(STEADY_LOADS) :]
        for scenario in combine_pairs(faults):
            product = run(fleet, scenario, product_policy(), seed)
            baseline = run(fleet, scenario, baseline_policy(), seed)
            for rank in RANKS:
                name = f"pairs/{customer}/{scenario.name}/{rank.value}/goodput"
                product_goodput, baseline_goodput = (
                    product.ranks[rank].goodput,
                    baseline.ranks[rank].goodput,
                )
                yield Measure(name, "share", product_goodput, baseline_goodput)


def _name_by_load(scenario: Scenario, load: float) -> Scenario:
    return replace(scenario, name=f"steady-{load:.0%}")


def _measure_scenario(
    name: str, fleet: Fleet, product: RunResult, baseline: RunResult
) -> Iterator[Measure]:
    for rank in RANKS:
        yield from _measure_rank(
            f"{name}/{rank.value}", _goodput_target(name, rank), product, baseline, rank
        )
    for service in fleet.services:
        yield Measure(
            f"{name}/{service.service}/slot-use",
            "share",
            product.slot_utilisation(service.service),
            baseline.slot_utilisation(service.service),
            SLOT_UTILISATION_TARGET,
        )
    product_load, baseline_load = product.max_region_load(), baseline.max_region_load()
    yield Measure(f"{name}/highest-region-load", "share", product_load, baseline_load)


def _goodput_target(name: str, rank: Rank) -> Target | None:
    if "flood-least_urgent" in name and rank is Rank.MOST_URGENT:
        return URGENT_GOODPUT_TARGET
    return NEXT_GOODPUT_TARGET if "flood" in name and rank is Rank.NEXT else None


def _measure_rank(
    name: str,
    goodput_target: Target | None,
    product: RunResult,
    baseline: RunResult,
    rank: Rank,
) -> Iterator[Measure]:
    product_tally, baseline_tally = product.ranks[rank], baseline.ranks[rank]
    yield Measure(
        f"{name}/goodput",
        "share",
        product_tally.goodput,
        baseline_tally.goodput,
        goodput_target,
    )
    for percentile in (50, 99):
        product_ms, baseline_ms = (
            tally.percentile_ms(percentile) for tally in (product_tally, baseline_tally)
        )
        yield Measure(f"{name}/p{percentile}", "ms", product_ms, baseline_ms)
    for count_name in ("sheds", "retries", "spills", "refused", "lost"):
        yield Measure(
            f"{name}/{count_name}",
            "1/sent",
            _share_of_sent(product_tally, count_name),
            _share_of_sent(baseline_tally, count_name),
        )


def _share_of_sent(tally: RankTally, count_name: str) -> float:
    count: int = getattr(tally, count_name)
    return count / tally.sent if tally.sent else 0.0


def _measure_latency_in_flood(name: str, fleet: Fleet, seed: int) -> Measure:
    """Measure the most urgent p99 in a least urgent flood over that at steady load."""
    flood_scenario = flood(Rank.LEAST_URGENT, 10.0, DURATION_S)

    def p99_ratio(policy: Policy) -> float:
        with_flood, without_flood = (
            run(fleet, scenario, policy, seed).ranks[Rank.MOST_URGENT]
            for scenario in (flood_scenario, steady_load(DURATION_S))
        )
        return with_flood.percentile_ms(99) / without_flood.percentile_ms(99)

    target = Target(Bound.AT_MOST, MAX_P99_RATIO)
    name = f"{name}/flood-p99-over-steady-p99"
    return Measure(
        name, "ratio", p99_ratio(product_policy()), p99_ratio(baseline_policy()), target
    )
