"""Choose where this instance reads the platform's objects: from a relay or the store.

A few instances, the relays, watch the store. Each other instance follows the relay that
answers fastest, as long as that relay confirms that the store responds to it. Without
such a relay an instance watches the store itself, so no instance depends on another.
"""

from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from functools import partial
from random import Random

import anyio
from returns.result import Failure, Result, Success

from tanagercourse.core.ids import ObjectPath
from tanagercourse.following.availability import (
    OUTAGE_CHECK_INTERVAL_S,
    CheckPlatform,
    Log,
    PlatformAvailability,
    monitor_platform,
)
from tanagercourse.following.change_log import ChangeLog
from tanagercourse.following.verification import SourceVersions
from tanagercourse.platform.reading import (
    HistoryLost,
    ListObjects,
    ReadProblem,
    StoreVersion,
    VersionedListing,
    WatchObjects,
)
from tanagercourse.platform.store import ObjectState

# Interval between two checks of the relay that this instance follows.
RELAY_CHECK_INTERVAL_S = 0.8
# Relative random variation of that interval.
RELAY_CHECK_JITTER = 0.1
# How long an instance watches the store before it looks for a relay again.
RELAY_RETRY_INTERVAL_S = 2.0
# How long an instance that starts waits for a relay, which may be starting as well.
RELAY_START_WAIT_S = 1.5
# How long an instance that lost its relay looks for another before it watches the
# store. A short disturbance of the store interrupts all relays.
RELAY_REPLACEMENT_WAIT_S = 0.4
# Interval between attempts to find a relay during these times.
RELAY_SEARCH_INTERVAL_S = 0.1
# Intervals between checks of the store, and between attempts to find a relay, while
# neither responds. The relays notice the end of an outage of the store earlier; an
# instance checks the store in case that only the relays are cut off from it.
FOLLOWER_OUTAGE_CHECK_INTERVAL_S = 1.5
RELAY_OUTAGE_SEARCH_INTERVAL_S = 0.8
# Maximum wait of the first watch of a prefix after a failure. A store in trouble may
# accept a watch and never answer it.
FIRST_WATCH_WAIT_S = 0.5


@dataclass(frozen=True)
class RelayStatus:
    """A relay's response to a check.

    Attributes:
        newest_changes: Version of the newest change under each prefix that has any.
    """

    newest_changes: Mapping[ObjectPath, StoreVersion]


CheckRelay = Callable[[], Awaitable[Result[RelayStatus, ReadProblem]]]


@dataclass(frozen=True)
class Relay:
    """Another instance that watches the store for this one.

    Attributes:
        name: Address of the relay, for logs.
        watch: Waits for changes that the relay received.
        check: Fails unless the relay responds and the store responded to it recently.
    """

    name: str
    watch: WatchObjects
    check: CheckRelay


@dataclass(frozen=True)
class StoreFunctions:
    """The store's functions that an instance reads with.

    Attributes:
        list_all: Lists the objects under a prefix.
        list_stale: Does so at a lower price; the result may be some seconds old.
        watch: Waits for changes.
        check: Checks whether the store responds.
    """

    list_all: ListObjects
    list_stale: ListObjects
    watch: WatchObjects
    check: CheckPlatform


class SourceSelector:
    """The source in use: a relay, or the store.

    Attributes:
        availability: Whether the source responds.
        versions: What the source is known to have.
    """

    def __init__(
        self, store: StoreFunctions, availability: PlatformAvailability
    ) -> None:
        """Start without a source; calls wait until one is chosen.

        Args:
            store: The platform's store.
            availability: Cancels the pending calls when the source changes.
        """
        availability.is_unavailable = True
        self.availability = availability
        self.versions = SourceVersions()
        self._store = store
        self._relay: Relay | None = None
        self._relay_failed = anyio.Event()

    def use_relay(self, relay: Relay) -> None:
        """Read from a relay from now on."""
        self._relay = relay
        self._relay_failed = anyio.Event()
        self.versions.clear()
        self.availability.cancel_pending_calls()
        self.availability.mark_available()

    def use_store(self, is_available: bool) -> None:
        """Read from the store from now on, or once it responds."""
        self._relay = None
        self.versions.clear()
        if is_available:
            self.availability.cancel_pending_calls()
            self.availability.mark_available()
        else:
            self.availability.mark_unavailable()

    def is_relay_in_use(self) -> bool:
        """Return whether a relay is the source."""
        return self._relay is not None

    def has_relay_failed(self) -> bool:
        """Return whether a call to the relay in use has failed."""
        return self._relay_failed.is_set()

    async def wait_for_relay_failure(self, timeout_s: float) -> None:
        """Wait until a call to the relay fails, or until the timeout."""
        with anyio.move_on_after(timeout_s):
            await self._relay_failed.wait()

    async def watch(
        self, prefix: ObjectPath, after: StoreVersion, wait_s: float
    ) -> Result[VersionedListing, ReadProblem]:
        """Wait for changes; ends without a result if the source is replaced."""
        relay = self._relay
        if relay is None:
            return await self._store.watch(prefix, after, wait_s)
        result = await relay.watch(prefix, after, wait_s)
        if isinstance(result, Success) or isinstance(result.failure(), HistoryLost):
            return result
        # The failure is no outage of the store. The choice of the next source cancels
        # this call.
        self._relay_failed.set()
        await anyio.sleep_forever()
        return result

    async def list_all(
        self, prefix: ObjectPath
    ) -> Result[VersionedListing, ReadProblem]:
        """List the objects under a prefix, up to date.

        With a relay, a stale listing is brought up to date by the relay's changes.
        """
        relay = self._relay
        if relay is not None:
            listing = await self._store.list_stale(prefix)
            if isinstance(listing, Success):
                version = listing.unwrap().version
                changes = await relay.watch(prefix, version, 0.0)
                if isinstance(changes, Success):
                    return Success(apply_changes(listing.unwrap(), changes.unwrap()))
        return await self._store.list_all(prefix)


