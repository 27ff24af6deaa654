"""Run entry instances as processes of their own, for tests and measurements."""

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
READY_INTERVAL_S = 0.02


@dataclass(frozen=True)
class EntryProcess:
    """A running entry instance.

    Attributes:
        instance: Its id.
        host: The IP number it listens on.
        port: The TCP port for callers.
        process: The process.
    """

    instance: InstanceId
    host: str
    port: int
    process: subprocess.Popen[str]

    @property
    def url(self) -> str:
        """Return its base URL."""
        return f"http://{self.host}:{self.port}"

    def stop(self) -> None:
        """Begin a planned stop."""
        self.process.send_signal(signal.SIGTERM)

    def kill(self) -> None:
        """End it at once."""
        self.process.kill()


@contextmanager
def start_entry(
    instance: str, zone: str, platform_url: str, *flags: str
) -> Iterator[EntryProcess]:
    """Run an entry instance for the length of a block.

    Args:
        instance: Its id.
        zone: Its availability zone.
        platform_url: The platform's base URL.
        flags: More flags of the binary.
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
        _terminate(process)


async def wait_until_ready(http: httpx.AsyncClient, entry: EntryProcess) -> None:
    """Wait until an entry instance serves and offers instances.

    Raises:
        TimeoutError: It did not become ready.
    """
    for _ in range(READY_ATTEMPTS):
        ready = await http.get(entry.url + "/readyz")
        lookup = await http.get(entry.url + "/v1/lookup", params={"client": "::1"})
        if ready.status_code == httpx.codes.OK and lookup.json()["instances"]:
            return
        await anyio.sleep(READY_INTERVAL_S)
    raise TimeoutError(f"{entry.instance} did not become ready")


def _read_address(process: subprocess.Popen[str]) -> tuple[str, int]:
    """Return the address in the first log line.

    Raises:
        RuntimeError: The process ended before it listened.
    """
    assert process.stderr is not None
    line = process.stderr.readline()
    if not line.startswith("{"):
        raise RuntimeError(f"the entry instance did not start: {line}")
    event = json.loads(line)
    return event["host"], event["port"]


def _terminate(process: subprocess.Popen[str]) -> None:
    if process.poll() is None:
        process.kill()
        process.wait()
    if process.stderr is not None:
        process.stderr.close()
