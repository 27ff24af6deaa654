"""Follow the objects under a prefix: list once, then watch from the version read.

An outage costs one line in the log at its start and one at its end. A version never
goes back: what is older than what was seen is left aside.
"""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

import anyio
import structlog
from returns.result import Failure

from tanagercourse.core.ids import NO_VERSION, ObjectPath, Version
from tanagercourse.platform.store import (
    HistoryLost,
    Listing,
    ObjectState,
    Store,
    StoredObject,
)

# How long one watch waits for news, in seconds. A store that was silent for a while may
# never answer a watch that it took then, so this bounds how long changes go unseen.
WATCH_WAIT_S = 4.0
# The same while the platform does not answer: the answer tells that it is back.
REGAIN_WAIT_S = 0.0
# Pause after news before the next watch, so that changes come together, in seconds.
GATHER_S = 0.2
# Pause after a failed call, in seconds; it doubles up to the longest.
FIRST_PAUSE_S = 0.1
LONGEST_PAUSE_S = 0.5

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


@dataclass
class _Contact:
    """Whether the platform answered last time, and the pause before the next call."""

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
            self.log.info("platform_regained", prefix=self.prefix)
            self.follower.regained()

    async def wait_after_failure(self, detail: str) -> None:
        if not self.is_lost:
            self.is_lost = True
            self.log.warning("platform_lost", prefix=self.prefix, detail=detail)
            self.follower.lost()
        await anyio.sleep(self.pause_s * self.random.uniform(0.7, 1.3))
        self.pause_s = min(2 * self.pause_s, LONGEST_PAUSE_S)


async def follow(
    store: Store, prefix: ObjectPath, follower: Follower, log: Log, random: Random
) -> None:
    """Follow the objects under a prefix until cancelled.

    Args:
        store: The platform.
        prefix: Which objects.
        follower: Takes the news.
        log: Takes lines on outages.
        random: Spreads the calls of many instances after an outage.
    """
    contact = _Contact(prefix, follower, log, random)
    seen = NO_VERSION
    while True:
        listing = await store.list_all(prefix)
        if isinstance(listing, Failure):
            await contact.wait_after_failure(listing.failure().describe())
            continue
        read: Listing = listing.unwrap()
        if read.version < seen:
            detail = f"version {read.version} after {seen}"
            await contact.wait_after_failure(detail)
            continue
        contact.note_answer()
        follower.replace(read.objects)
        seen = await _watch_on(store, contact, read.version)


async def _watch_on(store: Store, contact: _Contact, seen: Version) -> Version:
    """Watch until the history is lost; return the newest version seen."""
    while True:
        wait_s = REGAIN_WAIT_S if contact.is_lost else WATCH_WAIT_S
        watched = await store.watch(contact.prefix, seen, wait_s)
        if isinstance(watched, Failure):
            problem = watched.failure()
            if isinstance(problem, HistoryLost):
                contact.log.info("history_lost", prefix=contact.prefix, after=seen)
                return seen
            await contact.wait_after_failure(problem.describe())
            continue
        contact.note_answer()
        changes: Listing = watched.unwrap()
        for stored in changes.objects:
            if stored.version > seen or stored.state is ObjectState.DELETED:
                contact.follower.change(stored)
        seen = max(seen, changes.version)
        if changes.objects:
            await anyio.sleep(GATHER_S)
