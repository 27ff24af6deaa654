"""Spill in the model: within shares and caps, and worth it."""

import pytest

from tanagercourse.core.ids import RegionId
from tanagercourse.model.fleet import Fleet
from tanagercourse.model.policy import ours
from tanagercourse.model.region_spill import CAP, spilling
from tanagercourse.model.run import run, simulate
from tanagercourse.model.scenarios import (
    STEADY_LOAD,
    Event,
    Scenario,
    both,
    cold_region,
    drained_region,
    drained_third,
    lost_region,
    split_zone,
    steady,
    stopped_reports,
)
from tanagercourse.model.simulation import World

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
        both(cold_region(region, DURATION_S), drained_third(DURATION_S)),
        both(split_zone(0, DURATION_S), stopped_reports(DURATION_S)),
        both(lost, stopped_reports(DURATION_S)),
    ]


def test_shifts_stay_under_the_cap(fleet: Fleet) -> None:
    region = fleet.zones[0].region
    for scenario in scenarios(region):
        world = simulate(fleet, scenario, spilling(ours()), SEED)
        failed = frozenset({region} if "region-lost" in scenario.name else ())
        assert world.moves.largest_shift(CAP.interval_s, failed) <= CAP.share


def test_spill_serves_more_when_a_region_is_lost(fleet: Fleet) -> None:
    scenario = lost_region(fleet.zones[0].region, DURATION_S)
    mine = run(fleet, scenario, spilling(ours()), SEED)
    local = run(fleet, scenario, ours(), SEED)
    good = sum(tally.good for tally in mine.ranks.values())
    assert good > sum(tally.good for tally in local.ranks.values())
    for tally in mine.ranks.values():
        assert tally.good + tally.late + tally.refused + tally.lost == tally.sent


@pytest.mark.xfail(strict=True, reason="KNOWN-RED: spills into a full region")
def test_nothing_is_spilled_into_a_full_region(fleet: Fleet) -> None:
    region = fleet.zones[0].region
    scenario = both(cold_region(region, DURATION_S), lost_region(region, DURATION_S))
    world = simulate(fleet, scenario, spilling(ours()), SEED)
    assert world.moves.into_full == 0


@pytest.mark.xfail(strict=True, reason="KNOWN-RED: goodput after a lost region")
def test_goodput_is_back_soon_after_a_lost_region(fleet: Fleet) -> None:
    region = fleet.zones[0].region
    before: list[tuple[int, int]] = []

    def lose(world: World) -> None:
        for upstreams in world.upstreams.values():
            for upstream in upstreams:
                if upstream.zone.region == region:
                    upstream.fail()
        world.count_slots()

    def count(world: World) -> None:
        before.append(sent_and_good(world))

    events = (Event(1.0, lose), Event(1.0 + RECOVERY_S, count))
    scenario = Scenario("region-gone", 15.0, steady(15.0).loads, events)
    world = simulate(fleet, scenario, spilling(ours()), SEED)
    sent, good = sent_and_good(world)
    goodput = (good - before[0][1]) / (sent - before[0][0])
    assert goodput >= RECOVERED * possible_goodput(world, region)


def sent_and_good(world: World) -> tuple[int, int]:
    tallies = world.result.ranks.values()
    return sum(tally.sent for tally in tallies), sum(tally.good for tally in tallies)


def possible_goodput(world: World, lost: RegionId) -> float:
    """Return the part of a steady load that the other regions can serve."""
    offered = served = 0.0
    for service in world.fleet.services:
        left = sum(
            upstream.zone.region != lost
            for upstream in world.upstreams[service.service]
        )
        offered += STEADY_LOAD * service.capacity_per_s
        rate = left / service.upstreams * service.capacity_per_s
        served += min(rate, STEADY_LOAD * service.capacity_per_s)
    return served / offered
