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
CHECK_S = 1.0
# The same while it does not.
REGAIN_CHECK_S = 0.25
# How much a pause varies, so that instances do not ask all at once.
PAUSE_SPREAD = 0.2

T = TypeVar("T")
Log = structlog.typing.FilteringBoundLogger
# Asks the platform for next to nothing.
Check = Callable[[], Awaitable[Result[None, StoreProblem]]]


class Contact:
    """Whether the platform answered the last check."""

    def __init__(self) -> None:
        """Create a contact that takes the platform for answering."""
        self.is_lost = False
        self._regained = anyio.Event()
        self._waiting: set[anyio.CancelScope] = set()

    async def while_kept(self, call: Awaitable[T]) -> T | None:
        """Await a call; return None when the platform stops answering meanwhile."""
        with anyio.CancelScope() as scope:
            self._waiting.add(scope)
            try:
                return await call
            finally:
                self._waiting.discard(scope)
        return None

    async def wait_until_kept(self) -> None:
        """Wait until the platform answers."""
        while self.is_lost:
            await self._regained.wait()

    def lose(self) -> None:
        """Note that the platform does not answer; end every call that waits."""
        self.is_lost = True
        for scope in tuple(self._waiting):
            scope.cancel()

    def regain(self) -> None:
        """Note that the platform answers."""
        self.is_lost = False
        self._regained.set()
        self._regained = anyio.Event()


async def keep_contact(
    contact: Contact, check: Check, log: Log, random: Random
) -> None:
    """Check until cancelled whether the platform answers.

    Args:
        contact: Told of each change.
        check: Asks the platform, and fails when no answer comes in time.
        log: Takes a line for each change.
        random: Spreads the calls of many instances.
    """
    while True:
        answer = await check()
        if isinstance(answer, Failure) and not contact.is_lost:
            contact.lose()
            log.warning("platform_lost", detail=answer.failure().describe())
        elif not isinstance(answer, Failure) and contact.is_lost:
            contact.regain()
            log.info("platform_regained")
        pause_s = REGAIN_CHECK_S if contact.is_lost else CHECK_S
        await anyio.sleep(pause_s * random.uniform(1 - PAUSE_SPREAD, 1 + PAUSE_SPREAD))
