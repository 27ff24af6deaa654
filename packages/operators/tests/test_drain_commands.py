"""Tests of `tanagercourse drain` and `undrain`, each run as a process."""

import dataclasses
import json

import anyio
import pytest

from tanagercourse.core.ids import NO_VERSION, ObjectPath, WriterId
from tanagercourse.operators.output import ExitCode
from tanagercourse.platform.store import Update
from tanagercourse.settings.check import FLEET_PATH, decode_service, encode
from tanagercourse.settings.schema import (
    Duty,
    FleetSettings,
    ServiceSettings,
    UpstreamSettings,
    ZoneSettings,
)
from tanagercourse.testing.commands import CommandResult, RunCommand
from tanagercourse.testing.platform import FakePlatform

MOTRITELJ = ObjectPath("/teams/preljev/services/motritelj")

ZONES = ("split-a", "rijeka-b", "osijek-a", "vukovar-b")

pytestmark = pytest.mark.anyio


@pytest.fixture(autouse=True)
def motritelj(platform: FakePlatform, service: ServiceSettings) -> None:
    """Store settings of service motritelj with one upstream in each zone."""
    upstreams = tuple(
        UpstreamSettings(f"m-{index}", f"10.0.0.{index}", 8080, zone)
        for index, zone in enumerate(ZONES, 1)
    )
    value = encode(dataclasses.replace(service, upstreams=upstreams))
    platform.objects.write(
        Update(
            MOTRITELJ, platform.objects.version_of(MOTRITELJ), value, WriterId("test")
        )
    )


def stored_duties(platform: FakePlatform) -> list[Duty]:
    stored = platform.objects.read(MOTRITELJ).unwrap()
    settings = decode_service(MOTRITELJ, stored.value).unwrap()
    return [upstream.duty for upstream in settings.upstreams]


async def test_dry_run_shows_the_traffic_shift_and_changes_nothing(
    run: RunCommand, platform: FakePlatform
) -> None:
    # Without fleet settings, each zone is treated as a region. Draining m-1 moves a
    # quarter of the traffic to other regions, which takes two intervals under a cap
    # of a fifth of the traffic per interval.
    dry_run = await run("drain", "motritelj", "m-1", "--dry-run")
    assert dry_run.code == ExitCode.DONE
    assert "over 2 intervals (10 s), cap 20.0% per 5 s" in dry_run.out
    assert stored_duties(platform) == [Duty.SERVE] * 4
    zones = tuple(ZoneSettings(zone, "jadran") for zone in ZONES)
    platform.objects.write(
        Update(FLEET_PATH, NO_VERSION, encode(FleetSettings(zones)), WriterId("test"))
    )
    dry_run = await run("drain", "motritelj", "m-1", "--dry-run")
    assert "traffic would move within regions only, immediately" in dry_run.out


async def test_drain_and_undrain_change_the_upstreams_duty(
    run: RunCommand, platform: FakePlatform
) -> None:
    drain_result = await run("drain", "motritelj", "m-2", "--output", "json")
    assert json.loads(drain_result.out)["version"] == platform.objects.version_of(
        MOTRITELJ
    )
    assert stored_duties(platform) == [Duty.SERVE, Duty.DRAIN, Duty.SERVE, Duty.SERVE]
    await run("undrain", "motritelj", "m-2")
    assert stored_duties(platform) == [Duty.SERVE] * 4


async def test_racing_drains_all_take_effect(
    run: RunCommand, platform: FakePlatform
) -> None:
    results: list[CommandResult] = []

    async def drain(upstream: str) -> None:
        results.append(await run("drain", "motritelj", upstream))

    async with anyio.create_task_group() as tasks:
        for upstream in ("m-1", "m-2", "m-3"):
            tasks.start_soon(drain, upstream)
    assert [result.code for result in results] == [ExitCode.DONE] * 3
    assert stored_duties(platform) == [Duty.DRAIN] * 3 + [Duty.SERVE]


async def test_unknown_upstream_is_refused(run: RunCommand) -> None:
    refused = await run("drain", "motritelj", "m-9")
    assert refused.code == ExitCode.INVALID
    assert "m-1, m-2, m-3, m-4" in refused.err
