"""Run tasks in virtual time: waits take no real time, and runs are deterministic."""

import asyncio
import selectors
from collections.abc import Awaitable, Callable
from typing import TypeVar

import anyio

T = TypeVar("T")


class VirtualSelector(selectors.DefaultSelector):
    """Advances a virtual clock where the event loop would wait.

    Attributes:
        now_s: Reading of the virtual clock, in seconds.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 1_000.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Return the ready events, or advance the clock by the timeout if none are."""
        ready = super().select(0)
        if not ready and timeout:
            self.now_s += timeout
        return ready


def make_virtual_loop() -> asyncio.AbstractEventLoop:
    """Return an event loop that runs in virtual time and cannot wait for I/O."""
    selector = VirtualSelector()
    loop = asyncio.SelectorEventLoop(selector)
    loop.time = lambda: selector.now_s  # type: ignore[method-assign]
    return loop


def run_in_virtual_time(run: Callable[[], Awaitable[T]]) -> T:
    """Run an asynchronous function to completion in virtual time."""
    return anyio.run(
        run, backend="asyncio", backend_options={"loop_factory": make_virtual_loop}
    )
