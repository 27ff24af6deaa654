"""Eject upstreams that fail or respond slowly, and readmit them with a slow start.

An entry instance evaluates upstreams by its own requests. Load and health endpoints lag
or mislead, so the result of a probe counts no more than that of one request. A floor
keeps part of the pool in use, so that no measurement error empties it.
"""

import math
from collections.abc import Sequence
from dataclasses import dataclass, replace
from random import Random
from statistics import median

from tanagercourse.core.ids import UpstreamId
from tanagercourse.core.states import UpstreamState

# Weight of the latest latency in the exponential moving average.
LATENCY_WEIGHT = 0.2


@dataclass(frozen=True)
class OutlierPolicy:
    """Limits of ejection.

    Attributes:
        max_failures: Number of consecutive failures that eject an upstream.
        slow_factor: Multiple of the pool's median latency that ejects an upstream.
        min_responses: Number of responses before the latency is evaluated.
        ejection_s: Maximum length of the first ejection, in seconds; it doubles with
            each further one.
        max_ejection_s: Upper limit of that maximum, in seconds.
        floor_share: Share of the pool that is never ejected.
        warmup_s: Time in which an upstream reaches its full weight, in seconds.
    """

    max_failures: int = 3
    slow_factor: float = 5.0
    min_responses: int = 4
    ejection_s: float = 0.25
    max_ejection_s: float = 0.5
    floor_share: float = 0.5
    warmup_s: float = 1.0


@dataclass(frozen=True)
class UpstreamHealth:
    """Health of an upstream as evaluated by an instance.

    Attributes:
        upstream: The upstream.
        state: LIVE, WARMING or EJECTED.
        weight: Share of its slots to use, above 0.0 unless it is ejected.
    """

    upstream: UpstreamId
    state: UpstreamState
    weight: float


@dataclass
class _Record:
    """Results of one upstream since its last ejection, and its ejections."""

    failures: int = 0
    responses: int = 0
    latency_s: float = 0.0
    ejections: int = 0
    ejected_until_s: float = -math.inf
    warm_at_s: float = -math.inf


class OutlierDetector:
    """Evaluates the upstreams of one service by an instance's own requests.

    Args:
        policy: Limits of ejection.
        random: Source of randomness for the jitter, seeded by the caller.
    """

    def __init__(self, policy: OutlierPolicy, random: Random) -> None:
        self._policy = policy
        self._random = random
        self._records: dict[UpstreamId, _Record] = {}

    def record_response(
        self, upstream: UpstreamId, latency_s: float, now_s: float
    ) -> None:
        """Record a response.

        Args:
            upstream: The upstream that responded.
            latency_s: Latency of the response, in seconds.
            now_s: A monotonic clock, in seconds.
        """
        record = self._record(upstream)
        record.failures = 0
        record.responses += 1
        if record.responses == 1:
            record.latency_s = latency_s
        record.latency_s += LATENCY_WEIGHT * (latency_s - record.latency_s)
        is_warm = now_s >= record.warm_at_s
        # A new upstream may be slow while its caches fill. A readmitted one may not.
        if (is_warm or record.ejections) and self._is_slow(record):
            self._eject(upstream, now_s)
        elif is_warm:
            record.ejections = 0

    def record_failure(self, upstream: UpstreamId, now_s: float) -> None:
        """Record a failed request or probe; a shed does not count as a failure."""
        record = self._record(upstream)
        record.failures += 1
        is_on_trial = record.ejections > 0 and now_s < record.warm_at_s
        if is_on_trial or record.failures >= self._policy.max_failures:
            self._eject(upstream, now_s)

    def record_join(self, upstream: UpstreamId, now_s: float) -> None:
        """Record that an upstream has joined or rejoined, which starts its warm-up."""
        record = self._records[upstream] = _Record()
        record.warm_at_s = now_s + self._policy.warmup_s

    def evaluate(
        self, upstreams: Sequence[UpstreamId], now_s: float
    ) -> tuple[UpstreamHealth, ...]:
        """Return the health of each upstream of a pool.

        When the floor does not allow all ejections, the upstreams whose ejection ends
        last stay ejected and the others are used again.

        Args:
            upstreams: The pool.
            now_s: A monotonic clock, in seconds.
        """
        ejected = [
            upstream for upstream in upstreams if self._is_ejected(upstream, now_s)
        ]
        max_ejected = len(upstreams) - math.ceil(
            self._policy.floor_share * len(upstreams)
        )
        ejected.sort(
            key=lambda upstream: (-self._records[upstream].ejected_until_s, upstream)
        )
        still_ejected = set(ejected[:max_ejected])
        return tuple(
            self._health_of(upstream, upstream in still_ejected, now_s)
            for upstream in upstreams
        )

    def _health_of(
        self, upstream: UpstreamId, is_ejected: bool, now_s: float
    ) -> UpstreamHealth:
        if is_ejected:
            return UpstreamHealth(upstream, UpstreamState.EJECTED, 0.0)
        record = self._records.get(upstream)
        if record is None or now_s >= record.warm_at_s:
            return UpstreamHealth(upstream, UpstreamState.LIVE, 1.0)
        warmup_left_s = min(self._policy.warmup_s, record.warm_at_s - now_s)
        # Above 0, so that an upstream which only the floor keeps in use gets requests.
        # They serve as its trial.
        weight = max(0.01, 1.0 - warmup_left_s / self._policy.warmup_s)
        return UpstreamHealth(upstream, UpstreamState.WARMING, weight)

    def _is_ejected(self, upstream: UpstreamId, now_s: float) -> bool:
        record = self._records.get(upstream)
        return record is not None and now_s < record.ejected_until_s

    def _is_slow(self, record: _Record) -> bool:
        latencies_s = [
            other.latency_s
            for other in self._records.values()
            if other.responses >= self._policy.min_responses
        ]
        if record.responses < self._policy.min_responses or len(latencies_s) < 3:
            return False
        return record.latency_s > self._policy.slow_factor * median(latencies_s)

    def _eject(self, upstream: UpstreamId, now_s: float) -> None:
        record = self._record(upstream)
        if now_s < record.ejected_until_s:
            return
        doubled_s = self._policy.ejection_s * 2.0**record.ejections
        max_length_s = min(self._policy.max_ejection_s, doubled_s)
        # Half of the length is jitter, so that instances that observed the same fault
        # readmit the upstream at different times.
        length_s = self._random.uniform(max_length_s / 2, max_length_s)
        record.ejections += 1
        record.failures = 0
        record.responses = 0
        record.ejected_until_s = now_s + length_s
        record.warm_at_s = record.ejected_until_s + self._policy.warmup_s

    def _record(self, upstream: UpstreamId) -> _Record:
        return self._records.setdefault(upstream, _Record())


def scale_weights(group: Sequence[UpstreamHealth]) -> tuple[UpstreamHealth, ...]:
    """Scale the weights of a group so that its warmest upstream has full weight.

    Slow start moves work from an upstream to warmer ones of its group. When all are
    cold, as after the recovery of a region, reducing all weights has no benefit.

    Args:
        group: Health of the upstreams of one region.
    """
    highest = max((health.weight for health in group), default=0.0)
    if highest in (0.0, 1.0):
        return tuple(group)
    return tuple(replace(health, weight=health.weight / highest) for health in group)


def eject_without_floor(
    failed: Sequence[UpstreamId], upstreams: Sequence[UpstreamId]
) -> tuple[UpstreamId, ...]:
    """Return the pool without failed upstreams: the baseline, without a floor."""
    return tuple(upstream for upstream in upstreams if upstream not in failed)
