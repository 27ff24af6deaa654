"""Scenarios of a run: load by rank, and faults at scheduled times."""

from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, replace

from tanagercourse.core.ids import RegionId
from tanagercourse.core.states import RANKS, Rank
from tanagercourse.model.simulation import Simulation
from tanagercourse.model.upstream import ModelUpstream

# Offered load as a share of the capacity of the upstreams.
STEADY_LOAD = 0.7


@dataclass(frozen=True)
class LoadPhase:
    """Load of one rank during an interval.

    Attributes:
        rank: Rank of the requests.
        offered_load: Arrival rate as a share of the capacity of the rank's upstreams.
        begin_s: Start of the interval, in seconds.
        end_s: End of the interval, in seconds.
    """

    rank: Rank
    offered_load: float
    begin_s: float
    end_s: float


@dataclass(frozen=True)
class ScheduledEvent:
    """A change of the fleet at a scheduled time, in seconds."""

    at_s: float
    apply: Callable[[Simulation], None]


@dataclass(frozen=True)
class Scenario:
    """Load and events of one run.

    Attributes:
        name: Name in test ids and measures.
        duration_s: Time during which callers send requests, in seconds.
        loads: Load phases, which add up.
        events: Faults and other changes of the fleet.
        first_instance_share: Share of the requests that all go to the first instance;
            the rest is spread evenly.
    """

    name: str
    duration_s: float
    loads: tuple[LoadPhase, ...]
    events: tuple[ScheduledEvent, ...] = ()
    first_instance_share: float = 0.0


def steady_load(duration_s: float, load: float = STEADY_LOAD) -> Scenario:
    """Return a scenario with the same constant load on every rank.

    Args:
        duration_s: Length of the run, in seconds.
        load: Offered load as a share of capacity.
    """
    loads = tuple(LoadPhase(rank, load, 0.0, duration_s) for rank in RANKS)
    return Scenario("steady", duration_s, loads)


def flood(rank: Rank, factor: float, duration_s: float) -> Scenario:
    """Return a steady load in which one rank rises to a multiple of its capacity.

    Args:
        rank: The rank that rises, from a quarter of the run to its end.
        factor: Its offered load as a multiple of the capacity of its upstreams.
        duration_s: Length of the run, in seconds.
    """
    steady_scenario = steady_load(duration_s)
    extra_phase = LoadPhase(rank, factor - STEADY_LOAD, duration_s / 4, duration_s)
    return replace(
        steady_scenario,
        name=f"flood-{rank.value}",
        loads=(*steady_scenario.loads, extra_phase),
    )


def stopped_reports(duration_s: float) -> Scenario:
    """Return a steady load with load reports that stop after a quarter of the run."""
    event = ScheduledEvent(duration_s / 4, _stop_reports)
    return replace(steady_load(duration_s), name="reports-stopped", events=(event,))


def lost_region(region: RegionId, duration_s: float) -> Scenario:
    """Return a steady load during which a region's upstreams fail and restart."""
    failure = ScheduledEvent(
        duration_s / 4, lambda simulation: _set_region_up(simulation, region, False)
    )
    recovery = ScheduledEvent(
        duration_s / 2, lambda simulation: _set_region_up(simulation, region, True)
    )
    return replace(
        steady_load(duration_s), name="region-lost", events=(failure, recovery)
    )


def cold_region(region: RegionId, duration_s: float) -> Scenario:
    """Return a steady load during which all upstreams of a region turn cold."""

    def cool_caches(simulation: Simulation) -> None:
        for upstreams in simulation.upstreams.values():
            for upstream in upstreams:
                if upstream.zone.region == region:
                    upstream.restore()

    event = ScheduledEvent(duration_s / 4, cool_caches)
    return replace(steady_load(duration_s), name="region-cold", events=(event,))


def drained_third(duration_s: float) -> Scenario:
    """Return a load of 60% during which a third of the upstreams start to drain."""
    event = ScheduledEvent(duration_s / 4, _drain_third)
    return replace(steady_load(duration_s, 0.6), name="third-drained", events=(event,))


