"""Measure spill between regions and its limits in the model, by scenario and seed."""

from collections.abc import Iterable, Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass

from tanagercourse.bench.fleets import make_fleet
from tanagercourse.bench.measure import Bound, Measure, Target
from tanagercourse.model.fleet import Fleet
from tanagercourse.model.policy import Policy, baseline_policy, product_policy
from tanagercourse.model.region_spill import SHIFT_CAP, with_spill
from tanagercourse.model.run import simulate
from tanagercourse.model.scenarios import (
    Scenario,
    cold_region,
    combine_pairs,
    drained_region,
    drained_third,
    lost_region,
    partitioned_zone,
    stopped_reports,
)
from tanagercourse.testing.deployments import DEPLOYMENTS

SCENARIO_DURATION_S = 16.0
SEED_DURATION_S = 12.0
SEED_COUNT = 1_000
PROCESS_COUNT = 6


@dataclass(frozen=True)
class ShiftResult:
    """The figures of a run that the guarantees about regions limit.

    Attributes:
        goodput: Share of all requests answered within their deadline.
        largest_shift: Largest share of a home region's traffic moved in an interval.
        spills_into_full: Requests spilled into a region without a free slot.
    """

    goodput: float
    largest_shift: float
    spills_into_full: int


def measure_shifts(seed: int) -> Iterable[Measure]:
    """Measure each fault scenario with the fleets of both users."""
    for customer, deployment in DEPLOYMENTS.items():
        fleet = make_fleet(deployment)
        for scenario in region_faults(fleet, SCENARIO_DURATION_S):
            name = f"shift/{customer}/{scenario.name}"
            yield from _measure_scenario(name, fleet, scenario, seed)


def measure_seeds(seed: int) -> Iterable[Measure]:
    """Count runs that break a guarantee, over many seeds, faults and fault pairs."""
    with ProcessPoolExecutor(PROCESS_COUNT) as processes:
        seeds = range(seed, seed + SEED_COUNT)
        results = list(processes.map(_measure_seed, seeds, chunksize=10))
    zero_target = Target(Bound.AT_MOST, 0.0)
    runs_past_cap = sum(result.largest_shift > SHIFT_CAP.share for result in results)
    yield Measure(
        f"shift/{SEED_COUNT}_seeds/past_cap", "runs", runs_past_cap, target=zero_target
    )
    runs_into_full = sum(result.spills_into_full > 0 for result in results)
    yield Measure(
        f"shift/{SEED_COUNT}_seeds/into_full_region",
        "runs",
        runs_into_full,
        target=zero_target,
    )


def region_faults(fleet: Fleet, duration_s: float) -> list[Scenario]:
    """Return the scenarios of faults that move traffic between regions."""
    region = fleet.zones[0].region
    return [
        lost_region(region, duration_s),
        cold_region(region, duration_s),
        partitioned_zone(0, duration_s),
        stopped_reports(duration_s),
        drained_third(duration_s),
        drained_region(region, duration_s),
    ]


def measure_run(
    fleet: Fleet, scenario: Scenario, policy: Policy, seed: int
) -> ShiftResult:
    """Run a scenario and return the figures that the guarantees limit."""
    simulation = simulate(fleet, scenario, policy, seed)
    tallies = simulation.result.ranks.values()
    goodput = sum(tally.good for tally in tallies) / sum(
        tally.sent for tally in tallies
    )
    failed = frozenset(
        {fleet.zones[0].region} if "region-lost" in scenario.name else ()
    )
    shift = simulation.region_traffic.largest_shift(SHIFT_CAP.interval_s, failed)
    return ShiftResult(goodput, shift, simulation.region_traffic.spills_into_full)


def _measure_scenario(
    name: str, fleet: Fleet, scenario: Scenario, seed: int
) -> Iterator[Measure]:
    product = measure_run(fleet, scenario, with_spill(product_policy()), seed)
    without_spill = measure_run(fleet, scenario, product_policy(), seed)
    baseline = measure_run(fleet, scenario, baseline_policy(), seed)
    yield Measure(f"{name}/goodput", "of sent", product.goodput, baseline.goodput)
    yield Measure(
        f"{name}/goodput_over_local", "of sent", product.goodput, without_spill.goodput
    )
    yield Measure(
        f"{name}/largest_shift",
        "of traffic",
        product.largest_shift,
        baseline.largest_shift,
        Target(Bound.AT_MOST, SHIFT_CAP.share),
    )
    zero_target = Target(Bound.AT_MOST, 0.0)
    counts = product.spills_into_full, baseline.spills_into_full
    yield Measure(f"{name}/into_full_region", "requests", *counts, zero_target)


def _measure_seed(seed: int) -> ShiftResult:
    deployments = list(DEPLOYMENTS.values())
    fleet = make_fleet(deployments[seed % len(deployments)])
    faults = region_faults(fleet, SEED_DURATION_S)
    choices = [*faults, *combine_pairs(faults)]
    scenario = choices[seed // len(deployments) % len(choices)]
    return measure_run(fleet, scenario, with_spill(product_policy()), seed)
