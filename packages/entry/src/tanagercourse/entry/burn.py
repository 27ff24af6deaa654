"""Count finished requests for the service-level burn report, and publish counts."""

import time
from collections.abc import Awaitable, Callable, Mapping, Sequence
from dataclasses import dataclass, field

import anyio
import structlog
from returns.result import Failure

from tanagercourse.burn.paths import burn_path, merge_tiers, select_tier
from tanagercourse.burn.recorder import BurnRecorder
from tanagercourse.burn.series import (
    CompletedDrain,
    Outcome,
    Series,
    decode_series,
    encode_series,
)
from tanagercourse.burn.tiers import TIERS, Tier
from tanagercourse.core.ids import NO_VERSION, ServiceId, UpstreamId, Version, WriterId
from tanagercourse.core.problems import Refusal
from tanagercourse.core.states import Execution, RefusalReason, UpstreamState
from tanagercourse.core.work import Clock, Work
from tanagercourse.entry.pool import ServicePool
from tanagercourse.platform.store import Conflict, Store, Update
from tanagercourse.steering.upstreams import UpstreamView

# Also the precision of a drain's time.
TICK_INTERVAL_S = 1.0
# How long a planned stop waits for the platform to take the last counts.
FINISH_TIMEOUT_S = 1.0

# Ends of a request that say nothing of the service: the caller was at fault or left.
_CALLERS_OWN = frozenset(
    {
        RefusalReason.INVALID_REQUEST,
        RefusalReason.UNKNOWN_SERVICE,
        RefusalReason.DUPLICATE_KEY,
        RefusalReason.CANCELLED,
    }
)

Pools = Callable[[], Mapping[ServiceId, ServicePool]]
Sleep = Callable[[float], Awaitable[None]]

_log = structlog.get_logger()


def record_end(
    recorder: BurnRecorder,
    work: Work,
    refusal: Refusal | None,
    latency_s: float,
    now_s: float,
) -> None:
    """Count one request that ended.

    Args:
        recorder: This instance's counts.
        work: The request.
        refusal: Why it got no whole answer, None when it did.
        latency_s: From its arrival to the end of its answer, in seconds.
        now_s: The wall clock, in seconds since 1970.
    """
    if refusal is not None and refusal.reason in _CALLERS_OWN:
        return
    outcome = _outcome_of(refusal)
    recorder.record(work.service, work.rank, outcome, latency_s, now_s)


class DrainWatch:
    """Notes how long draining upstreams take to run out of requests."""

    def __init__(self) -> None:
        self._serving: set[tuple[ServiceId, UpstreamId]] = set()
        self._since_s: dict[tuple[ServiceId, UpstreamId], float] = {}

    def observe(
        self, service: ServiceId, views: Sequence[UpstreamView], now_s: float
    ) -> tuple[CompletedDrain, ...]:
        """Return the drains that have ended since the last look.

        A drain counts from the look that first saw it. An upstream that drained
        already when this instance started is left out.

        Args:
            service: The service.
            views: Its upstreams now.
            now_s: The wall clock, in seconds since 1970.
        """
        ended = []
        for view in views:
            key = (service, view.id)
            if view.state is not UpstreamState.DRAINING:
                self._serving.add(key)
                self._since_s.pop(key, None)
            elif key in self._serving:
                since_s = self._since_s.setdefault(key, now_s)
                if not view.in_flight:
                    self._serving.discard(key)
                    ended.append(
                        CompletedDrain(service, view.id, now_s, now_s - since_s)
                    )
        return tuple(ended)


@dataclass
class _Published:
    """What the platform has of one tier.

    Attributes:
        version: The version of its object.
        newest_s: The start of the newest interval in it, in seconds since 1970.
    """

    version: Version = NO_VERSION
    newest_s: int = -1


@dataclass
class BurnPublisher:
    """Publishes a recorder's series, each tier in an object of its own.

    Attributes:
        store: The platform.
        recorder: What to publish.
        source: This instance's id.
        pools: Gives every service's pool, whose drains are watched.
    """

    store: Store
    recorder: BurnRecorder
    source: str
    pools: Pools
    _drains: DrainWatch = field(default_factory=DrainWatch)
    _published: dict[Tier, _Published] = field(
        default_factory=lambda: {tier: _Published() for tier in TIERS}
    )

    async def restore(self) -> None:
        """Take over what an earlier start of this instance published."""
        parts = []
        for tier in TIERS:
            path = burn_path(self.source, tier)
            read = await self.store.read(path)
            if isinstance(read, Failure):
                continue
            stored = read.unwrap()
            self._published[tier].version = stored.version
            decoded = decode_series(path, stored.value)
            if not isinstance(decoded, Failure):
                parts.append(decoded.unwrap())
        for earlier in merge_tiers(parts):
            self.recorder.restore(earlier)

    def tick(self, now_s: float) -> None:
        """Note that measurement goes on, and which drains have ended."""
        self.recorder.tick(now_s)
        for service, pool in self.pools().items():
            for drain in self._drains.observe(service, pool.views(), now_s):
                self.recorder.record_drain(drain)

    async def publish(self, now_s: float) -> None:
        """Write each tier that has a new interval, the longest first.

        A reader takes the longer interval where there is one, so it must be there
        before the shorter ones inside it are dropped.
        """
        series = self.recorder.series(now_s)
        for tier in reversed(TIERS):
            part = select_tier(series, tier)
            newest_s = part.intervals[-1].start_s if part.intervals else -1
            if newest_s > self._published[tier].newest_s:
                await self._write(tier, part, newest_s)

    async def finish(self, now_s: float) -> None:
        """Write the last counts at a planned stop."""
        self.recorder.stop(now_s)
        part = select_tier(self.recorder.series(now_s), TIERS[0])
        await self._write(TIERS[0], part, part.intervals[-1].start_s)

    async def _write(self, tier: Tier, part: Series, newest_s: int) -> None:
        published = self._published[tier]
        writer = WriterId(f"burn.{self.source}")
        path = burn_path(self.source, tier)
        update = Update(path, published.version, encode_series(part), writer)
        written = await self.store.write(update)
        if not isinstance(written, Failure):
            published.version = written.unwrap().version
            published.newest_s = newest_s
            return
        problem = written.failure()
        _log.warning("burn_unpublished", path=path, reason=problem.describe())
        if isinstance(problem, Conflict):
            # Only this instance writes here: the reply to an earlier write was lost.
            found = problem.found
            published.version = found.version if found else NO_VERSION


async def publish_burn(
    publisher: BurnPublisher,
    clock: Clock = time.time,
    sleep: Sleep = anyio.sleep,
) -> None:
    """Publish what is counted as intervals end; never returns.

    Args:
        publisher: What to publish and where.
        clock: The wall clock, in seconds since 1970.
        sleep: Waits for a number of seconds.
    """
    await publisher.restore()
    while True:
        await sleep(TICK_INTERVAL_S)
        publisher.tick(clock())
        await publisher.publish(clock())


async def finish_burn(publisher: BurnPublisher, clock: Clock = time.time) -> None:
    """Publish the last counts of a planned stop, if the platform answers soon."""
    with anyio.move_on_after(FINISH_TIMEOUT_S):
        await publisher.finish(clock())


def _outcome_of(refusal: Refusal | None) -> Outcome:
    if refusal is None:
        return Outcome.ANSWERED
    is_not_run = refusal.execution is Execution.NOT_RUN
    return Outcome.REFUSED if is_not_run else Outcome.FAILED
