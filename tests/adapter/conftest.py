"""Fixtures for the adapter: a stand-in of the platform, and settings files."""

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
def store() -> FakePlatformStore:
    return FakePlatformStore()


@pytest.fixture
async def store_port(
    anyio_backend: str, store: FakePlatformStore
) -> AsyncIterator[int]:
    """Run the stand-in on loopback; return its port."""
    parts = CallerDependencies(
        store.respond,
        lambda: DEFAULT_LIMITS,
        CallerConnections(),
        anyio.current_time,
        structlog.get_logger(),
    )
    async with anyio.create_task_group() as tasks:
        yield await tasks.start(serve_on_free_port, partial(serve_caller, parts))
        tasks.cancel_scope.cancel()


@pytest.fixture
def configuration() -> dict[str, Any]:
    return copy.deepcopy(CONFIGURATION)


@pytest.fixture
def make_entry() -> Callable[..., dict[str, Any]]:
    return make_registration_document


@pytest.fixture
def make_settings(tmp_path: Path) -> Callable[..., Path]:
    """Return what writes a settings file and returns its path."""

    def make(store_port: int, ports: tuple[int, int, int]) -> Path:
        path = tmp_path / "settings.json"
        path.write_text(json.dumps(make_settings_document(store_port, ports)))
        return path

    return make
