"""How fast many instances follow a store that comes back from an older copy."""

from dataclasses import dataclass
from functools import partial
from random import Random

import anyio
import pytest

from tanagercourse.standin.documents import (
    make_configuration_document,
    make_registration_document,
)
from tanagercourse.standin.drill_simulation import DrillSimulation
from tanagercourse.testing.virtual import run_in_virtual_time

# Time from the store's return until every instance has the table of the new era.
MAX_FOLLOW_S = 2.0
# Time after a start or a return in which calls are counted, in seconds.
COUNTED_S = 10.0
POLL_INTERVAL_S = 0.02
# Changes that the copy lacks, one after the other, and the time between two.
LOST_CHANGES = 4
CHANGE_INTERVAL_S = 0.8


@dataclass(frozen=True)
class Figures:
    """What following the new era took.

    Attributes:
        follow_s: Time until all instances had the table of the new era, in seconds.
        start_calls: Calls to the store around the start, for each instance.
        return_calls: The same after the store's return.
    """

    follow_s: float
    start_calls: float
    return_calls: float


def write_configuration(simulation: DrillSimulation, version: int) -> None:
    document = make_configuration_document(version)
    simulation.store.put("config", "main", document)


async def wait_until_in_step(simulation: DrillSimulation) -> None:
    while not all(map(simulation.is_in_step, simulation.instances)):
        await anyio.sleep(POLL_INTERVAL_S)


async def play(instance_count: int, upstream_count: int, away_s: float) -> Figures:
    simulation = DrillSimulation(instance_count, Random(1))
    store, calls = simulation.store, simulation.network.calls
    write_configuration(simulation, 1)
    for number in range(upstream_count):
        document = make_registration_document(9000 + number, born=number)
        store.put("servers", f"u{number}", document)
    async with anyio.create_task_group() as tasks:
        await simulation.start(tasks)
        await wait_until_in_step(simulation)
        await anyio.sleep(COUNTED_S)
        start_calls = calls.total()
        copied = store.copy()
        for version in range(2, 2 + LOST_CHANGES):
            write_configuration(simulation, version)
            await anyio.sleep(CHANGE_INTERVAL_S)
        await wait_until_in_step(simulation)
        lost = store.copy()
        await simulation.go_away(away_s)
        store.come_back(copied)
        returned_at_s, calls_before = anyio.current_time(), calls.total()
        store.write_again(lost, copied)
        write_configuration(simulation, 2 + LOST_CHANGES)
        with anyio.fail_after(COUNTED_S):
            await wait_until_in_step(simulation)
        follow_s = anyio.current_time() - returned_at_s
        await anyio.sleep_until(returned_at_s + COUNTED_S)
        return_calls = calls.total() - calls_before
        tasks.cancel_scope.cancel()
    return Figures(
        follow_s, start_calls / instance_count, return_calls / instance_count
    )


@pytest.mark.usefixtures("quiet_logs")
@pytest.mark.parametrize("away_s", [0.0, 1.0])
@pytest.mark.parametrize(("instance_count", "upstream_count"), [(10, 40), (112, 304)])
def test_all_instances_follow_the_new_era_soon(
    instance_count: int, upstream_count: int, away_s: float
) -> None:
    figures = run_in_virtual_time(partial(play, instance_count, upstream_count, away_s))
    print(instance_count, upstream_count, away_s, figures)
    assert figures.follow_s <= MAX_FOLLOW_S
