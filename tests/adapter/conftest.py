"""Fixtures of the adapter's tests: a fake of the platform, and settings files."""

import copy
import json
from collections.abc import AsyncIterator, Callable
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
from tanagercourse.standin.store import FakePlatformStore
from tanagercourse.testing.gateway_harness import serve_on_free_port


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
