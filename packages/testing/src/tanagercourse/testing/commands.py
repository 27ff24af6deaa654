"""Run the binary `tanagercourse` as a process of its own, for tests."""

import os
import subprocess
import sys
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import anyio


@dataclass(frozen=True)
class CommandResult:
    """How a run of the binary ended: its exit code and both streams."""

    code: int
    out: str
    err: str


# Takes arguments, then environment variables by name.
RunCommand = Callable[..., Awaitable[CommandResult]]


def command_runner(platform_url: str, team: str) -> RunCommand:
    """Return a function that runs the binary against a platform for a team."""

    async def run(*arguments: str, **env: str) -> CommandResult:
        platform_environment = {
            "TANAGERCOURSE_PLATFORM_URL": platform_url,
            "TANAGERCOURSE_TEAM": team,
        }
        process = await anyio.run_process(
            [sys.executable, "-m", "tanagercourse.operators.main", *arguments],
            env={**os.environ, **platform_environment, **env},
            check=False,
            stdin=subprocess.DEVNULL,
        )
        out, err = process.stdout.decode(), process.stderr.decode()
        return CommandResult(process.returncode, out, err)

    return run
