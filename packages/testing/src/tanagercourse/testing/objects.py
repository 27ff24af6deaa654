"""Objects and machines that the fake platform stores in memory."""

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
    """Versioned objects with conditional updates, and the registered machines.

    Attributes:
        version: Version of the latest write.
        machines: Registered machines by id.
    """

    def __init__(self) -> None:
        self.version = NO_VERSION
        self.machines: dict[str, Machine] = {}
        self._objects: dict[ObjectPath, StoredObject] = {}
        self._changed = anyio.Event()

    def read(self, path: ObjectPath) -> Result[StoredObject, NotFound]:
        """Return an object unless it is missing or deleted."""
        stored = self._objects.get(path)
        if stored is None or stored.state is ObjectState.DELETED:
            return Failure(NotFound(path))
        return Success(stored)

    def version_of(self, path: ObjectPath) -> Version:
        """Return the version of an object, or 0 if it is missing or deleted."""
        stored = self.read(path)
        return NO_VERSION if isinstance(stored, Failure) else stored.unwrap().version

    def changes(self, prefix: ObjectPath, after: Version) -> Listing:
        """Return the latest write of each object changed after a version, in order."""
        changed = [
            stored
            for path, stored in self._objects.items()
            if path.startswith(prefix) and stored.version > after
        ]
        changed.sort(key=lambda stored: stored.version)
        return Listing(tuple(changed), self.version)

    def write(self, update: Update) -> Result[StoredObject, Conflict]:
        """Write or delete an object if it has the expected version."""
        current = self.read(update.path).value_or(None)
        current_version = current.version if current else NO_VERSION
        if current_version != update.expected:
            return Failure(Conflict(update.path, update.expected, current))
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
        """Wait up to `wait_s` seconds for a change, and return the changes."""
        with anyio.move_on_after(wait_s):
            while not self.changes(prefix, after).objects:
                await self._changed.wait()
        return self.changes(prefix, after)
