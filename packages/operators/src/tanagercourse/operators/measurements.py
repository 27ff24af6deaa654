"""Read the entry instances' measurements and the settings of the measured services."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace

from returns.result import Failure, Result, Success

from tanagercourse.burn.paths import BURN_PREFIX, merge_tiers
from tanagercourse.burn.report import OwnedService
from tanagercourse.burn.series import DamagedSeries, Series, decode_series
from tanagercourse.operators.services import (
    StoredServiceSettings,
    decode_services,
    select_entry_instances,
)
from tanagercourse.platform.store import Machine, ObjectState, Store, StoreProblem
from tanagercourse.settings.paths import TEAMS_PREFIX, team_of


@dataclass(frozen=True)
class Measurements:
    """The input of a burn report.

    Attributes:
        series: The series measured by each entry instance.
        services: Every service with its team.
        damaged: Series that could not be decoded. They count as measurement gaps.
    """

    series: tuple[Series, ...]
    services: tuple[OwnedService, ...]
    damaged: tuple[DamagedSeries, ...]


async def read_measurements(store: Store) -> Result[Measurements, StoreProblem]:
    """Read the series, services and machines that a burn report is computed from.

    Returns:
        The measurements, or why the platform could not be read.
    """
    settings = await store.list_all(TEAMS_PREFIX)
    if isinstance(settings, Failure):
        return settings
    published = await store.list_all(BURN_PREFIX)
    if isinstance(published, Failure):
        return published
    machines = await store.list_machines()
    if isinstance(machines, Failure):
        return machines
    services = decode_services(settings.unwrap().objects)
    decoded = [
        decode_series(stored.path, stored.value)
        for stored in published.unwrap().objects
        if stored.state is ObjectState.PRESENT
    ]
    tiers = [result.unwrap() for result in decoded if not isinstance(result, Failure)]
    damaged = [result.failure() for result in decoded if isinstance(result, Failure)]
    instances = select_entry_instances(machines.unwrap(), services)
    series = reconcile_with_listed_instances(merge_tiers(tiers), instances)
    return Success(Measurements(series, _with_teams(services), tuple(damaged)))


def _with_teams(services: Iterable[StoredServiceSettings]) -> tuple[OwnedService, ...]:
    pairs = ((team_of(stored.path), stored.settings) for stored in services)
    return tuple(
        OwnedService(team, settings) for team, settings in pairs if team is not None
    )


def reconcile_with_listed_instances(
    series: tuple[Series, ...], instances: Sequence[Machine]
) -> tuple[Series, ...]:
    """Adjust series so that measurements are expected of the listed instances only.

    A listed instance without a series gets an empty one, so that the entire window
    counts as a gap. The series of an instance that is no longer listed ends with its
    last interval, so that the time after it does not count as a gap.

    Args:
        series: The published series.
        instances: The entry instances that the platform lists.
    """
    listed_ids = {instance.id for instance in instances}
    source_ids = {source.source for source in series}
    missing = tuple(
        Series(instance.id, instance.zone, 0.0)
        for instance in instances
        if instance.id not in source_ids
    )
    return missing + tuple(
        source if source.source in listed_ids else _stop_at_last_interval(source)
        for source in series
    )


def _stop_at_last_interval(series: Series) -> Series:
    if series.stopped_at_s is not None or not series.intervals:
        return series
    ends_s = [interval.start_s + interval.measured_s for interval in series.intervals]
    return replace(series, stopped_at_s=max(ends_s))
