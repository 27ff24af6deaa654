"""Tests of an instance process with a fake store, an upstream and callers."""

import asyncio
import os
import signal
import socket
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

import anyio
import msgspec
import pytest
from anyio.abc import SocketStream

from tanagercourse.instance.stopping import ACCEPT_ANY_S
from tanagercourse.standin.running_instance import (
    LONG_BODY_BYTES,
    MEMORY_MB,
    POLL_INTERVAL_S,
    UNHELD_PATH,
    RunningInstance,
    encode_request,
    request_id_header,
)
from tanagercourse.testing.scripted import (
    read_request_id,
    read_response,
)

pytestmark = pytest.mark.anyio

# Timeout of one test, in seconds.
TEST_TIMEOUT_S = 90.0
# Less than the time limit of a watch, which is 16 s.
UNANSWERED_WATCH_TIMEOUT_S = 12.0
# Requests whose bodies together exceed the memory of the instance.
LONG_REQUESTS = 10


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


@pytest.fixture
def unsplit_configuration(configuration: dict[str, Any]) -> dict[str, Any]:
    """Send all requests to the service of the only upstream."""
    reads = configuration["hosts"][0]["paths"][0]
    del reads["split"]
    reads["service"] = "stock"
    return configuration


@pytest.mark.parametrize("grace_s", [3])
async def test_finished_response_behind_a_running_request_outlives_a_shutdown(
    unsplit_configuration: dict[str, Any], instance: RunningInstance
) -> None:
    """It waited for its turn and was lost when the process ended (LOST, review/15)."""
    first = encode_request("/safe/first", request_id_header("r1"))
    second = encode_request(UNHELD_PATH, request_id_header("r2"))
    received = b""
    with anyio.fail_after(TEST_TIMEOUT_S):
        await instance.wait_for(instance.readiness_port, "/readiness", 200)
        async with await anyio.connect_tcp("127.0.0.1", instance.caller_port) as stream:
            await stream.send(first + second)
            while len(instance.upstream.requests) < 2:
                await anyio.sleep(POLL_INTERVAL_S)
            instance.process.terminate()
            with suppress(anyio.EndOfStream):
                while True:
                    received += await stream.receive()
        status = await instance.process.wait()
    heads = [line for line in received.split(b"\r\n") if line.startswith(b"HTTP/1.1")]
    assert heads == [b"HTTP/1.1 502 Bad Gateway", b"HTTP/1.1 200 OK"]
    assert received.endswith(b"\r\n\r\nreply") and status == 0


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
