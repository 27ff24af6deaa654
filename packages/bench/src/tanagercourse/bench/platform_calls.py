"""Measure the cost of the platform's calls for the instances that read it."""

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

MEASURED_CALLS = 300
FULL_NODES = 2_900


def measure_reading(seed: int) -> Iterator[Measure]:
    """Measure a call to the platform over HTTP, and the size of a machine's entry.

    Caller and platform run in one process, so the processor time of a call includes
    both sides and is an upper bound of the caller's.
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
    machine_bytes = len(encode(machines)) / FULL_NODES
    call_ms = anyio.run(_time_calls_s) * 1_000 / MEASURED_CALLS
    yield Measure("control/platform/call", "ms", call_ms)
    yield Measure("control/platform/machine", "B", machine_bytes)


async def _time_calls_s() -> float:
    """Return the processor time of all measured calls together, in seconds."""
    async with (
        serve_on_loopback(platform_application(FakePlatform())) as url,
        httpx.AsyncClient(trust_env=False) as client,
    ):
        store = http_store(client, url)
        start_s = time.process_time()
        for _ in range(MEASURED_CALLS):
            await store.list_all(ObjectPath("/teams/"))
        return time.process_time() - start_s
