"""Instances of the soak: supervised processes that are controlled by signals."""

import os
import signal
import sys
import time
from collections.abc import Mapping
from contextlib import ExitStack
from dataclasses import dataclass
from pathlib import Path
from subprocess import DEVNULL

import anyio
import msgspec
from anyio.abc import Process

from tanagercourse.adapter.settings import SETTINGS_VARIABLE
from tanagercourse.soak.checks import Checks
from tanagercourse.standin.documents import make_settings_document
from tanagercourse.testing.gateway_harness import reserve_ports

COMMAND = (sys.executable, "-m", "tanagercourse.adapter.main")
# Delay before a process that has exited is started again, in seconds.
RESTART_DELAY_S = 0.3


@dataclass(frozen=True)
class PeerNetwork:
    """How the instances reach each other.

    Attributes:
        first_port: First port of the range for instances, on each instance's address.
        relays: Relay endpoint of each instance that is a relay, by its number.
    """

    first_port: int
    relays: Mapping[int, str]


@dataclass
class InstanceProcess:
    """An instance and the process that currently runs it.

    Attributes:
        name: Name of the instance.
        host: The instance's own loopback address.
        caller_port: Port for callers.
        lookup_port: Port for look-ups.
        folder: Folder of the settings and the log.
        checks: Checks whether each exit of the process was expected.
        process: The current process, None before the first start.
        stop_started_s: Start of the current graceful shutdown, in seconds; None
            when there is none.
        is_killed_or_paused: Whether the process was killed or paused during the
            current graceful shutdown.
        disturbance_count: Number of starts, kills and pauses.
        disturbed_at_s: Time of the last start, kill, pause or end of a pause, in
            seconds.
    """

    name: str
    host: str
    caller_port: int
    lookup_port: int
    folder: Path
    checks: Checks
    process: Process | None = None
    stop_started_s: float | None = None
    is_killed_or_paused: bool = False
    disturbance_count: int = 0
    disturbed_at_s: float = 0.0
    _is_exit_expected: bool = False
    _is_shut_down: bool = False

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if one runs."""
        if self.process is None or self.process.returncode is not None:
            return
        if number in (signal.SIGKILL, signal.SIGTERM):
            self._is_exit_expected = True
        if number == signal.SIGTERM and self.stop_started_s is None:
            self.stop_started_s, self.is_killed_or_paused = anyio.current_time(), False
        if number in (signal.SIGKILL, signal.SIGSTOP):
            self.is_killed_or_paused = True
            self._count_disturbance()
        if number == signal.SIGCONT:
            self.disturbed_at_s = time.monotonic()
        self.process.send_signal(number)

    async def supervise(self) -> None:
        """Start the process, and restart it after each exit until it is shut down."""
        environment = {**os.environ, SETTINGS_VARIABLE: str(self.folder / "settings")}
        with (self.folder / "log").open("ab") as log:
            while not self._is_shut_down:
                self._is_exit_expected, self.stop_started_s = False, None
                self._count_disturbance()
                self.process = await anyio.open_process(
                    COMMAND, env=environment, stdin=DEVNULL, stdout=log, stderr=log
                )
                if self._is_shut_down:
                    # It was still starting when `shut_down` was called.
                    self.kill()
                status = await self.process.wait()
                self.checks.check_exit(
                    self._is_exit_expected, f"{self.name}: status {status}"
                )
                await anyio.sleep(RESTART_DELAY_S)

    def _count_disturbance(self) -> None:
        self.disturbance_count += 1
        # Without the loop's clock, as a run that overruns is ended without the loop.
        self.disturbed_at_s = time.monotonic()

    async def shut_down(self) -> None:
        """Kill the process and do not restart it."""
        self.kill()
        if self.process is not None:
            await self.process.wait()

    def kill(self) -> None:
        """Kill the process, if one runs, and do not restart it."""
        self._is_shut_down = True
        self.send_signal(signal.SIGKILL)


def reserve_peer_ports(relay_count: int, reservations: ExitStack) -> PeerNetwork:
    """Reserve the ports of the traffic between instances; the first ones are relays.

    Datagrams use the first port of the range. The TCP port of that number on the first
    instance's address is reserved, so that runs at the same time use different ones.
    """
    (first_port,) = reservations.enter_context(reserve_ports(1, _host_of(1)))
    relays = {}
    for number in range(1, relay_count + 1):
        host = _host_of(number)
        (port,) = reservations.enter_context(reserve_ports(1, host))
        relays[number] = f"{host}:{port}"
    return PeerNetwork(first_port, relays)


def _host_of(number: int) -> str:
    return f"127.0.1.{number}"


def make_instance_process(
    number: int,
    zone: str,
    store_port: int,
    folder: Path,
    checks: Checks,
    reservations: ExitStack,
    network: PeerNetwork,
) -> InstanceProcess:
    """Write an instance's settings; its process is not started yet.

    Args:
        number: Number of the instance, from 1; determines its address.
        zone: The instance's availability zone.
        store_port: Port of the store on 127.0.0.1.
        folder: Parent folder of the instance's settings and log.
        checks: Checks whether each exit of the process was expected.
        reservations: Reserves the instance's ports until it is closed.
        network: Ports and relays of the traffic between instances.
    """
    host, name = _host_of(number), f"front-{zone}-{number}"
    ports = reservations.enter_context(reserve_ports(3, host))
    caller_port, readiness_port, lookup_port = ports
    process_folder = folder / name
    process_folder.mkdir(parents=True)
    settings = make_settings_document(
        store_port, (caller_port, readiness_port, lookup_port), host, name, zone
    )
    first_port = network.first_port
    settings["network"]["internal_port_range"] = [first_port, first_port + 15]
    settings["network"]["seeds"] = list(network.relays.values())
    settings["network"]["listen"]["control_plane"] = network.relays.get(number)
    (process_folder / "settings").write_bytes(msgspec.json.encode(settings))
    return InstanceProcess(name, host, caller_port, lookup_port, process_folder, checks)
