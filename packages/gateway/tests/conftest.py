"""Fixtures for a gateway between raw callers and scripted upstreams."""

from collections.abc import AsyncIterator
from contextlib import AbstractContextManager

import anyio
import pytest

from tanagercourse.testing.gateway_harness import (
    MakeGateway,
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
