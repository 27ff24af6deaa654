"""Run the program `tanagercourse` as a separate process, for tests."""

import os
import subprocess
import sys
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import anyio


@dataclass(frozen=True)
class CommandResult:
    """Exit code, standard output and standard error of a command."""

    code: int
    out: str
    err: str


# Accepts command arguments, and environment variables as keyword arguments.
RunCommand = Callable[..., Awaitable[CommandResult]]


def command_runner(platform_url: str, team: str) -> RunCommand:
    """Return a function that runs commands of a team against a platform."""

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
