"""An instance's replica of the platform's settings, with monotonic versions.

Deletions are stored as markers with a version, so that an old write that arrives
late does not undo a newer deletion. Objects are hashed into buckets, and two peers
compare the digests of the buckets; a digest changes with each version applied.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

import xxhash

from tanagercourse.core.ids import NO_VERSION, ObjectPath, Version
from tanagercourse.platform.store import StoredObject

BUCKET_COUNT = 64
# Prefix of soft-state objects, which peers exchange and the platform never holds.
SOFT_STATE_PREFIX = ObjectPath("/peers/")

# Called with each object that is applied.
OnApplied = Callable[[StoredObject], None]
Digests = tuple[int, ...]


@dataclass(frozen=True)
class Head:
    """An object's path and version, without its value."""

    path: ObjectPath
    version: Version


@dataclass(frozen=True)
class HeadDelta:
    """Heads applied after a cursor.

    Attributes:
        heads: The heads.
        cursor: The cursor to continue from.
    """

    heads: tuple[Head, ...]
    cursor: int


class Replica:
    """The newest version of each object, with digests and a change cursor.

    Attributes:
        version: The newest version among the platform's objects.
        cursor: Number of objects applied so far.
    """

    def __init__(self, on_applied: OnApplied = lambda stored: None) -> None:
        self.version = NO_VERSION
        self.cursor = 0
        self._on_applied = on_applied
        self._objects: dict[ObjectPath, StoredObject] = {}
        self._digests = [0] * BUCKET_COUNT
        self._paths: list[set[ObjectPath]] = [set() for _ in range(BUCKET_COUNT)]
        # The cursor at which each path was last applied, in ascending order.
        self._applied_at: dict[ObjectPath, int] = {}

    def apply(self, stored: StoredObject) -> bool:
        """Apply an object unless the replica has this version or a newer one.

        Args:
            stored: The object or its deletion marker.

        Returns:
            Whether the object was applied.
        """
        existing_version = self.version_of(stored.path)
        if stored.version <= existing_version:
            return False
        bucket = bucket_of(stored.path)
        self._paths[bucket].add(stored.path)
        self._digests[bucket] ^= _digest(Head(stored.path, existing_version))
        self._digests[bucket] ^= _digest(Head(stored.path, stored.version))
        self._objects[stored.path] = stored
        if not stored.path.startswith(SOFT_STATE_PREFIX):
            self.version = max(self.version, stored.version)
        self.cursor += 1
        self._applied_at.pop(stored.path, None)
        self._applied_at[stored.path] = self.cursor
        self._on_applied(stored)
        return True

    def apply_all(self, objects: Iterable[StoredObject]) -> int:
        """Apply the objects that are newer; return the number of objects applied."""
        return sum(self.apply(stored) for stored in objects)

    def get(self, path: ObjectPath) -> StoredObject | None:
        """Return an object or its deletion marker, None if it is unknown."""
        return self._objects.get(path)

    def version_of(self, path: ObjectPath) -> Version:
        """Return the version of an object in the replica, 0 if it is unknown."""
        existing = self._objects.get(path)
        return existing.version if existing else NO_VERSION

    def with_prefix(self, prefix: str) -> tuple[StoredObject, ...]:
        """Return the objects and deletion markers under a prefix."""
        return tuple(
            existing
            for path, existing in self._objects.items()
            if path.startswith(prefix)
        )

    def is_newer(self, head: Head) -> bool:
        """Return whether a head is newer than the object in the replica."""
        return head.version > self.version_of(head.path)

    def heads_since(self, cursor: int, max_heads: int) -> HeadDelta:
        """Return the heads of the objects applied after a cursor, oldest change first.

        Args:
            cursor: The cursor of the last `HeadDelta`; 0 for all objects.
            max_heads: Maximum number of heads to return.
        """
        changed_paths: list[ObjectPath] = []
        for path in reversed(self._applied_at):
            if self._applied_at[path] <= cursor:
                break
            changed_paths.append(path)
        selected = changed_paths[::-1][:max_heads]
        heads = tuple(Head(path, self._objects[path].version) for path in selected)
        return HeadDelta(
            heads, self._applied_at[selected[-1]] if selected else self.cursor
        )

    def digests(self) -> Digests:
        """Return the digest of each bucket."""
        return tuple(self._digests)

    def root_digest(self) -> int:
        """Return a digest of the complete replica."""
        digest_bytes = b"".join(digest.to_bytes(8, "big") for digest in self._digests)
        return xxhash.xxh3_64_intdigest(digest_bytes)

    def differing_heads(self, peer_digests: Digests) -> tuple[Head, ...]:
        """Return the heads in the buckets whose digests differ from a peer's."""
        return tuple(
            Head(path, self._objects[path].version)
            for bucket, digest in enumerate(peer_digests)
            if digest != self._digests[bucket]
            for path in self._paths[bucket]
        )


def bucket_of(path: ObjectPath) -> int:
    """Return the index of the bucket that contains a path."""
    return xxhash.xxh3_64_intdigest(path.encode()) % BUCKET_COUNT


def _digest(head: Head) -> int:
    if head.version == NO_VERSION:
        return 0
    return xxhash.xxh3_64_intdigest(f"{head.version} {head.path}".encode())
