"""Fixtures shared by the tests of all packages."""

from collections.abc import AsyncIterator, Iterator
from contextlib import AsyncExitStack, contextmanager
from random import Random

import httpx
import pytest

from tanagercourse.client.caller import Caller, open_caller
from tanagercourse.core.ids import ServiceId, TeamId, WriterId, ZoneId
from tanagercourse.core.states import Idempotency, Rank
from tanagercourse.platform.store import Machine, Presence, Update
from tanagercourse.settings.check import encode
from tanagercourse.settings.paths import service_path
from tanagercourse.settings.schema import ServiceSettings, UpstreamSettings
from tanagercourse.testing.loopback import serve_on_loopback
from tanagercourse.testing.platform import FakePlatform, platform_application
from tanagercourse.testing.processes import EntryProcess, start_entry, wait_until_ready
from tanagercourse.testing.upstream import FakeUpstream, upstream_application

TEAM = TeamId("preljev")
SERVICES = (
    (ServiceId("motritelj"), Rank.MOST_URGENT, Idempotency.IDEMPOTENT),
    (ServiceId("prijavnica"), Rank.NEXT, Idempotency.NON_IDEMPOTENT),
    (ServiceId("ljetopis"), Rank.LEAST_URGENT, Idempotency.IDEMPOTENT),
)


@pytest.fixture
def anyio_backend() -> str:
    """Run all asynchronous tests on asyncio, which grpclib requires."""
    return "asyncio"


@pytest.fixture
async def http() -> AsyncIterator[httpx.AsyncClient]:
    async with httpx.AsyncClient(trust_env=False) as client:
        yield client


@pytest.fixture
def platform() -> FakePlatform:
    return FakePlatform()


@pytest.fixture
async def platform_url(
    anyio_backend: str, platform: FakePlatform
) -> AsyncIterator[str]:
    async with serve_on_loopback(platform_application(platform)) as url:
        yield url


@pytest.fixture
async def upstreams(
    anyio_backend: str, platform: FakePlatform
) -> AsyncIterator[tuple[FakeUpstream, ...]]:
    """Run two fake upstreams for each service and store the services' settings."""
    fakes = []
    async with AsyncExitStack() as stack:
        for service, rank, idempotency in SERVICES:
            upstream_settings = []
            for index in range(2):
                fake = FakeUpstream(f"{service}-{index}")
                application = upstream_application(fake)
                url = httpx.URL(
                    await stack.enter_async_context(serve_on_loopback(application))
                )
                assert url.port is not None
                upstream_settings.append(
                    UpstreamSettings(fake.id, url.host, url.port, "split-a")
                )
                fakes.append(fake)
            value = encode(
                ServiceSettings(service, rank, idempotency, tuple(upstream_settings))
            )
            path = service_path(TEAM, service)
            platform.objects.write(
                Update(path, platform.objects.version_of(path), value, WriterId("test"))
            )
        yield tuple(fakes)


@contextmanager
def run_entry(
    platform: FakePlatform, platform_url: str, instance: str, *flags: str
) -> Iterator[EntryProcess]:
    """Run an entry instance as a separate process, registered as a machine."""
    with start_entry(instance, "split-a", platform_url, *flags) as process:
        platform.objects.machines[instance] = Machine(
            process.instance,
            process.host,
            process.port,
            ZoneId("split-a"),
            Presence.LIVE,
        )
        yield process


@pytest.fixture
def entry(
    platform: FakePlatform,
    platform_url: str,
    upstreams: tuple[FakeUpstream, ...],
) -> Iterator[EntryProcess]:
    with run_entry(platform, platform_url, "entry-1") as process:
        yield process


@pytest.fixture
def second_entry(
    platform: FakePlatform, platform_url: str, entry: EntryProcess
) -> Iterator[EntryProcess]:
    """Run a second entry instance that serves the same upstreams."""
    with run_entry(platform, platform_url, "entry-2") as process:
        yield process


@pytest.fixture
async def caller(http: httpx.AsyncClient, entry: EntryProcess) -> AsyncIterator[Caller]:
    """Open a caller that starts with the first entry instance, once that is ready."""
    await wait_until_ready(http, entry)
    async with open_caller([entry.url], "127.0.0.1", "split-a", Random(1)) as caller:
        yield caller
