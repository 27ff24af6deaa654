"""Tests of an instance process with a fake store, an upstream and callers."""

import asyncio
import os
import signal
import socket
import sys
from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import suppress
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from typing import Any

import anyio
import msgspec
import pytest
from anyio.abc import Process, SocketStream

from tanagercourse.instance.stopping import ACCEPT_ANY_S
from tanagercourse.testing.gateway_harness import reserve_ports, serve_on_free_port
from tanagercourse.testing.scripted import (
    ScriptedUpstream,
    read_header,
    read_request_id,
    read_response,
)

pytestmark = pytest.mark.anyio

# Timeout of one test, in seconds.
TEST_TIMEOUT_S = 90.0
POLL_INTERVAL_S = 0.05
# Less than the time limit of a watch, which is 16 s.
UNANSWERED_WATCH_TIMEOUT_S = 12.0
# Memory of the instance, and long bodies that together exceed it, in bytes.
MEMORY_MB = 200
LONG_BODY_BYTES = 320 * 65_536
LONG_REQUESTS = 10


@dataclass
class RunningInstance:
    """An instance's process, with its upstream and its ports.

    Attributes:
        process: Process of the instance.
        upstream: The only upstream; delays its responses until they are released.
        release_responses: Set by tests to release the upstream's responses.
        caller_port: Port for callers' requests.
        readiness_port: Port for readiness checks.
        lookup_port: Port for look-ups.
        settings_path: Path of the settings file.
    """

    process: Process
    upstream: ScriptedUpstream
    release_responses: anyio.Event
    caller_port: int
    readiness_port: int
    lookup_port: int
    settings_path: Path

    async def get(self, port: int, target: str, extra_headers: str = "") -> bytes:
        """Send a GET request; return its response, empty if nothing listens yet."""
        try:
            stream = await anyio.connect_tcp("127.0.0.1", port)
        except OSError:
            return b""
        async with stream:
            await stream.send(encode_request(target, extra_headers))
            return await read_response(stream)

    async def wait_for(self, port: int, target: str, status: int) -> bytes:
        """Repeat a GET request until the response has the given status."""
        while True:
            response = await self.get(port, target)
            if response.startswith(b"HTTP/1.1 %d" % status):
                return response
            await anyio.sleep(POLL_INTERVAL_S)


def encode_request(target: str, extra_headers: str = "") -> bytes:
    lines = f"GET {target} HTTP/1.1\r\nHost: h.example\r\n{extra_headers}\r\n"
    return lines.encode()


def request_id_header(name: str) -> str:
    return f"X-Tanagercourse-Attempt-Id: {name}\r\n"


async def respond_when_released(
    release_responses: anyio.Event,
    upstream: ScriptedUpstream,
    stream: SocketStream,
    received: bytes,
) -> None:
    await release_responses.wait()
    head = b"HTTP/1.1 200 OK\r\nX-Tanagercourse-Response-Signature: s\r\n"
    if request_id := read_header(received, b"x-tanagercourse-attempt-id"):
        head += b"X-Tanagercourse-Attempt-Id: %s\r\n" % request_id
    await stream.send(head + b"Content-Length: 5\r\n\r\nreply")


@pytest.fixture
def grace_s() -> float:
    """Return the instance's grace period, in seconds; some tests set another one."""
    return 6


@pytest.fixture
def timeout_ms() -> float:
    """Return the time limit of the non-idempotent route; some tests set another one."""
    return 4000


@pytest.fixture
def ports() -> Iterator[tuple[int, ...]]:
    """Reserve the ports for callers, readiness checks and look-ups.

    A server that had got the readiness port before the instance listened on it once
    left a check without a response.
    """
    with reserve_ports(3) as reserved:
        yield reserved


@pytest.fixture
async def instance(
    ports: tuple[int, int, int],
    fake_store: Any,
    store_port: int,
    configuration: dict[str, Any],
    make_registration: Callable[..., dict[str, Any]],
    make_settings: Callable[..., Path],
    grace_s: float,
    timeout_ms: float,
) -> AsyncIterator[RunningInstance]:
    """Run an instance; the fixture kills it if the test does not stop it."""
    path = make_settings(store_port, ports, grace_s, MEMORY_MB)
    release_responses = anyio.Event()
    upstream = ScriptedUpstream("u0", partial(respond_when_released, release_responses))
    environment = {**os.environ, "TANAGERCOURSE_BOOT": str(path)}
    command = [sys.executable, "-m", "tanagercourse.adapter.main"]
    async with anyio.create_task_group() as tasks:
        upstream.port = await tasks.start(serve_on_free_port, upstream.serve)
        configuration["hosts"][0]["paths"][1]["timeout_ms"] = timeout_ms
        configuration["limits"]["body_bytes"] = LONG_BODY_BYTES
        configuration["limits"]["header_timeout_ms"] = timeout_ms
        fake_store.put("config", "main", configuration)
        fake_store.put("servers", "u0", make_registration(upstream.port))
        process = await anyio.open_process(command, env=environment)
        yield RunningInstance(
            process, upstream, release_responses, ports[0], ports[1], ports[2], path
        )
        if process.returncode is None:
            process.kill()
        await process.wait()
        tasks.cancel_scope.cancel()


