"""Propagation, recovery and membership of a fleet under faults, in virtual time."""

from collections.abc import Awaitable, Callable

import anyio
import pytest

from tanagercourse.coordination.readiness import StartupBlocker
from tanagercourse.coordination.status import ApplyStatus, read_fleet_status
from tanagercourse.core.ids import InstanceId, ZoneId
from tanagercourse.core.states import InstanceState
from tanagercourse.platform.store import ObjectState
from tanagercourse.testing.fleets import Fleet
from tanagercourse.testing.virtual import run_in_virtual_time

ZONES = ("split-a", "osijek-a")
PATH = "/teams/water/services/motritelj"
CONVERGENCE_LIMIT_S = 5.0

Scenario = Callable[[Fleet], Awaitable[None]]


def run_fleet(scenario: Scenario, instances_per_zone: int = 3) -> None:
    """Run a scenario on a fleet of two zones whose instances are all ready."""

    async def run() -> None:
        async with anyio.create_task_group() as tasks:
            fleet = Fleet(tasks)
            fleet.write_setting(PATH)
            for zone in ZONES:
                for index in range(instances_per_zone):
                    fleet.start(f"{zone}-{index}", zone)
            await anyio.sleep(10.0)
            assert all(node.is_ready for node in fleet.nodes())
            await scenario(fleet)
            _assert_versions_increase(fleet)
            tasks.cancel_scope.cancel()

    run_in_virtual_time(run)


def _assert_versions_increase(fleet: Fleet) -> None:
    for running in fleet.running.values():
        newest: dict[str, int] = {}
        for stored in running.applied:
            assert stored.version > newest.get(stored.path, 0)
            newest[stored.path] = stored.version


@pytest.mark.parametrize("instances_per_zone", [1, 3, 9])
def test_changes_and_deletions_converge_within_limit(instances_per_zone: int) -> None:
    async def scenario(fleet: Fleet) -> None:
        for state in (ObjectState.PRESENT, ObjectState.DELETED, ObjectState.PRESENT):
            version = fleet.write_setting(PATH, state)
            assert await fleet.wait_until_converged(PATH, version, CONVERGENCE_LIMIT_S)

    run_fleet(scenario, instances_per_zone)


def test_platform_calls_are_limited_to_two_readers_per_zone() -> None:
    async def scenario(fleet: Fleet) -> None:
        before = fleet.store.calls
        await anyio.sleep(60.0)
        # Two readers per zone list machines once a second and watch objects.
        assert fleet.store.calls - before < 60 * 2 * len(ZONES) * 1.5

    run_fleet(scenario, 9)


def test_zone_without_platform_receives_changes_from_other_zones() -> None:
    async def scenario(fleet: Fleet) -> None:
        fleet.links.zones_without_platform.add(ZoneId("osijek-a"))
        version = fleet.write_setting(PATH)
        assert await fleet.wait_until_converged(PATH, version, CONVERGENCE_LIMIT_S)

    run_fleet(scenario)


def test_isolated_zone_converges_after_reconnection() -> None:
    async def scenario(fleet: Fleet) -> None:
        fleet.links.zones_without_platform.add(ZoneId("osijek-a"))
        fleet.links.split_zone_pairs.add(frozenset(map(ZoneId, ZONES)))
        version = fleet.write_setting(PATH, ObjectState.DELETED)
        assert not await fleet.wait_until_converged(PATH, version, 600.0)
        assert all(node.is_ready for node in fleet.nodes())
        states = {
            m.state for n in fleet.nodes() for m in n.membership.present_members()
        }
        assert states == {InstanceState.LIVE}
        fleet.links.zones_without_platform.clear()
        fleet.links.split_zone_pairs.clear()
        assert await fleet.wait_until_converged(PATH, version, CONVERGENCE_LIMIT_S)

    run_fleet(scenario)


