"""Random faults of the soak, injected from outside the instances; they may overlap."""

import signal
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from random import Random

import anyio

from tanagercourse.soak.environment import (
    SERVICES,
    ZONES,
    ProxiedUpstream,
    SoakEnvironment,
)
from tanagercourse.soak.instance_process import InstanceProcess
from tanagercourse.soak.proxy import Proxy, ProxyMode
from tanagercourse.standin.store import UPSTREAM_KIND, StoreCopy

# Minimum and maximum duration of a fault, in seconds.
MIN_FAULT_S, MAX_FAULT_S = 0.5, 5.0
# Maximum time between the starts of two faults, in seconds.
MAX_GAP_S = 1.2
# Minimum time that an upstream serves as draining before its registration is deleted,
# and time that it still serves after that, in seconds.
DRAIN_S = 2.5
# Maximum time for which a store that is restored is away, and maximum time after its
# return until what was lost is written again, in seconds.
MAX_AWAY_S, MAX_REWRITE_S = 1.0, 1.5
# Time after the return at which the store removes the entries of silent upstreams.
EXPIRY_S = 4.5
# Time after a fault within which every request that it affected has ended, in seconds.
SETTLE_S = 4.0
# Number of instances that are stopped one by one after the last fault.
STOPPED_INSTANCE_COUNT = 2
# Pause after each restart, in seconds.
START_PAUSE_S = 1.0
# Interval of checks for a restarted process, in seconds.
POLL_INTERVAL_S = 0.05

Inject = Callable[[SoakEnvironment, Random, float], Awaitable[None]]


@dataclass(frozen=True)
class Fault:
    """A kind of fault.

    Attributes:
        name: Name in the soak's output.
        inject: Injects the fault and ends it after the given number of seconds.
        is_planned: Whether the event is planned work, during which no request may
            be interrupted.
    """

    name: str
    inject: Inject
    is_planned: bool = False


async def inject_faults(
    environment: SoakEnvironment, seed: int, length_s: float
) -> list[str]:
    """Inject random faults and wait until all have ended.

    Args:
        environment: The running soak.
        seed: Seed of the choice, start and duration of each fault.
        length_s: Time during which faults are started, in seconds.

    Returns:
        The name of each injected fault, in order.
    """
    random = Random(seed)
    injected: list[str] = []
    ends_at_s = anyio.current_time() + length_s
    async with anyio.create_task_group() as tasks:
        while anyio.current_time() < ends_at_s:
            fault = random.choice(FAULTS)
            duration_s = random.uniform(MIN_FAULT_S, MAX_FAULT_S)
            injected.append(fault.name)
            tasks.start_soon(
                _inject, environment, fault, Random(random.random()), duration_s
            )
            await anyio.sleep(random.uniform(0, MAX_GAP_S))
    environment.clear_faults()
    return injected


async def stop_one_by_one(environment: SoakEnvironment) -> None:
    """Shut instances down gracefully one by one, with no fault active or recent."""
    await anyio.sleep(SETTLE_S + MIN_FAULT_S)
    for instance in environment.instances[:STOPPED_INSTANCE_COUNT]:
        previous_process = instance.process
        instance.send_signal(signal.SIGTERM)
        while instance.process is previous_process:
            await anyio.sleep(POLL_INTERVAL_S)
        await anyio.sleep(START_PAUSE_S)


async def _inject(
    environment: SoakEnvironment, fault: Fault, random: Random, duration_s: float
) -> None:
    if fault.is_planned:
        await fault.inject(environment, random, duration_s)
        return
    environment.begin_fault()
    try:
        await fault.inject(environment, random, duration_s)
    finally:
        environment.end_fault()


def _choose_instance(environment: SoakEnvironment, random: Random) -> InstanceProcess:
    return random.choice(environment.instances)


def _choose_upstream(environment: SoakEnvironment, random: Random) -> ProxiedUpstream:
    return random.choice(list(environment.upstreams.values()))


def signal_instance(
    start_signal: signal.Signals, end_signal: signal.Signals | None = None
) -> Inject:
    """Make a fault that signals an instance, optionally again when the fault ends."""

    async def inject(
        environment: SoakEnvironment, random: Random, duration_s: float
    ) -> None:
        instance = _choose_instance(environment, random)
        instance.send_signal(start_signal)
        await anyio.sleep(duration_s)
        if end_signal is not None:
            instance.send_signal(end_signal)

    return inject


