"""In-memory store with configurable faults, and a manually advanced clock."""

from dataclasses import dataclass, field

from returns.result import Failure, Result, Success

from tanagercourse.core.ids import ObjectPath, Version
from tanagercourse.platform.store import (
    Listing,
    Machine,
    Store,
    StoredObject,
    StoreProblem,
    Unavailable,
    Update,
)
from tanagercourse.testing.objects import MemoryObjects


@dataclass
class ManualClock:
    """A monotonic clock that a test advances, in seconds."""

    now_s: float = 100.0

    def __call__(self) -> float:
        """Return the time, in seconds."""
        return self.now_s


@dataclass
class FakeStore:
    """The platform's store in memory.

    Attributes:
        objects: Objects and machines of the platform.
        is_down: Whether every call fails.
        replies_to_lose: Number of next updates that are handled but fail with a lost
            reply.
        calls: Number of calls so far.
    """

    objects: MemoryObjects = field(default_factory=MemoryObjects)
    is_down: bool = False
    replies_to_lose: int = 0
    calls: int = 0

    def as_store(self) -> Store:
        """Return the calls of this store as a `Store`."""
        return Store(
            self._read, self._list, self._write, self._watch, self._list_machines
        )

    def _check_availability(self, path: ObjectPath) -> Failure[Unavailable] | None:
        self.calls += 1
        return Failure(Unavailable(path, "down")) if self.is_down else None

    async def _read(self, path: ObjectPath) -> Result[StoredObject, StoreProblem]:
        return self._check_availability(path) or self.objects.read(path)

    async def _list(self, prefix: ObjectPath) -> Result[Listing, StoreProblem]:
        return self._check_availability(prefix) or Success(
            self.objects.changes(prefix, Version(0))
        )

    async def _write(self, update: Update) -> Result[StoredObject, StoreProblem]:
        failure = self._check_availability(update.path)
        if failure is not None:
            return failure
        written = self.objects.write(update)
        if self.replies_to_lose:
            self.replies_to_lose -= 1
            return Failure(Unavailable(update.path, "reply lost"))
        return written

    async def _watch(
        self, prefix: ObjectPath, after: Version, wait_s: float
    ) -> Result[Listing, StoreProblem]:
        failure = self._check_availability(prefix)
        if failure is not None:
            return failure
        return Success(await self.objects.wait_for_changes(prefix, after, wait_s))

    async def _list_machines(self) -> Result[tuple[Machine, ...], StoreProblem]:
        path = ObjectPath("/machines")
        return self._check_availability(path) or Success(
            tuple(self.objects.machines.values())
        )
