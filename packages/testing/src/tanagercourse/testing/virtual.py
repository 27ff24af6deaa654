"""Run tasks in virtual time: a wait takes no real time, and runs repeat exactly."""

import asyncio
import selectors
from collections.abc import Awaitable, Callable
from typing import TypeVar

import anyio

T = TypeVar("T")


class VirtualSelector(selectors.DefaultSelector):
    """Moves a clock on where the event loop would wait.

    Attributes:
        now_s: The virtual clock, in seconds.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 1_000.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Return what is ready now, else move the clock on by the timeout."""
        ready = super().select(0)
        if not ready and timeout:
            self.now_s += timeout
        return ready


def make_virtual_loop() -> asyncio.AbstractEventLoop:
    """Return an event loop that lives in virtual time; it does no I/O."""
    selector = VirtualSelector()
    loop = asyncio.SelectorEventLoop(selector)
    loop.time = lambda: selector.now_s  # type: ignore[method-assign]
    return loop


def run_in_virtual_time(run: Callable[[], Awaitable[T]]) -> T:
    """Run an asynchronous function to its end in virtual time."""
    return anyio.run(
        run, backend="asyncio", backend_options={"loop_factory": make_virtual_loop}
    )