async def test_request_is_forwarded_to_the_upstream(instance: RunningInstance) -> None:
    instance.release_responses.set()
    with anyio.fail_after(TEST_TIMEOUT_S):
        await instance.wait_for(instance.readiness_port, "/readiness", 200)
        lookup_target = "/resolution?name=h.example&region=a&zone=a1"
        lookup_response = await instance.wait_for(
            instance.lookup_port, lookup_target, 200
        )
        response = await instance.get(
            instance.caller_port, "/once/x", request_id_header("r1")
        )
    lookup_body = msgspec.json.decode(lookup_response.partition(b"\r\n\r\n")[2])
    assert (
        lookup_body["addresses"] == [f"127.0.0.1:{instance.caller_port}"]
        and lookup_body["ttl_s"] > 0
    )
    assert response.startswith(b"HTTP/1.1 200") and response.endswith(b"\r\n\r\nreply")
    forwarded_request = instance.upstream.requests[0]
    assert b"X-Tanagercourse-Expected-Instance: u0\r\n" in forwarded_request


async def test_graceful_shutdown_finishes_requests_in_progress(
    instance: RunningInstance,
) -> None:
    response, status = await shut_down_during_a_request(instance, [])
    assert response.endswith(b"\r\n\r\nreply") and b"Connection: close" in response
    assert status == 0


