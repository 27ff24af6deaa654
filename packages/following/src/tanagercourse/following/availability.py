"""Tell by cheap calls whether the platform answers this instance.

A store that was silent may never answer the watches that it took then, and a watch is
too dear to be asked again and again. So one cheap call at a time tells whether the
store answers; when it does not, every watch is given up, and none is begun until it
answers again.
"""

from collections.abc import Awaitable, Callable
from random import Random
from typing import TypeVar

import anyio
import structlog
from returns.result import Failure, Result

from tanagercourse.platform.store import StoreProblem

# Pause between two calls while the platform answers, in seconds.
CHECK_INTERVAL_S = 1.0
# The same while it does not.
OUTAGE_CHECK_INTERVAL_S = 0.25
# How much a pause varies, so that instances do not ask all at once.
CHECK_JITTER = 0.2

T = TypeVar("T")
Log = structlog.typing.FilteringBoundLogger
# Asks the platform for next to nothing.
CheckPlatform = Callable[[], Awaitable[Result[None, StoreProblem]]]


class PlatformAvailability:
    """Whether the platform answered the last check."""

    def __init__(self) -> None:
        """Create a contact that takes the platform for answering."""
        self.is_lost = False
        self._regained = anyio.Event()
        self._waiting: set[anyio.CancelScope] = set()

    async def run_while_available(self, call: Awaitable[T]) -> T | None:
        """Await a call; return None when the platform stops answering meanwhile."""
        with anyio.CancelScope() as scope:
            self._waiting.add(scope)
            try:
                return await call
            finally:
                self._waiting.discard(scope)
        return None

    async def wait_until_available(self) -> None:
        """Wait until the platform answers."""
        while self.is_lost:
            await self._regained.wait()

    def mark_unavailable(self) -> None:
        """Note that the platform does not answer; end every call that waits."""
        self.is_lost = True
        for scope in tuple(self._waiting):
            scope.cancel()

    def mark_available(self) -> None:
        """Note that the platform answers."""
        self.is_lost = False
        self._regained.set()
        self._regained = anyio.Event()


async def monitor_platform(
    availability: PlatformAvailability, check: CheckPlatform, log: Log, random: Random
) -> None:
    """Check until cancelled whether the platform answers.

    Args:
        availability: Told of each change.
        check: Asks the platform, and fails when no answer comes in time.
        log: Takes a line for each change.
        random: Spreads the calls of many instances.
    """
    while True:
        answer = await check()
        if isinstance(answer, Failure) and not availability.is_lost:
            availability.mark_unavailable()
            log.warning("platform_lost", detail=answer.failure().describe())
        elif not isinstance(answer, Failure) and availability.is_lost:
            availability.mark_available()
            log.info("platform_regained")
        pause_s = OUTAGE_CHECK_INTERVAL_S if availability.is_lost else CHECK_INTERVAL_S
        await anyio.sleep(pause_s * random.uniform(1 - CHECK_JITTER, 1 + CHECK_JITTER))
