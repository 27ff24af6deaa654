"""An instance's replica of the platform's settings: never back to an older version.

Deletions are kept as markers with their version, so that an old write that
arrives late finds the newer deletion. Objects are counted in buckets whose digests
two peers compare; a digest changes with each version that is applied.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

import xxhash

from tanagercourse.core.ids import NO_VERSION, ObjectPath, Version
from tanagercourse.platform.store import StoredObject

BUCKETS = 64
# Prefix of soft objects, which peers exchange and the platform never holds.
SOFT = ObjectPath("/peers/")

# Called with each object as it is applied.
OnApplied = Callable[[StoredObject], None]
Digests = tuple[int, ...]


@dataclass(frozen=True)
class Head:
    """An object's path and version, without its value."""

    path: ObjectPath
    version: Version


@dataclass(frozen=True)
class News:
    """Heads applied since a cursor, and the cursor to ask with next time."""

    heads: tuple[Head, ...]
    cursor: int


class Replica:
    """The newest version seen of each object, with digests and a cursor for news.

    Attributes:
        version: The newest version among the platform's objects.
        cursor: Counts the objects applied.
    """

    def __init__(self, on_applied: OnApplied = lambda stored: None) -> None:
        self.version = NO_VERSION
        self.cursor = 0
        self._on_applied = on_applied
        self._objects: dict[ObjectPath, StoredObject] = {}
        self._digests = [0] * BUCKETS
        self._paths: list[set[ObjectPath]] = [set() for _ in range(BUCKETS)]
        # In the order in which they were applied: the newest come last.
        self._applied: dict[ObjectPath, int] = {}

    def apply(self, stored: StoredObject) -> bool:
        """Take an object unless this version of it or a newer one is held.

        Args:
            stored: The object, or the marker of its deletion.

        Returns:
            Whether it was taken.
        """
        held = self.version_of(stored.path)
        if stored.version <= held:
            return False
        bucket = bucket_of(stored.path)
        self._paths[bucket].add(stored.path)
        self._digests[bucket] ^= _digest(Head(stored.path, held))
        self._digests[bucket] ^= _digest(Head(stored.path, stored.version))
        self._objects[stored.path] = stored
        if not stored.path.startswith(SOFT):
            self.version = max(self.version, stored.version)
        self.cursor += 1
        self._applied.pop(stored.path, None)
        self._applied[stored.path] = self.cursor
        self._on_applied(stored)
        return True

    def apply_all(self, objects: Iterable[StoredObject]) -> int:
        """Take what is newer among some objects; return how many were taken."""
        return sum(self.apply(stored) for stored in objects)

    def get(self, path: ObjectPath) -> StoredObject | None:
        """Return an object or the marker of its deletion, None when unknown."""
        return self._objects.get(path)

    def version_of(self, path: ObjectPath) -> Version:
        """Return the version held of an object, 0 when it is unknown."""
        held = self._objects.get(path)
        return held.version if held else NO_VERSION

    def under(self, prefix: str) -> tuple[StoredObject, ...]:
        """Return the objects and deletion markers under a prefix."""
        return tuple(
            held for path, held in self._objects.items() if path.startswith(prefix)
        )

    def is_newer(self, head: Head) -> bool:
        """Whether a head is newer than what is held."""
        return head.version > self.version_of(head.path)

    def news(self, cursor: int, limit: int) -> News:
        """Return what was applied after a cursor, the newest version of each object.

        Args:
            cursor: Where the last news ended; 0 for all.
            limit: The most heads to return.
        """
        fresh: list[ObjectPath] = []
        for path in reversed(self._applied):
            if self._applied[path] <= cursor:
                break
            fresh.append(path)
        told = fresh[::-1][:limit]
        heads = tuple(Head(path, self._objects[path].version) for path in told)
        return News(heads, self._applied[told[-1]] if told else self.cursor)

    def digests(self) -> Digests:
        """Return the digest of each bucket."""
        return tuple(self._digests)

    def root(self) -> int:
        """Return one digest of the whole replica."""
        packed = b"".join(digest.to_bytes(8, "big") for digest in self._digests)
        return xxhash.xxh3_64_intdigest(packed)

    def heads_apart(self, theirs: Digests) -> tuple[Head, ...]:
        """Return the heads in buckets whose digest differs from a peer's."""
        return tuple(
            Head(path, self._objects[path].version)
            for bucket, digest in enumerate(theirs)
            if digest != self._digests[bucket]
            for path in self._paths[bucket]
        )


def bucket_of(path: ObjectPath) -> int:
    """Return the bucket that a path is counted in."""
    return xxhash.xxh3_64_intdigest(path.encode()) % BUCKETS


def _digest(head: Head) -> int:
    if head.version == NO_VERSION:
        return 0
    return xxhash.xxh3_64_intdigest(f"{head.version} {head.path}".encode())
