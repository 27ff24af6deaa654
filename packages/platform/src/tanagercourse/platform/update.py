"""Conditional updates whose lost replies are settled by reading back."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import anyio
from returns.result import Failure, Result, Success

from tanagercourse.core.problems import Problem
from tanagercourse.platform.store import (
    Conflict,
    NotFound,
    ObjectState,
    Store,
    StoredObject,
    StoreProblem,
    Unavailable,
    Update,
)

READ_BACK_INTERVAL_S = 0.2
READ_BACK_ATTEMPTS = 10

Sleep = Callable[[float], Awaitable[None]]


@dataclass(frozen=True)
class Unsettled(Problem):
    """An update's reply was lost and its effect could not be read back.

    Attributes:
        update: The update; it may take effect yet.
    """

    update: Update

    def describe(self) -> str:
        """Tell a person that the update may or may not have taken effect."""
        return (
            f"{self.update.path}: the platform's reply was lost and reading back "
            "failed; the change may or may not have been made, so read it again"
        )


UpdateProblem = StoreProblem | Unsettled


async def settle_update(
    store: Store, update: Update, sleep: Sleep = anyio.sleep
) -> Result[StoredObject, UpdateProblem]:
    """Write once, and after a lost reply read back until the effect is known.

    Sending the same conditional update again is safe: it can take effect only
    at the expected version, hence once. It is sent again only after a read has
    shown that the object still has that version.

    Args:
        store: The platform.
        update: What to write.
        sleep: Waits for a number of seconds.

    Returns:
        The object as written, or why it was not.
    """
    written = await store.write(update)
    for _ in range(READ_BACK_ATTEMPTS):
        if not _is_lost(written):
            return _claim_own(update, written)
        await sleep(READ_BACK_INTERVAL_S)
        found = await _read_now(store, update)
        if isinstance(found, Failure):
            continue
        now = found.unwrap()
        if now is None or now.version == update.expected:
            written = await store.write(update)
        else:
            written = Failure(Conflict(update.path, update.expected, now))
    return Failure(Unsettled(update))


def _is_lost(written: Result[StoredObject, StoreProblem]) -> bool:
    return isinstance(written, Failure) and isinstance(written.failure(), Unavailable)


def _claim_own(
    update: Update, written: Result[StoredObject, StoreProblem]
) -> Result[StoredObject, UpdateProblem]:
    """Turn a conflict with one's own earlier effect into success."""
    if not isinstance(written, Failure):
        return Success(written.unwrap())
    problem = written.failure()
    if not isinstance(problem, Conflict) or problem.found is None:
        return Failure(problem)
    if problem.found.writer != update.writer:
        return Failure(problem)
    return Success(problem.found)


async def _read_now(
    store: Store, update: Update
) -> Result[StoredObject | None, StoreProblem]:
    found = await store.read(update.path)
    if isinstance(found, Failure):
        problem = found.failure()
        return Success(None) if isinstance(problem, NotFound) else Failure(problem)
    now = found.unwrap()
    if now.state is ObjectState.DELETED and now.writer != update.writer:
        return Success(None)
    return Success(now)
