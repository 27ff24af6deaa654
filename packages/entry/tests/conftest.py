"""Fixtures of the entry instance's tests: an instance inside the test's process."""

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
from tanagercourse.entry.state import EntryState, Phase, Place
from tanagercourse.platform.store import StoredObject
from tanagercourse.settings.check import encode
from tanagercourse.settings.paths import service_path
from tanagercourse.settings.schema import ServiceSettings, UpstreamSettings
from tanagercourse.testing.faulty_upstream import FaultyUpstream, serve_faulty_upstream
from tanagercourse.testing.loopback import serve_on_loopback
from tanagercourse.wire.connections import open_http_clients

# Takes a service, whether it may run twice, and the ports of its upstreams.
PutInForce = Callable[..., None]


@pytest.fixture
def put_in_force(state: EntryState) -> PutInForce:
    """Return what puts a service with upstreams on loopback in force."""

    def put(service: str, idempotency: Idempotency, *ports: int) -> None:
        upstreams = tuple(
            UpstreamSettings(f"{service}-{number}", "127.0.0.1", port, "split-a")
            for number, port in enumerate(ports)
        )
        settings = ServiceSettings(service, Rank.NEXT, idempotency, upstreams)
        path = service_path(TeamId("team"), ServiceId(service))
        version = Version(state.in_force.version + 1)
        stored = StoredObject(path, version, encode(settings), WriterId("test"))
        assert state.in_force.apply(stored) is None

    return put


@pytest.fixture
async def state(anyio_backend: str) -> AsyncIterator[EntryState]:
    async with open_http_clients(64, time.monotonic) as connections:
        place = Place(InstanceId("entry-1"), ZoneId("split-a"))
        recorder = BurnRecorder("entry-1", ZoneId("split-a"), time.time())
        state = EntryState(place, connections, time.monotonic, Random(1), recorder)
        state.phase = Phase.SERVING
        yield state


@pytest.fixture
async def entry_url(state: EntryState) -> AsyncIterator[str]:
    async with serve_on_loopback(entry_application(state)) as url:
        yield url


@pytest.fixture
async def broken(
    anyio_backend: str, put_in_force: PutInForce
) -> AsyncIterator[FaultyUpstream]:
    """Run a broken upstream of two services: "reads" may be repeated, "orders" not."""
    async with serve_faulty_upstream(FaultyUpstream()) as upstream:
        put_in_force("reads", Idempotency.IDEMPOTENT, upstream.port)
        put_in_force("orders", Idempotency.NON_IDEMPOTENT, upstream.port)
        yield upstream
