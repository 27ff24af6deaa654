"""Eject upstreams that fail or answer slowly, and let them back one at a time.

An entry instance judges by its own requests: its load and health endpoints lag or
mislead, so what a probe says weighs no more than one request. A floor keeps part of the
pool whatever the judgement, so that no fault of the measuring empties it.
"""

import math
from collections.abc import Sequence
from dataclasses import dataclass, replace
from random import Random
from statistics import median

from tanagercourse.core.ids import UpstreamId
from tanagercourse.core.states import UpstreamState

# Weight of the newest latency in the moving average.
LATENCY_WEIGHT = 0.2


@dataclass(frozen=True)
class OutlierPolicy:
    """Limits of ejection.

    Attributes:
        max_failures: Failures in a row that eject an upstream.
        slow_factor: Latency as a multiple of the pool's median that ejects it.
        min_answers: Answers before its latency is judged.
        ejection_s: Length of the first ejection, in seconds; it doubles each time.
        longest_s: Upper bound of an ejection, in seconds.
        floor_share: Share of the pool that is never ejected.
        warmup_s: How long an upstream takes to its full weight, in seconds.
    """

    max_failures: int = 3
    slow_factor: float = 5.0
    min_answers: int = 4
    ejection_s: float = 0.25
    longest_s: float = 0.5
    floor_share: float = 0.5
    warmup_s: float = 1.0


@dataclass(frozen=True)
class UpstreamHealth:
    """What an instance makes of an upstream.

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
    failures: int = 0
    answers: int = 0
    latency_s: float = 0.0
    ejections: int = 0
    ejected_until_s: float = -math.inf
    warm_at_s: float = -math.inf


class OutlierDetector:
    """An instance's own record of the upstreams of one service."""

    def __init__(self, policy: OutlierPolicy, random: Random) -> None:
        self._policy = policy
        self._random = random
        self._records: dict[UpstreamId, _Record] = {}

    def record_response(
        self, upstream: UpstreamId, latency_s: float, now_s: float
    ) -> None:
        """Note an answer and how long it took, in seconds."""
        record = self._record(upstream)
        record.failures = 0
        record.answers += 1
        if record.answers == 1:
            record.latency_s = latency_s
        record.latency_s += LATENCY_WEIGHT * (latency_s - record.latency_s)
        is_warm = now_s >= record.warm_at_s
        # A new one may be slow while its caches fill; one that was ejected may not.
        if (is_warm or record.ejections) and self._is_slow(record):
            self._eject(upstream, now_s)
        elif is_warm:
            record.ejections = 0

    def record_failure(self, upstream: UpstreamId, now_s: float) -> None:
        """Note a request or a probe that failed; a shed is no failure."""
        record = self._record(upstream)
        record.failures += 1
        is_on_trial = record.ejections > 0 and now_s < record.warm_at_s
        if is_on_trial or record.failures >= self._policy.max_failures:
            self._eject(upstream, now_s)

    def joined(self, upstream: UpstreamId, now_s: float) -> None:
        """Note that an upstream is new or back: it starts slowly."""
        record = self._records[upstream] = _Record()
        record.warm_at_s = now_s + self._policy.warmup_s

    def evaluate(
        self, upstreams: Sequence[UpstreamId], now_s: float
    ) -> tuple[UpstreamHealth, ...]:
        """Return what to make of each upstream of a pool, the floor kept.

        When more are bad than the floor allows to eject, those that would come back
        last stay out, and the others are used again.
        """
        bad = [each for each in upstreams if self._is_ejected(each, now_s)]
        allowed = len(upstreams) - math.ceil(self._policy.floor_share * len(upstreams))
        bad.sort(key=lambda each: (-self._records[each].ejected_until_s, each))
        out = set(bad[:allowed])
        return tuple(self._judge(each, each in out, now_s) for each in upstreams)

    def _judge(
        self, upstream: UpstreamId, is_out: bool, now_s: float
    ) -> UpstreamHealth:
        if is_out:
            return UpstreamHealth(upstream, UpstreamState.EJECTED, 0.0)
        record = self._records.get(upstream)
        if record is None or now_s >= record.warm_at_s:
            return UpstreamHealth(upstream, UpstreamState.LIVE, 1.0)
        left_s = min(self._policy.warmup_s, record.warm_at_s - now_s)
        # Never zero: a pool at its floor is used, and one request is the trial.
        weight = max(0.01, 1.0 - left_s / self._policy.warmup_s)
        return UpstreamHealth(upstream, UpstreamState.WARMING, weight)

    def _is_ejected(self, upstream: UpstreamId, now_s: float) -> bool:
        record = self._records.get(upstream)
        return record is not None and now_s < record.ejected_until_s

    def _is_slow(self, record: _Record) -> bool:
        known = [
            other.latency_s
            for other in self._records.values()
            if other.answers >= self._policy.min_answers
        ]
        if record.answers < self._policy.min_answers or len(known) < 3:
            return False
        return record.latency_s > self._policy.slow_factor * median(known)

    def _eject(self, upstream: UpstreamId, now_s: float) -> None:
        record = self._record(upstream)
        if now_s < record.ejected_until_s:
            return
        bound_s = self._policy.ejection_s * 2.0**record.ejections
        longest_s = min(self._policy.longest_s, bound_s)
        # Half of it is jitter: instances that saw the same fault come back apart.
        length_s = self._random.uniform(longest_s / 2, longest_s)
        record.ejections += 1
        record.failures = 0
        record.answers = 0
        record.ejected_until_s = now_s + length_s
        record.warm_at_s = record.ejected_until_s + self._policy.warmup_s

    def _record(self, upstream: UpstreamId) -> _Record:
        return self._records.setdefault(upstream, _Record())


def scale_weights(judgements: Sequence[UpstreamHealth]) -> tuple[UpstreamHealth, ...]:
    """Return judgements with the readiest upstream of a group at full weight.

    Slow start moves work from an upstream to warmer ones of its group. Where all are
    cold, as in a region that has come back, holding them all down helps nobody.

    Args:
        judgements: Upstreams of one region.
    """
    highest = max((each.weight for each in judgements), default=0.0)
    if highest in (0.0, 1.0):
        return tuple(judgements)
    return tuple(replace(each, weight=each.weight / highest) for each in judgements)


def eject_at_once(
    failed: Sequence[UpstreamId], upstreams: Sequence[UpstreamId]
) -> tuple[UpstreamId, ...]:
    """Return the pool without what failed last: the naive way, with no floor."""
    return tuple(each for each in upstreams if each not in failed)
