"""Values past the platform's limit, kept as parts and joined only when whole.

The parts are written first under the value's own checksum, so that they never
overwrite those of another value; the manifest at the value's path is written last,
and its conditional update decides between racing writers.
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

# Starts a manifest; no JSON text starts so.
MARK = b"\x00parts1"
PART_BYTES = MAX_VALUE_BYTES // 2
# Stands between a value's path and the names of its parts.
PARTS = "/parts/"

# Returns an object or the marker of its deletion, None when it is unknown.
Get = Callable[[ObjectPath], StoredObject | None]


@dataclass(frozen=True)
class Manifest:
    """What a split value consists of.

    Attributes:
        checksum: Of the whole value, in hexadecimal digits.
        size_bytes: Of the whole value.
        parts: How many parts there are.
    """

    checksum: str
    size_bytes: int
    parts: int


@dataclass(frozen=True)
class Incomplete(Problem):
    """Parts of a value are missing or are not of this value."""

    path: ObjectPath
    parts: int
    parts_missing: int


def part_path(path: ObjectPath, manifest: Manifest, index: int) -> ObjectPath:
    """Return the path of one part of a split value."""
    return ObjectPath(f"{path}{PARTS}{manifest.checksum}/{index:04d}")


async def write_value(
    store: Store, update: Update, part_bytes: int = PART_BYTES
) -> Result[StoredObject, UpdateProblem]:
    """Write a value of any size; one past a part's size is split.

    Args:
        store: The platform.
        update: What to write; conditional on the version at its path.
        part_bytes: The largest part, in bytes.

    Returns:
        The object at the value's path, or why it was not written.
    """
    if len(update.value) <= part_bytes:
        return await settle_update(store, update)
    manifest = _manifest(update.value, part_bytes)
    for index in range(manifest.parts):
        part = update.value[index * part_bytes : (index + 1) * part_bytes]
        path = part_path(update.path, manifest, index)
        written = await _write_part(store, path, part)
        if isinstance(written, Failure):
            return written
    value = MARK + msgspec.msgpack.encode(manifest)
    whole = Update(update.path, update.expected, value, update.writer)
    return await settle_update(store, whole)


def join_value(get: Get, stored: StoredObject) -> Result[bytes, Incomplete]:
    """Return an object's value, joined from its parts where it was split.

    Args:
        get: Looks up the parts.
        stored: The object at the value's path.

    Returns:
        The whole value, or how many of its parts are missing.
    """
    if not stored.value.startswith(MARK):
        return Success(stored.value)
    try:
        body = stored.value.removeprefix(MARK)
        manifest = msgspec.msgpack.decode(body, type=Manifest)
    except msgspec.MsgspecError:
        return Failure(Incomplete(stored.path, 0, 0))
    paths = [part_path(stored.path, manifest, i) for i in range(manifest.parts)]
    found = [part for part in map(get, paths) if _is_present(part)]
    whole = b"".join(part.value for part in found if part is not None)
    if xxhash.xxh3_128_hexdigest(whole) != manifest.checksum:
        missing = manifest.parts - len(found)
        return Failure(Incomplete(stored.path, manifest.parts, missing))
    return Success(whole)


class PartAssembler:
    """Joins split values from objects as they arrive, in whatever order."""

    def __init__(self) -> None:
        self._parts: dict[ObjectPath, StoredObject] = {}
        self._manifests: dict[ObjectPath, StoredObject] = {}

    def add(self, stored: StoredObject) -> StoredObject | None:
        """Take an object; return the one that is whole by it, if any.

        Args:
            stored: A part, a manifest, or an object that was never split.

        Returns:
            The object itself, or the one that its part completes with its value
            joined; None while parts are missing.
        """
        owner, is_part, _ = stored.path.partition(PARTS)
        if is_part:
            self._parts[stored.path] = stored
            manifest = self._manifests.get(ObjectPath(owner))
            return self._join(manifest) if manifest else None
        if stored.value.startswith(MARK):
            self._manifests[stored.path] = stored
            return self._join(stored)
        self._manifests.pop(stored.path, None)
        return stored

    def _join(self, manifest: StoredObject) -> StoredObject | None:
        joined = join_value(self._parts.get, manifest)
        if isinstance(joined, Failure):
            return None
        return replace(manifest, value=joined.unwrap())


def _is_present(part: StoredObject | None) -> bool:
    return part is not None and part.state is ObjectState.PRESENT


def _manifest(value: bytes, part_bytes: int) -> Manifest:
    checksum = xxhash.xxh3_128_hexdigest(value)
    return Manifest(checksum, len(value), -(-len(value) // part_bytes))


async def _write_part(
    store: Store, path: ObjectPath, part: bytes
) -> Result[StoredObject, UpdateProblem]:
    writer = WriterId(uuid.uuid4().hex)
    written = await settle_update(store, Update(path, NO_VERSION, part, writer))
    if isinstance(written, Failure):
        problem = written.failure()
        # The path holds the value's checksum: a part that is there is this one.
        if isinstance(problem, Conflict) and problem.found is not None:
            return Success(problem.found)
    return written
