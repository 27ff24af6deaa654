"""End-to-end demo: load, an edit, a drain, a graceful shutdown, and a summary table."""

import time
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, replace
from random import Random

import anyio
import httpx
from returns.result import Result

from tanagercourse.client.caller import Caller, open_caller
from tanagercourse.core.ids import CustomerId, ObjectPath, TeamId, Version, ZoneId
from tanagercourse.core.problems import Problem
from tanagercourse.platform.store import Store
from tanagercourse.settings.check import decode_service, encode
from tanagercourse.settings.paths import service_path
from tanagercourse.settings.schema import Duty, ServiceSettings
from tanagercourse.testing.deployed import Deployed, RunningInstance, run_deployment
from tanagercourse.testing.deployments import DEPLOYMENTS
from tanagercourse.testing.tally import (
    HEADINGS,
    Tally,
    compare_with_runs,
    invariants_hold,
    to_row,
)
from tanagercourse.testing.traffic import LoadGenerator, make_tallies
from tanagercourse.testing.zone_latency import zone_address

SERVICE_TIME_S = 0.006
CALLERS_PER_ZONE_AND_SERVICE = 2
MEAN_PAUSE_S = 0.8
INSTANCES_PER_CALLER = 3
# Time from the start of a drain after which the backend server must get no new
# requests, in seconds.
DRAIN_GRACE_S = 5.0

# Writes a value to a path on behalf of a team, the way operators apply a setting.
ApplyEdit = Callable[
    [Store, ObjectPath, bytes, TeamId], Awaitable[Result[Version, Problem]]
]
PrintLine = Callable[[str], None]


@dataclass(frozen=True)
class DemoOptions:
    """Options of the demo.

    Attributes:
        customer: User whose deployment is run.
        seed: Seed of the load.
        load_s: Duration of the load, in seconds.
    """

    customer: CustomerId
    seed: int
    load_s: float


@dataclass(frozen=True)
class DrainResult:
    """Result of draining a backend server.

    Attributes:
        id: Id of the backend server.
        requests_after_drain: Number of requests that started to run after the drain's
            grace period.
    """

    id: str
    requests_after_drain: int


async def run_demo(
    options: DemoOptions, apply_edit: ApplyEdit, print_line: PrintLine
) -> bool:
    """Run a user's deployment under load and planned changes.

    Args:
        options: Options of the demo.
        apply_edit: Applies a setting the way operators do.
        print_line: Prints one line.

    Returns:
        Whether every invariant held.
    """
    deployment = DEPLOYMENTS[options.customer]
    random = Random(options.seed)
    tallies = make_tallies(deployment.services)
    started_s = time.monotonic()

    def print_with_time(line: str) -> None:
        print_line(f"{time.monotonic() - started_s:6.1f} s  {line}")

    async with (
        httpx.AsyncClient(trust_env=False) as http,
        run_deployment(deployment, http, SERVICE_TIME_S) as deployed,
    ):
        print_with_time(
            f"{len(deployed.instances)} entry instances of {options.customer} ready"
        )
        async with _generate_load(deployed, random, tallies):
            drain_result = await _make_planned_changes(
                deployed, http, options, apply_edit, print_with_time
            )
        print_with_time("load ended")
        return _report(deployed, tallies, drain_result, print_line)


async def _make_planned_changes(
    deployed: Deployed,
    http: httpx.AsyncClient,
    options: DemoOptions,
    apply_edit: ApplyEdit,
    print_line: PrintLine,
) -> DrainResult:
    """Edit a setting, drain a backend server and shut an instance down."""
    step_s = options.load_s / 4
    await anyio.sleep(step_s)
    editor = _SettingEditor(deployed, http, apply_edit, print_line)
    await editor.apply(
        "deadline", lambda settings: replace(settings, deadline_ms=1_500)
    )
    await anyio.sleep(step_s)
    first_service = deployed.deployment.services[0].service
    upstream = deployed.upstreams[first_service][0]
    await editor.apply(f"drain of {upstream.id}", _drain_first_upstream)
    await anyio.sleep(min(DRAIN_GRACE_S, step_s))
    runs_before = upstream.runs.total()
    await _stop_instance(deployed.instances[0], print_line)
    await anyio.sleep(step_s)
    return DrainResult(upstream.id, upstream.runs.total() - runs_before)


