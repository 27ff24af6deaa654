"""Tests of runs that do not end, and of processes that outlive their run."""

import os
import signal
from pathlib import Path

import anyio
import anyio.lowlevel
import pytest

from tanagercourse.soak import instance_process
from tanagercourse.soak.checks import Checks
from tanagercourse.soak.overruns import STACKS_FILE, OverrunError, watch_run


async def wait_without_end() -> None:
    with anyio.CancelScope(shield=True):
        await anyio.Event().wait()


async def signal_itself() -> None:
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(wait_without_end, name="waiting")
        await anyio.sleep(0.05)
        os.kill(os.getpid(), signal.SIGUSR1)
        await anyio.sleep(10.0)


def test_run_that_waits_in_a_shielded_scope_is_ended(tmp_path: Path) -> None:
    """A soak waited for 37 minutes until it was killed, and left no trace."""
    kills: list[int] = []
    with pytest.raises(OverrunError), watch_run(0.3, tmp_path, lambda: kills.append(1)):
        anyio.run(wait_without_end)
    stacks = (tmp_path / STACKS_FILE).read_text()
    assert kills and "in wait_without_end\n" in stacks and "in Event.wait\n" in stacks


def test_signal_writes_the_stacks_of_all_tasks(tmp_path: Path) -> None:
    with pytest.raises(OverrunError), watch_run(0.5, tmp_path, lambda: None):
        anyio.run(signal_itself)
    stacks = (tmp_path / STACKS_FILE).read_text()
    assert stacks.count("task waiting\n") == 2
    assert stacks.count("in signal_itself\n") >= 2


def test_process_that_starts_during_the_shutdown_is_killed(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A process that had not yet started when it was to be killed kept running."""
    monkeypatch.setattr(instance_process, "COMMAND", ("sleep", "30"))
    instance = instance_process.InstanceProcess("n", "h", 1, 2, tmp_path, Checks())

    async def shut_down_during_the_start() -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(instance.supervise)
            while instance.disturbance_count == 0:
                await anyio.lowlevel.checkpoint()
            await instance.shut_down()
            with anyio.fail_after(5.0):
                while instance.process is None or instance.process.returncode is None:
                    await anyio.sleep(0.01)

    anyio.run(shut_down_during_the_start)
