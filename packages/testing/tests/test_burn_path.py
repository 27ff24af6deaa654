"""An entry instance publishes the counts of its requests before it stops."""

import time

import anyio
import httpx
import pytest

from tanagercourse.burn.paths import burn_path
from tanagercourse.burn.series import decode_series
from tanagercourse.burn.tiers import TIERS
from tanagercourse.burn.windows import Window, count_requests
from tanagercourse.core.ids import ServiceId
from tanagercourse.core.states import Rank
from tanagercourse.testing.platform import FakePlatform
from tanagercourse.testing.processes import EntryProcess
from tanagercourse.testing.upstream import FakeUpstream, UpstreamFault

pytestmark = pytest.mark.anyio

READY_ATTEMPTS = 200
SERVED_REQUESTS = 5


async def wait_until_ready(http: httpx.AsyncClient, entry: EntryProcess) -> None:
    for _ in range(READY_ATTEMPTS):
        response = await http.get(entry.url + "/readyz")
        if response.status_code == 200:
            return
        await anyio.sleep(0.02)
    pytest.fail("entry instance was not ready in time")


async def test_requests_are_counted_and_published(
    http: httpx.AsyncClient,
    entry: EntryProcess,
    platform: FakePlatform,
    upstreams: tuple[FakeUpstream, ...],
) -> None:
    await wait_until_ready(http, entry)
    url = entry.url + "/v1/services/prijavnica/notice"
    for _ in range(SERVED_REQUESTS):
        assert (await http.post(url)).status_code == 200
    for upstream in upstreams:
        upstream.fault = UpstreamFault.WRONG_REQUEST_ID
    assert (await http.post(url)).status_code == 502
    assert (await http.post(entry.url + "/v1/services/nothing/x")).status_code == 404
    await http.aclose()
    entry.stop()
    assert await anyio.to_thread.run_sync(entry.process.wait, 10) == 0
    path = burn_path(entry.instance, TIERS[0])
    stored = platform.objects.read(path).unwrap()
    series = decode_series(path, stored.value).unwrap()
    full_window = Window(0.0, time.time() + 60.0)
    service, rank = ServiceId("prijavnica"), Rank.NEXT
    counted = count_requests(series.intervals, full_window, service, rank)
    assert (counted.answered, counted.refused, counted.failed) == (
        SERVED_REQUESTS,
        0,
        1,
    )
    assert series.stopped_at_s is not None
