"""Earlier versions of settings, kept in a bounded object beside them.

The platform keeps only the newest version of an object. Each edit therefore adds
what it replaced and what it wrote to a history object. The edit itself decides who
wins; the history follows it, and an operator who stops between the two leaves a gap
that the next edit closes, because it records what it replaced as well.
"""

import time
import uuid
from dataclasses import dataclass

import msgspec
from returns.result import Failure, Result, Success

from tanagercourse.core.ids import NO_VERSION, ObjectPath, Version, WriterId
from tanagercourse.core.problems import Problem
from tanagercourse.platform.store import (
    Conflict,
    NotFound,
    Store,
    StoredObject,
    StoreProblem,
    Update,
)
from tanagercourse.platform.update import Unsettled, settle_update
from tanagercourse.settings.paths import history_path

MAX_ENTRIES = 50
MAX_HISTORY_BYTES = 500_000
MAX_APPEND_ATTEMPTS = 5


@dataclass(frozen=True)
class HistoryEntry:
    """One version of some settings.

    Attributes:
        version: The platform's version of them.
        writer: Who wrote it: the team, and an id of the edit.
        written_at_s: The operator's wall clock at the edit, in seconds since 1970;
            versions, not times, tell the order.
        value: Their JSON text.
    """

    version: Version
    writer: WriterId
    written_at_s: float
    value: str


@dataclass(frozen=True)
class History:
    """Versions of some settings, oldest first."""

    entries: tuple[HistoryEntry, ...] = ()


@dataclass(frozen=True)
class DamagedHistory(Problem):
    """A history object can't be read."""

    path: ObjectPath
    detail: str

    def describe(self) -> str:
        """Tell a person which object can't be read."""
        return f"{self.path}: the history can't be read ({self.detail})"


HistoryProblem = DamagedHistory | StoreProblem | Unsettled


async def read_history(
    store: Store, path: ObjectPath
) -> Result[History, HistoryProblem]:
    """Return the versions kept of the settings at a path, oldest first."""
    found = await _read(store, history_path(path))
    return found.map(lambda versioned: versioned[1])


async def record_edit(
    store: Store, replaced: StoredObject | None, written: StoredObject
) -> Result[History, HistoryProblem]:
    """Add an edit to the history of its settings.

    Args:
        store: The platform.
        replaced: The settings before the edit, None when there were none.
        written: The settings after it.

    Returns:
        The history with the edit, or why it could not be kept.
    """
    path = history_path(written.path)
    now_s = time.time()
    problem: HistoryProblem = Conflict(path, NO_VERSION, None)
    for _ in range(MAX_APPEND_ATTEMPTS):
        found = await _read(store, path)
        if isinstance(found, Failure):
            return found
        version, history = found.unwrap()
        grown = add_versions(history, (replaced, written), now_s)
        writer = WriterId(uuid.uuid4().hex)
        update = Update(path, version, msgspec.json.encode(grown), writer)
        settled = await settle_update(store, update)
        if not isinstance(settled, Failure):
            return Success(grown)
        problem = settled.failure()
        if not isinstance(problem, Conflict):
            break
    return Failure(problem)


def add_versions(
    history: History, versions: tuple[StoredObject | None, ...], now_s: float
) -> History:
    """Return a history with versions added in order, bounded in count and size.

    Args:
        history: What is kept so far.
        versions: Versions to add; those that it has already are left as they are.
        now_s: The wall clock, in seconds since 1970.
    """
    entries = {entry.version: entry for entry in history.entries}
    for stored in versions:
        if stored is not None and stored.version not in entries:
            entries[stored.version] = _to_entry(stored, now_s)
    kept = [entries[version] for version in sorted(entries)][-MAX_ENTRIES:]
    while len(kept) > 1 and _size_bytes(kept) > MAX_HISTORY_BYTES:
        kept.pop(0)
    return History(tuple(kept))


def _to_entry(stored: StoredObject, now_s: float) -> HistoryEntry:
    text = stored.value.decode(errors="replace")
    return HistoryEntry(stored.version, stored.writer, now_s, text)


def _size_bytes(entries: list[HistoryEntry]) -> int:
    return len(msgspec.json.encode(entries))


async def _read(
    store: Store, path: ObjectPath
) -> Result[tuple[Version, History], HistoryProblem]:
    found = await store.read(path)
    if isinstance(found, Failure):
        problem = found.failure()
        if isinstance(problem, NotFound):
            return Success((NO_VERSION, History()))
        return Failure(problem)
    stored = found.unwrap()
    try:
        history = msgspec.json.decode(stored.value, type=History)
    except msgspec.MsgspecError as error:
        return Failure(DamagedHistory(path, str(error)))
    return Success((stored.version, history))
