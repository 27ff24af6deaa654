"""The objects and machines that the stand-in platform keeps in memory."""

import anyio
from returns.result import Failure, Result, Success

from tanagercourse.core.ids import NO_VERSION, ObjectPath, Version
from tanagercourse.platform.store import (
    Conflict,
    Listing,
    Machine,
    NotFound,
    ObjectState,
    StoredObject,
    Update,
)


class MemoryObjects:
    """Versioned objects with conditional updates, and a list of machines."""

    def __init__(self) -> None:
        self.version = NO_VERSION
        self.machines: dict[str, Machine] = {}
        self._objects: dict[ObjectPath, StoredObject] = {}
        self._changed = anyio.Event()

    def read(self, path: ObjectPath) -> Result[StoredObject, NotFound]:
        """Return an object that is present."""
        found = self._objects.get(path)
        if found is None or found.state is ObjectState.DELETED:
            return Failure(NotFound(path))
        return Success(found)

    def version_of(self, path: ObjectPath) -> Version:
        """Return the version of an object that is present, or 0."""
        found = self.read(path)
        return NO_VERSION if isinstance(found, Failure) else found.unwrap().version

    def changes(self, prefix: ObjectPath, after: Version) -> Listing:
        """Return objects and deletions under a prefix past a version, in order."""
        found = [
            stored
            for path, stored in self._objects.items()
            if path.startswith(prefix) and stored.version > after
        ]
        found.sort(key=lambda stored: stored.version)
        return Listing(tuple(found), self.version)

    def write(self, update: Update) -> Result[StoredObject, Conflict]:
        """Write or delete when the object has the expected version."""
        found = self.read(update.path).value_or(None)
        current = found.version if found else NO_VERSION
        if current != update.expected:
            return Failure(Conflict(update.path, update.expected, found))
        self.version = Version(self.version + 1)
        value = update.value if update.state is ObjectState.PRESENT else b""
        stored = StoredObject(
            update.path, self.version, value, update.writer, update.state
        )
        self._objects[update.path] = stored
        self._changed.set()
        self._changed = anyio.Event()
        return Success(stored)

    async def wait_for_changes(
        self, prefix: ObjectPath, after: Version, wait_s: float
    ) -> Listing:
        """Return changes past a version, waiting for some at most so long."""
        with anyio.move_on_after(wait_s):
            while not self.changes(prefix, after).objects:
                await self._changed.wait()
        return self.changes(prefix, after)
