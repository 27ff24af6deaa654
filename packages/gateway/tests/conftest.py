"""Fixtures for a gateway between raw callers and scripted upstreams."""

from collections.abc import AsyncIterator
from contextlib import AbstractContextManager

import anyio
import pytest

from tanagercourse.core.ids import UpstreamId
from tanagercourse.gateway.probing import ProbingDependencies, make_down_handler
from tanagercourse.routing.fleet import UpstreamRecord
from tanagercourse.testing.gateway_harness import (
    Gateway,
    MakeGateway,
    MarkDown,
    gateway_factory,
    make_two_route_configuration,
)

# Timeout of one test, in seconds.
TEST_TIMEOUT_S = 60.0


@pytest.fixture
async def make_gateway(anyio_backend: str) -> AsyncIterator[MakeGateway]:
    """Return a function that starts a gateway for the given scripted upstreams."""
    async with gateway_factory(make_two_route_configuration()) as make:
        yield make


@pytest.fixture
def time_limit() -> AbstractContextManager[anyio.CancelScope]:
    return anyio.fail_after(TEST_TIMEOUT_S)


@pytest.fixture
async def mark_down(anyio_backend: str) -> AsyncIterator[MarkDown]:
    """Return a function that marks a gateway's upstream as down, with a health path.

    The probes run in a task group whose end, as in an instance, is the process's.
    """
    async with anyio.create_task_group() as tasks:

        def mark(gateway: Gateway, upstream: str, health_path: str) -> UpstreamRecord:
            record = gateway.fleet.get(UpstreamId(upstream))
            assert record is not None
            deps = gateway.dependencies
            probing = ProbingDependencies(
                deps.header_names,
                gateway.fleet,
                deps.pool,
                lambda service: health_path,
                deps.clock,
                deps.record_statements,
                deps.log,
                tasks,
            )
            make_down_handler(probing)(record, "test")
            return record

        yield mark
        tasks.cancel_scope.cancel()
