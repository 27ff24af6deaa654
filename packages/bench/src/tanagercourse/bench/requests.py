"""Measure request latency through an entry instance and directly to the upstream."""

import time
from collections.abc import Iterable
from dataclasses import dataclass

import anyio
import httpx
from hdrh.histogram import HdrHistogram

from tanagercourse.bench.measure import Measure
from tanagercourse.core.ids import NO_VERSION, ServiceId, TeamId, WriterId
from tanagercourse.core.states import Idempotency, Rank
from tanagercourse.platform.store import Update
from tanagercourse.settings.check import encode
from tanagercourse.settings.paths import service_path
from tanagercourse.settings.schema import ServiceSettings, UpstreamSettings
from tanagercourse.testing.loopback import serve_on_loopback
from tanagercourse.testing.platform import FakePlatform, platform_application
from tanagercourse.testing.processes import EntryProcess, start_entry
from tanagercourse.testing.upstream import FakeUpstream, upstream_application
from tanagercourse.wire.headers import REQUEST_ID_HEADER

MEASURED_REQUESTS = 400
WARM_UP_REQUESTS = 50
REQUEST_BODY = b"x" * 200
MIN_LATENCY_US = 1
MAX_LATENCY_US = 10_000_000
LATENCY_SIGNIFICANT_DIGITS = 3
US_PER_S = 1_000_000
US_PER_MS = 1_000

# Requests of an idempotent service may reuse connections; requests of a non-idempotent
# service may not.
IDEMPOTENCY_BY_SERVICE = {
    "reused": Idempotency.IDEMPOTENT,
    "fresh": Idempotency.NON_IDEMPOTENT,
}


@dataclass(frozen=True)
class _LatencyPercentiles:
    """Latency percentiles of complete responses, in milliseconds."""

    p50_ms: float
    p99_ms: float


def measure_requests(seed: int) -> Iterable[Measure]:
    """Measure one caller's requests, sent in turn to an entry instance and an upstream.

    Args:
        seed: Unused; the measure has no random choices.
    """
    return anyio.run(_measure)


async def _measure() -> list[Measure]:
    platform = FakePlatform()
    upstream = FakeUpstream("bench-0", service_time_s=0.0)
    async with (
        serve_on_loopback(upstream_application(upstream)) as upstream_url,
        serve_on_loopback(platform_application(platform)) as platform_url,
    ):
        _write_settings(platform, httpx.URL(upstream_url))
        with start_entry("entry-1", "split-a", platform_url) as entry:
            return await _compare_paths(entry, upstream_url)


def _write_settings(platform: FakePlatform, upstream_url: httpx.URL) -> None:
    upstream_settings = UpstreamSettings(
        "bench-0", upstream_url.host, upstream_url.port or 0, "split-a"
    )
    for name, idempotency in IDEMPOTENCY_BY_SERVICE.items():
        value = encode(
            ServiceSettings(name, Rank.NEXT, idempotency, (upstream_settings,))
        )
        path = service_path(TeamId("bench"), ServiceId(name))
        platform.objects.write(Update(path, NO_VERSION, value, WriterId("bench")))


async def _compare_paths(entry: EntryProcess, upstream_url: str) -> list[Measure]:
    async with httpx.AsyncClient(trust_env=False) as http:
        while (await http.get(entry.url + "/readyz")).status_code != httpx.codes.OK:
            await anyio.sleep(0.05)
        measures = []
        for name in IDEMPOTENCY_BY_SERVICE:
            entry_url = f"{entry.url}/v1/services/{name}/"
            via_entry, direct = await _time_both_paths(
                http, entry_url, upstream_url + "/"
            )
            label = f"requests/{name}"
            measures += [
                Measure(f"{label}/p50", "ms", via_entry.p50_ms, direct.p50_ms),
                Measure(f"{label}/p99", "ms", via_entry.p99_ms, direct.p99_ms),
            ]
    return measures


async def _time_both_paths(
    http: httpx.AsyncClient, entry_url: str, direct_url: str
) -> tuple[_LatencyPercentiles, _LatencyPercentiles]:
    """Time both paths alternately, so that the machine's load affects both equally."""
    via_entry, direct = _make_histogram(), _make_histogram()
    for number in range(WARM_UP_REQUESTS + MEASURED_REQUESTS):
        for url, histogram in ((entry_url, via_entry), (direct_url, direct)):
            elapsed_us = await _time_request_us(http, url, number)
            if number >= WARM_UP_REQUESTS:
                histogram.record_value(max(MIN_LATENCY_US, elapsed_us))
    return _read_percentiles(via_entry), _read_percentiles(direct)


async def _time_request_us(http: httpx.AsyncClient, url: str, number: int) -> int:
    start_s = time.perf_counter()
    response = await http.post(
        url, content=REQUEST_BODY, headers={REQUEST_ID_HEADER: f"bench-{number}"}
    )
    response.raise_for_status()
    return int((time.perf_counter() - start_s) * US_PER_S)


def _make_histogram() -> HdrHistogram:
    return HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, LATENCY_SIGNIFICANT_DIGITS)


def _read_percentiles(histogram: HdrHistogram) -> _LatencyPercentiles:
    return _LatencyPercentiles(
        histogram.get_value_at_percentile(50) / US_PER_MS,
        histogram.get_value_at_percentile(99) / US_PER_MS,
    )
