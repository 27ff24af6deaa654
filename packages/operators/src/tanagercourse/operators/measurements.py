"""Read what the fleet measured, and the services it measured it for."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace

from returns.result import Failure, Result, Success

from tanagercourse.burn.paths import BURN, merge_tiers
from tanagercourse.burn.report import OwnedService
from tanagercourse.burn.series import DamagedSeries, Series, decode_series
from tanagercourse.operators.services import OwnedSettings, instances_in, services_in
from tanagercourse.platform.store import Machine, ObjectState, Store, StoreProblem
from tanagercourse.settings.paths import TEAMS_PREFIX, team_of


@dataclass(frozen=True)
class Measurements:
    """What a burn report is worked out from.

    Attributes:
        series: What each entry instance measured.
        services: Every service with its team.
        damaged: Objects that could not be read; they are gaps.
    """

    series: tuple[Series, ...]
    services: tuple[OwnedService, ...]
    damaged: tuple[DamagedSeries, ...]


async def read_measurements(store: Store) -> Result[Measurements, StoreProblem]:
    """Read everything that a burn report needs."""
    settings = await store.list_all(TEAMS_PREFIX)
    if isinstance(settings, Failure):
        return settings
    listed = await store.list_all(BURN)
    if isinstance(listed, Failure):
        return listed
    machines = await store.list_machines()
    if isinstance(machines, Failure):
        return machines
    services = services_in(settings.unwrap().objects)
    decoded = [
        decode_series(stored.path, stored.value)
        for stored in listed.unwrap().objects
        if stored.state is ObjectState.PRESENT
    ]
    parts = [each.unwrap() for each in decoded if not isinstance(each, Failure)]
    damaged = [each.failure() for each in decoded if isinstance(each, Failure)]
    instances = instances_in(machines.unwrap(), services)
    series = expect_live(merge_tiers(parts), instances)
    return Success(Measurements(series, _with_teams(services), tuple(damaged)))


def _with_teams(services: Iterable[OwnedSettings]) -> tuple[OwnedService, ...]:
    owned = ((team_of(each.path), each.settings) for each in services)
    return tuple(OwnedService(team, each) for team, each in owned if team is not None)


def expect_live(
    series: tuple[Series, ...], instances: Sequence[Machine]
) -> tuple[Series, ...]:
    """Expect measurements of every listed instance, and of no other.

    An instance that is listed but has published nothing is one long gap. One that
    is no longer listed is expected only as far as it measured.
    """
    listed = {instance.id for instance in instances}
    known = {each.source for each in series}
    silent = tuple(
        Series(instance.id, instance.zone, 0.0)
        for instance in instances
        if instance.id not in known
    )
    return silent + tuple(
        each if each.source in listed else _end_with_last(each) for each in series
    )


def _end_with_last(series: Series) -> Series:
    if series.stopped_at_s is not None or not series.intervals:
        return series
    ends_s = [each.start_s + each.measured_s for each in series.intervals]
    return replace(series, stopped_at_s=max(ends_s))
