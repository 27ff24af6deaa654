"""Tests of `tanagercourse status`, `explain` and `--wait-s`, run as processes."""

import json
import time

import anyio
import msgspec
import pytest

from tanagercourse.coordination.status import (
    ZONE_STATUS_PREFIX,
    InstanceStatus,
    ZoneStatus,
)
from tanagercourse.core.ids import (
    FencingVersion,
    Incarnation,
    InstanceId,
    ObjectPath,
    Version,
    WriterId,
    ZoneId,
)
from tanagercourse.core.states import InstanceState
from tanagercourse.operators.output import ExitCode
from tanagercourse.platform.store import Machine, Presence, Update
from tanagercourse.settings.check import FLEET_PATH, encode
from tanagercourse.settings.schema import FleetSettings, ServiceSettings, ZoneSettings
from tanagercourse.testing.commands import CommandResult, RunCommand
from tanagercourse.testing.platform import FakePlatform

pytestmark = pytest.mark.anyio

MOTRITELJ = ObjectPath("/teams/preljev/services/motritelj")


def put(platform: FakePlatform, path: ObjectPath, value: bytes) -> Version:
    expected = platform.objects.version_of(path)
    written = platform.objects.write(Update(path, expected, value, WriterId("test")))
    return written.unwrap().version


def report_zone(platform: FakePlatform, versions: dict[str, int]) -> None:
    """Write a zone status in which each instance has applied the given version."""
    instances = tuple(
        InstanceStatus(
            InstanceId(name), InstanceState.LIVE, Incarnation(1), Version(version), 0.5
        )
        for name, version in versions.items()
    )
    status = ZoneStatus(
        ZoneId("split-a"),
        InstanceId("entry-1"),
        FencingVersion(1),
        Version(max(versions.values())),
        time.time(),
        instances,
    )
    put(
        platform,
        ObjectPath(f"{ZONE_STATUS_PREFIX}split-a"),
        msgspec.json.encode(status),
    )


def list_machine(
    platform: FakePlatform, name: str, zone: str, presence: Presence
) -> None:
    machine = Machine(InstanceId(name), "127.0.0.1", 8080, ZoneId(zone), presence)
    platform.objects.machines[name] = machine


async def test_status_lists_lagging_instances(
    run: RunCommand, platform: FakePlatform
) -> None:
    empty = await run("status")
    assert "no zone has reported yet" in empty.out
    report_zone(platform, {"entry-1": 7, "entry-2": 5})
    as_table = await run("status")
    assert as_table.code == ExitCode.DONE
    assert "newest settings: version 7" in as_table.out
    lagging_row = as_table.out.splitlines()[-1].split()
    assert lagging_row[:5] == ["entry-2", "split-a", "live", "5", "lagging"]
    as_json = await run("status", "--output", "json")
    assert json.loads(as_json.out)["settings_version"] == 7


async def test_apply_waits_until_every_instance_has_applied_the_change(
    run: RunCommand, platform: FakePlatform, service_file: str
) -> None:
    results: list[CommandResult] = []
    report_zone(platform, {"entry-1": 0, "entry-2": 0})
    arguments = ("settings", "apply", MOTRITELJ, service_file)

    async def apply() -> None:
        results.append(await run(*arguments, "--wait-s", "30"))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(apply)
        while not (version := platform.objects.version_of(MOTRITELJ)):
            await anyio.sleep(0.02)
        # The first watch call returns immediately; each later one starts after the
        # command has printed the progress that it read.
        while platform.calls["/v1/watch"] < 2:
            await anyio.sleep(0.02)
        report_zone(platform, {"entry-1": version, "entry-2": 0})
        while platform.calls["/v1/watch"] < 3:
            await anyio.sleep(0.02)
        report_zone(platform, {"entry-1": version, "entry-2": version})
    assert results[0].code == ExitCode.DONE
    progress = [line.partition(": ")[2] for line in results[0].err.splitlines()]
    assert progress == [
        "in force at 0 of 2 instances, 2 lagging, 0 unreachable",
        "in force at 1 of 2 instances, 1 lagging, 0 unreachable",
        "in force at 2 of 2 instances, 0 lagging, 0 unreachable",
    ]


async def test_incomplete_rollout_is_reported_after_the_wait(
    run: RunCommand, platform: FakePlatform, service_file: str
) -> None:
    report_zone(platform, {"entry-1": 0})
    arguments = ("settings", "apply", MOTRITELJ, service_file, "--wait-s", "0.2")
    applied = await run(*arguments)
    assert applied.code == ExitCode.NOT_EVERYWHERE
    assert "still being rolled out" in applied.err


async def test_damaged_status_does_not_cause_a_busy_loop(
    run: RunCommand, platform: FakePlatform, service_file: str
) -> None:
    report_zone(platform, {"entry-1": 0})
    put(platform, ObjectPath(f"{ZONE_STATUS_PREFIX}damaged"), b"{")
    arguments = ("settings", "apply", MOTRITELJ, service_file, "--wait-s", "0.5")
    applied = await run(*arguments)
    assert applied.code == ExitCode.NOT_EVERYWHERE
    assert platform.calls["/v1/watch"] <= 2


@pytest.fixture
def fleet(platform: FakePlatform, service: ServiceSettings) -> None:
    """Store two zones and a service, and list three instances, one of them leaving."""
    zones = (ZoneSettings("split-a", "jadran"), ZoneSettings("cape-a", "cape"))
    put(platform, FLEET_PATH, encode(FleetSettings(zones)))
    put(platform, MOTRITELJ, encode(service))
    list_machine(platform, "entry-1", "split-a", Presence.LIVE)
    list_machine(platform, "entry-2", "cape-a", Presence.LIVE)
    list_machine(platform, "entry-3", "split-a", Presence.LEAVING)


@pytest.mark.usefixtures("fleet")
async def test_explain_shows_each_step(run: RunCommand) -> None:
    arguments = ("explain", "motritelj", "--client", "10.0.0.9", "--zone", "split-a")
    explained = await run(*arguments, "--output", "json")
    assert (explained.code, explained.err) == (ExitCode.DONE, "")
    steps = {step["question"]: step for step in json.loads(explained.out)}
    assert steps["the caller's place"]["answer"] == "split-a in jadran"
    instances_step = steps["entry instances to use, in order"]
    assert instances_step["answer"] == "entry-1 (split-a), entry-2 (cape-a)"
    assert "entry-3 is left out: it is leaving" in instances_step["reasons"]
    assert steps["admission"]["answer"] == "admitted as most_urgent"
    assert steps["upstream"]["answer"] == "m-1 (split-a)"
    short_deadline = await run(*arguments, "--deadline-ms", "1")
    assert "deadline, not run" in short_deadline.out


@pytest.mark.usefixtures("fleet")
async def test_explain_refuses_an_unknown_service_and_an_invalid_address(
    run: RunCommand,
) -> None:
    unknown = await run("explain", "nothing", "--client", "10.0.0.9")
    assert "refused as unknown, not run" in unknown.out
    invalid = await run("explain", "motritelj", "--client", "here")
    assert invalid.code == ExitCode.INVALID
