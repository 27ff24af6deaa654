"""Mirror the objects under a prefix: list them, then watch from the listed version.

A pending watch is cancelled when the platform becomes unavailable, because it may never
be answered. Each outage is logged once when it starts and once when it ends. Listings
and changes that are older than what was seen are ignored: a relay may repeat changes
that its follower received from another one. The first listing of a later era replaces
what was seen, whatever its revision.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

import anyio
import structlog
from returns.result import Failure

from tanagercourse.core.ids import ObjectPath
from tanagercourse.following.availability import PlatformAvailability
from tanagercourse.platform.reading import (
    NO_STORE_VERSION,
    Era,
    HistoryLost,
    ListObjects,
    StoreVersion,
    VersionedListing,
    VersionedObject,
    WatchObjects,
)
from tanagercourse.platform.store import ObjectState

# Maximum time for which one watch waits for changes.
WATCH_WAIT_S = 15.0
# Upper limit of that time, as a share of the time that the platform retains changes.
MAX_WATCH_SHARE_OF_HISTORY = 0.75
# Backoff after a failed call; it doubles with each further failure, up to the maximum.
INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 0.5
PLATFORM_UNAVAILABLE = "the platform does not respond"

Log = structlog.typing.FilteringBoundLogger


@dataclass(frozen=True)
class ObjectHandlers:
    """Callbacks for the objects under one prefix.

    Attributes:
        on_listing: Called with all objects of a listing.
        on_change: Called with each object that was written or deleted.
        on_outage: Called when calls to the platform start to fail.
        on_recovery: Called when a call succeeds again, before the result is passed on.
        on_new_era: Called before the first listing of a later era, which an older copy
            of the store may have answered.
    """

    on_listing: Callable[[tuple[VersionedObject, ...]], None]
    on_change: Callable[[VersionedObject], None]
    on_outage: Callable[[], None] = lambda: None
    on_recovery: Callable[[], None] = lambda: None
    on_new_era: Callable[[Era], None] = lambda era: None


@dataclass(frozen=True)
class WatchSource:
    """Where objects are read from.

    Attributes:
        list_all: Lists the objects under a prefix.
        watch: Waits for changes.
        availability: Whether the source responds.
        watch_wait_s: Maximum time for which one watch waits for changes, in seconds.
        coalesce_delay_s: Delay between received changes and the next watch, so that
            one response can hold several changes, in seconds.
    """

    list_all: ListObjects
    watch: WatchObjects
    availability: PlatformAvailability
    watch_wait_s: float
    coalesce_delay_s: Callable[[], float]


@dataclass
class _PrefixWatch:
    """A watched prefix, with its outage state and the backoff of its next call.

    Attributes:
        latest_version: The store's version at the last listing or change.
        present: Version of the last write of each object that exists.
    """

    prefix: ObjectPath
    handlers: ObjectHandlers
    log: Log
    random: Random
    is_outage: bool = False
    backoff_s: float = INITIAL_BACKOFF_S
    latest_version: StoreVersion = NO_STORE_VERSION
    present: dict[ObjectPath, StoreVersion] = field(default_factory=dict)

    def apply_listing(self, snapshot: VersionedListing) -> None:
        """Pass on a listing that is not older than what was seen."""
        seen, self.latest_version = self.latest_version, snapshot.version
        if seen != NO_STORE_VERSION and seen.era != snapshot.version.era:
            self.log.info(
                "era_listed",
                prefix=self.prefix,
                version=snapshot.version,
                replaced=seen,
                objects=len(snapshot.objects),
            )
            self.handlers.on_new_era(snapshot.version.era)
        self.present = {stored.path: stored.version for stored in snapshot.objects}
        self.handlers.on_listing(snapshot.objects)

    def apply_changes(self, changes: VersionedListing) -> None:
        """Pass on the changes that are newer than what was seen."""
        for stored in changes.objects:
            if stored.state is ObjectState.DELETED:
                self._apply_deletion(stored)
            elif stored.version > self.latest_version:
                self.present[stored.path] = stored.version
                self.handlers.on_change(stored)
        self.latest_version = max(self.latest_version, changes.version)

    def _apply_deletion(self, stored: VersionedObject) -> None:
        """Pass on a deletion, unless the object was written after it.

        The version of a deletion may be that of the object's last write.
        """
        written = self.present.get(stored.path)
        if written is not None and stored.version >= written:
            del self.present[stored.path]
            self.handlers.on_change(stored)

    def record_success(self) -> None:
        self.backoff_s = INITIAL_BACKOFF_S
        if self.is_outage:
            self.is_outage = False
            self.log.info("watch_resumed", prefix=self.prefix)
            self.handlers.on_recovery()

    def record_failure(self, detail: str) -> None:
        if not self.is_outage:
            self.is_outage = True
            self.log.warning("watch_interrupted", prefix=self.prefix, detail=detail)
            self.handlers.on_outage()

    def record_if_unavailable(self, availability: PlatformAvailability) -> None:
        """Record an outage; a call that a new source cancelled is none."""
        if availability.is_unavailable:
            self.record_failure(PLATFORM_UNAVAILABLE)

    async def wait_until_available(self, availability: PlatformAvailability) -> None:
        """Wait for the platform; after the first listing, its absence is an outage."""
        if self.latest_version != NO_STORE_VERSION:
            self.record_if_unavailable(availability)
        await availability.wait_until_available()

    async def back_off(self, detail: str) -> None:
        self.record_failure(detail)
        await anyio.sleep(self.backoff_s * self.random.uniform(0.7, 1.3))
        self.backoff_s = min(2 * self.backoff_s, MAX_BACKOFF_S)


async def watch_prefix(
    source: WatchSource,
    prefix: ObjectPath,
    handlers: ObjectHandlers,
    log: Log,
    random: Random,
) -> None:
    """Pass the objects under a prefix to handlers until cancelled.

    Args:
        source: The store that the objects are read from.
        prefix: Path prefix of the objects.
        handlers: Called with listings, changes and outages.
        log: Logger for outages.
        random: Source of the backoff's jitter, which spreads the calls of many
            instances after an outage.
    """
    prefix_watch = _PrefixWatch(prefix, handlers, log, random)
    while True:
        await prefix_watch.wait_until_available(source.availability)
        listing = await source.availability.run_while_available(source.list_all(prefix))
        if listing is None:
            prefix_watch.record_if_unavailable(source.availability)
            continue
        if isinstance(listing, Failure):
            await prefix_watch.back_off(listing.failure().describe())
            continue
        snapshot: VersionedListing = listing.unwrap()
        if snapshot.version < prefix_watch.latest_version:
            detail = (
                f"listing has version {snapshot.version}, "
                f"expected at least {prefix_watch.latest_version}"
            )
            await prefix_watch.back_off(detail)
            continue
        prefix_watch.record_success()
        prefix_watch.apply_listing(snapshot)
        await _watch_changes(source, prefix_watch)
        if prefix_watch.latest_version == snapshot.version:
            # The history was already lost when the watch began.
            await anyio.sleep(INITIAL_BACKOFF_S * random.uniform(0.7, 1.3))


async def _watch_changes(source: WatchSource, prefix_watch: _PrefixWatch) -> None:
    """Watch until the platform has lost the history."""
    while True:
        latest_version = prefix_watch.latest_version
        await prefix_watch.wait_until_available(source.availability)
        watch_call = source.watch(
            prefix_watch.prefix, latest_version, source.watch_wait_s
        )
        result = await source.availability.run_while_available(watch_call)
        if result is None:
            continue
        if isinstance(result, Failure):
            problem = result.failure()
            if isinstance(problem, HistoryLost):
                prefix_watch.log.info(
                    "history_lost", prefix=prefix_watch.prefix, after=latest_version
                )
                return
            await prefix_watch.back_off(problem.describe())
            continue
        prefix_watch.record_success()
        changes: VersionedListing = result.unwrap()
        prefix_watch.apply_changes(changes)
        if changes.objects:
            await anyio.sleep(source.coalesce_delay_s())
