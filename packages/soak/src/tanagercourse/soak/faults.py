"""Faults of the soak: drawn from a seed, injected from outside, overlapping."""

import signal
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from random import Random

import anyio

from tanagercourse.soak.environment import SERVICES, ZONES, Upstream, World
from tanagercourse.soak.instance_process import Machine
from tanagercourse.soak.proxy import Proxy, Way

# How long a fault lasts, in seconds.
SHORTEST_S, LONGEST_S = 0.5, 5.0
# Pause between the begins of two faults, in seconds.
MOST_GAP_S = 1.2
# How long an upstream that leaves still serves, in seconds.
DRAIN_S = 2.5
# After this long without a fault what was in hand then has ended, in seconds.
CALM_S = 4.0
# Machines that are stopped in turn, the pause after each start, in seconds, and between
# two looks whether a process is another one.
STOPPED = 2
STARTED_S = 1.0
LOOK_AGAIN_S = 0.05

Inject = Callable[[World, Random, float], Awaitable[None]]


@dataclass(frozen=True)
class Fault:
    """One kind of fault.

    Attributes:
        name: For the record.
        inject: Injects one and ends it after some seconds.
        is_planned: Whether it is planned work.
    """

    name: str
    inject: Inject
    is_planned: bool = False


async def inject_faults(world: World, seed: int, length_s: float) -> list[str]:
    """Inject faults for some seconds; return the name of each when all have ended."""
    random = Random(seed)
    injected: list[str] = []
    ends_at_s = anyio.current_time() + length_s
    async with anyio.create_task_group() as tasks:
        while anyio.current_time() < ends_at_s:
            fault = random.choice(FAULTS)
            lasts_s = random.uniform(SHORTEST_S, LONGEST_S)
            injected.append(fault.name)
            tasks.start_soon(_inject, world, fault, Random(random.random()), lasts_s)
            await anyio.sleep(random.uniform(0, MOST_GAP_S))
    world.heal()
    return injected


async def stop_in_turn(world: World) -> None:
    """Stop one machine after the other as planned, with no other fault near."""
    await anyio.sleep(CALM_S + SHORTEST_S)
    for machine in world.machines[:STOPPED]:
        before = machine.process
        machine.signal(signal.SIGTERM)
        while machine.process is before:
            await anyio.sleep(LOOK_AGAIN_S)
        await anyio.sleep(STARTED_S)


async def _inject(world: World, fault: Fault, random: Random, lasts_s: float) -> None:
    if fault.is_planned:
        await fault.inject(world, random, lasts_s)
        return
    world.begin_fault()
    try:
        await fault.inject(world, random, lasts_s)
    finally:
        world.end_fault()


def _machine(world: World, random: Random) -> Machine:
    return random.choice(world.machines)


def _upstream(world: World, random: Random) -> Upstream:
    return random.choice(list(world.upstreams.values()))


def send_signal(number: signal.Signals, until: signal.Signals | None = None) -> Inject:
    """Return what signals a machine's process, and again when the fault ends."""

    async def inject(world: World, random: Random, lasts_s: float) -> None:
        machine = _machine(world, random)
        machine.signal(number)
        await anyio.sleep(lasts_s)
        if until is not None:
            machine.signal(until)

    return inject


def turn_upstream(way: Way) -> Inject:
    """Return what treats an upstream's connections another way for a while."""

    async def inject(world: World, random: Random, lasts_s: float) -> None:
        await _turn(_upstream(world, random).proxy, way, lasts_s)

    return inject


def turn_store(way: Way) -> Inject:
    """Return what treats one machine's connections to the store another way."""

    async def inject(world: World, random: Random, lasts_s: float) -> None:
        proxy = world.store_proxies[_machine(world, random).name]
        await _turn(proxy, way, lasts_s)

    return inject


async def _turn(proxy: Proxy, way: Way, lasts_s: float) -> None:
    proxy.turn(way)
    await anyio.sleep(lasts_s)
    proxy.turn(Way.PASS)


