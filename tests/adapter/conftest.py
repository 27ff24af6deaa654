"""Fixtures of the adapter's tests: a fake of the platform, and settings files."""

import copy
import json
import os
import sys
from collections.abc import AsyncIterator, Callable, Iterator
from functools import partial
from pathlib import Path
from typing import Any

import anyio
import pytest
import structlog

from tanagercourse.gateway.callers import (
    CallerConnections,
    CallerDependencies,
    serve_caller,
)
from tanagercourse.routing.configuration import DEFAULT_LIMITS
from tanagercourse.standin.documents import (
    CONFIGURATION,
    make_registration_document,
    make_settings_document,
)
from tanagercourse.standin.running_instance import (
    LONG_BODY_BYTES,
    MEMORY_MB,
    RunningInstance,
    respond_when_released,
)
from tanagercourse.standin.store import FakePlatformStore
from tanagercourse.testing.gateway_harness import reserve_ports, serve_on_free_port
from tanagercourse.testing.scripted import ScriptedUpstream


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


@pytest.fixture
def fake_store() -> FakePlatformStore:
    return FakePlatformStore()


@pytest.fixture
async def store_port(
    anyio_backend: str, fake_store: FakePlatformStore
) -> AsyncIterator[int]:
    """Serve the fake store on loopback; yield its port."""
    caller_deps = CallerDependencies(
        fake_store.respond,
        lambda: DEFAULT_LIMITS,
        CallerConnections(),
        anyio.current_time,
        structlog.get_logger(),
    )
    async with anyio.create_task_group() as tasks:
        yield await tasks.start(serve_on_free_port, partial(serve_caller, caller_deps))
        tasks.cancel_scope.cancel()


@pytest.fixture
def quiet_logs() -> Iterator[None]:
    """Drop the log lines of simulated instances."""
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(50))
    yield
    structlog.reset_defaults()


@pytest.fixture
def configuration() -> dict[str, Any]:
    return copy.deepcopy(CONFIGURATION)


@pytest.fixture
def make_registration() -> Callable[..., dict[str, Any]]:
    return make_registration_document


@pytest.fixture
def make_settings(tmp_path: Path) -> Callable[..., Path]:
    """Return a function that writes a settings file and returns its path."""

    def write_settings(
        store_port: int,
        ports: tuple[int, int, int],
        grace_s: float = 6,
        memory_mb: float = 300,
    ) -> Path:
        path = tmp_path / "settings.json"
        document = make_settings_document(
            store_port, ports, grace_s=grace_s, memory_mb=memory_mb
        )
        path.write_text(json.dumps(document))
        return path

    return write_settings


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