def test_restart_during_outage_syncs_from_peers() -> None:
    async def scenario(fleet: Fleet) -> None:
        version = fleet.write_setting(PATH)
        await fleet.wait_until_converged(PATH, version, CONVERGENCE_LIMIT_S)
        fleet.store.is_down = True
        fleet.kill("split-a-0")
        started = fleet.start("split-a-0", "split-a", ("split-a-1", "osijek-a-0"))
        assert not started.is_ready
        assert await fleet.wait_until_converged(PATH, version, CONVERGENCE_LIMIT_S)
        await anyio.sleep(3.0)
        assert started.is_ready
        assert started.settings_version >= version

    run_fleet(scenario)


def test_start_without_source_waits_and_reports_blocker() -> None:
    async def scenario(fleet: Fleet) -> None:
        fleet.store.is_down = True
        started = fleet.start("split-a-new", "split-a")
        await anyio.sleep(60.0)
        assert started.startup_blocker() is StartupBlocker.SETTINGS_SOURCE
        fleet.store.is_down = False
        await anyio.sleep(10.0)
        assert started.is_ready

    run_fleet(scenario)


def test_all_instances_of_a_zone_replaced_at_once() -> None:
    async def scenario(fleet: Fleet) -> None:
        for index in range(3):
            fleet.kill(f"osijek-a-{index}")
        for index in range(3):
            fleet.start(f"osijek-a-new-{index}", "osijek-a")
        version = fleet.write_setting(PATH)
        assert await fleet.wait_until_converged(PATH, version, CONVERGENCE_LIMIT_S)
        await anyio.sleep(30.0)
        node = fleet.nodes()[0]
        replaced_member = node.membership.get(InstanceId("osijek-a-0"))
        assert replaced_member is not None
        assert replaced_member.state is InstanceState.GONE

    run_fleet(scenario)


def test_leaving_state_reaches_all_instances() -> None:
    async def scenario(fleet: Fleet) -> None:
        leaving_node = fleet.running[InstanceId("split-a-1")].node
        leaving_node.publish_state(InstanceState.LEAVING)
        await anyio.sleep(CONVERGENCE_LIMIT_S)
        for node in fleet.nodes():
            member = node.membership.get(InstanceId("split-a-1"))
            assert member is not None
            assert member.state is InstanceState.LEAVING

    run_fleet(scenario)


def test_restarted_instance_is_a_new_incarnation() -> None:
    async def scenario(fleet: Fleet) -> None:
        before = fleet.running[InstanceId("split-a-1")].node.own_member
        fleet.kill("split-a-1")
        after = fleet.start("split-a-1", "split-a").own_member
        await anyio.sleep(20.0)
        assert after.incarnation > before.incarnation
        for node in fleet.nodes():
            member = node.membership.get(InstanceId("split-a-1"))
            assert member is not None
            assert member.incarnation == after.incarnation
            assert member.state is InstanceState.LIVE

    run_fleet(scenario)


def test_silent_connections_are_replaced() -> None:
    async def scenario(fleet: Fleet) -> None:
        fleet.links.zones_without_platform.update(map(ZoneId, ZONES))
        fleet.links.silent_connections.update(range(fleet.connections + 1))
        fleet.links.zones_without_platform.discard(ZoneId("split-a"))
        version = fleet.write_setting(PATH)
        assert await fleet.wait_until_converged(PATH, version, CONVERGENCE_LIMIT_S)
        await anyio.sleep(10.0)
        states = {
            m.state for n in fleet.nodes() for m in n.membership.present_members()
        }
        assert states == {InstanceState.LIVE}

    run_fleet(scenario)


def test_zone_status_is_written_and_survives_outage() -> None:
    async def scenario(fleet: Fleet) -> None:
        version = fleet.write_setting(PATH)
        await anyio.sleep(60.0)
        store = fleet.store.as_store()
        status = (await read_fleet_status(store, version)).unwrap()
        assert {zone.zone for zone in status.zones} == set(ZONES)
        assert [zone.count(ApplyStatus.APPLIED) for zone in status.zones] == [3, 3]
        fleet.store.is_down = True
        await anyio.sleep(600.0)
        fleet.store.is_down = False
        await anyio.sleep(60.0)
        status = (await read_fleet_status(store)).unwrap()
        assert [zone.count(ApplyStatus.APPLIED) for zone in status.zones] == [3, 3]

    run_fleet(scenario)
