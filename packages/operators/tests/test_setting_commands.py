"""`tanagercourse settings`, each command through its own process."""

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


async def test_apply_get_diff_and_history(
    run: RunCommand, service_file: str, service: ServiceSettings
) -> None:
    first = await run("settings", "apply", MOTRITELJ, service_file)
    assert (first.code, first.err) == (ExitCode.DONE, "")
    got = await run("settings", "get", MOTRITELJ, "--output", "json")
    answer = json.loads(got.out)
    assert answer["value"] == json.loads(encode(service))
    write(service_file, dataclasses.replace(service, deadline_ms=750))
    shown = await run("settings", "diff", MOTRITELJ, service_file)
    assert '-  "deadline_ms": 2000' in shown.out
    assert '+  "deadline_ms": 750' in shown.out
    expect = ("--expect", str(answer["version"]))
    second = await run("settings", "apply", MOTRITELJ, service_file, *expect)
    assert second.code == ExitCode.DONE
    listed = await run("settings", "history", MOTRITELJ, "--output", "json")
    entries = json.loads(listed.out)
    assert [json.loads(e["value"])["deadline_ms"] for e in entries] == [2000, 750]
    assert all(entry["writer"].startswith("preljev.") for entry in entries)
    old = await run("settings", "history", MOTRITELJ, "--show", str(answer["version"]))
    assert json.loads(old.out) == answer["value"]


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
    ended: list[CommandResult] = []

    async def race(deadline_ms: int) -> None:
        file = tmp_path / f"{deadline_ms}.json"
        write(str(file), dataclasses.replace(service, deadline_ms=deadline_ms))
        arguments = ("settings", "apply", MOTRITELJ, str(file))
        expect = ("--expect", str(version), "--output", "json")
        ended.append(await run(*arguments, *expect))

    async with anyio.create_task_group() as tasks:
        for deadline_ms in (500, 600, 700):
            tasks.start_soon(race, deadline_ms)
    won = [end for end in ended if end.code == ExitCode.DONE]
    lost = [end for end in ended if end.code == ExitCode.CONFLICT]
    assert (len(won), len(lost)) == (1, 2)
    for end in lost:
        problem = json.loads(end.err)
        assert problem["problem"] == "EditConflict"
        assert problem["fields"]["expected"] == version
        assert problem["fields"]["found"] == json.loads(won[0].out)["version"]
        assert problem["fields"]["ours"] != problem["fields"]["theirs"]


async def test_edit_is_refused_when_the_version_it_opened_is_gone(
    run: RunCommand, service_file: str, service: ServiceSettings, tmp_path: Path
) -> None:
    await run("settings", "apply", MOTRITELJ, service_file)
    opened = tmp_path / "opened"
    editor = tmp_path / "editor"
    editor.write_text(
        f"#!/bin/sh\ntouch {opened}\nwhile test -e {opened}; do sleep 0.05; done\n"
        'sed -i s/2000/900/ "$1"\n'
    )
    editor.chmod(0o755)
    ended: list[CommandResult] = []

    async def edit() -> None:
        ended.append(await run("settings", "edit", MOTRITELJ, EDITOR=str(editor)))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(edit)
        while not opened.exists():
            await anyio.sleep(0.02)
        write(service_file, dataclasses.replace(service, deadline_ms=800))
        other = await run("settings", "apply", MOTRITELJ, service_file)
        opened.unlink()
    assert other.code == ExitCode.DONE
    assert ended[0].code == ExitCode.CONFLICT
    assert '+  "deadline_ms": 900' in ended[0].err
    assert '-  "deadline_ms": 800' in ended[0].err


async def test_edit_applies_what_the_editor_saved(
    run: RunCommand, service_file: str
) -> None:
    await run("settings", "apply", MOTRITELJ, service_file)
    editor = "sed -i s/2000/900/"
    edited = await run("settings", "edit", MOTRITELJ, EDITOR=editor)
    assert edited.code == ExitCode.DONE
    got = await run("settings", "get", MOTRITELJ)
    assert json.loads(got.out)["deadline_ms"] == 900


async def test_lost_reply_is_settled(
    run: RunCommand, service_file: str, platform: FakePlatform
) -> None:
    platform.faults.replies_to_lose = 3
    applied = await run("settings", "apply", MOTRITELJ, service_file)
    assert applied.code == ExitCode.DONE
    # The claim, the settings and their history are one write each.
    assert platform.objects.version_of(MOTRITELJ) == 2
    assert platform.objects.version_of(history_path(MOTRITELJ)) == 3


async def test_platform_that_is_down_is_told(
    run: RunCommand, service_file: str, platform: FakePlatform
) -> None:
    platform.faults.is_down = True
    refused = await run("settings", "apply", MOTRITELJ, service_file)
    assert refused.code == ExitCode.UNAVAILABLE
    assert "Traceback" not in refused.err


async def test_list_and_delete(
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


async def test_nothing_at_a_path(run: RunCommand) -> None:
    missing = await run("settings", "get", MOTRITELJ)
    assert missing.code == ExitCode.NOT_FOUND


async def test_completion_is_clicks(run: RunCommand) -> None:
    completed = await run(_TANAGERCOURSE_COMPLETE="bash_source")
    assert "complete -o nosort" in completed.out
