"""Count finished requests for the burn report, and publish the counts."""

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

# Drain durations are measured with this resolution.
TICK_INTERVAL_S = 1.0
# How long a planned stop waits for the platform to accept the last counts.
FINAL_PUBLISH_TIMEOUT_S = 1.0

# Refusals that don't count against the service, as the caller was at fault or
# disconnected.
_CALLER_REASONS = frozenset(
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


def record_outcome(
    recorder: BurnRecorder,
    work: Work,
    refusal: Refusal | None,
    latency_s: float,
    now_s: float,
) -> None:
    """Count the outcome of one request.

    Args:
        recorder: Recorder of this instance's counts.
        work: The request.
        refusal: Why the request got no complete response, or None if it got one.
        latency_s: Time from arrival to the end of the response, in seconds.
        now_s: Wall-clock time, in seconds since 1970.
    """
    if refusal is not None and refusal.reason in _CALLER_REASONS:
        return
    outcome = _outcome_of(refusal)
    recorder.record(work.service, work.rank, outcome, latency_s, now_s)


class DrainTracker:
    """Measures how long draining upstreams take to finish their requests."""

    def __init__(self) -> None:
        self._seen_serving: set[tuple[ServiceId, UpstreamId]] = set()
        self._started_at_s: dict[tuple[ServiceId, UpstreamId], float] = {}

    def observe(
        self, service: ServiceId, views: Sequence[UpstreamView], now_s: float
    ) -> tuple[CompletedDrain, ...]:
        """Return the drains that ended since the previous call for a service.

        A drain starts with the first call that observes it. An upstream that was
        already draining when this instance started is not measured.

        Args:
            service: The service.
            views: Current state of the service's upstreams.
            now_s: Wall-clock time, in seconds since 1970.
        """
        drains = []
        for view in views:
            key = (service, view.id)
            if view.state is not UpstreamState.DRAINING:
                self._seen_serving.add(key)
                self._started_at_s.pop(key, None)
            elif key in self._seen_serving:
                started_at_s = self._started_at_s.setdefault(key, now_s)
                if not view.in_flight:
                    self._seen_serving.discard(key)
                    drains.append(
                        CompletedDrain(service, view.id, now_s, now_s - started_at_s)
                    )
        return tuple(drains)


@dataclass
class _PublishedTier:
    """State of the object with one published tier.

    Attributes:
        version: Version of the object.
        newest_start_s: Start of the object's newest interval, in seconds since 1970; -1
            if nothing was published.
    """

    version: Version = NO_VERSION
    newest_start_s: int = -1


@dataclass
class BurnPublisher:
    """Publishes a recorder's series on the platform, with one object for each tier.

    Attributes:
        store: The platform's object store.
        recorder: The recorder whose series is published.
        source: This instance's id.
        pools: Returns the pools of all services, to measure drains of upstreams.
    """

    store: Store
    recorder: BurnRecorder
    source: str
    pools: Pools
    _drain_tracker: DrainTracker = field(default_factory=DrainTracker)
    _published: dict[Tier, _PublishedTier] = field(
        default_factory=lambda: {tier: _PublishedTier() for tier in TIERS}
    )

    async def restore(self) -> None:
        """Load the counts that an earlier run of this instance published."""
        tier_series = []
        for tier in TIERS:
            path = burn_path(self.source, tier)
            read_result = await self.store.read(path)
            if isinstance(read_result, Failure):
                continue
            stored = read_result.unwrap()
            self._published[tier].version = stored.version
            decoded = decode_series(path, stored.value)
            if not isinstance(decoded, Failure):
                tier_series.append(decoded.unwrap())
        for published_series in merge_tiers(tier_series):
            self.recorder.restore(published_series)

    def tick(self, now_s: float) -> None:
        """Record that measurement continued until now, and which drains ended."""
        self.recorder.tick(now_s)
        for service, pool in self.pools().items():
            for drain in self._drain_tracker.observe(service, pool.views(), now_s):
                self.recorder.record_drain(drain)

    async def publish(self, now_s: float) -> None:
        """Write each tier that has a new interval, longest intervals first.

        Readers prefer a longer interval over the shorter ones inside it, so the longer
        one must be published before the shorter ones are dropped.
        """
        series = self.recorder.series(now_s)
        for tier in reversed(TIERS):
            tier_series = select_tier(series, tier)
            newest_start_s = (
                tier_series.intervals[-1].start_s if tier_series.intervals else -1
            )
            if newest_start_s > self._published[tier].newest_start_s:
                await self._write(tier, tier_series, newest_start_s)

    async def publish_final(self, now_s: float) -> None:
        """Write the last counts before a planned stop ends."""
        self.recorder.stop(now_s)
        tier_series = select_tier(self.recorder.series(now_s), TIERS[0])
        await self._write(TIERS[0], tier_series, tier_series.intervals[-1].start_s)

    async def _write(
        self, tier: Tier, tier_series: Series, newest_start_s: int
    ) -> None:
        published = self._published[tier]
        writer = WriterId(f"burn.{self.source}")
        path = burn_path(self.source, tier)
        update = Update(path, published.version, encode_series(tier_series), writer)
        write_result = await self.store.write(update)
        if not isinstance(write_result, Failure):
            published.version = write_result.unwrap().version
            published.newest_start_s = newest_start_s
            return
        problem = write_result.failure()
        _log.warning("burn_publish_failed", path=path, reason=problem.describe())
        if isinstance(problem, Conflict):
            # Only this instance writes the object, so one of its earlier writes
            # succeeded and the response was lost.
            existing = problem.found
            published.version = existing.version if existing else NO_VERSION


async def publish_burn(
    publisher: BurnPublisher,
    clock: Clock = time.time,
    sleep: Sleep = anyio.sleep,
) -> None:
    """Publish counts as intervals end, until cancelled.

    Args:
        publisher: The publisher to run.
        clock: Wall clock, in seconds since 1970.
        sleep: Sleeps for a number of seconds.
    """
    await publisher.restore()
    while True:
        await sleep(TICK_INTERVAL_S)
        publisher.tick(clock())
        await publisher.publish(clock())


async def publish_final_burn(
    publisher: BurnPublisher, clock: Clock = time.time
) -> None:
    """Publish the last counts, within `FINAL_PUBLISH_TIMEOUT_S`."""
    with anyio.move_on_after(FINAL_PUBLISH_TIMEOUT_S):
        await publisher.publish_final(clock())


def _outcome_of(refusal: Refusal | None) -> Outcome:
    if refusal is None:
        return Outcome.ANSWERED
    was_not_run = refusal.execution is Execution.NOT_RUN
    return Outcome.REFUSED if was_not_run else Outcome.FAILED
