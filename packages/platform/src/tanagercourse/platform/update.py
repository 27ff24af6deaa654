"""Conditional updates that resolve a lost response by reading the object back."""

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

# Pause before each attempt to read an update's effect back.
READ_BACK_INTERVAL_S = 0.2
READ_BACK_ATTEMPTS = 10

Sleep = Callable[[float], Awaitable[None]]


@dataclass(frozen=True)
class Unsettled(Problem):
    """The response to an update was lost and reading the object back failed.

    Attributes:
        update: The update, which may still take effect.
    """

    update: Update

    def describe(self) -> str:
        """Return that the update may or may not have taken effect, as one line."""
        return (
            f"{self.update.path}: the platform's response was lost and reading the "
            "object back failed; the update may or may not have taken effect, so "
            "read the object again"
        )


UpdateProblem = StoreProblem | Unsettled


async def settle_update(
    store: Store, update: Update, sleep: Sleep = anyio.sleep
) -> Result[StoredObject, UpdateProblem]:
    """Apply a conditional update; after a lost response, read its effect back.

    Retrying a conditional update is safe: it takes effect only at the expected version,
    and therefore only once. It is retried only after a read has shown that the object
    still has that version.

    Args:
        store: The platform's store.
        update: The update to apply.
        sleep: Waits for a number of seconds.

    Returns:
        The object as written, or the reason why the update failed.
    """
    result = await store.write(update)
    for _ in range(READ_BACK_ATTEMPTS):
        if not _is_response_lost(result):
            return _accept_own_write(update, result)
        await sleep(READ_BACK_INTERVAL_S)
        read_back = await _read_current(store, update)
        if isinstance(read_back, Failure):
            continue
        current = read_back.unwrap()
        if current is None or current.version == update.expected:
            result = await store.write(update)
        else:
            result = Failure(Conflict(update.path, update.expected, current))
    return Failure(Unsettled(update))


def _is_response_lost(result: Result[StoredObject, StoreProblem]) -> bool:
    return isinstance(result, Failure) and isinstance(result.failure(), Unavailable)


def _accept_own_write(
    update: Update, result: Result[StoredObject, StoreProblem]
) -> Result[StoredObject, UpdateProblem]:
    """Treat a conflict with an earlier attempt of the same update as success."""
    if not isinstance(result, Failure):
        return Success(result.unwrap())
    problem = result.failure()
    if not isinstance(problem, Conflict) or problem.found is None:
        return Failure(problem)
    if problem.found.writer != update.writer:
        return Failure(problem)
    return Success(problem.found)


async def _read_current(
    store: Store, update: Update
) -> Result[StoredObject | None, StoreProblem]:
    """Return the object; None if it does not exist or another update deleted it."""
    read_back = await store.read(update.path)
    if isinstance(read_back, Failure):
        problem = read_back.failure()
        return Success(None) if isinstance(problem, NotFound) else Failure(problem)
    current = read_back.unwrap()
    if current.state is ObjectState.DELETED and current.writer != update.writer:
        return Success(None)
    return Success(current)
