"""Run a user's deployment on loopback: platform, backend servers, entry instances."""

from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass

import anyio
import httpx
from anyio.abc import TaskGroup

from tanagercourse.core.ids import (
    InstanceId,
    ObjectPath,
    ServiceId,
    WriterId,
    ZoneId,
)
from tanagercourse.entry.instance import run_instance
from tanagercourse.entry.listening import Listeners
from tanagercourse.entry.options import EntryOptions, LogFormat, LogLevel
from tanagercourse.platform.http import http_store
from tanagercourse.platform.store import Machine, Presence, Store, Update
from tanagercourse.settings.check import FLEET_PATH, encode
from tanagercourse.settings.paths import service_path
from tanagercourse.settings.schema import (
    FleetSettings,
    ServiceSettings,
    UpstreamSettings,
    ZoneSettings,
)
from tanagercourse.testing.deployments import (
    INSTANCES_PER_CUSTOMER,
    Deployment,
    ServiceDeployment,
)
from tanagercourse.testing.loopback import serve_on_loopback
from tanagercourse.testing.platform import FakePlatform, platform_application
from tanagercourse.testing.upstream import FakeUpstream, upstream_application
from tanagercourse.testing.zone_latency import with_zone_latency, zone_address
from tanagercourse.web.serving import address_of, listen
from tanagercourse.wire.lookups import LOOKUP_PATH

STOP_TIMEOUT_S = 15.0
READY_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.05


@dataclass(frozen=True)
class RunningInstance:
    """An entry instance that runs as a task.

    Attributes:
        instance: Id of the instance.
        zone: The instance's availability zone.
        url: Base URL.
        stop: Set to start a graceful shutdown.
        ended: Set once the instance has stopped.
    """

    instance: InstanceId
    zone: ZoneId
    url: str
    stop: anyio.Event
    ended: anyio.Event


@dataclass(frozen=True)
class Deployed:
    """A running deployment.

    Attributes:
        deployment: Description of the deployment.
        platform: The fake platform.
        store: The platform's store, accessed over HTTP as operators do.
        upstreams: Fake backend servers of each service.
        instances: The entry instances.
    """

    deployment: Deployment
    platform: FakePlatform
    store: Store
    upstreams: dict[ServiceId, tuple[FakeUpstream, ...]]
    instances: tuple[RunningInstance, ...]

    async def wait_until_applied(self, http: httpx.AsyncClient, version: int) -> None:
        """Wait until every running instance has applied a version or a newer one.

        Raises:
            TimeoutError: An instance did not apply the version in time.
        """
        with anyio.fail_after(READY_TIMEOUT_S):
            for instance in self.instances:
                while not await _has_version(http, instance, version):
                    await anyio.sleep(POLL_INTERVAL_S)


@asynccontextmanager
async def run_deployment(
    deployment: Deployment, http: httpx.AsyncClient, service_time_s: float
) -> AsyncIterator[Deployed]:
    """Run a deployment while the context is active; yield it once it is ready.

    Args:
        deployment: The deployment to run.
        http: HTTP client of the operators.
        service_time_s: Service time of each backend server, in seconds.
    """
    platform = FakePlatform()
    async with AsyncExitStack() as stack:
        platform_url = await stack.enter_async_context(
            _serve_platform(deployment, platform)
        )
        upstreams = {
            service.service: await _start_upstreams(
                stack, deployment, service, platform, service_time_s
            )
            for service in deployment.services
        }
        _put_fleet(deployment, platform)
        tasks = await stack.enter_async_context(anyio.create_task_group())
        instances = tuple(
            _start_instance(tasks, deployment, platform, platform_url, index)
            for index in range(INSTANCES_PER_CUSTOMER)
        )
        store = http_store(http, platform_url)
        deployed = Deployed(deployment, platform, store, upstreams, instances)
        await deployed.wait_until_applied(http, platform.objects.version)
        yield deployed
        for instance in instances:
            instance.stop.set()


@asynccontextmanager
async def _serve_platform(
    deployment: Deployment, platform: FakePlatform
) -> AsyncIterator[str]:
    zone = next(
        name for name, region in deployment.zones if region == deployment.store_region
    )
    application = platform_application(platform)
    delayed_application = with_zone_latency(deployment, ZoneId(zone), application)
    async with serve_on_loopback(delayed_application) as url:
        yield url


async def _start_upstreams(
    stack: AsyncExitStack,
    deployment: Deployment,
    service: ServiceDeployment,
    platform: FakePlatform,
    service_time_s: float,
) -> tuple[FakeUpstream, ...]:
    """Start a service's upstreams, spread over the zones, and store its settings."""
    upstreams = []
    settings = []
    for index in range(service.upstreams):
        zone = _zone_at(deployment, index)
        upstream = FakeUpstream(
            f"{service.service}-{index}", service.slots, service_time_s
        )
        application = with_zone_latency(
            deployment, zone, upstream_application(upstream)
        )
        host = zone_address(deployment, zone)
        url = httpx.URL(
            await stack.enter_async_context(serve_on_loopback(application, 0, host))
        )
        assert url.port is not None
        settings.append(
            UpstreamSettings(upstream.id, host, url.port, zone, service.slots)
        )
        upstreams.append(upstream)
    value = encode(
        ServiceSettings(
            service.service, service.rank, service.idempotency, tuple(settings)
        )
    )
    _put(platform, service_path(deployment.team, service.service), value)
    return tuple(upstreams)


def _put_fleet(deployment: Deployment, platform: FakePlatform) -> None:
    zones = tuple(ZoneSettings(zone, region) for zone, region in deployment.zones)
    one_way_ms = deployment.region_one_way_s * 1_000
    _put(platform, FLEET_PATH, encode(FleetSettings(zones, one_way_ms)))


def _put(platform: FakePlatform, path: ObjectPath, value: bytes) -> None:
    expected = platform.objects.version_of(path)
    platform.objects.write(Update(path, expected, value, WriterId("demo")))


def _start_instance(
    tasks: TaskGroup,
    deployment: Deployment,
    platform: FakePlatform,
    platform_url: str,
    index: int,
) -> RunningInstance:
    zone = _zone_at(deployment, index)
    host = zone_address(deployment, zone)
    listeners = Listeners(callers=listen(host, 0), peers=listen(host, 0))
    _, port = address_of(listeners.callers)
    instance = InstanceId(f"entry-{index}")
    stop, ended = anyio.Event(), anyio.Event()
    options = EntryOptions(
        instance,
        zone,
        host,
        port,
        platform_url,
        STOP_TIMEOUT_S,
        LogFormat.CONSOLE,
        LogLevel.ERROR,
    )

    async def run() -> None:
        await run_instance(options, listeners, stop)
        del platform.objects.machines[instance]
        ended.set()

    platform.objects.machines[instance] = Machine(
        instance, host, port, zone, Presence.LIVE
    )
    tasks.start_soon(run)
    return RunningInstance(instance, zone, f"http://{host}:{port}", stop, ended)


def _zone_at(deployment: Deployment, index: int) -> ZoneId:
    return ZoneId(deployment.zones[index % len(deployment.zones)][0])


async def _has_version(
    http: httpx.AsyncClient, instance: RunningInstance, version: int
) -> bool:
    if instance.stop.is_set():
        return True
    response = await http.get(
        instance.url + LOOKUP_PATH, params={"client": "127.0.0.1"}
    )
    body = response.json()
    return bool(body["version"] >= version and body["instances"])
