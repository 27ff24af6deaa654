"""Read what the fleet measured, and the services it measured it for."""

from dataclasses import dataclass, replace

from returns.result import Failure, Result, Success
from tanagercourse.burn.paths import BURN, join_parts
from tanagercourse.burn.report import OwnedService
from tanagercourse.burn.series import DamagedSeries, Series, decode_series
from tanagercourse.platform.store import Machine, ObjectState, Store, StoreProblem
from tanagercourse.settings.check import decode_service
from tanagercourse.settings.paths import TEAMS, team_of


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
    services = await read_services(store)
    if isinstance(services, Failure):
        return services
    listed = await store.list_all(BURN)
    if isinstance(listed, Failure):
        return listed
    machines = await store.list_machines()
    if isinstance(machines, Failure):
        return machines
    decoded = [
        decode_series(stored.path, stored.value)
        for stored in listed.unwrap().objects
        if stored.state is ObjectState.PRESENT
    ]
    parts = [each.unwrap() for each in decoded if not isinstance(each, Failure)]
    damaged = [each.failure() for each in decoded if isinstance(each, Failure)]
    upstreams = {
        upstream.id
        for owned in services.unwrap()
        for upstream in owned.settings.upstreams
    }
    instances = [each for each in machines.unwrap() if each.id not in upstreams]
    series = expect_live(join_parts(parts), instances)
    return Success(Measurements(series, services.unwrap(), tuple(damaged)))


async def read_services(
    store: Store,
) -> Result[tuple[OwnedService, ...], StoreProblem]:
    """Return every service whose settings can be read, with its team."""
    listed = await store.list_all(TEAMS)
    if isinstance(listed, Failure):
        return listed
    services = []
    for stored in listed.unwrap().objects:
        team = team_of(stored.path)
        decoded = decode_service(stored.path, stored.value)
        if team is not None and not isinstance(decoded, Failure):
            services.append(OwnedService(team, decoded.unwrap()))
    return Success(tuple(services))


def expect_live(
    series: tuple[Series, ...], instances: list[Machine]
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
