"""Active settings version of each instance, aggregated per availability zone.

The holder of a zone's lease writes one object for its zone, and operators' tools read
all of these objects with one call. The last object of a zone that loses contact with
the platform remains there, so it includes the writer's wall-clock time, which is only
used to show ages.
"""

import time
import uuid
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, unique

import msgspec
from returns.result import Failure, Result, Success

from tanagercourse.core.ids import (
    NO_VERSION,
    FencingVersion,
    Incarnation,
    InstanceId,
    ObjectPath,
    Version,
    WriterId,
    ZoneId,
)
from tanagercourse.core.states import InstanceState
from tanagercourse.platform.store import (
    NotFound,
    ObjectState,
    Store,
    StoredObject,
    StoreProblem,
    Update,
)
from tanagercourse.platform.update import UpdateProblem, settle_update

ZONE_STATUS_PREFIX = ObjectPath("/system/status/zones/")
# An instance whose last report is older than this counts as unreachable.
UNREACHABLE_AFTER_S = 60.0


@unique
class ApplyStatus(Enum):
    """Whether an instance has applied the newest settings version."""

    APPLIED = "in_force"
    LAGGING = "lagging"
    UNREACHABLE = "unreachable"


@dataclass(frozen=True)
class InstanceStatus:
    """Status of one instance in its zone's status object.

    Attributes:
        instance: Id of the instance.
        state: State of the instance in the view of the zone's writer.
        incarnation: Increases with each start.
        version: Active settings version of the instance.
        heard_age_s: Age of the instance's last report when the object was written, in
            seconds.
    """

    instance: InstanceId
    state: InstanceState
    incarnation: Incarnation
    version: Version
    heard_age_s: float


@dataclass(frozen=True)
class ZoneStatus:
    """Status of one availability zone as written by the holder of its lease.

    Attributes:
        zone: The availability zone.
        writer: The instance that holds the zone's lease.
        fence: Fencing version of the lease.
        settings_version: The newest settings version of the writer.
        written_unix_s: Wall-clock time of the writer, in seconds; only for ages.
        instances: Every instance of the zone that is not gone.
    """

    zone: ZoneId
    writer: InstanceId
    fence: FencingVersion
    settings_version: Version
    written_unix_s: float
    instances: tuple[InstanceStatus, ...]


@dataclass(frozen=True)
class InstanceApplyStatus:
    """Apply status of the newest settings at one instance.

    Attributes:
        status: The instance's entry in its zone's status object.
        reach: Whether the newest settings are active at the instance.
        lag_versions: Number of store versions by which the instance is behind.
        heard_age_s: Age of the instance's last report to its zone's writer, in seconds.
    """

    status: InstanceStatus
    reach: ApplyStatus
    lag_versions: int
    heard_age_s: float


@dataclass(frozen=True)
class ZoneApplyStatus:
    """Apply status of the newest settings in one availability zone.

    Attributes:
        zone: The availability zone.
        written_version: The platform's version of the zone's status object.
        writer: The instance that wrote the object.
        age_s: Age of the object, in seconds.
        instances: Apply status of each instance of the zone.
    """

    zone: ZoneId
    written_version: Version
    writer: InstanceId
    age_s: float
    instances: tuple[InstanceApplyStatus, ...]

    def count(self, apply_status: ApplyStatus) -> int:
        """Return the number of the zone's instances with the given apply status."""
        return sum(instance.reach is apply_status for instance in self.instances)


@dataclass(frozen=True)
class FleetStatus:
    """Apply status of all zones.

    Attributes:
        settings_version: The newest settings version, to which zones are compared.
        zones: Apply status of every zone with a readable status object.
        unreadable: Paths of the status objects that can't be decoded.
    """

    settings_version: Version
    zones: tuple[ZoneApplyStatus, ...]
    unreadable: tuple[ObjectPath, ...] = ()


async def read_fleet_status(
    store: Store,
    settings_version: Version = NO_VERSION,
    now_unix_s: Callable[[], float] = time.time,
) -> Result[FleetStatus, StoreProblem]:
    """Read every zone's status with one call.

    Args:
        store: The platform.
        settings_version: The newest settings version known to the caller, such as
            the version of its own change; 0 to compare with the newest version that
            any zone reports.
        now_unix_s: Returns the wall-clock time, in seconds.

    Returns:
        The fleet's status, or the problem of the platform.
    """
    listed = await store.list_all(ZONE_STATUS_PREFIX)
    if isinstance(listed, Failure):
        return listed
    zones: list[tuple[StoredObject, ZoneStatus]] = []
    unreadable: list[ObjectPath] = []
    for stored in listed.unwrap().objects:
        if stored.state is ObjectState.DELETED:
            continue
        try:
            zones.append((stored, decode_zone_status(stored)))
        except msgspec.MsgspecError:
            unreadable.append(stored.path)
    zone_versions = (zone.settings_version for _, zone in zones)
    newest_version = max(zone_versions, default=NO_VERSION)
    newest_version = max(newest_version, settings_version)
    now_s = now_unix_s()
    zone_apply_statuses = tuple(
        _zone_apply_status(stored, zone, newest_version, now_s)
        for stored, zone in zones
    )
    return Success(FleetStatus(newest_version, zone_apply_statuses, tuple(unreadable)))


async def write_zone_status(
    store: Store, status: ZoneStatus
) -> Result[StoredObject, UpdateProblem]:
    """Write a zone's status unless a newer holder of its lease has written one.

    Returns:
        The object as written here or by the newer holder, or why the read or the
        write failed.
    """
    path = ObjectPath(ZONE_STATUS_PREFIX + status.zone)
    read = await store.read(path)
    expected = NO_VERSION
    if not isinstance(read, Failure):
        found = read.unwrap()
        expected = found.version
        if _is_newer_fence(found, status.fence):
            return Success(found)
    elif not isinstance(read.failure(), NotFound):
        return Failure(read.failure())
    value = msgspec.json.encode(status)
    writer = WriterId(uuid.uuid4().hex)
    return await settle_update(store, Update(path, expected, value, writer))


def decode_zone_status(stored: StoredObject) -> ZoneStatus:
    """Decode a zone's status.

    Raises:
        msgspec.MsgspecError: The value is not a zone's status.
    """
    return msgspec.json.decode(stored.value, type=ZoneStatus)


def _is_newer_fence(found: StoredObject, fence: FencingVersion) -> bool:
    try:
        return decode_zone_status(found).fence > fence
    except msgspec.MsgspecError:
        return False


def _zone_apply_status(
    stored: StoredObject, zone: ZoneStatus, newest_version: Version, now_unix_s: float
) -> ZoneApplyStatus:
    age_s = max(0.0, now_unix_s - zone.written_unix_s)
    instances = tuple(
        _instance_apply_status(instance, newest_version, age_s)
        for instance in zone.instances
    )
    return ZoneApplyStatus(zone.zone, stored.version, zone.writer, age_s, instances)


def _instance_apply_status(
    status: InstanceStatus, newest_version: Version, zone_age_s: float
) -> InstanceApplyStatus:
    lag_versions = max(0, newest_version - status.version)
    heard_age_s = zone_age_s + status.heard_age_s
    is_suspected_or_gone = status.state in (InstanceState.SUSPECTED, InstanceState.GONE)
    if is_suspected_or_gone or heard_age_s > UNREACHABLE_AFTER_S:
        reach = ApplyStatus.UNREACHABLE
    else:
        reach = ApplyStatus.LAGGING if lag_versions else ApplyStatus.APPLIED
    return InstanceApplyStatus(status, reach, lag_versions, heard_age_s)
