"""Follow the objects under a prefix: list once, then watch from the version read.

A watch is given up when contact with the platform is lost, for it may never be
answered. An outage costs one line in the log at its start and one at its end. A
version never goes back: what is older than what was seen is left aside.
"""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

import anyio
import structlog
from returns.result import Failure

from tanagercourse.core.ids import NO_VERSION, ObjectPath, Version
from tanagercourse.following.availability import Contact
from tanagercourse.platform.store import (
    HistoryLost,
    Listing,
    ObjectState,
    Store,
    StoredObject,
)

# How long one watch waits for news, in seconds.
WATCH_WAIT_S = 15.0
# The same at most, as a share of the time for which the platform keeps its history.
WATCH_HISTORY_SHARE = 0.75
# Pause after news before the next watch, so that changes come together, in seconds.
GATHER_S = 1.0
# Pause after a failed call, in seconds; it doubles up to the longest.
FIRST_PAUSE_S = 0.1
LONGEST_PAUSE_S = 0.5
NO_CONTACT = "no contact with the platform"

Log = structlog.typing.FilteringBoundLogger


@dataclass(frozen=True)
class Follower:
    """What takes the news of one prefix.

    Attributes:
        replace: Takes all objects of a listing.
        change: Takes one object that was written or deleted.
        lost: Told that the platform does not answer.
        regained: Told that it answers again.
    """

    replace: Callable[[tuple[StoredObject, ...]], None]
    change: Callable[[StoredObject], None]
    lost: Callable[[], None] = lambda: None
    regained: Callable[[], None] = lambda: None


@dataclass(frozen=True)
class Source:
    """Where objects are read.

    Attributes:
        store: The platform.
        contact: Whether it answers.
        watch_wait_s: How long one watch waits for news, in seconds.
    """

    store: Store
    contact: Contact
    watch_wait_s: float


@dataclass
class _Reader:
    """One prefix that is followed, and the pause before its next call."""

    prefix: ObjectPath
    follower: Follower
    log: Log
    random: Random
    is_lost: bool = False
    pause_s: float = FIRST_PAUSE_S

    def note_answer(self) -> None:
        self.pause_s = FIRST_PAUSE_S
        if self.is_lost:
            self.is_lost = False
            self.log.info("objects_regained", prefix=self.prefix)
            self.follower.regained()

    def note_failure(self, detail: str) -> None:
        if not self.is_lost:
            self.is_lost = True
            self.log.warning("objects_lost", prefix=self.prefix, detail=detail)
            self.follower.lost()

    async def wait_after_failure(self, detail: str) -> None:
        self.note_failure(detail)
        await anyio.sleep(self.pause_s * self.random.uniform(0.7, 1.3))
        self.pause_s = min(2 * self.pause_s, LONGEST_PAUSE_S)


async def follow(
    source: Source, prefix: ObjectPath, follower: Follower, log: Log, random: Random
) -> None:
    """Follow the objects under a prefix until cancelled.

    Args:
        source: Where they are read.
        prefix: Which objects.
        follower: Takes the news.
        log: Takes lines on outages.
        random: Spreads the calls of many instances after an outage.
    """
    reader = _Reader(prefix, follower, log, random)
    seen = NO_VERSION
    while True:
        await source.contact.wait_until_kept()
        listing = await source.contact.while_kept(source.store.list_all(prefix))
        if listing is None:
            reader.note_failure(NO_CONTACT)
            continue
        if isinstance(listing, Failure):
            await reader.wait_after_failure(listing.failure().describe())
            continue
        read: Listing = listing.unwrap()
        if read.version < seen:
            detail = f"version {read.version} after {seen}"
            await reader.wait_after_failure(detail)
            continue
        reader.note_answer()
        follower.replace(read.objects)
        seen = await _watch_on(source, reader, read.version)


async def _watch_on(source: Source, reader: _Reader, seen: Version) -> Version:
    """Watch until the history is lost; return the newest version seen."""
    while True:
        await source.contact.wait_until_kept()
        call = source.store.watch(reader.prefix, seen, source.watch_wait_s)
        watched = await source.contact.while_kept(call)
        if watched is None:
            reader.note_failure(NO_CONTACT)
            continue
        if isinstance(watched, Failure):
            problem = watched.failure()
            if isinstance(problem, HistoryLost):
                reader.log.info("history_lost", prefix=reader.prefix, after=seen)
                return seen
            await reader.wait_after_failure(problem.describe())
            continue
        reader.note_answer()
        changes: Listing = watched.unwrap()
        for stored in changes.objects:
            if stored.version > seen or stored.state is ObjectState.DELETED:
                reader.follower.change(stored)
        seen = max(seen, changes.version)
        if changes.objects:
            await anyio.sleep(GATHER_S)
