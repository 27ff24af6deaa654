"""Measure look-ups over HTTP: an entry instance as a process, loaded from this one."""

import os
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from urllib.parse import urlencode

import anyio
import anyio.abc
import h11
import msgspec

from tanagercourse.core.ids import NO_VERSION, InstanceId, WriterId, ZoneId
from tanagercourse.platform.store import Machine, Presence, Update
from tanagercourse.settings.check import FLEET_PATH, encode
from tanagercourse.settings.schema import FleetSettings, ZoneSettings
from tanagercourse.testing.deployments import INSTANCES_PER_CUSTOMER, KANALIS
from tanagercourse.testing.loopback import serve_on_loopback
from tanagercourse.testing.platform import FakePlatform, platform_application
from tanagercourse.testing.processes import EntryProcess, start_entry
from tanagercourse.wire.lookups import BATCH_LOOKUP_PATH, LOOKUP_PATH, BatchLookup

CONNECTIONS = 8
LENGTH_S = 3.0
BATCH_CLIENTS = 1_000
READ_BYTES = 65_536
SETTLE_S = 2.0

Ask = Callable[[anyio.abc.ByteStream, h11.Connection, int], Awaitable[None]]


def measure_http() -> tuple[float, float]:
    """Return look-ups and batched clients a second and core of the entry instance."""
    return anyio.run(_measure)


async def _measure() -> tuple[float, float]:
    platform = FakePlatform()
    _set_up(platform)
    async with serve_on_loopback(platform_application(platform)) as url:
        return await anyio.to_thread.run_sync(_load_entry, url)


def _load_entry(platform_url: str) -> tuple[float, float]:
    with start_entry("entry-1", "split-a", platform_url) as entry:
        time.sleep(SETTLE_S)
        one = anyio.run(_rate, entry, _ask_one)
        batch = anyio.run(_rate, entry, _ask_batch)
    return one, batch * BATCH_CLIENTS


def _set_up(platform: FakePlatform) -> None:
    """Give the platform Kanalis' zones and entry instances."""
    zones = tuple(ZoneSettings(zone, region) for zone, region in KANALIS.zones)
    value = encode(FleetSettings(zones))
    platform.objects.write(Update(FLEET_PATH, NO_VERSION, value, WriterId("bench")))
    for number in range(INSTANCES_PER_CUSTOMER):
        zone = ZoneId(zones[number % len(zones)].zone)
        name = InstanceId(f"entry-{number}")
        platform.objects.machines[name] = Machine(
            name, "127.0.0.1", 8_000 + number, zone, Presence.LIVE
        )


async def _rate(entry: EntryProcess, ask: Ask) -> float:
    """Return requests for each second of the entry instance's processor time."""
    counts: list[int] = []
    begun_s = _processor_s(entry.process.pid)
    async with anyio.create_task_group() as tasks:
        for number in range(CONNECTIONS):
            tasks.start_soon(_ask_until_end, entry, ask, number, counts)
    return sum(counts) / (_processor_s(entry.process.pid) - begun_s)


async def _ask_until_end(
    entry: EntryProcess, ask: Ask, number: int, counts: list[int]
) -> None:
    """Ask over one connection, one request after the other."""
    ends_at_s = time.monotonic() + LENGTH_S
    http = h11.Connection(h11.CLIENT)
    count = 0
    async with await anyio.connect_tcp(entry.host, entry.port) as stream:
        while time.monotonic() < ends_at_s:
            await ask(stream, http, number + CONNECTIONS * count)
            count += 1
    counts.append(count)


async def _ask_one(
    stream: anyio.abc.ByteStream, http: h11.Connection, number: int
) -> None:
    query = urlencode({"client": _client(number), "zone": "split-a"})
    await _exchange(stream, http, "GET", f"{LOOKUP_PATH}?{query}", b"")


async def _ask_batch(
    stream: anyio.abc.ByteStream, http: h11.Connection, number: int
) -> None:
    first = number * BATCH_CLIENTS
    clients = tuple(_client(first + row) for row in range(BATCH_CLIENTS))
    body = msgspec.json.encode(BatchLookup(clients))
    await _exchange(stream, http, "POST", BATCH_LOOKUP_PATH, body)


async def _exchange(
    stream: anyio.abc.ByteStream,
    http: h11.Connection,
    method: str,
    target: str,
    body: bytes,
) -> None:
    """Send one request and read its whole answer.

    Raises:
        RuntimeError: The answer is not a success.
    """
    headers = [("host", "entry"), ("content-length", str(len(body)))]
    request = h11.Request(method=method, target=target, headers=headers)
    parts = (request, h11.Data(data=body), h11.EndOfMessage())
    await stream.send(b"".join(http.send(part) or b"" for part in parts))
    while True:
        event = http.next_event()
        if event is h11.NEED_DATA:
            http.receive_data(await stream.receive(READ_BYTES))
        elif isinstance(event, h11.Response) and event.status_code != 200:
            raise RuntimeError(f"{target}: status {event.status_code}")
        elif isinstance(event, h11.EndOfMessage):
            http.start_next_cycle()
            return


def _client(number: int) -> str:
    return ".".join(str(part) for part in (number % 2**32).to_bytes(4))


def _processor_s(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