def set_upstream_mode(mode: ProxyMode) -> Inject:
    """Make a fault that changes the mode of an upstream's proxy."""

    async def inject(
        environment: SoakEnvironment, random: Random, duration_s: float
    ) -> None:
        await _set_mode_for(
            _choose_upstream(environment, random).proxy, mode, duration_s
        )

    return inject


def set_store_mode(mode: ProxyMode) -> Inject:
    """Make a fault that changes the mode of an instance's proxy to the store."""

    async def inject(
        environment: SoakEnvironment, random: Random, duration_s: float
    ) -> None:
        proxy = environment.store_proxies[_choose_instance(environment, random).name]
        await _set_mode_for(proxy, mode, duration_s)

    return inject


async def _set_mode_for(proxy: Proxy, mode: ProxyMode, duration_s: float) -> None:
    proxy.set_mode(mode)
    await anyio.sleep(duration_s)
    proxy.set_mode(ProxyMode.PASS)


async def reset_upstream(
    environment: SoakEnvironment, random: Random, duration_s: float
) -> None:
    """Reset all connections of an upstream."""
    await _choose_upstream(environment, random).proxy.reset_all()


async def refuse_store(
    environment: SoakEnvironment, random: Random, duration_s: float
) -> None:
    """Make the store respond to every call with status 429 or 503."""
    environment.store.status = random.choice([429, 503])
    await anyio.sleep(duration_s)
    environment.store.status = 200


async def slow_store(
    environment: SoakEnvironment, random: Random, duration_s: float
) -> None:
    """Delay each response of the store."""
    environment.store.response_delay_s = random.uniform(0.05, 0.5)
    await anyio.sleep(duration_s)
    environment.store.response_delay_s = 0.0


async def compact_history(
    environment: SoakEnvironment, random: Random, duration_s: float
) -> None:
    """Discard the store's change history up to its current revision."""
    environment.store.compacted_revision = environment.store.revision


async def restore_copy(
    environment: SoakEnvironment, random: Random, duration_s: float
) -> None:
    """Let the store come back from an older copy; its writers then write again."""
    store = environment.store
    copied = store.copy()
    await anyio.sleep(duration_s)
    lost = store.copy()
    await refuse_store(environment, random, random.uniform(0.0, MAX_AWAY_S))
    store.come_back(copied)
    await anyio.sleep(random.uniform(0.0, MAX_REWRITE_S))
    store.write_again(lost, copied)
    # An instance that starts meanwhile reads what the copy has.
    store.refused_at_s = anyio.current_time()
    await anyio.sleep(EXPIRY_S)
    for name in silent_upstreams(lost, copied):
        store.delete("servers", name)


def silent_upstreams(lost: StoreCopy, copied: StoreCopy) -> list[str]:
    """Return the upstreams that had left when the store was lost."""
    return [
        name
        for kind, name in copied.objects.keys() - lost.objects.keys()
        if kind == UPSTREAM_KIND
    ]


async def slow_upstream(
    environment: SoakEnvironment, random: Random, duration_s: float
) -> None:
    """Slow an upstream down by a random factor."""
    server = _choose_upstream(environment, random).server
    server.service_time_factor = random.choice([3.0, 10.0, 40.0])
    await anyio.sleep(duration_s)
    server.service_time_factor = 1.0


async def shed_all(
    environment: SoakEnvironment, random: Random, duration_s: float
) -> None:
    """Make an upstream shed every request."""
    server = _choose_upstream(environment, random).server
    server.sheds_all = True
    await anyio.sleep(duration_s)
    server.sheds_all = False


async def change_configuration(
    environment: SoakEnvironment, random: Random, duration_s: float
) -> None:
    """Store a new version of the configuration."""
    environment.change_configuration()


async def add_key(
    environment: SoakEnvironment, random: Random, duration_s: float
) -> None:
    """Add an API key to a tenant."""
    environment.add_key(random)


async def remove_key(
    environment: SoakEnvironment, random: Random, duration_s: float
) -> None:
    """Remove an API key of a tenant."""
    environment.remove_key(random)


async def flood(
    environment: SoakEnvironment, random: Random, duration_s: float
) -> None:
    """Let a tenant send far more requests than usual."""
    environment.is_flooding = True
    await anyio.sleep(duration_s)
    environment.is_flooding = False


