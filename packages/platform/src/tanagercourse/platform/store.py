"""The platform's object API as a record of functions.

A fake is another record of functions: nothing here knows how a call travels.
Versions grow over all objects together, and a deletion leaves a marker with a
version of its own, so that a reader can tell an old write from a newer deletion.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import Enum, unique

from returns.result import Result

from tanagercourse.core.ids import (
    InstanceId,
    ObjectPath,
    UpstreamId,
    Version,
    WriterId,
    ZoneId,
)
from tanagercourse.core.problems import Problem

# The largest value that the platform takes, in bytes.
MAX_VALUE_BYTES = 1_000_000


@unique
class ObjectState(Enum):
    """Whether an object is there or was deleted."""

    PRESENT = "present"
    DELETED = "deleted"


@unique
class Presence(Enum):
    """What the platform's lagging list says of a machine."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True)
class StoredObject:
    """An object at one version."""

    path: ObjectPath
    version: Version
    value: bytes
    writer: WriterId
    state: ObjectState = ObjectState.PRESENT


@dataclass(frozen=True)
class Listing:
    """Objects under a prefix, and the store's version when they were read."""

    objects: tuple[StoredObject, ...]
    version: Version


@dataclass(frozen=True)
class Update:
    """A conditional update.

    Attributes:
        path: The object to write.
        expected: Its version now; 0 when it must not exist.
        value: The new value; ignored for a deletion.
        writer: Unique for this update.
        state: PRESENT to write, DELETED to delete.
    """

    path: ObjectPath
    expected: Version
    value: bytes
    writer: WriterId
    state: ObjectState = ObjectState.PRESENT


@dataclass(frozen=True)
class Machine:
    """One line of the platform's list of live and leaving machines."""

    id: InstanceId | UpstreamId
    host: str
    port: int
    zone: ZoneId
    presence: Presence


@dataclass(frozen=True)
class NotFound(Problem):
    """No object has this path."""

    path: ObjectPath

    def describe(self) -> str:
        """Tell a person that nothing is there."""
        return f"{self.path}: nothing is at this path"


@dataclass(frozen=True)
class Conflict(Problem):
    """The object's version was not the expected one.

    Attributes:
        expected: The version that the update was conditional on.
        found: The object now, or None when there is none.
    """

    path: ObjectPath
    expected: Version
    found: StoredObject | None

    def describe(self) -> str:
        """Tell a person both versions."""
        now = self.found.version if self.found else "none"
        return f"{self.path}: expected version {self.expected}, found {now}"


@dataclass(frozen=True)
class Unavailable(Problem):
    """The platform did not answer; an update may or may not have taken effect."""

    path: ObjectPath
    detail: str

    def describe(self) -> str:
        """Tell a person what was asked and what came instead of an answer."""
        return f"{self.path}: the platform did not answer ({self.detail})"


@dataclass(frozen=True)
class Malformed(Problem):
    """The platform's answer, or a value for it, can't be read."""

    path: ObjectPath
    detail: str

    def describe(self) -> str:
        """Tell a person what can't be read."""
        return f"{self.path}: can't be read ({self.detail})"


@dataclass(frozen=True)
class TooLarge(Problem):
    """A value is larger than the platform takes."""

    path: ObjectPath
    size_bytes: int
    limit_bytes: int = MAX_VALUE_BYTES

    def describe(self) -> str:
        """Tell a person both sizes."""
        return f"{self.path}: {self.size_bytes} bytes; at most {self.limit_bytes}"


@dataclass(frozen=True)
class HistoryLost(Problem):
    """Changes past a version are not known any more; only a new listing helps."""

    path: ObjectPath
    after: Version

    def describe(self) -> str:
        """Tell a person from which version on changes are missing."""
        return f"{self.path}: the platform forgot what changed since {self.after}"


StoreProblem = NotFound | Conflict | Unavailable | Malformed | TooLarge | HistoryLost

Read = Callable[[ObjectPath], Awaitable[Result[StoredObject, StoreProblem]]]
ListAll = Callable[[ObjectPath], Awaitable[Result[Listing, StoreProblem]]]
Write = Callable[[Update], Awaitable[Result[StoredObject, StoreProblem]]]
# Waits, at most for the given seconds, for changes past a version under a prefix.
Watch = Callable[[ObjectPath, Version, float], Awaitable[Result[Listing, StoreProblem]]]
ListMachines = Callable[[], Awaitable[Result[tuple[Machine, ...], StoreProblem]]]


@dataclass(frozen=True)
class Store:
    """The platform's object API: one function for each call."""

    read: Read
    list_all: ListAll
    write: Write
    watch: Watch
    list_machines: ListMachines
