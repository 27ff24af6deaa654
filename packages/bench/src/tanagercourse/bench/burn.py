"""Measure the cost of the service-level burn report for instances and operators."""

import time
from collections.abc import Iterable
from dataclasses import replace
from random import Random

from tanagercourse.bench.measure import Bound, Measure, Target
from tanagercourse.burn.paths import select_tier
from tanagercourse.burn.recorder import BurnRecorder
from tanagercourse.burn.report import OwnedService, build_report
from tanagercourse.burn.series import Outcome, Series, encode_series
from tanagercourse.burn.tiers import BUDGET_PERIOD_S, FINEST_INTERVAL_S, TIERS
from tanagercourse.core.ids import ServiceId, TeamId, ZoneId
from tanagercourse.core.states import RANKS, Idempotency
from tanagercourse.settings.schema import ServiceSettings

# The start of an hour, in seconds since 1970.
START_S = 1_198_800.0
SERVICES = tuple(ServiceId(name) for name in ("motritelj", "prijavnica", "ljetopis"))
RECORD_COUNT = 50_000
REQUESTS_PER_MINUTE = 30
SOURCE_COUNT = 20
# Limit of all control traffic of a node.
MAX_CONTROL_BYTES_PER_S = 3_000.0
US_PER_S = 1_000_000


def measure_burn(seed: int) -> Iterable[Measure]:
    """Measure recording a request, publishing a series and building a report."""
    random = Random(seed)
    recording_us, appending_us = _time_recording_us(random)
    yield Measure("burn/record/time", "us", recording_us, appending_us)
    series = _make_series(random)
    bytes_per_s = sum(_publish_bytes_per_s(series, tier.length_s) for tier in TIERS)
    baseline_bytes_per_s = len(encode_series(series)) / FINEST_INTERVAL_S
    target = Target(Bound.AT_MOST, MAX_CONTROL_BYTES_PER_S)
    name = "burn/publish/rate"
    yield Measure(name, "byte/s", bytes_per_s, baseline_bytes_per_s, target)
    yield Measure("burn/report/time", "s", _time_report_s(series))


def _time_recording_us(random: Random) -> tuple[float, float]:
    """Return the microseconds to record a request and to append it to a list."""
    recorder = BurnRecorder("entry-1", ZoneId("split-a"), START_S)
    latencies_s = [random.lognormvariate(-4.0, 0.7) for _ in range(RECORD_COUNT)]
    start_s = time.perf_counter()
    for index, latency_s in enumerate(latencies_s):
        now_s = START_S + index / 1_000
        recorder.record(SERVICES[0], RANKS[0], Outcome.ANSWERED, latency_s, now_s)
    recorded_at_s = time.perf_counter()
    samples = []
    for latency_s in latencies_s:
        samples.append((SERVICES[0], RANKS[0], Outcome.ANSWERED, latency_s))
    appended_at_s = time.perf_counter()
    us_per_record = US_PER_S / RECORD_COUNT
    return (recorded_at_s - start_s) * us_per_record, (
        appended_at_s - recorded_at_s
    ) * us_per_record


def _make_series(random: Random) -> Series:
    """Return a series of requests over the entire budget period."""
    recorder = BurnRecorder("entry-1", ZoneId("split-a"), START_S)
    gap_s = FINEST_INTERVAL_S / REQUESTS_PER_MINUTE
    for number in range(int(BUDGET_PERIOD_S / gap_s)):
        now_s = START_S + number * gap_s
        for service, rank in zip(SERVICES, RANKS, strict=True):
            latency_s = random.lognormvariate(-4.0, 0.7)
            recorder.record(service, rank, Outcome.ANSWERED, latency_s, now_s)
    return recorder.series(START_S + BUDGET_PERIOD_S)


def _publish_bytes_per_s(series: Series, length_s: int) -> float:
    """Return the rate at which publishing one tier sends, in bytes per second."""
    tier = next(tier for tier in TIERS if tier.length_s == length_s)
    return len(encode_series(select_tier(series, tier))) / length_s


def _time_report_s(series: Series) -> float:
    """Return the time to build a report from `SOURCE_COUNT` series, in seconds."""
    sources = [
        replace(series, source=f"entry-{index}") for index in range(SOURCE_COUNT)
    ]
    services = [
        OwnedService(
            TeamId("preljev"), ServiceSettings(service, rank, Idempotency.IDEMPOTENT)
        )
        for service, rank in zip(SERVICES, RANKS, strict=True)
    ]
    start_s = time.perf_counter()
    build_report(sources, services, BUDGET_PERIOD_S, START_S + BUDGET_PERIOD_S)
    return time.perf_counter() - start_s
