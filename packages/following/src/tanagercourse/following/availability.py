"""Detect with cheap calls whether the platform responds to this instance.

A store that was unresponsive may never answer the watches it accepted in that time, and
watches are too expensive to be retried in short intervals. Therefore one cheap call at
a time checks the store. When a check fails, all watches are cancelled, and none is
started until a check succeeds.
"""

from collections.abc import Awaitable, Callable
from random import Random
from typing import TypeVar

import anyio
import structlog
from returns.result import Failure, Result

from tanagercourse.platform.reading import ReadProblem

# Interval between two checks while the platform responds.
CHECK_INTERVAL_S = 1.0
# Interval between two checks during an outage.
OUTAGE_CHECK_INTERVAL_S = 0.25
# Relative random variation of the intervals, which keeps instances from checking in
# lockstep.
CHECK_JITTER = 0.2

T = TypeVar("T")
Log = structlog.typing.FilteringBoundLogger
# Makes a cheap call to the platform; a Failure means that the platform did not respond.
CheckPlatform = Callable[[], Awaitable[Result[None, ReadProblem]]]


class PlatformAvailability:
    """Result of the last availability check, and the calls that depend on it.

    Attributes:
        is_unavailable: Whether the last check failed.
    """

    def __init__(self) -> None:
        """Assume that the platform is available until a check fails."""
        self.is_unavailable = False
        self._became_available = anyio.Event()
        self._pending_calls: set[anyio.CancelScope] = set()

    async def run_while_available(self, call: Awaitable[T]) -> T | None:
        """Await a call; return None if an outage or a new source cancels it."""
        with anyio.CancelScope() as call_scope:
            self._pending_calls.add(call_scope)
            try:
                return await call
            finally:
                self._pending_calls.discard(call_scope)
        return None

    async def wait_until_available(self) -> None:
        """Return once the platform is available."""
        while self.is_unavailable:
            await self._became_available.wait()

    def cancel_pending_calls(self) -> None:
        """Cancel all pending calls; without an outage they are repeated at once."""
        for call_scope in tuple(self._pending_calls):
            call_scope.cancel()

    def mark_unavailable(self) -> None:
        """Record the start of an outage and cancel all pending calls."""
        self.is_unavailable = True
        self.cancel_pending_calls()

    def mark_available(self) -> None:
        """Record that the platform is available and wake all waiting tasks."""
        self.is_unavailable = False
        self._became_available.set()
        self._became_available = anyio.Event()


async def monitor_platform(
    availability: PlatformAvailability,
    check: CheckPlatform,
    log: Log,
    random: Random,
    interval_s: float = CHECK_INTERVAL_S,
    outage_interval_s: float = OUTAGE_CHECK_INTERVAL_S,
) -> None:
    """Check the availability of the platform until cancelled.

    Args:
        availability: Updated on each change.
        check: Calls the platform; fails if no response arrives in time.
        log: Logger for changes of the availability.
        random: Source of the intervals' jitter.
        interval_s: Interval between two checks while the platform responds, in seconds.
        outage_interval_s: Interval between two checks in an outage, in seconds.
    """
    while True:
        result = await check()
        if isinstance(result, Failure) and not availability.is_unavailable:
            availability.mark_unavailable()
            log.warning("platform_unavailable", detail=result.failure().describe())
        elif not isinstance(result, Failure) and availability.is_unavailable:
            availability.mark_available()
            log.info("platform_available")
        pause_s = outage_interval_s if availability.is_unavailable else interval_s
        await anyio.sleep(pause_s * random.uniform(1 - CHECK_JITTER, 1 + CHECK_JITTER))
