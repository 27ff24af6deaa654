"""One instance as a real process between a store, an upstream and callers."""

import os
import signal
import sys
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from typing import Any

import anyio
import msgspec
import pytest
from anyio.abc import Process, SocketStream

from tanagercourse.testing.gateway_harness import find_free_ports, serve_on_free_port
from tanagercourse.testing.scripted import (
    ScriptedUpstream,
    read_request_id,
    read_response,
)

pytestmark = pytest.mark.anyio

# A test that runs longer is ended with an error, in seconds.
GUARD_S = 90.0
LOOK_AGAIN_S = 0.05


@dataclass
class Running:
    """An instance that runs.

    Attributes:
        process: Its process.
        upstream: The only upstream; holds each answer until it is let go.
        let_go: Set to let answers go.
    """

    process: Process
    upstream: ScriptedUpstream
    let_go: anyio.Event
    callers: int
    ready: int
    look_ups: int
    settings: Path

    async def ask(self, port: int, target: str, head: str = "") -> bytes:
        """Send one GET and return its answer, empty if nothing listens yet."""
        try:
            stream = await anyio.connect_tcp("127.0.0.1", port)
        except OSError:
            return b""
        async with stream:
            await stream.send(request(target, head))
            return await read_response(stream)

    async def wait_for(self, port: int, target: str, status: int) -> bytes:
        """Ask until the answer has a status."""
        while True:
            answer = await self.ask(port, target)
            if answer.startswith(b"HTTP/1.1 %d" % status):
                return answer
            await anyio.sleep(LOOK_AGAIN_S)


def request(target: str, head: str = "") -> bytes:
    lines = f"GET {target} HTTP/1.1\r\nHost: h.example\r\n{head}\r\n"
    return lines.encode()


def with_id(name: str) -> str:
    return f"X-Tanagercourse-Attempt-Id: {name}\r\n"


async def hold_answers(
    let_go: anyio.Event, upstream: ScriptedUpstream, stream: SocketStream, got: bytes
) -> None:
    await let_go.wait()
    head = b"HTTP/1.1 200 OK\r\nX-Tanagercourse-Response-Signature: s\r\n"
    await stream.send(head + b"Content-Length: 5\r\n\r\nwhole")


@pytest.fixture
async def running(
    store: Any,
    store_port: int,
    configuration: dict[str, Any],
    make_entry: Callable[..., dict[str, Any]],
    make_settings: Callable[..., Path],
) -> AsyncIterator[Running]:
    """Run an instance; the test ends its process or the fixture does."""
    ports = find_free_ports(3)
    path = make_settings(store_port, tuple(ports))
    let_go = anyio.Event()
    upstream = ScriptedUpstream("u0", partial(hold_answers, let_go))
    environment = {**os.environ, "TANAGERCOURSE_BOOT": str(path)}
    command = [sys.executable, "-m", "tanagercourse.adapter.main"]
    async with anyio.create_task_group() as tasks:
        upstream.port = await tasks.start(serve_on_free_port, upstream.serve)
        store.put("config", "main", configuration)
        store.put("servers", "u0", make_entry(upstream.port))
        process = await anyio.open_process(command, env=environment)
        yield Running(process, upstream, let_go, ports[0], ports[1], ports[2], path)
        if process.returncode is None:
            process.kill()
        await process.wait()
        tasks.cancel_scope.cancel()


async def test_a_request_finds_its_way(running: Running) -> None:
    running.let_go.set()
    with anyio.fail_after(GUARD_S):
        await running.wait_for(running.ready, "/readiness", 200)
        look_up = "/resolution?name=h.example&region=a&zone=a1"
        found = await running.wait_for(running.look_ups, look_up, 200)
        answer = await running.ask(running.callers, "/once/x", with_id("r1"))
    told = msgspec.json.decode(found.partition(b"\r\n\r\n")[2])
    assert told["addresses"] == [f"127.0.0.1:{running.callers}"] and told["ttl_s"] > 0
    assert answer.startswith(b"HTTP/1.1 200") and answer.endswith(b"\r\n\r\nwhole")
    sent = running.upstream.requests[0]
    assert b"X-Tanagercourse-Expected-Instance: u0\r\n" in sent


async def test_a_planned_stop_finishes_what_is_in_hand(running: Running) -> None:
    with anyio.fail_after(GUARD_S):
        await running.wait_for(running.ready, "/readiness", 200)
        async with await anyio.connect_tcp("127.0.0.1", running.callers) as stream:
            await stream.send(request("/once/x", with_id("r1")))
            while not running.upstream.requests:
                await anyio.sleep(LOOK_AGAIN_S)
            running.process.terminate()
            await running.wait_for(running.ready, "/readiness", 503)
            running.let_go.set()
            answer = await read_response(stream)
        status = await running.process.wait()
    assert answer.endswith(b"\r\n\r\nwhole") and b"Connection: close" in answer
    assert status == 0


async def test_sighup_and_a_broken_settings_file_change_nothing(
    running: Running,
) -> None:
    running.let_go.set()
    with anyio.fail_after(GUARD_S):
        await running.wait_for(running.ready, "/readiness", 200)
        running.settings.write_text("{")
        for _ in range(3):
            running.process.send_signal(signal.SIGHUP)
            answer = await running.ask(running.callers, "/once/x", with_id("r1"))
            assert answer.startswith(b"HTTP/1.1 200")
    assert running.process.returncode is None


async def test_a_store_that_is_away_stops_no_request(
    running: Running, store: Any
) -> None:
    running.let_go.set()
    with anyio.fail_after(GUARD_S):
        await running.wait_for(running.ready, "/readiness", 200)
        store.status = 503
        calls = len(store.calls)
        store.put("servers", "other", {})
        while len(store.calls) < calls + 3:
            await anyio.sleep(LOOK_AGAIN_S)
        answer = await running.ask(running.callers, "/once/x", with_id("r1"))
    assert answer.startswith(b"HTTP/1.1 200")


async def test_changes_of_the_store_are_in_force(
    running: Running, store: Any, make_entry: Callable[..., dict[str, Any]]
) -> None:
    running.let_go.set()
    entry = make_entry(running.upstream.port)
    with anyio.fail_after(GUARD_S):
        await running.wait_for(running.ready, "/readiness", 200)
        store.put("servers", "u0", {**entry, "state": "draining"})
        await running.wait_for(running.callers, "/once/x", 503)
        store.put("servers", "u0", entry)
        await running.wait_for(running.callers, "/once/x", 200)
        store.put("evacuations", "a1", {})
        await running.wait_for(running.callers, "/once/x", 503)
        store.delete("evacuations", "a1")
        answer = await running.wait_for(running.callers, "/once/x", 200)
    assert read_request_id(answer) == b""
