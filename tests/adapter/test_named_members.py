"""Tests of look-ups of a zone with different machines, by processes."""

import json
import os
import signal
import sys
from collections.abc import AsyncIterator, Callable, Iterable
from contextlib import AsyncExitStack
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import anyio
import pytest
from anyio.abc import Process

from tanagercourse.standin.documents import make_settings_document
from tanagercourse.testing.gateway_harness import reserve_ports
from tanagercourse.testing.scripted import read_response

pytestmark = pytest.mark.anyio

TEST_TIMEOUT_S = 60.0
POLL_INTERVAL_S = 0.1
# Time after which callers may not be directed to an instance that is gone, in seconds,
# and for how long they may rely on an answer.
MAX_GONE_S = 7.0
LOOKUP_TTL_S = 2.0
CORES = {"relay": 2.0, "large": 1.9, "small-1": 0.5, "small-2": 0.4}


@dataclass
class Zone:
    """The processes of a zone.

    Attributes:
        processes: Process of each instance.
        addresses: Address of each instance for callers.
        lookup_ports: Port of each instance for look-ups.
    """

    processes: dict[str, Process]
    addresses: dict[str, str]
    lookup_ports: dict[str, int]

    async def look_up(self, name: str) -> list[str]:
        """Return the names of the instances that an instance names."""
        names = {address: name for name, address in self.addresses.items()}
        try:
            stream = await anyio.connect_tcp("127.0.0.1", self.lookup_ports[name])
        except OSError:
            return []
        async with stream:
            target = "/resolution?name=h.example&region=a&zone=a1"
            await stream.send(f"GET {target} HTTP/1.1\r\nHost: h\r\n\r\n".encode())
            head, _, body = (await read_response(stream)).partition(b"\r\n\r\n")
        if not head.startswith(b"HTTP/1.1 200"):
            return []
        return [names[address] for address in json.loads(body)["addresses"]]

    async def wait_until_named(self, by: Iterable[str], named: list[str]) -> None:
        """Wait until instances name the given ones."""
        for name in by:
            while await self.look_up(name) != named:
                await anyio.sleep(POLL_INTERVAL_S)


async def end_process(process: Process) -> None:
    if process.returncode is None:
        process.kill()
    await process.wait()


@pytest.fixture
def relays() -> list[str]:
    """Return the instances that are relays."""
    return ["relay"]


@pytest.fixture
async def zone(
    relays: list[str],
    fake_store: Any,
    store_port: int,
    configuration: dict[str, Any],
    make_registration: Callable[..., dict[str, Any]],
    tmp_path: Path,
) -> AsyncIterator[Zone]:
    """Run one or two relays with large machines, and their followers."""
    fake_store.put("config", "main", configuration)
    fake_store.put("servers", "u0", make_registration(9))
    zone = Zone({}, {}, {})
    async with AsyncExitStack() as stack:
        port_count = 3 * len(CORES) + len(relays)
        ports = iter(stack.enter_context(reserve_ports(port_count)))
        seeds = {name: f"127.0.0.1:{next(ports)}" for name in relays}
        for name, cores in CORES.items():
            own_ports = (next(ports), next(ports), next(ports))
            document = make_settings_document(store_port, own_ports, name=name)
            document["self"]["limits"].update(cpu_share=cores / 4, cpu_cores=4)
            document["network"]["seeds"] = list(seeds.values())
            document["network"]["listen"]["control_plane"] = seeds.get(name)
            path = tmp_path / f"{name}.json"
            path.write_text(json.dumps(document))
            process = await anyio.open_process(
                [sys.executable, "-m", "tanagercourse.adapter.main"],
                env={**os.environ, "TANAGERCOURSE_BOOT": str(path)},
                stdout=None,
                stderr=None,
            )
            stack.push_async_callback(end_process, process)
            zone.processes[name] = process
            zone.addresses[name] = f"127.0.0.1:{own_ports[0]}"
            zone.lookup_ports[name] = own_ports[2]
        yield zone


@pytest.mark.parametrize(
    ("gone_signal", "limit_s", "relays"),
    [
        (signal.SIGKILL, MAX_GONE_S - LOOKUP_TTL_S, ["relay"]),
        (signal.SIGKILL, MAX_GONE_S - LOOKUP_TTL_S, ["relay", "large"]),
        (signal.SIGSTOP, MAX_GONE_S - LOOKUP_TTL_S, ["relay"]),
        (signal.SIGTERM, 3.0, ["relay"]),
    ],
)
async def test_largest_machines_are_named_while_they_are_there(
    zone: Zone, gone_signal: signal.Signals, limit_s: float
) -> None:
    """A member that is gone was named on, or look-ups failed with their relay.

    Two relays know each other only by the reports that they exchange.
    """
    small = ["small-1", "small-2"]
    with anyio.fail_after(TEST_TIMEOUT_S):
        await zone.wait_until_named(zone.processes, ["relay", "large"])
        zone.processes["large"].send_signal(gone_signal)
        rest = ["relay", *small]
        with anyio.fail_after(limit_s):
            await zone.wait_until_named(rest, ["relay", "small-1"])
        zone.processes["relay"].kill()
        with anyio.fail_after(MAX_GONE_S - LOOKUP_TTL_S):
            for name in small:
                await zone.wait_until_named([name], [name])
