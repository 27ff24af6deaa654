"""Which version each instance has in force, rolled up per availability zone.

The holder of a zone's lease writes one object for its zone; operators' tools read
them all with one call. A zone that is cut off from the platform leaves its last
object behind, so the writer's wall clock goes with it; it serves to show ages only.
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
# Older news of an instance than this says nothing of it now.
UNREACHABLE_AFTER_S = 60.0


@unique
class ApplyStatus(Enum):
    """How far a change has got at an instance."""

    APPLIED = "in_force"
    LAGGING = "lagging"
    UNREACHABLE = "unreachable"


@dataclass(frozen=True)
class InstanceStatus:
    """One instance, as its zone's writer last heard of it.

    Attributes:
        instance: Its id.
        state: Its state as the zone's writer sees it.
        incarnation: Grows with each start.
        version: The newest version that it has in force.
        heard_age_s: How long before the write its last report came, in seconds.
    """

    instance: InstanceId
    state: InstanceState
    incarnation: Incarnation
    version: Version
    heard_age_s: float


@dataclass(frozen=True)
class ZoneStatus:
    """One availability zone, as its writer put it.

    Attributes:
        zone: The availability zone.
        writer: The instance that holds the zone's lease.
        fence: The lease's fencing version.
        settings_version: The newest settings version the writer knew of.
        written_unix_s: The writer's wall clock, in seconds; for ages only.
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
    """How far the newest settings have got at one instance.

    Attributes:
        status: What its zone's writer said.
        reach: Whether it has the newest settings in force.
        lag_versions: How many of the store's versions it is behind; 0 in force.
        heard_age_s: How long ago its zone's writer last heard of it, in seconds.
    """

    status: InstanceStatus
    reach: ApplyStatus
    lag_versions: int
    heard_age_s: float


@dataclass(frozen=True)
class ZoneApplyStatus:
    """How far the newest settings have got in one availability zone.

    Attributes:
        zone: The availability zone.
        written_version: The platform's version of the zone's status.
        writer: Who wrote it.
        age_s: How long ago it was written, in seconds.
        instances: Each instance of the zone.
    """

    zone: ZoneId
    written_version: Version
    writer: InstanceId
    age_s: float
    instances: tuple[InstanceApplyStatus, ...]

    def count(self, reach: ApplyStatus) -> int:
        """Return how many of the zone's instances are so far."""
        return sum(instance.reach is reach for instance in self.instances)


@dataclass(frozen=True)
class FleetStatus:
    """All zones' status beside the newest settings that any of them knows.

    Attributes:
        settings_version: The newest settings version.
        zones: Every zone that has a status.
        unreadable: Paths of status objects that can't be read.
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
        settings_version: The newest settings version that the caller knows of, such
            as that of its own change; 0 to compare with the newest that zones know.
        now_unix_s: Reads the wall clock, in seconds.

    Returns:
        The fleet's status, or why the platform did not answer.
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
            zones.append((stored, decode_zone(stored)))
        except msgspec.MsgspecError:
            unreadable.append(stored.path)
    known = (zone.settings_version for _, zone in zones)
    newest = max(known, default=NO_VERSION)
    newest = max(newest, settings_version)
    now_s = now_unix_s()
    reached = tuple(_reach_of(stored, zone, newest, now_s) for stored, zone in zones)
    return Success(FleetStatus(newest, reached, tuple(unreadable)))


async def write_zone(
    store: Store, status: ZoneStatus
) -> Result[StoredObject, UpdateProblem]:
    """Write a zone's status, unless a newer holder of its lease has written one.

    Returns:
        The object as written, or as a newer holder left it; or why neither is known.
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


def decode_zone(stored: StoredObject) -> ZoneStatus:
    """Decode a zone's status.

    Raises:
        msgspec.MsgspecError: The value is not a zone's status.
    """
    return msgspec.json.decode(stored.value, type=ZoneStatus)


def _is_newer_fence(found: StoredObject, fence: FencingVersion) -> bool:
    try:
        return decode_zone(found).fence > fence
    except msgspec.MsgspecError:
        return False


def _reach_of(
    stored: StoredObject, zone: ZoneStatus, newest: Version, now_unix_s: float
) -> ZoneApplyStatus:
    age_s = max(0.0, now_unix_s - zone.written_unix_s)
    instances = tuple(_reach(instance, newest, age_s) for instance in zone.instances)
    return ZoneApplyStatus(zone.zone, stored.version, zone.writer, age_s, instances)


def _reach(
    status: InstanceStatus, newest: Version, zone_age_s: float
) -> InstanceApplyStatus:
    lag_versions = max(0, newest - status.version)
    heard_age_s = zone_age_s + status.heard_age_s
    unseen = status.state in (InstanceState.SUSPECTED, InstanceState.GONE)
    if unseen or heard_age_s > UNREACHABLE_AFTER_S:
        reach = ApplyStatus.UNREACHABLE
    else:
        reach = ApplyStatus.LAGGING if lag_versions else ApplyStatus.APPLIED
    return InstanceApplyStatus(status, reach, lag_versions, heard_age_s)
