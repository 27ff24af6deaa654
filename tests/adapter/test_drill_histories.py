"""Random histories of a store that comes back from older copies, in virtual time.

The operator and the upstreams write, the store is lost and restored, relays are cut off
and instances restart; at the end all instances hold the store's table.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from functools import partial
from random import Random

import anyio
import pytest
from anyio.abc import TaskGroup
from hypothesis import given, settings
from hypothesis import strategies as st

from tanagercourse.following.evacuations import REWRITE_S
from tanagercourse.standin.documents import (
    make_configuration_document,
    make_registration_document,
)
from tanagercourse.standin.drill_simulation import DrillSimulation, SimulatedInstance
from tanagercourse.standin.store import StoreCopy
from tanagercourse.testing.fuzzing import FUZZING
from tanagercourse.testing.virtual import run_in_virtual_time

INSTANCE_COUNT = 6
STEP_COUNT = 14
MAX_PAUSE_S = 2.0
# Maximum age of a copy, time for which the store is away, and time after which what was
# lost is written again, in seconds.
MAX_COPY_AGE_S = 6.0
MAX_AWAY_S = 2.0
MAX_REWRITE_S = 1.5
# Time after the store's return at which it removes the entries of silent upstreams.
EXPIRY_S = 4.5
# Maximum time for which a relay is cut off from the store, in seconds.
MAX_CUT_S = 4.0
# Time after the last step in which all doubts end, in seconds: the last relay that was
# cut off notices that the store is back, and then waits for what may be written again.
SETTLE_S = MAX_CUT_S + 3.0 + REWRITE_S
POLL_INTERVAL_S = 0.05
ZONES = ("a1", "b1")

Step = Callable[["History"], Awaitable[None]]


@dataclass
class History:
    """What the operator and the upstreams want, and what instances may not undo.

    Attributes:
        simulation: The store and the instances.
        tasks: Runs what goes on beside the steps.
        random: Chooses the steps.
        serving: Upstreams that serve.
        gone: Upstreams that were drained or removed, and serve no more.
        evacuated: Zones that the operator wants to be evacuated, each with the number
            of its evacuation.
        evacuation_count: Number of evacuations so far.
        version: Version of the operator's configuration.
        copies: Copies of the store, each with the time at which it was made.
        violations: What an instance did that it must not do.
    """

    simulation: DrillSimulation
    tasks: TaskGroup
    random: Random
    serving: set[str] = field(default_factory=set)
    gone: set[str] = field(default_factory=set)
    evacuated: dict[str, int] = field(default_factory=dict)
    evacuation_count: int = 0
    version: int = 0
    copies: list[tuple[float, StoreCopy]] = field(default_factory=list)
    violations: list[str] = field(default_factory=list)

    def write_registration(self, name: str, state: str = "ready") -> None:
        number = int(name[1:])
        document = make_registration_document(
            9000 + number, state=state, zone=ZONES[number % 2], born=number
        )
        self.simulation.store.put("servers", name, document)

    def expire(self, names: set[str]) -> None:
        """Remove the entries of upstreams that are silent."""
        for name in names & self.simulation.store.specifications("servers").keys():
            self.simulation.store.delete("servers", name)


async def configure(history: History) -> None:
    history.version += 1
    document = make_configuration_document(history.version)
    history.simulation.store.put("config", "main", document)


async def join(history: History) -> None:
    name = f"u{len(history.serving) + len(history.gone)}"
    history.serving.add(name)
    history.write_registration(name)


async def leave(history: History) -> None:
    """Let an upstream drain, and remove its entry at some time."""
    if len(history.serving) < 2:
        return
    name = history.random.choice(sorted(history.serving))
    history.serving.discard(name)
    history.gone.add(name)
    if history.random.random() < 0.5:
        history.write_registration(name, "draining")
    else:
        history.expire({name})


async def evacuate(history: History) -> None:
    zone = history.random.choice(ZONES)
    if zone in history.evacuated:
        del history.evacuated[zone]
        history.simulation.store.delete("evacuations", zone)
    else:
        history.simulation.store.put("evacuations", zone, {})
        history.evacuation_count += 1
        history.evacuated[zone] = history.evacuation_count


async def drill(history: History) -> None:
    """Bring the store back from a copy, and write again what it lost."""
    simulation, random = history.simulation, history.random
    now_s = anyio.current_time()
    recent = [
        copied for at_s, copied in history.copies if now_s - at_s < MAX_COPY_AGE_S
    ]
    copied = random.choice(recent or [simulation.store.copy()])
    history.copies.clear()
    lost = simulation.store.copy()
    await simulation.go_away(random.choice([0.0, random.uniform(0.05, MAX_AWAY_S)]))
    simulation.store.come_back(copied)
    history.tasks.start_soon(expire_later, history, frozenset(history.gone))
    await anyio.sleep(random.uniform(0.0, MAX_REWRITE_S))
    simulation.store.write_again(lost, copied)


async def expire_later(history: History, silent: frozenset[str]) -> None:
    await anyio.sleep(EXPIRY_S)
    history.expire(set(silent))


async def cut_relay(history: History) -> None:
    name = history.random.choice(history.simulation.instances[:3]).name
    history.tasks.start_soon(cut_for_a_while, history, name)


async def cut_for_a_while(history: History, name: str) -> None:
    history.simulation.network.cut_from_store.add(name)
    await anyio.sleep(history.random.uniform(0.2, MAX_CUT_S))
    history.simulation.network.cut_from_store.discard(name)


async def restart(history: History) -> None:
    number = history.random.randrange(INSTANCE_COUNT)
    history.simulation.restart(number, history.tasks)


STEPS: tuple[Step, ...] = (
    configure,
    configure,
    join,
    leave,
    leave,
    evacuate,
    drill,
    drill,
    drill,
    cut_relay,
    restart,
)


@dataclass
class Seen:
    """What one instance has done so far.

    Attributes:
        used: Upstreams that it used at some time.
        left: Those of them that it stopped to use after they had left.
        evacuated: The evacuations that it last knew, as zones and numbers.
        version: Version of its configuration.
    """

    used: set[str] = field(default_factory=set)
    left: set[str] = field(default_factory=set)
    evacuated: dict[str, int] = field(default_factory=dict)
    version: int = 0


async def watch_instances(history: History) -> None:
    """Record what instances undo."""
    seen: dict[SimulatedInstance, Seen] = {}
    while True:
        for instance in history.simulation.instances:
            check_instance(history, instance, seen.setdefault(instance, Seen()))
        await anyio.sleep(POLL_INTERVAL_S)


def check_instance(history: History, instance: SimulatedInstance, seen: Seen) -> None:
    used = {str(upstream) for upstream in instance.upstreams_in_use()}
    evacuated = {
        zone: number
        for zone, number in history.evacuated.items()
        if zone in instance.fleet.evacuated
    }
    for name in used & seen.left:
        history.violations.append(f"{instance.name} uses {name}, which left")
    for zone, number in seen.evacuated.items():
        if zone in evacuated or history.evacuated.get(zone) != number:
            continue
        history.violations.append(f"{instance.name} uses evacuated zone {zone}")
    if instance.configuration_version() < seen.version:
        history.violations.append(f"{instance.name} went back from {seen.version}")
    seen.used |= used
    seen.left |= (seen.used - used) & history.gone
    seen.evacuated = evacuated
    seen.version = instance.configuration_version()


async def play(seed: int) -> None:
    """Play one history, and check what the instances hold during and after it."""
    random = Random(seed)
    simulation = DrillSimulation(INSTANCE_COUNT, random)
    async with anyio.create_task_group() as tasks:
        history = History(simulation, tasks, random)
        await configure(history)
        for _ in range(4):
            await join(history)
        await simulation.start(tasks)
        await anyio.sleep(3.0)
        tasks.start_soon(watch_instances, history)
        for _ in range(STEP_COUNT):
            history.copies.append((anyio.current_time(), simulation.store.copy()))
            await random.choice(STEPS)(history)
            await anyio.sleep(random.choice([0.0, random.uniform(0.0, MAX_PAUSE_S)]))
        await anyio.sleep(SETTLE_S)
        late = [
            each.name
            for each in simulation.instances
            if not simulation.is_in_step(each)
        ]
        tasks.cancel_scope.cancel()
    assert history.violations == [] and late == []


@pytest.mark.usefixtures("quiet_logs")
@given(seed=st.integers(0, 2**32))
@settings(FUZZING, max_examples=FUZZING.max_examples // 3)
def test_instances_hold_the_table_of_the_latest_era(seed: int) -> None:
    """Tables of before, or of an older copy, stayed in use (review/12 to 14)."""
    run_in_virtual_time(partial(play, seed))
