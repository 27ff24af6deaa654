"""Tests of `tanagercourse settings`, each command run as a process."""

import dataclasses
import json
from pathlib import Path

import anyio
import pytest

from tanagercourse.core.ids import ObjectPath, TeamId
from tanagercourse.core.problems import InvalidField
from tanagercourse.operators.output import ExitCode
from tanagercourse.operators.owners import check_owner
from tanagercourse.settings.check import encode
from tanagercourse.settings.paths import history_path
from tanagercourse.settings.schema import FleetSettings, ServiceSettings
from tanagercourse.testing.commands import CommandResult, RunCommand
from tanagercourse.testing.platform import FakePlatform

MOTRITELJ = ObjectPath("/teams/preljev/services/motritelj")

pytestmark = pytest.mark.anyio


def write(file: str, settings: ServiceSettings | FleetSettings) -> None:
    Path(file).write_bytes(encode(settings))


async def test_applied_settings_are_printed_compared_and_recorded(
    run: RunCommand, service_file: str, service: ServiceSettings
) -> None:
    first_apply = await run("settings", "apply", MOTRITELJ, service_file)
    assert (first_apply.code, first_apply.err) == (ExitCode.DONE, "")
    got = await run("settings", "get", MOTRITELJ, "--output", "json")
    setting = json.loads(got.out)
    assert setting["value"] == json.loads(encode(service))
    write(service_file, dataclasses.replace(service, deadline_ms=750))
    compared = await run("settings", "diff", MOTRITELJ, service_file)
    assert '-  "deadline_ms": 2000' in compared.out
    assert '+  "deadline_ms": 750' in compared.out
    expect = ("--expect", str(setting["version"]))
    second_apply = await run("settings", "apply", MOTRITELJ, service_file, *expect)
    assert second_apply.code == ExitCode.DONE
    listed = await run("settings", "history", MOTRITELJ, "--output", "json")
    entries = json.loads(listed.out)
    assert [json.loads(e["value"])["deadline_ms"] for e in entries] == [2000, 750]
    assert all(entry["writer"].startswith("preljev.") for entry in entries)
    shown = await run(
        "settings", "history", MOTRITELJ, "--show", str(setting["version"])
    )
    assert json.loads(shown.out) == setting["value"]


async def test_other_teams_settings_are_refused(
    run: RunCommand, service_file: str, platform: FakePlatform
) -> None:
    refused = await run(
        "settings", "apply", MOTRITELJ, service_file, TANAGERCOURSE_TEAM="franchise"
    )
    assert refused.code == ExitCode.NOT_OWNER
    assert "belongs to team preljev" in refused.err
    assert "--team preljev" in refused.err
    assert platform.objects.version == 0


@pytest.mark.parametrize(
    "path",
    [
        "/system/leases/x",
        "/teams/preljev",
        "/teams/preljev/blocks",
        "/teams/preljev/services/",
        "fleet",
    ],
)
def test_paths_without_settings_are_refused(path: str) -> None:
    refused = check_owner(ObjectPath(path), TeamId("preljev"))
    assert isinstance(refused, InvalidField)
    assert "/teams/TEAM/services/SERVICE" in refused.describe()


async def test_racing_operators_have_one_winner(
    run: RunCommand, service_file: str, service: ServiceSettings, tmp_path: Path
) -> None:
    await run("settings", "apply", MOTRITELJ, service_file)
    got = await run("settings", "get", MOTRITELJ, "--output", "json")
    version = json.loads(got.out)["version"]
    results: list[CommandResult] = []

    async def apply_concurrently(deadline_ms: int) -> None:
        file = tmp_path / f"{deadline_ms}.json"
        write(str(file), dataclasses.replace(service, deadline_ms=deadline_ms))
        arguments = ("settings", "apply", MOTRITELJ, str(file))
        expect = ("--expect", str(version), "--output", "json")
        results.append(await run(*arguments, *expect))

    async with anyio.create_task_group() as tasks:
        for deadline_ms in (500, 600, 700):
            tasks.start_soon(apply_concurrently, deadline_ms)
    accepted = [result for result in results if result.code == ExitCode.DONE]
    refused = [result for result in results if result.code == ExitCode.CONFLICT]
    assert (len(accepted), len(refused)) == (1, 2)
    for result in refused:
        problem = json.loads(result.err)
        assert problem["problem"] == "EditConflict"
        assert problem["fields"]["expected"] == version
        assert problem["fields"]["found"] == json.loads(accepted[0].out)["version"]
        assert problem["fields"]["ours"] != problem["fields"]["theirs"]


