"""Reading a store that may come back from an older copy of its data.

Such a store assigns the revisions that follow the copy once more, for other changes. It
states the era of its data, which increases each time, so only an era and a revision
together tell what the store had.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import NewType

from returns.result import Result

from tanagercourse.core.ids import ObjectPath
from tanagercourse.core.problems import Problem
from tanagercourse.platform.store import (
    Malformed,
    NotFound,
    ObjectState,
    Unavailable,
)

Era = NewType("Era", int)
Revision = NewType("Revision", int)

# Era of a store that never stated one.
ONLY_ERA = Era(0)


@dataclass(frozen=True, order=True, slots=True)
class StoreVersion:
    """A version of the store's data.

    Versions of one era are ordered by revision. A later era replaces all earlier ones,
    whatever their revisions.
    """

    era: Era
    revision: Revision


# Before the first version of any store.
NO_STORE_VERSION = StoreVersion(ONLY_ERA, Revision(0))


@dataclass(frozen=True, slots=True)
class VersionedObject:
    """An object at one version.

    Attributes:
        path: Path of the object.
        version: Version of the object's last change.
        value: Content of the object.
        state: PRESENT, or DELETED for a deletion.
    """

    path: ObjectPath
    version: StoreVersion
    value: bytes
    state: ObjectState = ObjectState.PRESENT


@dataclass(frozen=True, slots=True)
class VersionedListing:
    """Objects under a prefix, all of one era.

    Attributes:
        objects: The objects.
        version: The store's version at the time of the read.
    """

    objects: tuple[VersionedObject, ...]
    version: StoreVersion


@dataclass(frozen=True)
class HistoryLost(Problem):
    """The changes after a version can't be read; a new listing is needed.

    Either they are no longer retained, or the store came back from an older copy.
    """

    path: ObjectPath
    after: StoreVersion

    def describe(self) -> str:
        """Return the version after which changes are lost as one line."""
        return (
            f"{self.path}: the platform has no history of changes after revision "
            f"{self.after.revision} of era {self.after.era}"
        )


ReadProblem = NotFound | Unavailable | Malformed | HistoryLost

ListObjects = Callable[[ObjectPath], Awaitable[Result[VersionedListing, ReadProblem]]]
# Waits for changes under a prefix after a version, at most for the given seconds.
WatchObjects = Callable[
    [ObjectPath, StoreVersion, float], Awaitable[Result[VersionedListing, ReadProblem]]
]
