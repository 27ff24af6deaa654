"""Each fault alone and each pair of faults at once, in virtual time."""

from collections.abc import Callable
from dataclasses import dataclass
from itertools import combinations

import anyio
import pytest

from tanagercourse.core.ids import ZoneId
from tanagercourse.core.states import InstanceState
from tanagercourse.testing.fleets import Fleet
from tanagercourse.testing.virtual import run_in_virtual_time

ZONES = ("split-a", "osijek-a")
PER_ZONE = 2
PATH = "/teams/water/services/motritelj"
FAULT_LASTS_S = 30.0
HEALED_WITHIN_S = 5.0

Act = Callable[[Fleet], None]


@dataclass(frozen=True)
class Fault:
    """A fault: what begins it, and what ends it."""

    name: str
    begin: Act
    end: Act


def _set_down(is_down: bool) -> Act:
    def act(fleet: Fleet) -> None:
        fleet.store.is_down = is_down

    return act


def _lose_replies(count: int) -> Act:
    def act(fleet: Fleet) -> None:
        fleet.store.replies_to_lose = count

    return act


def _silence(fleet: Fleet) -> None:
    fleet.links.silent_connections.update(range(fleet.connections + 1))


def _replace_instance(fleet: Fleet) -> None:
    fleet.kill("split-a-0")
    fleet.start("split-a-0", "split-a", ("split-a-1", "osijek-a-0"))


def _replace_zone(fleet: Fleet) -> None:
    for index in range(PER_ZONE):
        fleet.kill(f"osijek-a-{index}")
        fleet.start(f"osijek-a-{index}", "osijek-a", ("split-a-0", "split-a-1"))


FAULTS = (
    Fault("store down", _set_down(True), _set_down(False)),
    Fault("replies lost", _lose_replies(20), _lose_replies(0)),
    Fault(
        "cut off from the platform",
        lambda fleet: fleet.links.zones_without_platform.add(ZoneId("osijek-a")),
        lambda fleet: fleet.links.zones_without_platform.clear(),
    ),
    Fault(
        "zones split",
        lambda fleet: fleet.links.split_zone_pairs.add(frozenset(map(ZoneId, ZONES))),
        lambda fleet: fleet.links.split_zone_pairs.clear(),
    ),
    Fault("connections silent", _silence, lambda fleet: None),
    Fault("instance replaced", _replace_instance, lambda fleet: None),
    Fault("zone replaced", _replace_zone, lambda fleet: None),
)
CASES = [(fault,) for fault in FAULTS] + list(combinations(FAULTS, 2))


def _name(faults: tuple[Fault, ...]) -> str:
    return " and ".join(fault.name for fault in faults)


@pytest.mark.parametrize("faults", CASES, ids=_name)
def test_fleet_recovers_and_never_goes_back(faults: tuple[Fault, ...]) -> None:
    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            fleet = Fleet(tasks)
            before = fleet.write_setting(PATH)
            for zone in ZONES:
                for index in range(PER_ZONE):
                    fleet.start(f"{zone}-{index}", zone)
            assert await fleet.wait_until_converged(PATH, before, HEALED_WITHIN_S * 2)
            for fault in faults:
                fault.begin(fleet)
            version = fleet.write_setting(PATH)
            await anyio.sleep(FAULT_LASTS_S)
            for fault in faults:
                fault.end(fleet)
            assert await fleet.wait_until_converged(PATH, version, HEALED_WITHIN_S)
            await anyio.sleep(FAULT_LASTS_S)
            _assert_whole(fleet)
            tasks.cancel_scope.cancel()

    run_in_virtual_time(run)


def _assert_whole(fleet: Fleet) -> None:
    """Every instance is ready, sees all others live, and never went back."""
    for running in fleet.running.values():
        node = running.node
        assert node.is_ready
        assert {m.state for m in node.membership.present_members()} == {
            InstanceState.LIVE
        }
        versions = [s.version for s in running.applied if s.path == PATH]
        assert versions == sorted(set(versions))
