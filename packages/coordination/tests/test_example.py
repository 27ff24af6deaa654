"""The embedding example prints the documented output and stays short."""

import subprocess
import sys
from pathlib import Path

import anyio
import pytest

from tanagercourse.testing.platform import FakePlatform

EXAMPLE = Path(__file__).parents[3] / "examples" / "embed.py"
MAX_EXAMPLE_LINES = 60


@pytest.mark.anyio
async def test_example_prints_documented_output(
    platform: FakePlatform, platform_url: str
) -> None:
    command = [sys.executable, str(EXAMPLE), platform_url]

    def run_example() -> subprocess.CompletedProcess[str]:
        return subprocess.run(command, capture_output=True, text=True, timeout=20)

    completed = await anyio.to_thread.run_sync(run_example)
    assert completed.returncode == 0, completed.stderr
    lines = completed.stdout.splitlines()
    assert sum("greeting version" in line for line in lines) == 2
    assert lines[-1] == "lease held: True"


def test_example_is_short() -> None:
    assert len(EXAMPLE.read_text().splitlines()) < MAX_EXAMPLE_LINES
