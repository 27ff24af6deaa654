"""Measure what an entry instance adds to a request, against going straight there."""

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
from tanagercourse.wire.headers import REQUEST_ID

REQUESTS = 400
WARM_UP_REQUESTS = 50
BODY = b"x" * 200
LOWEST_US = 1
HIGHEST_US = 10_000_000
SIGNIFICANT_DIGITS = 3
US_PER_S = 1_000_000
US_PER_MS = 1_000

# A service whose requests use connections again, and one whose requests may not.
SERVICES = {
    "reused": Idempotency.IDEMPOTENT,
    "fresh": Idempotency.NON_IDEMPOTENT,
}


@dataclass(frozen=True)
class _Times:
    """Times of whole answers in milliseconds."""

    p50_ms: float
    p99_ms: float


def measure_requests(seed: int) -> Iterable[Measure]:
    """Measure one caller's requests, each after the other, both ways in turn.

    Args:
        seed: Unused: nothing here is drawn.
    """
    return anyio.run(_measure)


async def _measure() -> list[Measure]:
    platform = FakePlatform()
    upstream = FakeUpstream("bench-0", service_time_s=0.0)
    async with (
        serve_on_loopback(upstream_application(upstream)) as upstream_url,
        serve_on_loopback(platform_application(platform)) as platform_url,
    ):
        _set_up(platform, httpx.URL(upstream_url))
        with start_entry("entry-1", "split-a", platform_url) as entry:
            return await _compare(entry, upstream_url)


def _set_up(platform: FakePlatform, upstream: httpx.URL) -> None:
    settings = UpstreamSettings("bench-0", upstream.host, upstream.port or 0, "split-a")
    for name, idempotency in SERVICES.items():
        value = encode(ServiceSettings(name, Rank.NEXT, idempotency, (settings,)))
        path = service_path(TeamId("bench"), ServiceId(name))
        platform.objects.write(Update(path, NO_VERSION, value, WriterId("bench")))


async def _compare(entry: EntryProcess, upstream_url: str) -> list[Measure]:
    async with httpx.AsyncClient(trust_env=False) as http:
        while (await http.get(entry.url + "/readyz")).status_code != httpx.codes.OK:
            await anyio.sleep(0.05)
        measures = []
        for name in SERVICES:
            through = f"{entry.url}/v1/services/{name}/"
            ours, naive = await _time_both(http, through, upstream_url + "/")
            label = f"requests/{name}"
            measures += [
                Measure(f"{label}/p50", "ms", ours.p50_ms, naive.p50_ms),
                Measure(f"{label}/p99", "ms", ours.p99_ms, naive.p99_ms),
            ]
    return measures


async def _time_both(
    http: httpx.AsyncClient, through: str, straight: str
) -> tuple[_Times, _Times]:
    """Time both ways request by request, so that both meet the same machine."""
    ours, naive = _histogram(), _histogram()
    for number in range(WARM_UP_REQUESTS + REQUESTS):
        for url, histogram in ((through, ours), (straight, naive)):
            took_us = await _time_one(http, url, number)
            if number >= WARM_UP_REQUESTS:
                histogram.record_value(max(LOWEST_US, took_us))
    return _read(ours), _read(naive)


async def _time_one(http: httpx.AsyncClient, url: str, number: int) -> int:
    began_s = time.perf_counter()
    answered = await http.post(
        url, content=BODY, headers={REQUEST_ID: f"bench-{number}"}
    )
    answered.raise_for_status()
    return int((time.perf_counter() - began_s) * US_PER_S)


def _histogram() -> HdrHistogram:
    return HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)


def _read(histogram: HdrHistogram) -> _Times:
    return _Times(
        histogram.get_value_at_percentile(50) / US_PER_MS,
        histogram.get_value_at_percentile(99) / US_PER_MS,
    )
