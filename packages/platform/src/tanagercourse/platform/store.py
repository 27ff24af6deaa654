"""The platform's object API as a record of functions, independent of the transport.

A fake for tests is another record of functions. All objects share one version counter,
and a deletion leaves a marker with its own version, so that a reader can distinguish an
old write from a newer deletion.
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

# Size limit of the platform for one value.
MAX_VALUE_BYTES = 1_000_000


@unique
class ObjectState(Enum):
    """Whether an object exists or is a deletion marker."""

    PRESENT = "present"
    DELETED = "deleted"


@unique
class Presence(Enum):
    """State of a machine in the platform's list, which lags behind the actual state."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True)
class StoredObject:
    """An object at one version.

    Attributes:
        path: Path of the object.
        version: Version that the platform assigned to the write.
        value: Content of the object.
        writer: Id of the update that wrote this version.
        state: PRESENT, or DELETED for a deletion marker.
    """

    path: ObjectPath
    version: Version
    value: bytes
    writer: WriterId
    state: ObjectState = ObjectState.PRESENT


@dataclass(frozen=True)
class Listing:
    """Objects under a prefix, and the store's version at the time of the read."""

    objects: tuple[StoredObject, ...]
    version: Version


@dataclass(frozen=True)
class Update:
    """A conditional update.

    Attributes:
        path: The object to write.
        expected: Version that the object must have; 0 if it must not exist.
        value: The new value; ignored for a deletion.
        writer: Unique id of this update.
        state: PRESENT to write, DELETED to delete.
    """

    path: ObjectPath
    expected: Version
    value: bytes
    writer: WriterId
    state: ObjectState = ObjectState.PRESENT


@dataclass(frozen=True)
class Machine:
    """One entry of the platform's list of live and leaving machines."""

    id: InstanceId | UpstreamId
    host: str
    port: int
    zone: ZoneId
    presence: Presence


@dataclass(frozen=True)
class NotFound(Problem):
    """No object exists at this path."""

    path: ObjectPath

    def describe(self) -> str:
        """Return the path as one line."""
        return f"{self.path}: no object at this path"


@dataclass(frozen=True)
class Conflict(Problem):
    """The object's version differs from the expected one.

    Attributes:
        path: Path of the object.
        expected: The version that the update required.
        found: The current object, or None if it does not exist.
    """

    path: ObjectPath
    expected: Version
    found: StoredObject | None

    def describe(self) -> str:
        """Return the expected and the current version as one line."""
        current_version = self.found.version if self.found else "none"
        return f"{self.path}: expected version {self.expected}, found {current_version}"


@dataclass(frozen=True)
class Unavailable(Problem):
    """A call to the platform failed; an update may or may not have taken effect."""

    path: ObjectPath
    detail: str

    def describe(self) -> str:
        """Return the path and the cause as one line."""
        return f"{self.path}: the call to the platform failed ({self.detail})"


@dataclass(frozen=True)
class Malformed(Problem):
    """A response of the platform, or the value of an object, can't be decoded."""

    path: ObjectPath
    detail: str

    def describe(self) -> str:
        """Return the path and the decoding error as one line."""
        return f"{self.path}: can't be decoded ({self.detail})"


@dataclass(frozen=True)
class TooLarge(Problem):
    """A value exceeds the platform's size limit."""

    path: ObjectPath
    size_bytes: int
    limit_bytes: int = MAX_VALUE_BYTES

    def describe(self) -> str:
        """Return the size and the limit as one line."""
        return (
            f"{self.path}: value has {self.size_bytes} bytes; limit: {self.limit_bytes}"
        )


StoreProblem = NotFound | Conflict | Unavailable | Malformed | TooLarge

Read = Callable[[ObjectPath], Awaitable[Result[StoredObject, StoreProblem]]]
ListAll = Callable[[ObjectPath], Awaitable[Result[Listing, StoreProblem]]]
Write = Callable[[Update], Awaitable[Result[StoredObject, StoreProblem]]]
# Waits for changes under a prefix after a version, at most for the given seconds.
Watch = Callable[[ObjectPath, Version, float], Awaitable[Result[Listing, StoreProblem]]]
ListMachines = Callable[[], Awaitable[Result[tuple[Machine, ...], StoreProblem]]]


@dataclass(frozen=True)
class Store:
    """The platform's object API, with one function for each call."""

    read: Read
    list_all: ListAll
    write: Write
    watch: Watch
    list_machines: ListMachines
