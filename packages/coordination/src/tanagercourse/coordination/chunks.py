"""Values above the platform's size limit, stored as parts and a manifest.

The parts are written first, under a path with the value's checksum, so that they
never overwrite the parts of another value. The manifest at the value's own path is
written last, and its conditional update decides between concurrent writers. A value
is returned only if all of its parts are there.
"""

import uuid
from collections.abc import Callable
from dataclasses import dataclass, replace

import msgspec
import xxhash
from returns.result import Failure, Result, Success

from tanagercourse.core.ids import NO_VERSION, ObjectPath, WriterId
from tanagercourse.core.problems import Problem
from tanagercourse.platform.store import (
    MAX_VALUE_BYTES,
    Conflict,
    ObjectState,
    Store,
    StoredObject,
    Update,
)
from tanagercourse.platform.update import UpdateProblem, settle_update

# First bytes of a manifest; no JSON text starts with them.
MANIFEST_MAGIC = b"\x00parts1"
MAX_PART_BYTES = MAX_VALUE_BYTES // 2
# Separates the path of a value from the names of its parts.
PARTS_SEGMENT = "/parts/"

# Returns an object or its deletion marker, None if the object is unknown.
GetObject = Callable[[ObjectPath], StoredObject | None]


@dataclass(frozen=True)
class Manifest:
    """Description of a split value.

    Attributes:
        checksum: Checksum of the complete value, in hexadecimal digits.
        size_bytes: Size of the complete value.
        parts: Number of parts.
    """

    checksum: str
    size_bytes: int
    parts: int


@dataclass(frozen=True)
class Incomplete(Problem):
    """A value can't be assembled from its manifest and parts.

    Attributes:
        path: Path of the value.
        parts: Number of parts in the manifest; 0 if the manifest can't be decoded.
        parts_missing: Number of parts that were not found; 0 if the manifest can't be
            decoded, or if all parts were found but don't match its checksum.
    """

    path: ObjectPath
    parts: int
    parts_missing: int


def part_path(path: ObjectPath, manifest: Manifest, index: int) -> ObjectPath:
    """Return the path of one part of a split value."""
    return ObjectPath(f"{path}{PARTS_SEGMENT}{manifest.checksum}/{index:04d}")


async def write_value(
    store: Store, update: Update, max_part_bytes: int = MAX_PART_BYTES
) -> Result[StoredObject, UpdateProblem]:
    """Write a value of any size, split into parts if it exceeds the part size.

    Args:
        store: The platform.
        update: The conditional update to apply.
        max_part_bytes: Maximum size of a part, in bytes.

    Returns:
        The object at the value's path, or why it was not written.
    """
    if len(update.value) <= max_part_bytes:
        return await settle_update(store, update)
    manifest = _make_manifest(update.value, max_part_bytes)
    for index in range(manifest.parts):
        part = update.value[index * max_part_bytes : (index + 1) * max_part_bytes]
        path = part_path(update.path, manifest, index)
        written = await _write_part(store, path, part)
        if isinstance(written, Failure):
            return written
    value = MANIFEST_MAGIC + msgspec.msgpack.encode(manifest)
    manifest_update = Update(update.path, update.expected, value, update.writer)
    return await settle_update(store, manifest_update)


def assemble_value(
    get_part: GetObject, stored: StoredObject
) -> Result[bytes, Incomplete]:
    """Return an object's value, joined from its parts if it was split.

    Args:
        get_part: Returns a part by its path.
        stored: The object at the value's path.

    Returns:
        The complete value, or `Incomplete`.
    """
    if not stored.value.startswith(MANIFEST_MAGIC):
        return Success(stored.value)
    try:
        body = stored.value.removeprefix(MANIFEST_MAGIC)
        manifest = msgspec.msgpack.decode(body, type=Manifest)
    except msgspec.MsgspecError:
        return Failure(Incomplete(stored.path, 0, 0))
    paths = [part_path(stored.path, manifest, i) for i in range(manifest.parts)]
    found = [part for part in map(get_part, paths) if _is_present(part)]
    joined_value = b"".join(part.value for part in found if part is not None)
    if xxhash.xxh3_128_hexdigest(joined_value) != manifest.checksum:
        missing_count = manifest.parts - len(found)
        return Failure(Incomplete(stored.path, manifest.parts, missing_count))
    return Success(joined_value)


class PartAssembler:
    """Joins split values from objects that arrive in any order."""

    def __init__(self) -> None:
        self._parts: dict[ObjectPath, StoredObject] = {}
        self._manifests: dict[ObjectPath, StoredObject] = {}

    def add(self, stored: StoredObject) -> StoredObject | None:
        """Add an object and return the object that it completes, if any.

        Args:
            stored: A part, a manifest, or an object that was not split.

        Returns:
            The object itself if it was not split; otherwise the object that the part
            or manifest completes, with its joined value, or None while parts are
            missing.
        """
        owner, is_part, _ = stored.path.partition(PARTS_SEGMENT)
        if is_part:
            self._parts[stored.path] = stored
            manifest = self._manifests.get(ObjectPath(owner))
            return self._assemble(manifest) if manifest else None
        if stored.value.startswith(MANIFEST_MAGIC):
            self._manifests[stored.path] = stored
            return self._assemble(stored)
        self._manifests.pop(stored.path, None)
        return stored

    def _assemble(self, manifest: StoredObject) -> StoredObject | None:
        joined = assemble_value(self._parts.get, manifest)
        if isinstance(joined, Failure):
            return None
        return replace(manifest, value=joined.unwrap())


def _is_present(part: StoredObject | None) -> bool:
    return part is not None and part.state is ObjectState.PRESENT


def _make_manifest(value: bytes, max_part_bytes: int) -> Manifest:
    checksum = xxhash.xxh3_128_hexdigest(value)
    return Manifest(checksum, len(value), -(-len(value) // max_part_bytes))


async def _write_part(
    store: Store, path: ObjectPath, part: bytes
) -> Result[StoredObject, UpdateProblem]:
    writer = WriterId(uuid.uuid4().hex)
    written = await settle_update(store, Update(path, NO_VERSION, part, writer))
    if isinstance(written, Failure):
        problem = written.failure()
        # The path contains the value's checksum, so an existing part is identical.
        if isinstance(problem, Conflict) and problem.found is not None:
            return Success(problem.found)
    return written
