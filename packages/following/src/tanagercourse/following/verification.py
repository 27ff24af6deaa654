"""Verify that pending watches still deliver the changes of their source.

A watch that was sent while its source was silent, or whose connection went silent, is
never answered, and no reset or failed check shows it. A pending watch is therefore
compared with what its source is known to have: if that is newer, a second watch asks
for the changes at once, and replaces the pending one if it finds any.
"""

import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass

import anyio
import structlog
from returns.result import Failure, Result, Success

from tanagercourse.core.ids import ObjectPath
from tanagercourse.platform.reading import (
    NO_STORE_VERSION,
    HistoryLost,
    ReadProblem,
    StoreVersion,
    VersionedListing,
    WatchObjects,
)
from tanagercourse.platform.store import Unavailable

# Time limit for the answer to a watch that does not wait, with retries.
VERIFICATION_TIMEOUT_S = 1.0
# Interval between these retries.
VERIFICATION_RETRY_INTERVAL_S = 0.2
# Time in which the store's answer to a pending watch arrives after a change.
STORE_DELIVERY_S = 0.1
# The same time for the answer of a relay.
RELAY_DELIVERY_S = 0.2
# Time after a change is found in the store until it is applied by all instances that
# follow relays: the store's answer, a relay's next check and its answer.
RELAYING_TIME_S = 1.4
MIN_PROBE_INTERVAL_S = 0.3

Log = structlog.typing.FilteringBoundLogger


class SourceVersions:
    """The newest versions that the source in use is known to have, by prefix."""

    def __init__(self) -> None:
        """Start without knowledge of the source."""
        self._newest: dict[ObjectPath, StoreVersion] = {}
        self._newest_of_all = NO_STORE_VERSION
        self._has_news = anyio.Event()

    def record(self, newest: Mapping[ObjectPath, StoreVersion]) -> None:
        """Record the versions of the newest changes under some prefixes."""
        self._newest.update(newest)
        self._wake_all()

    def record_for_all(self, version: StoreVersion) -> None:
        """Record a version that the last change under any prefix may have."""
        self._newest_of_all = max(self._newest_of_all, version)
        self._wake_all()

    def clear(self) -> None:
        """Forget all versions, because another source is in use."""
        self._newest.clear()
        self._newest_of_all = NO_STORE_VERSION

    async def wait_for_newer(
        self, prefix: ObjectPath, version: StoreVersion, timeout_s: float
    ) -> StoreVersion | None:
        """Return a newer version than the given one, or None after the timeout."""
        with anyio.move_on_after(timeout_s):
            while True:
                newest = max(
                    self._newest.get(prefix, NO_STORE_VERSION), self._newest_of_all
                )
                if newest > version:
                    return newest
                await self._has_news.wait()
        return None

    def _wake_all(self) -> None:
        self._has_news.set()
        self._has_news = anyio.Event()


@dataclass(frozen=True)
class VerificationTimes:
    """When the pending watches of a source are verified.

    Attributes:
        probe_interval_s: Interval at which the watch of a prefix is verified without
            news of the source, in seconds; infinite if it is not.
        delivery_s: Time in which the pending watch of a prefix must deliver a change
            that the source is known to have, in seconds.
    """

    probe_interval_s: Callable[[ObjectPath], float]
    delivery_s: Callable[[ObjectPath], float]


def make_store_times(apply_within_s: Mapping[ObjectPath, float]) -> VerificationTimes:
    """Return when watches of the store are verified.

    The store has one version for all objects. One prefix is probed regularly, and the
    others are verified only if the version that it shows is newer than theirs.

    Args:
        apply_within_s: Time within which a change under each prefix must be applied, in
            seconds. The first of the prefixes with the shortest time is probed.
    """
    probed = min(apply_within_s, key=lambda prefix: apply_within_s[prefix])
    shortest_s = apply_within_s[probed]
    interval_s = max(MIN_PROBE_INTERVAL_S, shortest_s - RELAYING_TIME_S)
    return VerificationTimes(
        lambda prefix: interval_s if prefix == probed else math.inf,
        lambda prefix: STORE_DELIVERY_S + apply_within_s[prefix] - shortest_s,
    )


def make_relay_times() -> VerificationTimes:
    """Return when watches of a relay are verified; its checks tell its versions."""
    return VerificationTimes(lambda prefix: math.inf, lambda prefix: RELAY_DELIVERY_S)


def verify_watches(
    watch: WatchObjects,
    versions: SourceVersions,
    times: Callable[[], VerificationTimes],
    log: Log,
) -> WatchObjects:
    """Return a function that watches, and verifies the watch while it is pending.

    Args:
        watch: Waits for changes at the source.
        versions: What the source is known to have; updated by probes.
        times: Returns when the watches of the source in use are verified.
        log: Logger for pending watches that missed changes.
    """

    async def watch_verified(
        prefix: ObjectPath, after: StoreVersion, wait_s: float
    ) -> Result[VersionedListing, ReadProblem]:
        results: list[Result[VersionedListing, ReadProblem]] = []
        async with anyio.create_task_group() as tasks:

            async def run(call: WatchObjects) -> None:
                results.append(await call(prefix, after, wait_s))
                tasks.cancel_scope.cancel()

            tasks.start_soon(run, watch)
            tasks.start_soon(run, verify)
        return results[0]

    async def verify(
        prefix: ObjectPath, after: StoreVersion, wait_s: float
    ) -> Result[VersionedListing, ReadProblem]:
        """Return changes that the pending watch lacks, or why it can't be verified."""
        while True:
            newest = await versions.wait_for_newer(
                prefix, after, times().probe_interval_s(prefix)
            )
            if newest is not None:
                await anyio.sleep(times().delivery_s(prefix))
            result = await _watch_without_waiting(watch, prefix, after)
            if isinstance(result, Failure):
                return result
            found = result.unwrap().version
            if result.unwrap().objects:
                log.warning("watch_unanswered", prefix=prefix, after=after, found=found)
                return result
            if newest is None:
                versions.record_for_all(found)
            after = max(after, found, newest or NO_STORE_VERSION)

    return watch_verified


async def _watch_without_waiting(
    watch: WatchObjects, prefix: ObjectPath, after: StoreVersion
) -> Result[VersionedListing, ReadProblem]:
    result: Result[VersionedListing, ReadProblem] = Failure(
        Unavailable(prefix, "the pending watch can't be verified")
    )
    with anyio.move_on_after(VERIFICATION_TIMEOUT_S):
        while True:
            result = await watch(prefix, after, 0.0)
            if isinstance(result, Success) or isinstance(result.failure(), HistoryLost):
                return result
            await anyio.sleep(VERIFICATION_RETRY_INTERVAL_S)
    return result
