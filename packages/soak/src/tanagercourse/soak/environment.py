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
from tanagercourse.soak.instance_process import InstanceProcess, make_instance_process
from tanagercourse.soak.proxy import Proxy, ProxyMode
from tanagercourse.soak.upstreams import SimulatedUpstream
from tanagercourse.standin.documents import (
    make_configuration_document,
    make_registration_document,
)
from tanagercourse.standin.store import FakePlatformStore
from tanagercourse.testing.gateway_harness import serve_on_free_port

ZONES = ("a1", "b1")
SERVICES = ("stock", "orders")
INSTANCES_PER_ZONE = 2
UPSTREAMS_PER_SERVICE_AND_ZONE = 2
# Callers at once.
CALLER_COUNT = 16


@dataclass
class ProxiedUpstream:
    """One upstream behind its proxy."""

    server: SimulatedUpstream
    proxy: Proxy
    port: int
    service: str
    zone: str

    def registration_document(self, **changes: object) -> dict[str, object]:
        """Return its entry in the store."""
        location = {"service": self.service, "zone": self.zone}
        return make_registration_document(self.port, **location, **changes)


@dataclass
class SoakEnvironment:
    """Everything that a soak runs.

    Attributes:
        active_faults: Faults under way that are no planned work.
        last_fault_ended_s: When the last of them ended, in seconds.
    """

    random: Random
    checks: Checks
    store: FakePlatformStore
    store_proxies: dict[str, Proxy]
    instances: list[InstanceProcess]
    tasks: TaskGroup
    upstreams: dict[str, ProxiedUpstream] = field(default_factory=dict)
    active_faults: int = 0
    last_fault_ended_s: float = 0.0
    configuration_version: int = 1
    upstream_count: int = 0

    async def add_upstream(self, service: str, zone: str) -> ProxiedUpstream:
        """Start an upstream and register it."""
        self.upstream_count += 1
        name = UpstreamId(f"i-{self.upstream_count}")
        server = SimulatedUpstream(name, self.checks, Random(self.random.random()))
        proxy = Proxy(
            await self.tasks.start(
                serve_on_free_port, _make_connection_handler(server.respond)
            )
        )
        port = await self.tasks.start(serve_on_free_port, proxy.serve)
        upstream = ProxiedUpstream(server, proxy, port, service, zone)
        self.upstreams[name] = upstream
        self.store.put("servers", name, upstream.registration_document())
        return upstream

    def change_configuration(self) -> None:
        """Put a new version in force, with one more route."""
        self.configuration_version += 1
        prefixes = tuple(
            f"/added-{n}/" for n in range(2, self.configuration_version + 1)
        )
        document = make_configuration_document(
            self.configuration_version, prefixes[-5:]
        )
        self.store.put("config", "main", document)

    def begin_fault(self) -> None:
        """Note that an unplanned fault begins."""
        self.active_faults += 1

    def end_fault(self) -> None:
        """Note that an unplanned fault ends."""
        self.active_faults -= 1
        self.last_fault_ended_s = anyio.current_time()

    def clear_faults(self) -> None:
        """End what faults left behind."""
        self.store.status, self.store.response_delay_s = 200, 0.0
        proxies = [each.proxy for each in self.upstreams.values()]
        for proxy in (*proxies, *self.store_proxies.values()):
            proxy.set_mode(ProxyMode.PASS)


@asynccontextmanager
async def run_environment(seed: int, folder: Path) -> AsyncIterator[SoakEnvironment]:
    """Run a store, upstreams and machines; end every process of them.

    Args:
        seed: Decides everything that is drawn.
        folder: Where settings and logs are kept.
    """
    store, checks = FakePlatformStore(), Checks()
    async with anyio.create_task_group() as tasks:
        store_port = await tasks.start(
            serve_on_free_port, _make_connection_handler(store.respond)
        )
        instances, proxies = [], {}
        for number in range(len(ZONES) * INSTANCES_PER_ZONE):
            zone = ZONES[number % len(ZONES)]
            proxy = Proxy(store_port)
            port = await tasks.start(serve_on_free_port, proxy.serve)
            instance = make_instance_process(number + 1, zone, port, folder, checks)
            instances.append(instance)
            proxies[instance.name] = proxy
        environment = SoakEnvironment(
            Random(seed), checks, store, proxies, instances, tasks
        )
        store.put(
            "config",
            "main",
            make_configuration_document(environment.configuration_version),
        )
        for service in SERVICES:
            for zone in ZONES * UPSTREAMS_PER_SERVICE_AND_ZONE:
                await environment.add_upstream(service, zone)
        for instance in instances:
            tasks.start_soon(instance.supervise)
        try:
            yield environment
        finally:
            with anyio.CancelScope(shield=True):
                for instance in instances:
                    await instance.shut_down()
            tasks.cancel_scope.cancel()


def _make_connection_handler(
    respond: RequestHandler,
) -> Callable[[SocketStream], Awaitable[None]]:
    dependencies = CallerDependencies(
        respond,
        lambda: DEFAULT_LIMITS,
        CallerConnections(),
        anyio.current_time,
        structlog.get_logger(),
    )
    return partial(serve_caller, dependencies)