async def replace_upstream(
    environment: SoakEnvironment, random: Random, duration_s: float
) -> None:
    """Start an upstream, then drain and remove another one of its service and zone."""
    name, upstream = await _take_and_replace(environment, random)
    environment.store.put(
        "servers", name, upstream.registration_document(state="draining")
    )
    await anyio.sleep(DRAIN_S + duration_s)
    environment.store.delete("servers", name)
    await anyio.sleep(DRAIN_S)
    upstream.proxy.set_mode(ProxyMode.REFUSE)


async def _take_and_replace(
    environment: SoakEnvironment, random: Random
) -> tuple[str, ProxiedUpstream]:
    """Start an upstream and return another one of its service and zone, by name.

    The other one is no longer chosen for faults.
    """
    service, zone = random.choice(SERVICES), random.choice(ZONES)
    candidates = [
        (name, upstream)
        for name, upstream in environment.upstreams.items()
        if (upstream.service, upstream.zone) == (service, zone)
    ]
    await environment.add_upstream(service, zone)
    name, upstream = random.choice(candidates)
    del environment.upstreams[name]
    return name, upstream


async def leave_unannounced(
    environment: SoakEnvironment, random: Random, duration_s: float
) -> None:
    """Replace an upstream that says only in its responses that it leaves."""
    name, upstream = await _take_and_replace(environment, random)
    upstream.server.is_leaving = True
    await anyio.sleep(DRAIN_S + duration_s)
    # Written once more as ready; what the upstream said still binds.
    environment.store.put("servers", name, upstream.registration_document(sequence=9))
    await anyio.sleep(DRAIN_S + duration_s)
    environment.store.delete("servers", name)
    await anyio.sleep(DRAIN_S)
    upstream.proxy.set_mode(ProxyMode.REFUSE)


async def pause_callers(
    environment: SoakEnvironment, random: Random, duration_s: float
) -> None:
    """Make an upstream refuse all requests and say for how long it wants none."""
    server = _choose_upstream(environment, random).server
    server.paused_until_s = anyio.current_time() + duration_s
    await anyio.sleep(duration_s)


async def evacuate(
    environment: SoakEnvironment, random: Random, duration_s: float
) -> None:
    """Evacuate a zone for the given time, unless an evacuation is active already."""
    if environment.store.has("evacuations"):
        return
    zone = random.choice(ZONES)
    environment.store.put("evacuations", zone, {})
    await anyio.sleep(duration_s)
    environment.store.delete("evacuations", zone)


FAULTS = (
    Fault("kill", signal_instance(signal.SIGKILL)),
    Fault("pause", signal_instance(signal.SIGSTOP, signal.SIGCONT)),
    Fault("stop", signal_instance(signal.SIGTERM), is_planned=True),
    Fault("stop again", signal_instance(signal.SIGTERM), is_planned=True),
    Fault("reload", signal_instance(signal.SIGHUP), is_planned=True),
    Fault("upstream delayed", set_upstream_mode(ProxyMode.DELAY)),
    Fault("upstream silent", set_upstream_mode(ProxyMode.SILENT)),
    Fault("upstream responses blocked", set_upstream_mode(ProxyMode.NO_RESPONSES)),
    Fault("upstream requests blocked", set_upstream_mode(ProxyMode.NO_REQUESTS)),
    Fault("upstream refuses", set_upstream_mode(ProxyMode.REFUSE)),
    Fault("upstream sends late copies", set_upstream_mode(ProxyMode.LATE_COPIES)),
    Fault("upstream sends without end", set_upstream_mode(ProxyMode.ENDLESS)),
    Fault("upstream reset", reset_upstream),
    Fault("upstream slow", slow_upstream),
    Fault("upstream sheds", shed_all),
    Fault("upstream wants no requests", pause_callers),
    Fault("upstream leaves unannounced", leave_unannounced, is_planned=True),
    Fault("store silent", set_store_mode(ProxyMode.SILENT)),
    Fault("store responses blocked", set_store_mode(ProxyMode.NO_RESPONSES)),
    Fault("store refuses connections", set_store_mode(ProxyMode.REFUSE)),
    Fault("store refuses calls", refuse_store),
    Fault("store slow", slow_store),
    Fault("store history compacted", compact_history),
    Fault("store restored from a copy", restore_copy),
    Fault("configuration changed", change_configuration, is_planned=True),
    Fault("key added", add_key, is_planned=True),
    Fault("key removed", remove_key, is_planned=True),
    Fault("tenant floods", flood, is_planned=True),
    Fault("upstream replaced", replace_upstream, is_planned=True),
    Fault("zone evacuated", evacuate, is_planned=True),
)
