"""Follow the eras of the store, and end what rests on an earlier one.

A store that comes back from an older copy of its data begins a new era. It assigns the
revisions after the copy again, so a watch from a revision of the earlier era may skip
changes or wait for none. Whichever answer states the new era first ends all watches of
the earlier one, and each prefix is listed anew.
"""

from collections.abc import Callable

import anyio
import structlog
from returns.result import Failure, Result, Success

from tanagercourse.core.ids import ObjectPath
from tanagercourse.platform.reading import (
    ONLY_ERA,
    Era,
    HistoryLost,
    ReadProblem,
    StoreVersion,
    VersionedListing,
    WatchObjects,
)

# Eras are counted; a longer number is none.
MAX_ERA_DIGITS = 15

Log = structlog.typing.FilteringBoundLogger


class EraTracker:
    """The latest era that any answer stated.

    Attributes:
        latest: The latest era; ONLY_ERA before an answer stated any.
    """

    def __init__(self, log: Log, on_new_era: Callable[[], None] = lambda: None) -> None:
        """Start without knowledge of the store.

        Args:
            log: Logger for new eras.
            on_new_era: Called when an era ends an earlier one.
        """
        self.latest = ONLY_ERA
        self._on_new_era = on_new_era
        self._log = log
        self._changed = anyio.Event()

    def record(self, stated: Era | None) -> Era:
        """Record the era of an answer and return it.

        Args:
            stated: The era that the answer states. An answer that states none is taken
                for one of the latest era.
        """
        if stated is None:
            return self.latest
        if stated > self.latest:
            self._begin(stated)
        return stated

    def _begin(self, era: Era) -> None:
        ended, self.latest = self.latest, era
        if ended != ONLY_ERA:
            self._log.warning("store_era_ended", era=ended, latest=era)
            self._on_new_era()
        self._changed.set()
        self._changed = anyio.Event()

    async def wait_for_later(self, era: Era) -> None:
        """Return once the latest era is later than the given one."""
        while self.latest <= era:
            await self._changed.wait()


def parse_era(text: bytes | None) -> Era | None:
    """Return the era that a header states, None if it states none."""
    if text is None or not text.isdigit() or len(text) > MAX_ERA_DIGITS:
        return None
    return Era(int(text))


def watch_within_era(watch: WatchObjects, eras: EraTracker) -> WatchObjects:
    """Return a function that watches until the era of the given version ends.

    Args:
        watch: Waits for changes at the source.
        eras: The latest era.
    """

    async def watch_era(
        prefix: ObjectPath, after: StoreVersion, wait_s: float
    ) -> Result[VersionedListing, ReadProblem]:
        result: Result[VersionedListing, ReadProblem] = Failure(
            HistoryLost(prefix, after)
        )
        if eras.latest > after.era:
            return result
        async with anyio.create_task_group() as tasks:

            async def cancel_after_era() -> None:
                await eras.wait_for_later(after.era)
                tasks.cancel_scope.cancel()

            tasks.start_soon(cancel_after_era)
            result = await watch(prefix, after, wait_s)
            tasks.cancel_scope.cancel()
        if isinstance(result, Success) and result.unwrap().version.era != after.era:
            return Failure(HistoryLost(prefix, after))
        return result

    return watch_era