async def reset_upstream(world: World, random: Random, lasts_s: float) -> None:
    """Reset an upstream's connections."""
    await _upstream(world, random).proxy.reset_all()


async def refuse_store(world: World, random: Random, lasts_s: float) -> None:
    """Let the store answer every call with a failure."""
    world.store.status = random.choice([429, 503])
    await anyio.sleep(lasts_s)
    world.store.status = 200


async def slow_store(world: World, random: Random, lasts_s: float) -> None:
    """Let the store answer slowly."""
    world.store.response_delay_s = random.uniform(0.05, 0.5)
    await anyio.sleep(lasts_s)
    world.store.response_delay_s = 0.0


async def forget_history(world: World, random: Random, lasts_s: float) -> None:
    """Let the store forget what changed so far."""
    world.store.compacted_revision = world.store.revision


async def slow_upstream(world: World, random: Random, lasts_s: float) -> None:
    """Let an upstream work many times as long."""
    back_end = _upstream(world, random).back_end
    back_end.slowness = random.choice([3.0, 10.0, 40.0])
    await anyio.sleep(lasts_s)
    back_end.slowness = 1.0


async def shed(world: World, random: Random, lasts_s: float) -> None:
    """Let an upstream refuse every request."""
    back_end = _upstream(world, random).back_end
    back_end.sheds = True
    await anyio.sleep(lasts_s)
    back_end.sheds = False


async def change_configuration(world: World, random: Random, lasts_s: float) -> None:
    """Put a new configuration in force."""
    world.change_configuration()


async def replace_upstream(world: World, random: Random, lasts_s: float) -> None:
    """Start an upstream and let another of its service leave."""
    service, zone = random.choice(SERVICES), random.choice(ZONES)
    leaving = [
        (name, each)
        for name, each in world.upstreams.items()
        if (each.service, each.zone) == (service, zone)
    ]
    await world.add_upstream(service, zone)
    name, upstream = random.choice(leaving)
    del world.upstreams[name]
    world.store.put("servers", name, upstream.entry(state="draining"))
    await anyio.sleep(DRAIN_S + lasts_s)
    world.store.delete("servers", name)
    await anyio.sleep(DRAIN_S)
    upstream.proxy.turn(Way.REFUSE)


async def evacuate(world: World, random: Random, lasts_s: float) -> None:
    """Empty a zone and take it back."""
    if world.store.has("evacuations"):
        return
    zone = random.choice(ZONES)
    world.store.put("evacuations", zone, {})
    await anyio.sleep(lasts_s)
    world.store.delete("evacuations", zone)


FAULTS = (
    Fault("kill", send_signal(signal.SIGKILL)),
    Fault("pause", send_signal(signal.SIGSTOP, signal.SIGCONT)),
    Fault("stop", send_signal(signal.SIGTERM), is_planned=True),
    Fault("stop again", send_signal(signal.SIGTERM), is_planned=True),
    Fault("reload", send_signal(signal.SIGHUP), is_planned=True),
    Fault("upstream delayed", turn_upstream(Way.DELAY)),
    Fault("upstream silent", turn_upstream(Way.SILENT)),
    Fault("upstream unheard", turn_upstream(Way.NO_ANSWERS)),
    Fault("upstream unreached", turn_upstream(Way.NO_REQUESTS)),
    Fault("upstream refuses", turn_upstream(Way.REFUSE)),
    Fault("upstream reset", reset_upstream),
    Fault("upstream slow", slow_upstream),
    Fault("upstream sheds", shed),
    Fault("store silent", turn_store(Way.SILENT)),
    Fault("store unheard", turn_store(Way.NO_ANSWERS)),
    Fault("store refuses connections", turn_store(Way.REFUSE)),
    Fault("store refuses calls", refuse_store),
    Fault("store slow", slow_store),
    Fault("store forgets", forget_history),
    Fault("configuration", change_configuration, is_planned=True),
    Fault("replace", replace_upstream, is_planned=True),
    Fault("evacuate", evacuate, is_planned=True),
)
