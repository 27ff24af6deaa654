"""What happens to a fleet in a run: loads by rank and planned faults."""

from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, replace

from tanagercourse.core.ids import RegionId
from tanagercourse.core.states import RANKS, Rank
from tanagercourse.model.simulation import Simulation
from tanagercourse.model.upstream import ModelUpstream

STEADY_LOAD = 0.7


@dataclass(frozen=True)
class LoadPhase:
    """Requests of one rank for a while.

    Attributes:
        rank: Their rank.
        offered_load: How many arrive, as a share of what the rank's upstreams can serve.
        begin_s: When they begin, in seconds.
        end_s: When they end, in seconds.
    """

    rank: Rank
    offered_load: float
    begin_s: float
    end_s: float


@dataclass(frozen=True)
class ScheduledEvent:
    """Something that happens to the fleet at a time, in seconds."""

    at_s: float
    apply: Callable[[Simulation], None]


@dataclass(frozen=True)
class Scenario:
    """Loads and events of one run.

    Attributes:
        name: How results name it.
        duration_s: How long callers send, in seconds.
        loads: What they send.
        events: What happens meanwhile.
        first_instance_share: Share of the requests that all go to the first instance, the
            rest being spread evenly.
    """

    name: str
    duration_s: float
    loads: tuple[LoadPhase, ...]
    events: tuple[ScheduledEvent, ...] = ()
    first_instance_share: float = 0.0


def steady_load(duration_s: float, load: float = STEADY_LOAD) -> Scenario:
    """Return the same load on every rank."""
    loads = tuple(LoadPhase(rank, load, 0.0, duration_s) for rank in RANKS)
    return Scenario("steady", duration_s, loads)


def flood(rank: Rank, factor: float, duration_s: float) -> Scenario:
    """Return a steady load with one rank at a multiple of its capacity.

    Args:
        rank: The rank that floods in from a quarter of the run to its end.
        factor: Its load as a multiple of what its upstreams can serve.
        duration_s: Length of the run, in seconds.
    """
    base = steady_load(duration_s)
    extra = LoadPhase(rank, factor - STEADY_LOAD, duration_s / 4, duration_s)
    return replace(base, name=f"flood-{rank.value}", loads=(*base.loads, extra))


def stopped_reports(duration_s: float) -> Scenario:
    """Return a steady load whose measurements stop after a quarter of the run."""
    event = ScheduledEvent(duration_s / 4, _stop_reports)
    return replace(steady_load(duration_s), name="reports-stopped", events=(event,))


def lost_region(region: RegionId, duration_s: float) -> Scenario:
    """Return a steady load during which a region's upstreams fail and return."""
    fail = ScheduledEvent(
        duration_s / 4, lambda simulation: _set_region_up(simulation, region, False)
    )
    back = ScheduledEvent(
        duration_s / 2, lambda simulation: _set_region_up(simulation, region, True)
    )
    return replace(steady_load(duration_s), name="region-lost", events=(fail, back))


def cold_region(region: RegionId, duration_s: float) -> Scenario:
    """Return a steady load during which a region's caches go cold at once."""

    def cool_caches(simulation: Simulation) -> None:
        for upstreams in simulation.upstreams.values():
            for upstream in upstreams:
                if upstream.zone.region == region:
                    upstream.restore()

    event = ScheduledEvent(duration_s / 4, cool_caches)
    return replace(steady_load(duration_s), name="region-cold", events=(event,))


def drained_third(duration_s: float) -> Scenario:
    """Return a steady load during which a third of the upstreams drain."""
    event = ScheduledEvent(duration_s / 4, _drain_third)
    return replace(steady_load(duration_s, 0.6), name="third-drained", events=(event,))


def drained_region(region: RegionId, duration_s: float) -> Scenario:
    """Return a steady load during which all upstreams of a region drain at once."""

    def drain(simulation: Simulation) -> None:
        for upstreams in simulation.upstreams.values():
            for upstream in upstreams:
                if upstream.zone.region == region:
                    upstream.faults.is_draining = True
        simulation.update_slot_counts()

    event = ScheduledEvent(duration_s / 4, drain)
    return replace(steady_load(duration_s, 0.6), name="region-drained", events=(event,))


def partitioned_zone(index: int, duration_s: float) -> Scenario:
    """Return a steady load during which one availability zone is cut off."""

    def split(simulation: Simulation) -> None:
        simulation.partitioned_zones.add(simulation.fleet.zones[index])

    event = ScheduledEvent(duration_s / 4, split)
    return replace(steady_load(duration_s), name="zone-split", events=(event,))


def false_load_reports(duration_s: float) -> Scenario:
    """Return a steady load during which a third of the upstreams report no load."""
    event = ScheduledEvent(duration_s / 4, _report_zero_load)
    return replace(steady_load(duration_s), name="lying-reports", events=(event,))


def slow_upstreams(duration_s: float) -> Scenario:
    """Return a steady load during which one upstream in six is ten times as slow."""
    event = ScheduledEvent(duration_s / 4, _slow_every_sixth)
    return replace(steady_load(duration_s), name="slow-upstreams", events=(event,))


def combine(one: Scenario, other: Scenario) -> Scenario:
    """Return two scenarios at once: loads beyond the steady one, and all events."""
    extra = [load for load in other.loads if load not in one.loads and load.begin_s]
    return Scenario(
        f"{one.name}+{other.name}",
        max(one.duration_s, other.duration_s),
        (*one.loads, *extra),
        (*one.events, *other.events),
        max(one.first_instance_share, other.first_instance_share),
    )


def combine_pairs(scenarios: Sequence[Scenario]) -> list[Scenario]:
    """Return each pair of scenarios at once."""
    return [
        combine(one, other)
        for index, one in enumerate(scenarios)
        for other in scenarios[index + 1 :]
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
    """Yield one in so many upstreams of each service in each region."""
    for service in simulation.fleet.services:
        for offset, region in enumerate(simulation.regions):
            yield from simulation.upstreams_in(service.service, region)[offset::count]