def apply_changes(
    listing: VersionedListing, changes: VersionedListing
) -> VersionedListing:
    """Return a listing with later changes applied."""
    objects = {stored.path: stored for stored in listing.objects}
    for stored in changes.objects:
        if stored.state is ObjectState.DELETED:
            objects.pop(stored.path, None)
        else:
            objects[stored.path] = stored
    return VersionedListing(
        tuple(objects.values()), max(listing.version, changes.version)
    )


async def select_source(
    selector: SourceSelector,
    store_check: CheckPlatform,
    relays: tuple[Relay, ...],
    log: Log,
    random: Random,
) -> None:
    """Keep the source up to date until cancelled.

    Args:
        selector: Updated on each change.
        store_check: Checks whether the store responds.
        relays: The relays, without this instance.
        log: Logger for changes of the source.
        random: Source of the intervals' jitter.
    """
    relay = await _find_relay_within(RELAY_START_WAIT_S, relays)
    while True:
        while relay is not None:
            log.info("relay_selected", relay=relay.name)
            selector.use_relay(relay)
            detail = await _follow(selector, relay, random)
            log.warning("relay_lost", relay=relay.name, detail=detail)
            relay = await _find_relay_within(RELAY_REPLACEMENT_WAIT_S, relays)
        relay = await _read_from_store(selector, store_check, relays, log, random)


async def _read_from_store(
    selector: SourceSelector,
    store_check: CheckPlatform,
    relays: tuple[Relay, ...],
    log: Log,
    random: Random,
) -> Relay:
    """Watch the store until a relay is found; without relays, until cancelled."""
    result = await store_check()
    selector.use_store(isinstance(result, Success))
    if isinstance(result, Failure):
        problem: ReadProblem = result.failure()
        log.warning("platform_unavailable", detail=problem.describe())
    outage_interval_s = (
        FOLLOWER_OUTAGE_CHECK_INTERVAL_S if relays else OUTAGE_CHECK_INTERVAL_S
    )
    monitor = partial(monitor_platform, outage_interval_s=outage_interval_s)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(monitor, selector.availability, store_check, log, random)
        relay = await _search_relay(selector.availability, relays)
        tasks.cancel_scope.cancel()
    return relay


async def _search_relay(
    availability: PlatformAvailability, relays: tuple[Relay, ...]
) -> Relay:
    while True:
        await anyio.sleep(
            RELAY_OUTAGE_SEARCH_INTERVAL_S
            if availability.is_unavailable
            else RELAY_RETRY_INTERVAL_S
        )
        relay = await find_fastest_relay(relays)
        if relay is not None:
            return relay


async def _find_relay_within(
    timeout_s: float, relays: tuple[Relay, ...]
) -> Relay | None:
    with anyio.move_on_after(timeout_s):
        while relays:
            relay = await find_fastest_relay(relays)
            if relay is not None:
                return relay
            await anyio.sleep(RELAY_SEARCH_INTERVAL_S)
    return None


async def find_fastest_relay(relays: tuple[Relay, ...]) -> Relay | None:
    """Check all relays at once; return the first that responds, None if none does."""
    fastest: list[Relay] = []
    async with anyio.create_task_group() as tasks:

        async def check(relay: Relay) -> None:
            if isinstance(await relay.check(), Success):
                fastest.append(relay)
                tasks.cancel_scope.cancel()

        for relay in relays:
            tasks.start_soon(check, relay)
    return fastest[0] if fastest else None


async def _follow(selector: SourceSelector, relay: Relay, random: Random) -> str:
    """Check a relay until it fails; return the reason."""
    while True:
        jitter = random.uniform(1 - RELAY_CHECK_JITTER, 1 + RELAY_CHECK_JITTER)
        await selector.wait_for_relay_failure(RELAY_CHECK_INTERVAL_S * jitter)
        result = await relay.check()
        if isinstance(result, Failure):
            problem: ReadProblem = result.failure()
            return problem.describe()
        selector.versions.record(result.unwrap().newest_changes)
        if selector.has_relay_failed():
            return "a watch failed"


def watch_briefly_at_first(watch: WatchObjects) -> WatchObjects:
    """Return a function that watches, briefly after a failed or cancelled watch."""
    working_prefixes: set[ObjectPath] = set()

    async def watch_prefix_once(
        prefix: ObjectPath, after: StoreVersion, wait_s: float
    ) -> Result[VersionedListing, ReadProblem]:
        if prefix not in working_prefixes:
            wait_s = min(wait_s, FIRST_WATCH_WAIT_S)
        working_prefixes.discard(prefix)
        result = await watch(prefix, after, wait_s)
        if isinstance(result, Success):
            working_prefixes.add(prefix)
        return result

    return watch_prefix_once


def record_watches(watch: WatchObjects, change_log: ChangeLog) -> WatchObjects:
    """Return a function that watches and records the changes it receives."""

    async def watch_and_record(
        prefix: ObjectPath, after: StoreVersion, wait_s: float
    ) -> Result[VersionedListing, ReadProblem]:
        change_log.begin(prefix, after)
        is_recorded = False
        try:
            result = await watch(prefix, after, wait_s)
            if isinstance(result, Success):
                change_log.record(prefix, result.unwrap())
                is_recorded = True
            return result
        finally:
            if not is_recorded:
                change_log.interrupt(prefix)

    return watch_and_record
