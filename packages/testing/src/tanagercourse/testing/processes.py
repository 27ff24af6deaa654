"""Run entry instances as separate processes, for tests and measurements."""

import json
import signal
import subprocess
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass

import anyio
import httpx

from tanagercourse.core.ids import InstanceId

READY_ATTEMPTS = 300
POLL_INTERVAL_S = 0.02


@dataclass(frozen=True)
class EntryProcess:
    """An entry instance that runs as a separate process.

    Attributes:
        instance: Id of the instance.
        host: IP address on which it listens.
        port: TCP port for callers.
        process: The process.
    """

    instance: InstanceId
    host: str
    port: int
    process: subprocess.Popen[str]

    @property
    def url(self) -> str:
        """Return the base URL."""
        return f"http://{self.host}:{self.port}"

    def stop(self) -> None:
        """Start a graceful shutdown."""
        self.process.send_signal(signal.SIGTERM)

    def kill(self) -> None:
        """Kill the process."""
        self.process.kill()


@contextmanager
def start_entry(
    instance: str, zone: str, platform_url: str, *flags: str
) -> Iterator[EntryProcess]:
    """Run an entry instance while the context is active.

    Args:
        instance: Id of the instance.
        zone: The instance's availability zone.
        platform_url: Base URL of the platform.
        flags: Additional command-line flags.

    Raises:
        RuntimeError: The process did not start to listen.
    """
    command = [sys.executable, "-m", "tanagercourse.entry.main"]
    command += ["--instance", instance, "--zone", zone, "--port", "0"]
    command += ["--peer-port", "0"]
    command += ["--platform-url", platform_url, "--log-format", "json", *flags]
    process = subprocess.Popen(command, stderr=subprocess.PIPE, text=True)
    try:
        host, port = _read_address(process)
        yield EntryProcess(InstanceId(instance), host, port, process)
    finally:
        _kill(process)


async def wait_until_ready(http: httpx.AsyncClient, entry: EntryProcess) -> None:
    """Wait until an entry instance is ready and its look-ups return instances.

    Raises:
        TimeoutError: The instance did not become ready in time.
    """
    for _ in range(READY_ATTEMPTS):
        readiness = await http.get(entry.url + "/readyz")
        lookup = await http.get(entry.url + "/v1/lookup", params={"client": "::1"})
        if readiness.status_code == httpx.codes.OK and lookup.json()["instances"]:
            return
        await anyio.sleep(POLL_INTERVAL_S)
    raise TimeoutError(
        f"{entry.instance} was not ready after {READY_ATTEMPTS} attempts"
    )


def _read_address(process: subprocess.Popen[str]) -> tuple[str, int]:
    """Return the host and port from the first log line.

    Raises:
        RuntimeError: The first line is not a JSON log line, as after a failed start.
    """
    assert process.stderr is not None
    line = process.stderr.readline()
    if not line.startswith("{"):
        raise RuntimeError(f"entry instance did not start; first log line: {line}")
    event = json.loads(line)
    return event["host"], event["port"]


def _kill(process: subprocess.Popen[str]) -> None:
    if process.poll() is None:
        process.kill()
        process.wait()
    if process.stderr is not None:
        process.stderr.close()