async def test_edit_is_refused_if_the_settings_changed_while_the_editor_was_open(
    run: RunCommand, service_file: str, service: ServiceSettings, tmp_path: Path
) -> None:
    await run("settings", "apply", MOTRITELJ, service_file)
    # The editor creates this file when it starts and saves once the file is deleted.
    opened = tmp_path / "opened"
    editor = tmp_path / "editor"
    editor.write_text(
        f"#!/bin/sh\ntouch {opened}\nwhile test -e {opened}; do sleep 0.05; done\n"
        'sed -i s/2000/900/ "$1"\n'
    )
    editor.chmod(0o755)
    results: list[CommandResult] = []

    async def edit() -> None:
        results.append(await run("settings", "edit", MOTRITELJ, EDITOR=str(editor)))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(edit)
        while not opened.exists():
            await anyio.sleep(0.02)
        write(service_file, dataclasses.replace(service, deadline_ms=800))
        applied = await run("settings", "apply", MOTRITELJ, service_file)
        opened.unlink()
    assert applied.code == ExitCode.DONE
    assert results[0].code == ExitCode.CONFLICT
    assert '+  "deadline_ms": 900' in results[0].err
    assert '-  "deadline_ms": 800' in results[0].err


async def test_edit_applies_the_settings_saved_by_the_editor(
    run: RunCommand, service_file: str
) -> None:
    await run("settings", "apply", MOTRITELJ, service_file)
    editor = "sed -i s/2000/900/"
    edited = await run("settings", "edit", MOTRITELJ, EDITOR=editor)
    assert edited.code == ExitCode.DONE
    got = await run("settings", "get", MOTRITELJ)
    assert json.loads(got.out)["deadline_ms"] == 900


async def test_apply_succeeds_after_lost_replies_without_writing_twice(
    run: RunCommand, service_file: str, platform: FakePlatform
) -> None:
    platform.faults.replies_to_lose = 3
    applied = await run("settings", "apply", MOTRITELJ, service_file)
    assert applied.code == ExitCode.DONE
    # One write each for the claim, the settings and their history.
    assert platform.objects.version_of(MOTRITELJ) == 2
    assert platform.objects.version_of(history_path(MOTRITELJ)) == 3


async def test_unavailable_platform_is_reported_without_a_traceback(
    run: RunCommand, service_file: str, platform: FakePlatform
) -> None:
    platform.faults.is_down = True
    refused = await run("settings", "apply", MOTRITELJ, service_file)
    assert refused.code == ExitCode.UNAVAILABLE
    assert "Traceback" not in refused.err


async def test_applied_settings_are_listed_and_deleted(
    run: RunCommand, service_file: str, platform: FakePlatform
) -> None:
    await run("settings", "apply", MOTRITELJ, service_file)
    listed = await run("settings", "list")
    assert listed.out.splitlines()[1].startswith(MOTRITELJ)
    deleted = await run("settings", "delete", MOTRITELJ)
    assert (deleted.code, deleted.err) == (ExitCode.DONE, "")
    assert platform.objects.version_of(MOTRITELJ) == 0


async def test_validate_needs_no_platform(run: RunCommand, service_file: str) -> None:
    valid = await run("settings", "validate", MOTRITELJ, service_file)
    assert valid.code == ExitCode.DONE
    Path(service_file).write_text('{"service": "motritelj"}')
    invalid = await run("settings", "validate", MOTRITELJ, service_file)
    assert invalid.code == ExitCode.INVALID
    assert "rank is (missing); allowed: one of most_urgent" in invalid.err


async def test_get_of_missing_settings_fails(run: RunCommand) -> None:
    missing = await run("settings", "get", MOTRITELJ)
    assert missing.code == ExitCode.NOT_FOUND


async def test_completion_script_is_printed(run: RunCommand) -> None:
    completion = await run(_TANAGERCOURSE_COMPLETE="bash_source")
    assert "complete -o nosort" in completion.out