@pytest.mark.parametrize("timeout_ms", [15_000])
async def test_long_bodies_leave_the_process_within_its_memory(
    instance: RunningInstance,
) -> None:
    """Bodies that were read at once weren't counted; the process was killed (Fault)."""
    instance.release_responses.set()
    peak_mb, small_statuses, long_statuses = 0.0, set(), set()

    async def sample() -> None:
        nonlocal peak_mb
        while True:
            peak_mb = max(peak_mb, read_resident_mb(instance.process.pid))
            await anyio.sleep(0.005)

    async def send_long(number: int) -> None:
        head = (
            f"POST /once/x HTTP/1.1\r\nHost: h.example\r\n"
            f"{request_id_header(f'long-{number}')}"
            f"Content-Length: {LONG_BODY_BYTES}\r\n"
        )
        async with (
            await anyio.connect_tcp("127.0.0.1", instance.caller_port) as stream,
            anyio.create_task_group() as sending,
        ):
            sending.start_soon(send_body, stream, head.encode() + b"\r\n")
            response = await read_response(stream)
            sending.cancel_scope.cancel()
        long_statuses.add(response[:12])

    async def send_body(stream: SocketStream, head: bytes) -> None:
        await stream.send(head)
        for _ in range(LONG_BODY_BYTES // 65_536):
            await stream.send(bytes(65_536))

    with anyio.fail_after(TEST_TIMEOUT_S):
        await instance.wait_for(instance.readiness_port, "/readiness", 200)
        async with anyio.create_task_group() as sampling:
            sampling.start_soon(sample)
            async with anyio.create_task_group() as callers:
                for number in range(LONG_REQUESTS):
                    callers.start_soon(send_long, number)
                for number in range(5):
                    response = await instance.get(
                        instance.caller_port, "/once/x", request_id_header(f"r{number}")
                    )
                    small_statuses.add(response[:12])
            sampling.cancel_scope.cancel()
    assert peak_mb < MEMORY_MB and small_statuses == {b"HTTP/1.1 200"}
    assert b"HTTP/1.1 200" in long_statuses
    assert long_statuses <= {b"HTTP/1.1 200", b"HTTP/1.1 503"}


def read_resident_mb(pid: int) -> float:
    """Return the resident memory of a process, in megabytes."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1_000_000


@pytest.mark.parametrize(("grace_s", "timeout_ms"), [(10, 15_000)])
async def test_request_late_in_a_long_grace_period_is_not_cut_off(
    instance: RunningInstance,
) -> None:
    """It was passed on and cut off when the process ended (LOST)."""
    with anyio.fail_after(TEST_TIMEOUT_S):
        await instance.wait_for(instance.readiness_port, "/readiness", 200)
        instance.process.terminate()
        await instance.wait_for(instance.readiness_port, "/readiness", 503)
        await anyio.sleep(ACCEPT_ANY_S + 0.2)
        response = await instance.get(
            instance.caller_port, "/once/x", request_id_header("r1")
        )
        status = await instance.process.wait()
    assert response.startswith(b"HTTP/1.1 503") and b"Retry-After: 0." in response
    assert instance.upstream.requests == [] and status == 0


@pytest.mark.parametrize(
    "further_signals",
    [
        [signal.SIGTERM],
        [signal.SIGHUP],
        [signal.SIGTERM, signal.SIGHUP, signal.SIGTERM],
        [signal.SIGHUP, signal.SIGTERM, signal.SIGHUP],
    ],
)
async def test_further_signals_during_a_shutdown_cut_off_no_request(
    instance: RunningInstance, further_signals: list[signal.Signals]
) -> None:
    """A second SIGTERM ended the process, and running requests (LOST, review/3)."""
    response, status = await shut_down_during_a_request(instance, further_signals)
    assert response.endswith(b"\r\n\r\nreply") and status == 0


async def shut_down_during_a_request(
    instance: RunningInstance, further_signals: list[signal.Signals]
) -> tuple[bytes, int]:
    """Return the response to a request during a shutdown, and the exit status."""
    with anyio.fail_after(TEST_TIMEOUT_S):
        await instance.wait_for(instance.readiness_port, "/readiness", 200)
        async with await anyio.connect_tcp("127.0.0.1", instance.caller_port) as stream:
            await stream.send(encode_request("/once/x", request_id_header("r1")))
            while not instance.upstream.requests:
                await anyio.sleep(POLL_INTERVAL_S)
            instance.process.terminate()
            await instance.wait_for(instance.readiness_port, "/readiness", 503)
            for further_signal in further_signals:
                instance.process.send_signal(further_signal)
                await anyio.sleep(POLL_INTERVAL_S)
            instance.release_responses.set()
            response = await read_response(stream)
        return response, await instance.process.wait()


async def test_callers_are_accepted_as_soon_as_readiness_is_served(
    instance: RunningInstance,
) -> None:
    """An instance said that it was ready and refused connections (CI under load)."""
    loop = asyncio.get_running_loop()
    with anyio.fail_after(TEST_TIMEOUT_S):
        while True:
            with socket.socket() as probe, suppress(ConnectionRefusedError):
                probe.setblocking(False)
                await loop.sock_connect(probe, ("127.0.0.1", instance.readiness_port))
                break
        async with await anyio.connect_tcp("127.0.0.1", instance.caller_port):
            pass


async def test_sighup_with_an_invalid_settings_file_does_not_disturb_requests(
    instance: RunningInstance,
) -> None:
    instance.release_responses.set()
    with anyio.fail_after(TEST_TIMEOUT_S):
        await instance.wait_for(instance.readiness_port, "/readiness", 200)
        instance.settings_path.write_text("{")
        for _ in range(3):
            instance.process.send_signal(signal.SIGHUP)
            response = await instance.get(
                instance.caller_port, "/once/x", request_id_header("r1")
            )
            assert response.startswith(b"HTTP/1.1 200")
    assert instance.process.returncode is None


async def test_requests_are_served_while_the_store_is_unavailable(
    instance: RunningInstance, fake_store: Any
) -> None:
    instance.release_responses.set()
    with anyio.fail_after(TEST_TIMEOUT_S):
        await instance.wait_for(instance.readiness_port, "/readiness", 200)
        fake_store.status = 503
        calls_before = len(fake_store.calls)
        fake_store.put("servers", "other", {})
        while len(fake_store.calls) < calls_before + 3:
            await anyio.sleep(POLL_INTERVAL_S)
        response = await instance.get(
            instance.caller_port, "/once/x", request_id_header("r1")
        )
    assert response.startswith(b"HTTP/1.1 200")


async def test_changes_in_the_store_are_applied(
    instance: RunningInstance,
    fake_store: Any,
    make_registration: Callable[..., dict[str, Any]],
) -> None:
    instance.release_responses.set()
    registration = make_registration(instance.upstream.port)
    with anyio.fail_after(TEST_TIMEOUT_S):
        await instance.wait_for(instance.readiness_port, "/readiness", 200)
        fake_store.put("servers", "u0", {**registration, "state": "draining"})
        await instance.wait_for(instance.caller_port, "/once/x", 503)
        fake_store.put("servers", "u0", registration)
        await instance.wait_for(instance.caller_port, "/once/x", 200)
        fake_store.put("evacuations", "a1", {})
        await instance.wait_for(instance.caller_port, "/once/x", 503)
        fake_store.delete("evacuations", "a1")
        response = await instance.wait_for(instance.caller_port, "/once/x", 200)
    assert read_request_id(response) == b""


async def test_change_is_applied_although_the_pending_watch_is_never_answered(
    instance: RunningInstance, fake_store: Any, configuration: dict[str, Any]
) -> None:
    """Routes were served as before a change for 16 s (CONFIG, review/1)."""
    instance.release_responses.set()
    with anyio.fail_after(TEST_TIMEOUT_S):
        await instance.wait_for(instance.readiness_port, "/readiness", 200)
        while not has_pending_watch(fake_store, "config"):
            await anyio.sleep(POLL_INTERVAL_S)
    fake_store.silence_pending_watches("config")
    route = configuration["hosts"][0]["paths"][1]
    configuration["hosts"][0]["paths"].append({**route, "path_prefix": "/added/"})
    fake_store.put("config", "main", {**configuration, "version": "0000000d"})
    with anyio.fail_after(UNANSWERED_WATCH_TIMEOUT_S):
        await instance.wait_for(instance.caller_port, "/added/x", 200)


def has_pending_watch(fake_store: Any, kind: str) -> bool:
    """Return whether a watch from the current version, with a long wait, was sent."""
    target = f"/objects/{kind}?watch={fake_store.revision}&wait_ms=15000"
    return f"GET {target}" in fake_store.calls
