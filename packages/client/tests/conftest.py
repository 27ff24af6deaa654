"""Fixtures of the callers' library: entry instances that do as a test says."""

from collections.abc import AsyncIterator
from contextlib import AsyncExitStack

import pytest

from tanagercourse.testing.instances import FakeInstance, fake_application
from tanagercourse.testing.loopback import serve_on_loopback


@pytest.fixture
async def instances(anyio_backend: str) -> AsyncIterator[tuple[FakeInstance, ...]]:
    """Run three instances whose look-up answers offer all of them in order."""
    fakes = tuple(FakeInstance() for _ in range(3))
    async with AsyncExitStack() as stack:
        for fake in fakes:
            application = fake_application(fake)
            fake.url = await stack.enter_async_context(serve_on_loopback(application))
        for fake in fakes:
            fake.offered_urls = tuple(each.url for each in fakes)
        yield fakes
