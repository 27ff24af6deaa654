"""What the service-level burn report costs an instance and an operator."""

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

START_S = 1_198_800.0
SERVICES = tuple(ServiceId(name) for name in ("motritelj", "prijavnica", "ljetopis"))
RECORDS = 50_000
REQUESTS_A_MINUTE = 30
SOURCES = 20
# What a node may spend on all of its control, in bytes a second.
CONTROL_BYTES_S = 3_000.0
US_PER_S = 1_000_000


def measure_burn(seed: int) -> Iterable[Measure]:
    """Measure recording, publishing and reporting."""
    random = Random(seed)
    recording_s, appending_s = _time_recording(random)
    yield Measure("burn/record/time", "us", recording_s, appending_s)
    series = _three_days(random)
    rate_bytes_s = sum(_publish_bytes(series, tier.length_s) for tier in TIERS)
    naive_bytes_s = len(encode_series(series)) / FINEST_INTERVAL_S
    target = Target(Bound.AT_MOST, CONTROL_BYTES_S)
    name = "burn/publish/rate"
    yield Measure(name, "byte/s", rate_bytes_s, naive_bytes_s, target)
    yield Measure("burn/report/time", "s", _time_report(series))


def _time_recording(random: Random) -> tuple[float, float]:
    """Return the time to count a request and to append it to a list, in us."""
    recorder = BurnRecorder("entry-1", ZoneId("split-a"), START_S)
    latencies_s = [random.lognormvariate(-4.0, 0.7) for _ in range(RECORDS)]
    began_s = time.perf_counter()
    for index, latency_s in enumerate(latencies_s):
        now_s = START_S + index / 1_000
        recorder.record(SERVICES[0], RANKS[0], Outcome.ANSWERED, latency_s, now_s)
    ended_s = time.perf_counter()
    samples = []
    for latency_s in latencies_s:
        samples.append((SERVICES[0], RANKS[0], Outcome.ANSWERED, latency_s))
    appended_s = time.perf_counter()
    scale = US_PER_S / RECORDS
    return (ended_s - began_s) * scale, (appended_s - ended_s) * scale


def _three_days(random: Random) -> Series:
    recorder = BurnRecorder("entry-1", ZoneId("split-a"), START_S)
    step_s = FINEST_INTERVAL_S / REQUESTS_A_MINUTE
    for number in range(int(BUDGET_PERIOD_S / step_s)):
        now_s = START_S + number * step_s
        for service, rank in zip(SERVICES, RANKS, strict=True):
            latency_s = random.lognormvariate(-4.0, 0.7)
            recorder.record(service, rank, Outcome.ANSWERED, latency_s, now_s)
    return recorder.series(START_S + BUDGET_PERIOD_S)


def _publish_bytes(series: Series, length_s: int) -> float:
    """Return what publishing one tier takes, in bytes a second."""
    tier = next(tier for tier in TIERS if tier.length_s == length_s)
    return len(encode_series(select_tier(series, tier))) / length_s


def _time_report(series: Series) -> float:
    """Return the time to work out a report of many sources, in seconds."""
    sources = [replace(series, source=f"entry-{index}") for index in range(SOURCES)]
    services = [
        OwnedService(
            TeamId("preljev"), ServiceSettings(service, rank, Idempotency.IDEMPOTENT)
        )
        for service, rank in zip(SERVICES, RANKS, strict=True)
    ]
    began_s = time.perf_counter()
    build_report(sources, services, BUDGET_PERIOD_S, START_S + BUDGET_PERIOD_S)
    return time.perf_counter() - began_s
