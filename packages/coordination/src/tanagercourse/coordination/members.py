"""Member records of entry instances, gossiped like any other object.

A member record is a soft-state object: replicas hold it and the platform never does.
Its version orders conflicting records of an instance: a later incarnation supersedes
an earlier one, a newer revision by the instance itself supersedes what peers reported
on an older one, and within a revision the state of higher precedence wins.
"""

from collections.abc import Callable
from dataclasses import dataclass, replace

import msgspec
from returns.result import Failure, Result, Success

from tanagercourse.coordination.replica import SOFT_STATE_PREFIX
from tanagercourse.core.ids import (
    Incarnation,
    InstanceId,
    ObjectPath,
    Version,
    WriterId,
    ZoneId,
)
from tanagercourse.core.states import InstanceState
from tanagercourse.platform.store import Malformed, StoredObject

MEMBERS_PREFIX = ObjectPath(SOFT_STATE_PREFIX + "members/")
# Prefix of the objects with which instances register in the platform.
REGISTRATIONS_PREFIX = ObjectPath("/system/instances/")

# Widths of the low parts of a member's version; the incarnation is above them.
REVISION_BITS = 18
STATE_BITS = 2
STATE_PRECEDENCE = {
    InstanceState.LIVE: 0,
    InstanceState.SUSPECTED: 1,
    InstanceState.LEAVING: 2,
    InstanceState.GONE: 3,
}


@dataclass(frozen=True)
class Address:
    """Host and port where an instance listens for peers."""

    host: str
    port: int


@dataclass(frozen=True)
class Member:
    """An entry instance at one revision of its record.

    Attributes:
        instance: Id of the instance.
        zone: Availability zone of the instance.
        address: Where the instance listens for peers.
        incarnation: Increases with each start, also at the same address.
        revision: Increases when the instance itself publishes a new record.
        state: State of the instance as last published by itself or by a peer.
        caller_port: Port for callers, on the same host; 0 if it accepts no callers.
    """

    instance: InstanceId
    zone: ZoneId
    address: Address
    incarnation: Incarnation
    revision: int = 0
    state: InstanceState = InstanceState.LIVE
    caller_port: int = 0

    @property
    def version(self) -> Version:
        """Return the version that orders the records of one instance."""
        incarnation_and_revision = (self.incarnation << REVISION_BITS) | self.revision
        return Version(
            (incarnation_and_revision << STATE_BITS) | STATE_PRECEDENCE[self.state]
        )


def member_to_object(member: Member, path: ObjectPath | None = None) -> StoredObject:
    """Encode a member record as an object.

    Args:
        member: The record.
        path: Path of the object; the soft-state path of the instance by default.
    """
    value = msgspec.json.encode(member)
    object_path = path or member_path(member.instance)
    return StoredObject(object_path, member.version, value, WriterId(member.instance))


def member_from_object(stored: StoredObject) -> Result[Member, Malformed]:
    """Decode a member record; fails with `Malformed` if the value is not one."""
    try:
        return Success(msgspec.json.decode(stored.value, type=Member))
    except msgspec.MsgspecError as error:
        return Failure(Malformed(stored.path, str(error)))


def member_path(instance: InstanceId) -> ObjectPath:
    """Return the soft-state path of an instance's member record."""
    return ObjectPath(MEMBERS_PREFIX + instance)


def registration_path(instance: InstanceId) -> ObjectPath:
    """Return the path under which an instance registers in the platform."""
    return ObjectPath(REGISTRATIONS_PREFIX + instance)


def refute(observed: Member, current: Member) -> Member:
    """Return an instance's own record, with a version above that of a peer's record.

    Args:
        observed: A record of this instance from a peer, newer than its own.
        current: The instance's own record.
    """
    if observed.incarnation > current.incarnation:
        return replace(
            current, incarnation=Incarnation(observed.incarnation + 1), revision=0
        )
    return replace(current, revision=observed.revision + 1)


# Called with each member record that `Membership` stores.
OnMember = Callable[[Member], None]


class Membership:
    """The newest member record of every instance, by id.

    Attributes:
        change_count: Number of records stored so far.
    """

    def __init__(self, on_member: OnMember = lambda member: None) -> None:
        self._on_member = on_member
        self.change_count = 0
        self._members: dict[InstanceId, Member] = {}
        self._zones: dict[ZoneId, dict[InstanceId, Member]] = {}

    def update(self, member: Member) -> None:
        """Store a record, which has to be the newest of its instance."""
        previous = self._members.get(member.instance)
        if previous is not None:
            self._zones[previous.zone].pop(member.instance, None)
        self._members[member.instance] = member
        if member.state is not InstanceState.GONE:
            self._zones.setdefault(member.zone, {})[member.instance] = member
        self.change_count += 1
        self._on_member(member)

    def get(self, instance: InstanceId) -> Member | None:
        """Return the newest record of an instance, None if it is unknown."""
        return self._members.get(instance)

    def present_members(self) -> list[Member]:
        """Return the members of all zones that are not gone."""
        return [member for zone in self._zones.values() for member in zone.values()]

    def in_zone(self, zone: ZoneId) -> list[Member]:
        """Return the members of an availability zone that are not gone."""
        return list(self._zones.get(zone, {}).values())
