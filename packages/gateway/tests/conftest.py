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

# A test that runs longer is ended with an error, in seconds.
GUARD_S = 60.0


@pytest.fixture
async def make_gateway(anyio_backend: str) -> AsyncIterator[MakeGateway]:
    """Return what runs a gateway before upstreams with the given scripts."""
    async with gateway_factory(make_two_route_configuration()) as make:
        yield make


@pytest.fixture
def guard() -> AbstractContextManager[anyio.CancelScope]:
    return anyio.fail_after(GUARD_S)
