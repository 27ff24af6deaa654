"""Processes and servers of a soak: store, upstreams behind proxies, instances."""

from collections.abc import AsyncIterator, Awaitable, Callable, Mapping
from contextlib import ExitStack, asynccontextmanager
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
from tanagercourse.soak.instance_process import (
    InstanceProcess,
    make_instance_process,
    reserve_peer_ports,
)
from tanagercourse.soak.proxy import Proxy, ProxyMode
from tanagercourse.soak.quotas import QuotaChecks
from tanagercourse.soak.statements import StatementChecks
from tanagercourse.soak.tenants import LIMITS, TenantKeys
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
# Relays; the first one of each zone is one.
RELAY_COUNT = 2
UPSTREAMS_PER_SERVICE_AND_ZONE = 2
CALLER_COUNT = 16
# Callers that pipeline, callers that read slowly, and callers of the flooding tenant.
PIPELINING_COUNT, SLOW_READER_COUNT, FLOODING_COUNT = 3, 2, 24


@dataclass
class ProxiedUpstream:
    """An upstream and the proxy in front of it; `port` is the proxy's port."""

    server: SimulatedUpstream
    proxy: Proxy
    port: int
    service: str
    zone: str

    def registration_document(self, **changes: object) -> dict[str, object]:
        """Return the upstream's registration document for the store."""
        location = {"service": self.service, "zone": self.zone}
        return make_registration_document(self.port, **location, **changes)


@dataclass
class SoakEnvironment:
    """Running parts of a soak and the state that callers and faults share.

    Attributes:
        random: Source of seeds for callers and upstreams.
        checks: Invariant checks of all callers, upstreams and instances.
        statements: Checks what instances heed of what upstreams say.
        tenant_keys: Tenants and their keys, and who may use them.
        quotas: Checks the limits of tenants.
        store: The fake platform store.
        store_proxies: Each instance's proxy in front of the store, by instance name.
        instances: Supervised instance processes.
        tasks: Task group of all servers and callers.
        upstreams: Registered upstreams by id.
        active_faults: Number of unplanned faults in progress.
        last_fault_ended_s: Time at which the last unplanned fault ended, in seconds.
        is_flooding: Whether a tenant sends far more requests than usual.
        configuration_version: Version of the configuration in the store.
        upstream_count: Number of upstreams started so far.
    """

    random: Random
    checks: Checks
    statements: StatementChecks
    tenant_keys: TenantKeys
    quotas: QuotaChecks
    store: FakePlatformStore
    store_proxies: dict[str, Proxy]
    instances: list[InstanceProcess]
    tasks: TaskGroup
    upstreams: dict[str, ProxiedUpstream] = field(default_factory=dict)
    active_faults: int = 0
    last_fault_ended_s: float = 0.0
    is_flooding: bool = False
    configuration_version: int = 0
    upstream_count: int = 0

    async def add_upstream(self, service: str, zone: str) -> ProxiedUpstream:
        """Start an upstream and register it."""
        self.upstream_count += 1
        name = UpstreamId(f"i-{self.upstream_count}")
        server = SimulatedUpstream(
            name,
            self.checks,
            self.statements,
            self.tenant_keys,
            self.quotas,
            Random(self.random.random()),
        )
        proxy = Proxy(
            await self.tasks.start(
                serve_on_free_port, _make_connection_handler(server.respond)
            )
        )
        server.is_undisturbed = partial(_observe_disturbances, proxy)
        server.was_undisturbed = proxy.was_undisturbed
        port = await self.tasks.start(serve_on_free_port, proxy.serve)
        upstream = ProxiedUpstream(server, proxy, port, service, zone)
        self.upstreams[name] = upstream
        self.store.put("servers", name, upstream.registration_document())
        return upstream

    def change_configuration(self) -> None:
        """Store a new configuration, with only the last five added routes."""
        self.configuration_version += 1
        tenants = self.tenant_keys.make_documents()
        self.quotas.set_limits(tenants)
        prefixes = tuple(
            f"/added-{n}/" for n in range(2, self.configuration_version + 1)
        )
        document = make_configuration_document(
            self.configuration_version, prefixes[-5:], tenants
        )
        self.store.put("config", "main", document)

    def add_key(self, random: Random) -> None:
        """Store a new configuration in which a tenant has a further API key."""
        self.tenant_keys.add(random)
        self.change_configuration()

    def remove_key(self, random: Random) -> None:
        """Store a new configuration without one of the API keys."""
        self.tenant_keys.remove(random)
        self.change_configuration()

    def begin_fault(self) -> None:
        """Record the start of an unplanned fault."""
        self.active_faults += 1

    def end_fault(self) -> None:
        """Record the end of an unplanned fault."""
        self.active_faults -= 1
        self.last_fault_ended_s = anyio.current_time()

    def clear_faults(self) -> None:
        """End the store's refusals and delays, and make all proxies forward at once."""
        self.store.status, self.store.response_delay_s = 200, 0.0
        proxies = [upstream.proxy for upstream in self.upstreams.values()]
        for proxy in (*proxies, *self.store_proxies.values()):
            proxy.set_mode(ProxyMode.PASS)


@asynccontextmanager
async def run_environment(
    seed: int, folder: Path, instances: list[InstanceProcess]
) -> AsyncIterator[SoakEnvironment]:
    """Run a store, upstreams and instances; kill every instance on exit.

    Args:
        seed: Seed of all random choices.
        folder: Folder for settings and logs.
        instances: Receives the instances before their processes start.
    """
    store, checks = FakePlatformStore(), Checks()
    store.eras = [1]
    async with anyio.create_task_group() as tasks:
        reservations = ExitStack()
        store_port = await tasks.start(
            serve_on_free_port, _make_connection_handler(store.respond)
        )
        network = reserve_peer_ports(RELAY_COUNT, reservations)
        proxies = {}
        for number in range(len(ZONES) * INSTANCES_PER_ZONE):
            zone = ZONES[number % len(ZONES)]
            proxy = Proxy(store_port)
            port = await tasks.start(serve_on_free_port, proxy.serve)
            instance = make_instance_process(
                number + 1, zone, port, folder, checks, reservations, network
            )
            instances.append(instance)
            proxies[instance.name] = proxy
        statements = StatementChecks(checks, anyio.current_time)
        tenant_keys = TenantKeys(
            checks,
            anyio.current_time,
            partial(_could_reach, store, instances, proxies),
            LIMITS,
        )
        environment = SoakEnvironment(
            Random(seed),
            checks,
            statements,
            tenant_keys,
            QuotaChecks(checks, anyio.current_time),
            store,
            proxies,
            instances,
            tasks,
        )
        environment.change_configuration()
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
            reservations.close()
            tasks.cancel_scope.cancel()


def _could_reach(
    store: FakePlatformStore,
    instances: list[InstanceProcess],
    proxies: Mapping[str, Proxy],
    name: str,
    since_s: float,
) -> bool:
    """Return whether an instance ran and could reach the store since a time."""
    instance = next(instance for instance in instances if instance.name == name)
    return (
        instance.disturbed_at_s <= since_s
        and proxies[name].was_undisturbed(since_s)
        and store.refused_at_s <= since_s
    )


def _observe_disturbances(proxy: Proxy) -> Callable[[], bool]:
    """Return a function that tells whether a proxy has passed everything on."""
    count_before, was_passing = proxy.disturbances, proxy.mode is ProxyMode.PASS
    return lambda: was_passing and proxy.disturbances == count_before


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
