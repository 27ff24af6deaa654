"""The recent changes that an instance received, kept for other instances.

Most instances follow a relay, which is an instance that watches the platform's store
for them, so that the number of calls to the store does not grow with the number of
instances.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio

from tanagercourse.core.ids import ObjectPath
from tanagercourse.platform.reading import Era, StoreVersion, VersionedListing

# Time for which changes are kept, in seconds. It covers the age of a stale listing.
CHANGES_TTL_S = 20.0


@dataclass(frozen=True)
class _Batch:
    """Changes that one watch returned."""

    changes: VersionedListing
    received_at_s: float


@dataclass
class _PrefixLog:
    """Changes under one prefix since a version; none is missing in between."""

    complete_from: StoreVersion
    latest: StoreVersion
    batches: deque[_Batch] = field(default_factory=deque)
    has_news: anyio.Event = field(default_factory=anyio.Event)


class ChangeLog:
    """Recent changes under each watched prefix."""

    def __init__(
        self, prefixes: frozenset[ObjectPath], clock: Callable[[], float]
    ) -> None:
        """Start without changes.

        Args:
            prefixes: The prefixes that are watched.
            clock: A monotonic clock, in seconds.
        """
        self._prefixes = prefixes
        self._clock = clock
        self._logs: dict[ObjectPath, _PrefixLog] = {}

    def begin(self, prefix: ObjectPath, after: StoreVersion) -> None:
        """Record that changes after a version are being watched from now on."""
        log = self._logs.get(prefix)
        if log is None or log.latest != after:
            self.interrupt(prefix)
            self._logs[prefix] = _PrefixLog(after, after)

    def record(self, prefix: ObjectPath, changes: VersionedListing) -> None:
        """Record the changes that a watch returned."""
        log, now_s = self._logs[prefix], self._clock()
        log.latest = max(log.latest, changes.version)
        if changes.objects:
            log.batches.append(_Batch(changes, now_s))
        while log.batches and log.batches[0].received_at_s < now_s - CHANGES_TTL_S:
            log.complete_from = log.batches.popleft().changes.version
        log.has_news.set()
        log.has_news = anyio.Event()

    def interrupt(self, prefix: ObjectPath) -> None:
        """Record that changes may be missed, because a watch failed."""
        log = self._logs.pop(prefix, None)
        if log is not None:
            log.has_news.set()

    def era(self) -> Era | None:
        """Return the era in which every prefix is watched, None if there is none."""
        if self._logs.keys() != self._prefixes:
            return None
        eras = {log.latest.era for log in self._logs.values()}
        return eras.pop() if len(eras) == 1 else None

    def newest_changes(self) -> dict[ObjectPath, StoreVersion]:
        """Return the version of the newest change under each prefix that has any."""
        return {
            prefix: log.batches[-1].changes.version
            for prefix, log in self._logs.items()
            if log.batches
        }

    def find_changes(
        self, prefix: ObjectPath, after: StoreVersion
    ) -> VersionedListing | None:
        """Return all changes after a version, or None if they are not known."""
        log = self._logs.get(prefix)
        if log is None or after.era != log.latest.era or after < log.complete_from:
            return None
        objects = tuple(
            stored
            for batch in log.batches
            if batch.changes.version > after
            for stored in batch.changes.objects
        )
        return VersionedListing(objects, max(after, log.latest))

    async def wait_for_changes(
        self, prefix: ObjectPath, after: StoreVersion, wait_s: float
    ) -> VersionedListing | None:
        """Return the changes after a version as soon as there are any.

        Args:
            prefix: Prefix of the objects.
            after: Version that the caller has.
            wait_s: Maximum time to wait, in seconds; then the result has no changes.

        Returns:
            The changes, or None if they are not known.
        """
        with anyio.move_on_after(wait_s):
            while True:
                changes = self.find_changes(prefix, after)
                if changes is None or changes.objects:
                    return changes
                await self._logs[prefix].has_news.wait()
        return self.find_changes(prefix, after)
