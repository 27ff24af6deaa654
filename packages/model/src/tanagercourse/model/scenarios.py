"""What happens to a fleet in a run: loads by rank and planned faults."""

from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, replace

from tanagercourse.core.ids import RegionId
from tanagercourse.core.states import RANKS, Rank
from tanagercourse.model.simulation import World
from tanagercourse.model.upstream import ModelUpstream

STEADY_LOAD = 0.7


@dataclass(frozen=True)
class Load:
    """Requests of one rank for a while.

    Attributes:
        rank: Their rank.
        load: How many arrive, as a share of what the rank's upstreams can serve.
        begin_s: When they begin, in seconds.
        end_s: When they end, in seconds.
    """

    rank: Rank
    load: float
    begin_s: float
    end_s: float


@dataclass(frozen=True)
class Event:
    """Something that happens to the fleet at a time, in seconds."""

    at_s: float
    change: Callable[[World], None]


@dataclass(frozen=True)
class Scenario:
    """Loads and events of one run.

    Attributes:
        name: How results name it.
        duration_s: How long callers send, in seconds.
        loads: What they send.
        events: What happens meanwhile.
        crowded_share: Share of the requests that all go to the first instance, the
            rest being spread evenly.
    """

    name: str
    duration_s: float
    loads: tuple[Load, ...]
    events: tuple[Event, ...] = ()
    crowded_share: float = 0.0


def steady(duration_s: float, load: float = STEADY_LOAD) -> Scenario:
    """Return the same load on every rank."""
    loads = tuple(Load(rank, load, 0.0, duration_s) for rank in RANKS)
    return Scenario("steady", duration_s, loads)


def flood(rank: Rank, factor: float, duration_s: float) -> Scenario:
    """Return a steady load with one rank at a multiple of its capacity.

    Args:
        rank: The rank that floods in from a quarter of the run to its end.
        factor: Its load as a multiple of what its upstreams can serve.
        duration_s: Length of the run, in seconds.
    """
    base = steady(duration_s)
    extra = Load(rank, factor - STEADY_LOAD, duration_s / 4, duration_s)
    return replace(base, name=f"flood-{rank.value}", loads=(*base.loads, extra))


def stopped_reports(duration_s: float) -> Scenario:
    """Return a steady load whose measurements stop after a quarter of the run."""
    event = Event(duration_s / 4, _stop_reports)
    return replace(steady(duration_s), name="reports-stopped", events=(event,))


def lost_region(region: RegionId, duration_s: float) -> Scenario:
    """Return a steady load during which a region's upstreams fail and return."""
    fail = Event(duration_s / 4, lambda world: _set_region(world, region, False))
    back = Event(duration_s / 2, lambda world: _set_region(world, region, True))
    return replace(steady(duration_s), name="region-lost", events=(fail, back))


def cold_region(region: RegionId, duration_s: float) -> Scenario:
    """Return a steady load during which a region's caches go cold at once."""

    def chill(world: World) -> None:
        for upstreams in world.upstreams.values():
            for upstream in upstreams:
                if upstream.zone.region == region:
                    upstream.restore()

    event = Event(duration_s / 4, chill)
    return replace(steady(duration_s), name="region-cold", events=(event,))


def drained_third(duration_s: float) -> Scenario:
    """Return a steady load during which a third of the upstreams drain."""
    event = Event(duration_s / 4, _drain_third)
    return replace(steady(duration_s, 0.6), name="third-drained", events=(event,))


def drained_region(region: RegionId, duration_s: float) -> Scenario:
    """Return a steady load during which all upstreams of a region drain at once."""

    def drain(world: World) -> None:
        for upstreams in world.upstreams.values():
            for upstream in upstreams:
                if upstream.zone.region == region:
                    upstream.faults.is_draining = True
        world.count_slots()

    event = Event(duration_s / 4, drain)
    return replace(steady(duration_s, 0.6), name="region-drained", events=(event,))


def split_zone(index: int, duration_s: float) -> Scenario:
    """Return a steady load during which one availability zone is cut off."""

    def split(world: World) -> None:
        world.split_zones.add(world.fleet.zones[index])

    event = Event(duration_s / 4, split)
    return replace(steady(duration_s), name="zone-split", events=(event,))


def lying_reports(duration_s: float) -> Scenario:
    """Return a steady load during which a third of the upstreams report no load."""
    event = Event(duration_s / 4, _lie)
    return replace(steady(duration_s), name="lying-reports", events=(event,))


def slow_upstreams(duration_s: float) -> Scenario:
    """Return a steady load during which one upstream in six is ten times as slow."""
    event = Event(duration_s / 4, _slow_down)
    return replace(steady(duration_s), name="slow-upstreams", events=(event,))


def both(one: Scenario, other: Scenario) -> Scenario:
    """Return two scenarios at once: loads beyond the steady one, and all events."""
    extra = [load for load in other.loads if load not in one.loads and load.begin_s]
    return Scenario(
        f"{one.name}+{other.name}",
        max(one.duration_s, other.duration_s),
        (*one.loads, *extra),
        (*one.events, *other.events),
        max(one.crowded_share, other.crowded_share),
    )


def pairs(scenarios: Sequence[Scenario]) -> list[Scenario]:
    """Return each pair of scenarios at once."""
    return [
        both(one, other)
        for index, one in enumerate(scenarios)
        for other in scenarios[index + 1 :]
    ]


def _stop_reports(world: World) -> None:
    world.are_reports_stopped = True


def _set_region(world: World, region: RegionId, is_up: bool) -> None:
    for upstreams in world.upstreams.values():
        for upstream in upstreams:
            if upstream.zone.region == region:
                upstream.restore() if is_up else upstream.fail()
    world.count_slots()


def _drain_third(world: World) -> None:
    for upstream in _one_in(3, world):
        upstream.faults.is_draining = True
    world.count_slots()


def _lie(world: World) -> None:
    for upstream in _one_in(3, world):
        upstream.faults.reported_load = 0.0


def _slow_down(world: World) -> None:
    for upstream in _one_in(6, world):
        upstream.faults.slowness = 10.0


def _one_in(count: int, world: World) -> Iterator[ModelUpstream]:
    """Yield one in so many upstreams of each service in each region."""
    for service in world.fleet.services:
        for offset, region in enumerate(world.regions):
            yield from world.in_region(service.service, region)[offset::count]
