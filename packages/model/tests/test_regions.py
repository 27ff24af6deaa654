"""Spill in the model: within shares and caps, and worth it."""

import pytest

from tanagercourse.core.ids import RegionId
from tanagercourse.model.fleet import Fleet
from tanagercourse.model.policy import product_policy
from tanagercourse.model.region_spill import SHIFT_CAP, with_spill
from tanagercourse.model.run import run, simulate
from tanagercourse.model.scenarios import (
    STEADY_LOAD,
    Scenario,
    ScheduledEvent,
    cold_region,
    combine,
    drained_region,
    drained_third,
    lost_region,
    partitioned_zone,
    steady_load,
    stopped_reports,
)
from tanagercourse.model.simulation import Simulation

# Long enough to compare intervals before, during and after a fault.
DURATION_S = 12.0
SEED = 11
# A lost region's goodput is to be back so soon, in seconds, to this part of what
# remains possible.
RECOVERY_S = 10.0
RECOVERED = 0.99


def scenarios(region: RegionId) -> list[Scenario]:
    lost = lost_region(region, DURATION_S)
    return [
        drained_region(region, DURATION_S),
        combine(cold_region(region, DURATION_S), drained_third(DURATION_S)),
        combine(partitioned_zone(0, DURATION_S), stopped_reports(DURATION_S)),
        combine(lost, stopped_reports(DURATION_S)),
    ]


def test_shifts_stay_under_the_cap(fleet: Fleet) -> None:
    region = fleet.zones[0].region
    for scenario in scenarios(region):
        simulation = simulate(fleet, scenario, with_spill(product_policy()), SEED)
        failed = frozenset({region} if "region-lost" in scenario.name else ())
        assert (
            simulation.region_traffic.largest_shift(SHIFT_CAP.interval_s, failed)
            <= SHIFT_CAP.share
        )


def test_spill_serves_more_when_a_region_is_lost(fleet: Fleet) -> None:
    scenario = lost_region(fleet.zones[0].region, DURATION_S)
    mine = run(fleet, scenario, with_spill(product_policy()), SEED)
    local = run(fleet, scenario, product_policy(), SEED)
    good = sum(tally.good for tally in mine.ranks.values())
    assert good > sum(tally.good for tally in local.ranks.values())
    for tally in mine.ranks.values():
        assert tally.good + tally.late + tally.refused + tally.lost == tally.sent


@pytest.mark.xfail(strict=True, reason="KNOWN-RED: spills into a full region")
def test_nothing_is_spilled_into_a_full_region(fleet: Fleet) -> None:
    region = fleet.zones[0].region
    scenario = combine(cold_region(region, DURATION_S), lost_region(region, DURATION_S))
    simulation = simulate(fleet, scenario, with_spill(product_policy()), SEED)
    assert simulation.region_traffic.spills_into_full == 0


@pytest.mark.xfail(strict=True, reason="KNOWN-RED: goodput after a lost region")
def test_goodput_is_back_soon_after_a_lost_region(fleet: Fleet) -> None:
    region = fleet.zones[0].region
    before: list[tuple[int, int]] = []

    def lose(simulation: Simulation) -> None:
        for upstreams in simulation.upstreams.values():
            for upstream in upstreams:
                if upstream.zone.region == region:
                    upstream.fail()
        simulation.update_slot_counts()

    def count(simulation: Simulation) -> None:
        before.append(sent_and_good(simulation))

    events = (ScheduledEvent(1.0, lose), ScheduledEvent(1.0 + RECOVERY_S, count))
    scenario = Scenario("region-gone", 15.0, steady_load(15.0).loads, events)
    simulation = simulate(fleet, scenario, with_spill(product_policy()), SEED)
    sent, good = sent_and_good(simulation)
    goodput = (good - before[0][1]) / (sent - before[0][0])
    assert goodput >= RECOVERED * possible_goodput(simulation, region)


def sent_and_good(simulation: Simulation) -> tuple[int, int]:
    tallies = simulation.result.ranks.values()
    return sum(tally.sent for tally in tallies), sum(tally.good for tally in tallies)


def possible_goodput(simulation: Simulation, lost: RegionId) -> float:
    """Return the part of a steady load that the other regions can serve."""
    offered = served = 0.0
    for service in simulation.fleet.services:
        left = sum(
            upstream.zone.region != lost
            for upstream in simulation.upstreams[service.service]
        )
        offered += STEADY_LOAD * service.capacity_per_s
        rate = left / service.upstream_count * service.capacity_per_s
        served += min(rate, STEADY_LOAD * service.capacity_per_s)
    return served / offered
