"""Show the whole path at work: load, an edit, a drain, a planned stop, and a table."""

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
from tanagercourse.testing.tally import HEADINGS, Tally, is_kept, judge, to_row
from tanagercourse.testing.traffic import Traffic, tallies_for
from tanagercourse.testing.zone_latency import address_of_zone

SERVICE_TIME_S = 0.006
CALLERS_PER_ZONE_AND_SERVICE = 2
MEAN_PAUSE_S = 0.8
KNOWN_INSTANCES = 3
# A leaving backend server gets no new work after so long, in seconds.
DRAIN_WITHIN_S = 5.0

# The operators' path: puts a value at a path for a team.
ApplyEdit = Callable[
    [Store, ObjectPath, bytes, TeamId], Awaitable[Result[Version, Problem]]
]
Say = Callable[[str], None]


@dataclass(frozen=True)
class DemoOptions:
    """What to show.

    Attributes:
        customer: Whose deployment.
        seed: Seeds the load.
        load_s: How long the load lasts, in seconds.
    """

    customer: CustomerId
    seed: int
    load_s: float


@dataclass(frozen=True)
class Drained:
    """A backend server that operators drained.

    Attributes:
        id: Its id.
        runs_after: Requests that reached it after the time it has for that.
    """

    id: str
    runs_after: int


async def run_demo(options: DemoOptions, apply_edit: ApplyEdit, say: Say) -> bool:
    """Run a user's deployment under load and planned changes.

    Args:
        options: What to show.
        apply_edit: The operators' path.
        say: Prints a line.

    Returns:
        Whether every promise was held.
    """
    deployment = DEPLOYMENTS[options.customer]
    random = Random(options.seed)
    tallies = tallies_for(deployment.services)
    started_s = time.monotonic()

    def say_at(line: str) -> None:
        say(f"{time.monotonic() - started_s:6.1f} s  {line}")

    async with (
        httpx.AsyncClient(trust_env=False) as http,
        run_deployment(deployment, http, SERVICE_TIME_S) as deployed,
    ):
        say_at(f"{len(deployed.instances)} entry instances of {options.customer} ready")
        async with _loaded(deployed, random, tallies):
            drained = await _change(deployed, http, options, apply_edit, say_at)
        say_at("load ended")
        return _report(deployed, tallies, drained, say)


async def _change(
    deployed: Deployed,
    http: httpx.AsyncClient,
    options: DemoOptions,
    apply_edit: ApplyEdit,
    say: Say,
) -> Drained:
    """Edit a setting, drain a backend server and stop an instance, under load."""
    step_s = options.load_s / 4
    await anyio.sleep(step_s)
    edit = _Editing(deployed, http, apply_edit, say)
    await edit.change("deadline", lambda now: replace(now, deadline_ms=1_500))
    await anyio.sleep(step_s)
    first = deployed.deployment.services[0].service
    upstream = deployed.upstreams[first][0]
    await edit.change(f"drain of {upstream.id}", _drain_first)
    await anyio.sleep(min(DRAIN_WITHIN_S, step_s))
    runs_before = upstream.runs.total()
    await _stop(deployed.instances[0], say)
    await anyio.sleep(step_s)
    return Drained(upstream.id, upstream.runs.total() - runs_before)


@dataclass(frozen=True)
class _Editing:
    """Edits of the first service's settings, through the operators' path."""

    deployed: Deployed
    http: httpx.AsyncClient
    apply_edit: ApplyEdit
    say: Say

    async def change(
        self, name: str, edit: Callable[[ServiceSettings], ServiceSettings]
    ) -> None:
        deployment = self.deployed.deployment
        path = service_path(deployment.team, deployment.services[0].service)
        found = (await self.deployed.store.read(path)).unwrap()
        settings = decode_service(path, found.value).unwrap()
        began_s = time.monotonic()
        value = encode(edit(settings))
        applied = await self.apply_edit(
            self.deployed.store, path, value, deployment.team
        )
        version = applied.unwrap()
        await self.deployed.wait_until_in_force(self.http, version)
        took_s = time.monotonic() - began_s
        self.say(f"{name}: version {version} in force everywhere after {took_s:.2f} s")


def _drain_first(settings: ServiceSettings) -> ServiceSettings:
    first, *others = settings.upstreams
    return replace(settings, upstreams=(replace(first, duty=Duty.DRAIN), *others))


async def _stop(instance: RunningInstance, say: Say) -> None:
    began_s = time.monotonic()
    instance.stop.set()
    await instance.ended.wait()
    say(f"{instance.instance} stopped after {time.monotonic() - began_s:.2f} s")


@asynccontextmanager
async def _loaded(
    deployed: Deployed, random: Random, tallies: dict[str, Tally]
) -> AsyncIterator[None]:
    """Drive load of every service from every zone for the length of a block."""
    deployment = deployed.deployment
    traffic = Traffic(random, deployment.client_one_way_s, MEAN_PAUSE_S)
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
                    tasks.start_soon(traffic.drive, caller, service, tally)
            yield
            traffic.is_over = True


@asynccontextmanager
async def _open_caller(
    deployed: Deployed, zone: ZoneId, random: Random
) -> AsyncIterator[Caller]:
    urls = [instance.url for instance in deployed.instances]
    known = random.sample(urls, KNOWN_INSTANCES)
    address = address_of_zone(deployed.deployment, zone)
    async with open_caller(known, address, zone, random) as caller:
        yield caller


def _report(
    deployed: Deployed, tallies: dict[str, Tally], drained: Drained, say: Say
) -> bool:
    rows = [HEADINGS]
    is_all_kept = drained.runs_after == 0
    for service in deployed.deployment.services:
        tally = tallies[service.service]
        verdict = judge(tally, deployed.upstreams[service.service])
        rows.append(to_row(tally, verdict))
        is_all_kept = is_all_kept and is_kept(tally, verdict)
    say("")
    for line in _aligned(rows):
        say(line)
    say("")
    say(f"{drained.runs_after} requests reached {drained.id} after its drain")
    say("every promise was held" if is_all_kept else "A PROMISE WAS BROKEN")
    return is_all_kept


def _aligned(rows: list[tuple[str, ...]]) -> list[str]:
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    return [
        "  ".join(cell.rjust(width) for cell, width in zip(row, widths, strict=True))
        for row in rows
    ]
