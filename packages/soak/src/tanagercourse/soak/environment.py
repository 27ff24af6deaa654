"""What a soak runs: a store, upstreams behind proxies, and machines."""

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from random import Random

import anyio
import structlog
from anyio.abc import SocketStream, TaskGroup

from tanagercourse.core.ids import UpstreamId
from tanagercourse.gateway.callers import (
    CallerConnections,
    CallerDependencies,
    RequestHandler,
    serve_caller,
)
from tanagercourse.routing.configuration import DEFAULT_LIMITS
from tanagercourse.soak.checks import Checks
from tanagercourse.soak.instance_process import Machine, make_machine
from tanagercourse.soak.proxy import Proxy, Way
from tanagercourse.soak.upstreams import BackEnd
from tanagercourse.standin.documents import (
    make_configuration_document,
    make_registration_document,
)
from tanagercourse.standin.store import FakePlatformStore
from tanagercourse.testing.gateway_harness import serve_on_free_port

ZONES = ("a1", "b1")
SERVICES = ("stock", "orders")
MACHINES_A_ZONE = 2
UPSTREAMS_A_ZONE = 2
# Callers at once.
CALLERS = 16


@dataclass
class Upstream:
    """One upstream behind its proxy."""

    back_end: BackEnd
    proxy: Proxy
    port: int
    service: str
    zone: str

    def entry(self, **changes: object) -> dict[str, object]:
        """Return its entry in the store."""
        place = {"service": self.service, "zone": self.zone}
        return make_registration_document(self.port, **place, **changes)


@dataclass
class World:
    """Everything that a soak runs.

    Attributes:
        unplanned: Faults under way that are no planned work.
        calm_since_s: When the last of them ended, in seconds.
    """

    random: Random
    checks: Checks
    store: FakePlatformStore
    store_proxies: dict[str, Proxy]
    machines: list[Machine]
    tasks: TaskGroup
    upstreams: dict[str, Upstream] = field(default_factory=dict)
    unplanned: int = 0
    calm_since_s: float = 0.0
    version: int = 1
    born: int = 0

    async def add_upstream(self, service: str, zone: str) -> Upstream:
        """Start an upstream and register it."""
        self.born += 1
        name = UpstreamId(f"i-{self.born}")
        back_end = BackEnd(name, self.checks, Random(self.random.random()))
        proxy = Proxy(
            await self.tasks.start(serve_on_free_port, _serving(back_end.respond))
        )
        port = await self.tasks.start(serve_on_free_port, proxy.serve)
        upstream = Upstream(back_end, proxy, port, service, zone)
        self.upstreams[name] = upstream
        self.store.put("servers", name, upstream.entry())
        return upstream

    def change_configuration(self) -> None:
        """Put a new version in force, with one more route."""
        self.version += 1
        prefixes = tuple(f"/added-{n}/" for n in range(2, self.version + 1))
        changed = make_configuration_document(self.version, prefixes[-5:])
        self.store.put("config", "main", changed)

    def begin_fault(self) -> None:
        """Note that an unplanned fault begins."""
        self.unplanned += 1

    def end_fault(self) -> None:
        """Note that an unplanned fault ends."""
        self.unplanned -= 1
        self.calm_since_s = anyio.current_time()

    def heal(self) -> None:
        """End what faults left behind."""
        self.store.status, self.store.response_delay_s = 200, 0.0
        proxies = [each.proxy for each in self.upstreams.values()]
        for proxy in (*proxies, *self.store_proxies.values()):
            proxy.turn(Way.PASS)


@asynccontextmanager
async def run_world(seed: int, folder: Path) -> AsyncIterator[World]:
    """Run a store, upstreams and machines; end every process of them.

    Args:
        seed: Decides everything that is drawn.
        folder: Where settings and logs are kept.
    """
    store, checks = FakePlatformStore(), Checks()
    async with anyio.create_task_group() as tasks:
        store_port = await tasks.start(serve_on_free_port, _serving(store.respond))
        machines, proxies = [], {}
        for number in range(len(ZONES) * MACHINES_A_ZONE):
            zone = ZONES[number % len(ZONES)]
            proxy = Proxy(store_port)
            port = await tasks.start(serve_on_free_port, proxy.serve)
            machine = make_machine(number + 1, zone, port, folder, checks)
            machines.append(machine)
            proxies[machine.name] = proxy
        world = World(Random(seed), checks, store, proxies, machines, tasks)
        store.put("config", "main", make_configuration_document(world.version))
        for service in SERVICES:
            for zone in ZONES * UPSTREAMS_A_ZONE:
                await world.add_upstream(service, zone)
        for machine in machines:
            tasks.start_soon(machine.keep_running)
        try:
            yield world
        finally:
            with anyio.CancelScope(shield=True):
                for machine in machines:
                    await machine.end()
            tasks.cancel_scope.cancel()


def _serving(respond: RequestHandler) -> Callable[[SocketStream], Awaitable[None]]:
    parts = CallerDependencies(
        respond,
        lambda: DEFAULT_LIMITS,
        CallerConnections(),
        anyio.current_time,
        structlog.get_logger(),
    )
    return partial(serve_caller, parts)
