"""The example of embedding runs as its page says."""

import subprocess
import sys
from pathlib import Path

import anyio
import pytest

from tanagercourse.testing.platform import FakePlatform

EXAMPLE = Path(__file__).parents[3] / "examples" / "embed.py"
MAX_LINES = 60


@pytest.mark.anyio
async def test_example_runs(platform: FakePlatform, platform_url: str) -> None:
    command = [sys.executable, str(EXAMPLE), platform_url]

    def run() -> subprocess.CompletedProcess[str]:
        return subprocess.run(command, capture_output=True, text=True, timeout=20)

    ran = await anyio.to_thread.run_sync(run)
    assert ran.returncode == 0, ran.stderr
    lines = ran.stdout.splitlines()
    assert sum("greeting version" in line for line in lines) == 2
    assert lines[-1] == "lease held: True"


def test_example_is_short() -> None:
    assert len(EXAMPLE.read_text().splitlines()) < MAX_LINES
