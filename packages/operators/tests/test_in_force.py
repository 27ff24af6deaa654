"""A change goes from the command line to a real entry instance and back to status."""

import dataclasses
import json
from pathlib import Path

import pytest

from tanagercourse.core.ids import ObjectPath
from tanagercourse.operators.output import ExitCode
from tanagercourse.settings.check import decode_service, encode
from tanagercourse.testing.commands import RunCommand
from tanagercourse.testing.platform import FakePlatform
from tanagercourse.testing.processes import EntryProcess

pytestmark = pytest.mark.anyio

MOTRITELJ = ObjectPath("/teams/preljev/services/motritelj")


async def test_accepted_change_is_reported_in_force(
    run: RunCommand, platform: FakePlatform, entry: EntryProcess, tmp_path: Path
) -> None:
    stored = platform.objects.read(MOTRITELJ).unwrap()
    settings = decode_service(MOTRITELJ, stored.value).unwrap()
    file = tmp_path / "motritelj.json"
    file.write_bytes(encode(dataclasses.replace(settings, deadline_ms=700)))
    applied = await run("settings", "apply", MOTRITELJ, str(file), "--wait-s", "30")
    assert applied.code == ExitCode.DONE, applied.err
    assert "in force at 1 of 1 instances" in applied.err
    status = json.loads((await run("status", "--output", "json")).out)
    instances = [each for zone in status["zones"] for each in zone["instances"]]
    assert [each["status"]["instance"] for each in instances] == [entry.instance]
    assert instances[0]["status"]["version"] >= platform.objects.version_of(MOTRITELJ)
