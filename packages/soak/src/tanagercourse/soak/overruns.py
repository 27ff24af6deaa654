"""Write the stacks of a run's tasks on SIGUSR1, and end a run that takes too long."""

import asyncio
import os
import signal
import sys
import traceback
from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from pathlib import Path
from typing import Any, TextIO

# Name of the file with stacks in the folder of a run.
STACKS_FILE = "stacks"
# Time after which the process exits if a run that was ended still has not returned, in
# seconds.
EXIT_AFTER_S = 20.0


class OverrunError(Exception):
    """A run took longer than its limit."""


@contextmanager
def watch_run(
    limit_s: float, folder: Path, kill_processes: Callable[[], None]
) -> Iterator[None]:
    """Watch a run; call this in the main thread.

    A timer of the system measures the limit, so it also ends a run whose event loop
    waits without end or is blocked.

    Args:
        limit_s: Time after which the run is ended, in seconds.
        folder: Folder of the run, in which the stacks are written.
        kill_processes: Kills the processes of a run that is ended.

    Raises:
        OverrunError: The run took longer than its limit.
    """
    path = folder / STACKS_FILE
    has_overrun = False

    def write(*_: object) -> None:
        with path.open("a") as file:
            write_stacks(file)

    def end_run(*_: object) -> None:
        nonlocal has_overrun
        if has_overrun:
            os._exit(1)
        has_overrun = True
        write()
        kill_processes()
        raise OverrunError(f"the run took longer than {limit_s} s; stacks in {path}")

    previous = signal.signal(signal.SIGUSR1, write)
    previous_alarm = signal.signal(signal.SIGALRM, end_run)
    signal.setitimer(signal.ITIMER_REAL, limit_s, EXIT_AFTER_S)
    try:
        yield
    finally:
        signal.setitimer(signal.ITIMER_REAL, 0.0)
        signal.signal(signal.SIGUSR1, previous)
        signal.signal(signal.SIGALRM, previous_alarm)


def write_stacks(file: TextIO) -> None:
    """Write the stacks of the main thread and of all tasks of its event loop."""
    file.write("main thread\n")
    traceback.print_stack(sys._getframe(1), file=file)
    with suppress(RuntimeError):
        # Without a running loop there are no tasks.
        for task in asyncio.all_tasks():
            file.write(f"task {task.get_name()}\n")
            _write_awaited(task.get_coro(), file)


def _write_awaited(awaitable: Any, file: TextIO) -> None:
    """Write the frames of a coroutine and of all that it awaits, outermost first."""
    while awaitable is not None:
        frame = getattr(awaitable, "cr_frame", getattr(awaitable, "gi_frame", None))
        if frame is None:
            file.write(f"  waits for {awaitable!r}\n")
            return
        code = frame.f_code
        file.write(f"  {code.co_filename}:{frame.f_lineno} in {code.co_qualname}\n")
        awaitable = getattr(
            awaitable, "cr_await", getattr(awaitable, "gi_yieldfrom", None)
        )
