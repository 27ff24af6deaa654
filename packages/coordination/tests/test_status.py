"""Zone status: aggregation, fencing and ages."""

import pytest

from tanagercourse.coordination.status import (
    ZONE_STATUS_PREFIX,
    ApplyStatus,
    InstanceStatus,
    ZoneStatus,
    read_fleet_status,
    write_zone_status,
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


def make_zone_status(fence: int, *versions: int) -> ZoneStatus:
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


async def test_status_is_applied_lagging_or_unreachable(
    fake_store: FakeStore,
) -> None:
    store = fake_store.as_store()
    await write_zone_status(store, make_zone_status(1, 9, 7, 0))
    fleet = (await read_fleet_status(store, now_unix_s=lambda: 1_003.0)).unwrap()
    zone = fleet.zones[0]
    apply_statuses = [instance.reach for instance in zone.instances]
    assert apply_statuses == [
        ApplyStatus.APPLIED,
        ApplyStatus.LAGGING,
        ApplyStatus.UNREACHABLE,
    ]
    assert zone.instances[1].lag_versions == 2
    assert zone.instances[0].heard_age_s == 5.0
    later_fleet = (await read_fleet_status(store, now_unix_s=lambda: 1_100.0)).unwrap()
    assert later_fleet.zones[0].count(ApplyStatus.UNREACHABLE) == 3


async def test_version_newer_than_any_zone_reports_is_lagging(
    fake_store: FakeStore,
) -> None:
    store = fake_store.as_store()
    await write_zone_status(store, make_zone_status(1, 9))
    read_result = await read_fleet_status(store, Version(12), lambda: 1_000.0)
    assert read_result.unwrap().zones[0].count(ApplyStatus.LAGGING) == 1


async def test_older_holder_does_not_overwrite_status_of_newer_holder(
    fake_store: FakeStore,
) -> None:
    store = fake_store.as_store()
    await write_zone_status(store, make_zone_status(5, 9))
    await write_zone_status(store, make_zone_status(4, 1, 1))
    read_result = await read_fleet_status(store, now_unix_s=lambda: 1_000.0)
    assert len(read_result.unwrap().zones[0].instances) == 1


async def test_undecodable_status_is_listed_as_unreadable(
    fake_store: FakeStore,
) -> None:
    path = ObjectPath(ZONE_STATUS_PREFIX + "gospic-a")
    fake_store.objects.write(Update(path, Version(0), b"{", WriterId("w")))
    assert (await read_fleet_status(fake_store.as_store())).unwrap().unreadable == (
        path,
    )
