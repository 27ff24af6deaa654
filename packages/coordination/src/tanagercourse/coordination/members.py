"""Members: entry instances as their peers see them, spread like any other object.

A member's record is a soft object: it lives in the replicas alone and never in the
platform. Its version orders what is said of an instance: a later incarnation beats
an earlier one, the instance's own newer revision beats what others said of an older
one, and within a revision the graver state stands.
"""

from collections.abc import Callable
from dataclasses import dataclass, replace

import msgspec
from returns.result import Failure, Result, Success

from tanagercourse.coordination.replica import SOFT
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

MEMBERS_PREFIX = ObjectPath(SOFT + "members/")
# Prefix of the records with which instances register in the platform.
REGISTRATIONS_PREFIX = ObjectPath("/system/instances/")

REVISION_BITS = 18
STATE_BITS = 2
GRAVITY = {
    InstanceState.LIVE: 0,
    InstanceState.SUSPECTED: 1,
    InstanceState.LEAVING: 2,
    InstanceState.GONE: 3,
}


@dataclass(frozen=True)
class Address:
    """Where an instance listens for its peers."""

    host: str
    port: int


@dataclass(frozen=True)
class Member:
    """An entry instance at one revision of its record.

    Attributes:
        instance: Its id.
        zone: Its availability zone.
        address: Where it listens for its peers.
        incarnation: Grows with each start, also at the same address.
        revision: Grows when the instance itself speaks up again.
        state: What is said of it.
        caller_port: Where it listens for callers, at the same host; 0 when nowhere.
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
        """Return the version that orders what is said of one instance."""
        revised = (self.incarnation << REVISION_BITS) | self.revision
        return Version((revised << STATE_BITS) | GRAVITY[self.state])


def member_to_object(member: Member, path: ObjectPath | None = None) -> StoredObject:
    """Return a member's record as a soft object, or as an object at another path."""
    value = msgspec.json.encode(member)
    at = path or member_path(member.instance)
    return StoredObject(at, member.version, value, WriterId(member.instance))


def member_from_object(stored: StoredObject) -> Result[Member, Malformed]:
    """Return the member that an object tells of."""
    try:
        return Success(msgspec.json.decode(stored.value, type=Member))
    except msgspec.MsgspecError as error:
        return Failure(Malformed(stored.path, str(error)))


def member_path(instance: InstanceId) -> ObjectPath:
    """Return the path of an instance's record among the soft objects."""
    return ObjectPath(MEMBERS_PREFIX + instance)


def registration_path(instance: InstanceId) -> ObjectPath:
    """Return the path under which an instance registers in the platform."""
    return ObjectPath(REGISTRATIONS_PREFIX + instance)


def refute(said: Member, own: Member) -> Member:
    """Return an instance's own record, set above what others say of it.

    Args:
        said: A record of this instance that is newer than its own.
        own: Its own record.
    """
    if said.incarnation > own.incarnation:
        return replace(own, incarnation=Incarnation(said.incarnation + 1), revision=0)
    return replace(own, revision=said.revision + 1)


# Called with each record that changes what is known of an instance.
OnMember = Callable[[Member], None]


class Membership:
    """Every instance that was heard of, by id, with its newest record.

    Attributes:
        changes: Counts the records noted.
    """

    def __init__(self, on_member: OnMember = lambda member: None) -> None:
        self._on_member = on_member
        self.changes = 0
        self._members: dict[InstanceId, Member] = {}
        self._zones: dict[ZoneId, dict[InstanceId, Member]] = {}

    def note(self, member: Member) -> None:
        """Take the newest record of an instance."""
        before = self._members.get(member.instance)
        if before is not None:
            self._zones[before.zone].pop(member.instance, None)
        self._members[member.instance] = member
        if member.state is not InstanceState.GONE:
            self._zones.setdefault(member.zone, {})[member.instance] = member
        self.changes += 1
        self._on_member(member)

    def get(self, instance: InstanceId) -> Member | None:
        """Return what is known of an instance, None when nothing is."""
        return self._members.get(instance)

    def present_members(self) -> list[Member]:
        """Return the members that are not gone."""
        return [member for zone in self._zones.values() for member in zone.values()]

    def in_zone(self, zone: ZoneId) -> list[Member]:
        """Return the members of an availability zone that are not gone."""
        return list(self._zones.get(zone, {}).values())
