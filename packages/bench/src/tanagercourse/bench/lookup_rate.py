"""Measure look-ups over HTTP, with the entry instance in a process of its own."""

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
MEASUREMENT_S = 3.0
BATCH_CLIENTS = 1_000
READ_BYTES = 65_536
# Time for the started entry instance to read the fleet.
SETTLE_S = 2.0

SendRequest = Callable[[anyio.abc.ByteStream, h11.Connection, int], Awaitable[None]]


def measure_http() -> tuple[float, float]:
    """Return the rates of single look-ups and of clients looked up in batches.

    Both are per second of the entry instance's processor time.
    """
    return anyio.run(_measure)


async def _measure() -> tuple[float, float]:
    platform = FakePlatform()
    _write_fleet(platform)
    async with serve_on_loopback(platform_application(platform)) as url:
        return await anyio.to_thread.run_sync(_load_entry, url)


def _load_entry(platform_url: str) -> tuple[float, float]:
    with start_entry("entry-1", "split-a", platform_url) as entry:
        time.sleep(SETTLE_S)
        lookup_rate = anyio.run(_measure_rate, entry, _send_lookup)
        batch_rate = anyio.run(_measure_rate, entry, _send_batch_lookup)
    return lookup_rate, batch_rate * BATCH_CLIENTS


def _write_fleet(platform: FakePlatform) -> None:
    """Write the zones and entry instances of Kanalis to the platform."""
    zones = tuple(ZoneSettings(zone, region) for zone, region in KANALIS.zones)
    value = encode(FleetSettings(zones))
    platform.objects.write(Update(FLEET_PATH, NO_VERSION, value, WriterId("bench")))
    for number in range(INSTANCES_PER_CUSTOMER):
        zone = ZoneId(zones[number % len(zones)].zone)
        instance = InstanceId(f"entry-{number}")
        platform.objects.machines[instance] = Machine(
            instance, "127.0.0.1", 8_000 + number, zone, Presence.LIVE
        )


async def _measure_rate(entry: EntryProcess, send_request: SendRequest) -> float:
    """Return requests per second of the entry instance's processor time."""
    counts: list[int] = []
    start_cpu_s = _cpu_time_s(entry.process.pid)
    async with anyio.create_task_group() as tasks:
        for number in range(CONNECTIONS):
            tasks.start_soon(_send_until_end, entry, send_request, number, counts)
    return sum(counts) / (_cpu_time_s(entry.process.pid) - start_cpu_s)


async def _send_until_end(
    entry: EntryProcess, send_request: SendRequest, number: int, counts: list[int]
) -> None:
    """Send sequential requests over one connection for `MEASUREMENT_S` seconds."""
    ends_at_s = time.monotonic() + MEASUREMENT_S
    connection = h11.Connection(h11.CLIENT)
    count = 0
    async with await anyio.connect_tcp(entry.host, entry.port) as stream:
        while time.monotonic() < ends_at_s:
            await send_request(stream, connection, number + CONNECTIONS * count)
            count += 1
    counts.append(count)


async def _send_lookup(
    stream: anyio.abc.ByteStream, connection: h11.Connection, number: int
) -> None:
    query = urlencode({"client": _format_client(number), "zone": "split-a"})
    await _exchange(stream, connection, "GET", f"{LOOKUP_PATH}?{query}", b"")


async def _send_batch_lookup(
    stream: anyio.abc.ByteStream, connection: h11.Connection, number: int
) -> None:
    first_client = number * BATCH_CLIENTS
    clients = tuple(
        _format_client(first_client + offset) for offset in range(BATCH_CLIENTS)
    )
    body = msgspec.json.encode(BatchLookup(clients))
    await _exchange(stream, connection, "POST", BATCH_LOOKUP_PATH, body)


async def _exchange(
    stream: anyio.abc.ByteStream,
    connection: h11.Connection,
    method: str,
    target: str,
    body: bytes,
) -> None:
    """Send one request and read its complete response.

    Raises:
        RuntimeError: The status of the response is not 200.
    """
    headers = [("host", "entry"), ("content-length", str(len(body)))]
    request = h11.Request(method=method, target=target, headers=headers)
    outgoing_events = (request, h11.Data(data=body), h11.EndOfMessage())
    await stream.send(
        b"".join(connection.send(outgoing) or b"" for outgoing in outgoing_events)
    )
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            connection.receive_data(await stream.receive(READ_BYTES))
        elif isinstance(event, h11.Response) and event.status_code != 200:
            raise RuntimeError(
                f"{target}: expected status 200, got {event.status_code}"
            )
        elif isinstance(event, h11.EndOfMessage):
            connection.start_next_cycle()
            return


def _format_client(number: int) -> str:
    return ".".join(str(octet) for octet in (number % 2**32).to_bytes(4))


def _cpu_time_s(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
