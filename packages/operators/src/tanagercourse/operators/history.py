"""Store earlier versions of settings in a history object of bounded size.

The platform keeps only the newest version of an object. Each edit therefore appends
the version that it replaced and the version that it wrote to a history object. The
conditional write of the settings decides which of two concurrent edits wins, and the
history is written after it. If an operator's process ends between the two writes, the
next edit closes the gap, because it records the version that it replaced as well.
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

# Limits of one history object.
MAX_ENTRIES = 50
MAX_HISTORY_BYTES = 500_000
# Attempts to append an edit while other edits change the same history.
MAX_APPEND_ATTEMPTS = 5


@dataclass(frozen=True)
class HistoryEntry:
    """One version of a settings object.

    Attributes:
        version: The platform's version of the object.
        writer: The writer of the version: the team and an id of the edit.
        written_at_s: The operator's wall clock at the edit, in seconds since 1970.
            Entries are ordered by version, not by this time.
        value: The JSON text of the settings.
    """

    version: Version
    writer: WriterId
    written_at_s: float
    value: str


@dataclass(frozen=True)
class History:
    """The recorded versions of a settings object, oldest first."""

    entries: tuple[HistoryEntry, ...] = ()


@dataclass(frozen=True)
class DamagedHistory(Problem):
    """A history object cannot be decoded.

    Attributes:
        path: The path of the history object.
        detail: The decoder's error message.
    """

    path: ObjectPath
    detail: str

    def describe(self) -> str:
        """Return a message that names the object and the decoding error."""
        return f"{self.path}: the history cannot be decoded ({self.detail})"


HistoryProblem = DamagedHistory | StoreProblem | Unsettled


async def read_history(
    store: Store, path: ObjectPath
) -> Result[History, HistoryProblem]:
    """Return the recorded versions of the settings at a path, oldest first."""
    found = await _read_versioned(store, history_path(path))
    return found.map(lambda versioned: versioned[1])


async def record_edit(
    store: Store, replaced: StoredObject | None, written: StoredObject
) -> Result[History, HistoryProblem]:
    """Append an edit to the history of its settings.

    Args:
        store: The platform's store.
        replaced: The settings before the edit, None if there were none.
        written: The settings after the edit.

    Returns:
        The history including the edit, or why it could not be written.
    """
    path = history_path(written.path)
    now_s = time.time()
    problem: HistoryProblem = Conflict(path, NO_VERSION, None)
    for _ in range(MAX_APPEND_ATTEMPTS):
        found = await _read_versioned(store, path)
        if isinstance(found, Failure):
            return found
        version, history = found.unwrap()
        extended = add_versions(history, (replaced, written), now_s)
        writer = WriterId(uuid.uuid4().hex)
        update = Update(path, version, msgspec.json.encode(extended), writer)
        settled = await settle_update(store, update)
        if not isinstance(settled, Failure):
            return Success(extended)
        problem = settled.failure()
        if not isinstance(problem, Conflict):
            break
    return Failure(problem)


def add_versions(
    history: History, versions: tuple[StoredObject | None, ...], now_s: float
) -> History:
    """Return a history with versions added, sorted and limited in count and size.

    The oldest versions are dropped beyond MAX_ENTRIES and MAX_HISTORY_BYTES. The
    newest version is always kept.

    Args:
        history: The history so far.
        versions: Versions to add. None, and versions already recorded, are skipped.
        now_s: The wall clock, in seconds since 1970.
    """
    entries = {entry.version: entry for entry in history.entries}
    for stored in versions:
        if stored is not None and stored.version not in entries:
            entries[stored.version] = _to_entry(stored, now_s)
    newest = [entries[version] for version in sorted(entries)][-MAX_ENTRIES:]
    while len(newest) > 1 and _size_bytes(newest) > MAX_HISTORY_BYTES:
        newest.pop(0)
    return History(tuple(newest))


def _to_entry(stored: StoredObject, now_s: float) -> HistoryEntry:
    text = stored.value.decode(errors="replace")
    return HistoryEntry(stored.version, stored.writer, now_s, text)


def _size_bytes(entries: list[HistoryEntry]) -> int:
    return len(msgspec.json.encode(entries))


async def _read_versioned(
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