@dataclass(frozen=True)
class _SettingEditor:
    """Edits the first service's settings the way operators do."""

    deployed: Deployed
    http: httpx.AsyncClient
    apply_edit: ApplyEdit
    print_line: PrintLine

    async def apply(
        self, name: str, change: Callable[[ServiceSettings], ServiceSettings]
    ) -> None:
        deployment = self.deployed.deployment
        path = service_path(deployment.team, deployment.services[0].service)
        stored = (await self.deployed.store.read(path)).unwrap()
        settings = decode_service(path, stored.value).unwrap()
        start_s = time.monotonic()
        value = encode(change(settings))
        applied = await self.apply_edit(
            self.deployed.store, path, value, deployment.team
        )
        version = applied.unwrap()
        await self.deployed.wait_until_applied(self.http, version)
        elapsed_s = time.monotonic() - start_s
        self.print_line(
            f"{name}: version {version} active everywhere after {elapsed_s:.2f} s"
        )


def _drain_first_upstream(settings: ServiceSettings) -> ServiceSettings:
    first, *remaining = settings.upstreams
    return replace(settings, upstreams=(replace(first, duty=Duty.DRAIN), *remaining))


async def _stop_instance(instance: RunningInstance, print_line: PrintLine) -> None:
    start_s = time.monotonic()
    instance.stop.set()
    await instance.ended.wait()
    print_line(f"{instance.instance} stopped after {time.monotonic() - start_s:.2f} s")


@asynccontextmanager
async def _generate_load(
    deployed: Deployed, random: Random, tallies: dict[str, Tally]
) -> AsyncIterator[None]:
    """Call every service from every zone while the context is active."""
    deployment = deployed.deployment
    load = LoadGenerator(random, deployment.client_one_way_s, MEAN_PAUSE_S)
    async with AsyncExitStack() as stack:
        callers = [
            await stack.enter_async_context(
                _open_caller(deployed, ZoneId(zone), random)
            )
            for zone, _ in deployment.zones
        ]
        async with anyio.create_task_group() as tasks:
            for caller in callers:
                for service in deployment.services * CALLERS_PER_ZONE_AND_SERVICE:
                    tally = tallies[service.service]
                    tasks.start_soon(load.run_caller, caller, service, tally)
            yield
            load.is_stopped = True


@asynccontextmanager
async def _open_caller(
    deployed: Deployed, zone: ZoneId, random: Random
) -> AsyncIterator[Caller]:
    urls = [instance.url for instance in deployed.instances]
    known_urls = random.sample(urls, INSTANCES_PER_CALLER)
    address = zone_address(deployed.deployment, zone)
    async with open_caller(known_urls, address, zone, random) as caller:
        yield caller


def _report(
    deployed: Deployed,
    tallies: dict[str, Tally],
    drain_result: DrainResult,
    print_line: PrintLine,
) -> bool:
    rows = [HEADINGS]
    all_hold = drain_result.requests_after_drain == 0
    for service in deployed.deployment.services:
        tally = tallies[service.service]
        verdict = compare_with_runs(tally, deployed.upstreams[service.service])
        rows.append(to_row(tally, verdict))
        all_hold = all_hold and invariants_hold(tally, verdict)
    print_line("")
    for line in _align_columns(rows):
        print_line(line)
    print_line("")
    print_line(
        f"{drain_result.requests_after_drain} requests reached {drain_result.id} "
        "after its drain"
    )
    print_line("every invariant held" if all_hold else "AN INVARIANT WAS VIOLATED")
    return all_hold


def _align_columns(rows: list[tuple[str, ...]]) -> list[str]:
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    return [
        "  ".join(cell.rjust(width) for cell, width in zip(row, widths, strict=True))
        for row in rows
    ]
