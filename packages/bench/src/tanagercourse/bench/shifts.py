"""Measure spill, shares and shift caps in the model, over scenarios and seeds."""

from collections.abc import Iterable, Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass

from tanagercourse.bench.fleets import fleet_of
from tanagercourse.bench.measure import Bound, Measure, Target
from tanagercourse.model.fleet import Fleet
from tanagercourse.model.policy import Policy, naive, ours
from tanagercourse.model.region_spill import CAP, spilling
from tanagercourse.model.run import simulate
from tanagercourse.model.scenarios import (
    Scenario,
    cold_region,
    drained_region,
    drained_third,
    lost_region,
    pairs,
    split_zone,
    stopped_reports,
)
from tanagercourse.testing.deployments import DEPLOYMENTS

LONG_S = 16.0
SHORT_S = 12.0
SEEDS = 1_000
PROCESSES = 6


@dataclass(frozen=True)
class Outcome:
    """What a run says of the promises about regions.

    Attributes:
        goodput: Share of all requests answered within their deadline.
        largest_shift: Largest share of a home's traffic moved in an interval.
        into_full: Requests spilled while no slot of the region was free.
    """

    goodput: float
    largest_shift: float
    into_full: int


def measure_shifts(seed: int) -> Iterable[Measure]:
    """Measure each scenario for both users."""
    for customer, deployment in DEPLOYMENTS.items():
        fleet = fleet_of(deployment)
        for scenario in scenarios(fleet, LONG_S):
            name = f"shift/{customer}/{scenario.name}"
            yield from _measure_scenario(name, fleet, scenario, seed)


def measure_seeds(seed: int) -> Iterable[Measure]:
    """Count runs that break a promise, over many seeds, faults and their pairs."""
    with ProcessPoolExecutor(PROCESSES) as processes:
        seeds = range(seed, seed + SEEDS)
        outcomes = list(processes.map(_observe_seed, seeds, chunksize=10))
    none = Target(Bound.AT_MOST, 0.0)
    past_cap = sum(outcome.largest_shift > CAP.share for outcome in outcomes)
    yield Measure(f"shift/{SEEDS}_seeds/past_cap", "runs", past_cap, target=none)
    full = sum(outcome.into_full > 0 for outcome in outcomes)
    yield Measure(f"shift/{SEEDS}_seeds/into_full_region", "runs", full, target=none)


def scenarios(fleet: Fleet, duration_s: float) -> list[Scenario]:
    """Return the faults that move traffic between regions."""
    region = fleet.zones[0].region
    return [
        lost_region(region, duration_s),
        cold_region(region, duration_s),
        split_zone(0, duration_s),
        stopped_reports(duration_s),
        drained_third(duration_s),
        drained_region(region, duration_s),
    ]


def observe(fleet: Fleet, scenario: Scenario, policy: Policy, seed: int) -> Outcome:
    """Run a scenario and return what it says of regions."""
    world = simulate(fleet, scenario, policy, seed)
    tallies = world.result.ranks.values()
    good = sum(tally.good for tally in tallies) / sum(tally.sent for tally in tallies)
    failed = frozenset(
        {fleet.zones[0].region} if "region-lost" in scenario.name else ()
    )
    shift = world.moves.largest_shift(CAP.interval_s, failed)
    return Outcome(good, shift, world.moves.into_full)


def _measure_scenario(
    name: str, fleet: Fleet, scenario: Scenario, seed: int
) -> Iterator[Measure]:
    mine = observe(fleet, scenario, spilling(ours()), seed)
    local = observe(fleet, scenario, ours(), seed)
    other = observe(fleet, scenario, naive(), seed)
    yield Measure(f"{name}/goodput", "of sent", mine.goodput, other.goodput)
    yield Measure(f"{name}/goodput_over_local", "of sent", mine.goodput, local.goodput)
    yield Measure(
        f"{name}/largest_shift",
        "of traffic",
        mine.largest_shift,
        other.largest_shift,
        Target(Bound.AT_MOST, CAP.share),
    )
    full = Target(Bound.AT_MOST, 0.0)
    counts = mine.into_full, other.into_full
    yield Measure(f"{name}/into_full_region", "requests", *counts, full)


def _observe_seed(seed: int) -> Outcome:
    deployments = list(DEPLOYMENTS.values())
    fleet = fleet_of(deployments[seed % len(deployments)])
    single = scenarios(fleet, SHORT_S)
    choices = [*single, *pairs(single)]
    scenario = choices[seed // len(deployments) % len(choices)]
    return observe(fleet, scenario, spilling(ours()), seed)
