"""Fixtures with an entry instance that runs in the process of the tests."""

import time
from collections.abc import AsyncIterator, Callable
from random import Random

import pytest

from tanagercourse.burn.recorder import BurnRecorder
from tanagercourse.core.ids import (
    InstanceId,
    ServiceId,
    TeamId,
    Version,
    WriterId,
    ZoneId,
)
from tanagercourse.core.states import Idempotency, Rank
from tanagercourse.entry.application import entry_application
from tanagercourse.entry.state import EntryState, InstanceIdentity, Phase
from tanagercourse.platform.store import StoredObject
from tanagercourse.settings.check import encode
from tanagercourse.settings.paths import service_path
from tanagercourse.settings.schema import ServiceSettings, UpstreamSettings
from tanagercourse.testing.faulty_upstream import FaultyUpstream, serve_faulty_upstream
from tanagercourse.testing.loopback import serve_on_loopback
from tanagercourse.wire.connections import open_http_clients

# Takes a service, the idempotency of its requests, and the ports of its upstreams.
ApplyService = Callable[..., None]


@pytest.fixture
def apply_service(state: EntryState) -> ApplyService:
    """Return a function that applies settings of a service with loopback upstreams."""

    def apply(service: str, idempotency: Idempotency, *ports: int) -> None:
        upstreams = tuple(
            UpstreamSettings(f"{service}-{number}", "127.0.0.1", port, "split-a")
            for number, port in enumerate(ports)
        )
        settings = ServiceSettings(service, Rank.NEXT, idempotency, upstreams)
        path = service_path(TeamId("team"), ServiceId(service))
        version = Version(state.active_settings.version + 1)
        stored = StoredObject(path, version, encode(settings), WriterId("test"))
        assert state.active_settings.apply(stored) is None

    return apply


@pytest.fixture
async def state(anyio_backend: str) -> AsyncIterator[EntryState]:
    async with open_http_clients(64, time.monotonic) as connections:
        identity = InstanceIdentity(InstanceId("entry-1"), ZoneId("split-a"))
        recorder = BurnRecorder("entry-1", ZoneId("split-a"), time.time())
        state = EntryState(identity, connections, time.monotonic, Random(1), recorder)
        state.phase = Phase.SERVING
        yield state


@pytest.fixture
async def entry_url(state: EntryState) -> AsyncIterator[str]:
    async with serve_on_loopback(entry_application(state)) as url:
        yield url


@pytest.fixture
async def faulty_upstream(
    anyio_backend: str, apply_service: ApplyService
) -> AsyncIterator[FaultyUpstream]:
    """Run a faulty upstream of the services "reads", idempotent, and "orders", not."""
    async with serve_faulty_upstream(FaultyUpstream()) as upstream:
        apply_service("reads", Idempotency.IDEMPOTENT, upstream.port)
        apply_service("orders", Idempotency.NON_IDEMPOTENT, upstream.port)
        yield upstream
