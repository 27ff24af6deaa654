"""Zones' status: rolled up, fenced, and read with ages."""

import pytest

from tanagercourse.coordination.status import (
    ZONE_STATUS_PREFIX,
    ApplyStatus,
    InstanceStatus,
    ZoneStatus,
    read_fleet_status,
    write_zone,
)
from tanagercourse.core.ids import (
    FencingVersion,
    Incarnation,
    InstanceId,
    ObjectPath,
    Version,
    WriterId,
    ZoneId,
)
from tanagercourse.core.states import InstanceState
from tanagercourse.platform.store import Update
from tanagercourse.testing.stores import FakeStore

pytestmark = pytest.mark.anyio


def zone_status(fence: int, *versions: int) -> ZoneStatus:
    """Return the status of a zone whose newest settings version is 9."""
    instances = tuple(
        InstanceStatus(
            InstanceId(f"e{index}"),
            InstanceState.LIVE if version else InstanceState.SUSPECTED,
            Incarnation(1),
            Version(version),
            2.0,
        )
        for index, version in enumerate(versions)
    )
    zone, writer = ZoneId("split-a"), InstanceId("e0")
    return ZoneStatus(
        zone, writer, FencingVersion(fence), Version(9), 1_000.0, instances
    )


async def test_status_tells_in_force_lagging_and_unreachable(
    fake_store: FakeStore,
) -> None:
    store = fake_store.port()
    await write_zone(store, zone_status(1, 9, 7, 0))
    fleet = (await read_fleet_status(store, now_unix_s=lambda: 1_003.0)).unwrap()
    zone = fleet.zones[0]
    reaches = [instance.reach for instance in zone.instances]
    assert reaches == [
        ApplyStatus.APPLIED,
        ApplyStatus.LAGGING,
        ApplyStatus.UNREACHABLE,
    ]
    assert zone.instances[1].lag_versions == 2
    assert zone.instances[0].heard_age_s == 5.0
    later = (await read_fleet_status(store, now_unix_s=lambda: 1_100.0)).unwrap()
    assert later.zones[0].count(ApplyStatus.UNREACHABLE) == 3


async def test_newer_change_than_any_zone_knows_is_lagging(
    fake_store: FakeStore,
) -> None:
    store = fake_store.port()
    await write_zone(store, zone_status(1, 9))
    read = await read_fleet_status(store, Version(12), lambda: 1_000.0)
    assert read.unwrap().zones[0].count(ApplyStatus.LAGGING) == 1


async def test_older_holder_does_not_overwrite_a_newer_ones_status(
    fake_store: FakeStore,
) -> None:
    store = fake_store.port()
    await write_zone(store, zone_status(5, 9))
    await write_zone(store, zone_status(4, 1, 1))
    read = await read_fleet_status(store, now_unix_s=lambda: 1_000.0)
    assert len(read.unwrap().zones[0].instances) == 1


async def test_unreadable_status_is_named(fake_store: FakeStore) -> None:
    path = ObjectPath(ZONE_STATUS_PREFIX + "gospic-a")
    fake_store.objects.write(Update(path, Version(0), b"{", WriterId("w")))
    assert (await read_fleet_status(fake_store.port())).unwrap().unreadable == (path,)
