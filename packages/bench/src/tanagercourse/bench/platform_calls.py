"""What the instances that read the platform spend on its calls."""

import time
from collections.abc import Iterator

import anyio
import httpx

from tanagercourse.bench.measure import Measure
from tanagercourse.core.ids import InstanceId, ObjectPath, ZoneId
from tanagercourse.platform.http import http_store
from tanagercourse.platform.messages import Machines, encode
from tanagercourse.platform.store import Machine, Presence
from tanagercourse.testing.loopback import serve_on_loopback
from tanagercourse.testing.platform import FakePlatform, platform_application

CALLS = 300
FULL_NODES = 2_900


def measure_reading(seed: int) -> Iterator[Measure]:
    """Measure a call to the platform over HTTP, and the list of machines at full size.

    Caller and platform run in one process, so a call counts both sides: an upper
    bound of the caller's part.
    """
    del seed
    machines = Machines(
        tuple(
            Machine(
                InstanceId(f"instance-{index}"),
                f"10.0.{index // 256}.{index % 256}",
                8080,
                ZoneId(f"zone-{index % 68}"),
                Presence.LIVE,
            )
            for index in range(FULL_NODES)
        )
    )
    line_bytes = len(encode(machines)) / FULL_NODES
    call_ms = anyio.run(_time_calls) * 1_000 / CALLS
    yield Measure("control/platform/call", "ms", call_ms)
    yield Measure("control/platform/machine", "B", line_bytes)


async def _time_calls() -> float:
    """Return the processor time of some calls, in seconds."""
    async with (
        serve_on_loopback(platform_application(FakePlatform())) as url,
        httpx.AsyncClient(trust_env=False) as client,
    ):
        store = http_store(client, url)
        start_s = time.process_time()
        for _ in range(CALLS):
            await store.list_all(ObjectPath("/teams/"))
        return time.process_time() - start_s
