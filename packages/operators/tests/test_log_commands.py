"""Tests of `tanagercourse trace` and `report load`, run as processes."""

import json
from pathlib import Path

import pytest

from tanagercourse.operators.output import ExitCode
from tanagercourse.testing.commands import RunCommand

pytestmark = pytest.mark.anyio

REFUSAL = {
    "at": 1.0,
    "instance": "entry-1",
    "event": "refused",
    "request_id": "r1",
    "route": "reads",
    "status": 503,
    "reason": "overloaded",
    "took_ms": 250,
}


@pytest.fixture
def log_file(tmp_path: Path) -> str:
    file = tmp_path / "entry-1.log"
    file.write_text(json.dumps(REFUSAL) + "\nnot a log line\n")
    return str(file)


async def test_trace_tells_why_a_request_was_refused(
    run: RunCommand, log_file: str
) -> None:
    result = await run("trace", "r1", log_file)
    assert result.code == ExitCode.DONE
    assert "refused with 503 after 250 ms" in result.out


async def test_trace_of_an_unknown_request_is_not_found(
    run: RunCommand, log_file: str
) -> None:
    result = await run("trace", "r9", log_file, "--output", "json")
    assert result.code == ExitCode.NOT_FOUND
    assert json.loads(result.err)["problem"] == "UnknownRequest"


async def test_load_report_warns_of_lines_that_it_could_not_read(
    run: RunCommand, log_file: str
) -> None:
    result = await run("report", "load", log_file, "--output", "json")
    assert result.code == ExitCode.DONE
    assert json.loads(result.out)[0]["refused"] == {"overloaded": 1}
    assert "1 lines could not be read" in result.err