def drained_region(region: RegionId, duration_s: float) -> Scenario:
    """Return a load of 60% during which all upstreams of a region start to drain."""

    def drain(simulation: Simulation) -> None:
        for upstreams in simulation.upstreams.values():
            for upstream in upstreams:
                if upstream.zone.region == region:
                    upstream.faults.is_draining = True
        simulation.update_slot_counts()

    event = ScheduledEvent(duration_s / 4, drain)
    return replace(steady_load(duration_s, 0.6), name="region-drained", events=(event,))


def partitioned_zone(index: int, duration_s: float) -> Scenario:
    """Return a steady load during which a zone is cut off from all other zones.

    Args:
        index: Index of the availability zone in the fleet.
        duration_s: Length of the run, in seconds.
    """

    def cut_off(simulation: Simulation) -> None:
        simulation.partitioned_zones.add(simulation.fleet.zones[index])

    event = ScheduledEvent(duration_s / 4, cut_off)
    return replace(steady_load(duration_s), name="zone-split", events=(event,))


def false_load_reports(duration_s: float) -> Scenario:
    """Return a steady load during which a third of the upstreams report zero load."""
    event = ScheduledEvent(duration_s / 4, _report_zero_load)
    return replace(steady_load(duration_s), name="lying-reports", events=(event,))


def slow_upstreams(duration_s: float) -> Scenario:
    """Return a steady load during which every sixth upstream gets ten times slower."""
    event = ScheduledEvent(duration_s / 4, _slow_every_sixth)
    return replace(steady_load(duration_s), name="slow-upstreams", events=(event,))


def combine(base_scenario: Scenario, added_scenario: Scenario) -> Scenario:
    """Return a scenario with the loads and events of two scenarios.

    Load phases of the added scenario that start with the run are left out: they are its
    steady load, which the base scenario has already.
    """
    extra_phases = [
        phase
        for phase in added_scenario.loads
        if phase not in base_scenario.loads and phase.begin_s
    ]
    return Scenario(
        f"{base_scenario.name}+{added_scenario.name}",
        max(base_scenario.duration_s, added_scenario.duration_s),
        (*base_scenario.loads, *extra_phases),
        (*base_scenario.events, *added_scenario.events),
        max(base_scenario.first_instance_share, added_scenario.first_instance_share),
    )


def combine_pairs(scenarios: Sequence[Scenario]) -> list[Scenario]:
    """Return the combination of each pair of scenarios."""
    return [
        combine(base_scenario, added_scenario)
        for index, base_scenario in enumerate(scenarios)
        for added_scenario in scenarios[index + 1 :]
    ]


def _stop_reports(simulation: Simulation) -> None:
    simulation.are_reports_stopped = True


def _set_region_up(simulation: Simulation, region: RegionId, is_up: bool) -> None:
    for upstreams in simulation.upstreams.values():
        for upstream in upstreams:
            if upstream.zone.region == region:
                upstream.restore() if is_up else upstream.fail()
    simulation.update_slot_counts()


def _drain_third(simulation: Simulation) -> None:
    for upstream in _every_nth(3, simulation):
        upstream.faults.is_draining = True
    simulation.update_slot_counts()


def _report_zero_load(simulation: Simulation) -> None:
    for upstream in _every_nth(3, simulation):
        upstream.faults.reported_load_override = 0.0


def _slow_every_sixth(simulation: Simulation) -> None:
    for upstream in _every_nth(6, simulation):
        upstream.faults.service_time_factor = 10.0


def _every_nth(count: int, simulation: Simulation) -> Iterator[ModelUpstream]:
    """Yield every `count`-th upstream of each service in each region.

    The start is offset from region to region.
    """
    for service in simulation.fleet.services:
        for offset, region in enumerate(simulation.regions):
            yield from simulation.upstreams_in(service.service, region)[offset::count]
