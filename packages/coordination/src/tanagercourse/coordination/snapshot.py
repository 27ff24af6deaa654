"""Snapshots of objects: format version, checksum, zlib-compressed MessagePack."""

import zlib
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum, unique

import msgspec
import xxhash
from returns.result import Failure, Result, Success

from tanagercourse.core.problems import Problem
from tanagercourse.platform.store import StoredObject

SNAPSHOT_MAGIC = b"tcs1"
CHECKSUM_BYTES = 8
# The fastest level of zlib; settings are JSON, which compresses well at any level.
COMPRESSION_LEVEL = 1


@unique
class Damage(Enum):
    """The part of a snapshot that failed to decode."""

    FORMAT = "format"
    CHECKSUM = "checksum"
    CONTENT = "content"


@dataclass(frozen=True)
class DamagedSnapshot(Problem):
    """A snapshot that can't be decoded; none of its objects was used.

    Attributes:
        damage: The part that failed to decode.
        size_bytes: Size of the snapshot.
    """

    damage: Damage
    size_bytes: int


def encode_snapshot(objects: Iterable[StoredObject]) -> bytes:
    """Encode objects and deletion markers as a snapshot."""
    body = zlib.compress(msgspec.msgpack.encode(tuple(objects)), COMPRESSION_LEVEL)
    return SNAPSHOT_MAGIC + xxhash.xxh3_64_digest(body) + body


def decode_snapshot(
    snapshot: bytes,
) -> Result[tuple[StoredObject, ...], DamagedSnapshot]:
    """Decode a snapshot completely or not at all.

    Returns:
        The objects of the snapshot, or which part of it failed to decode.
    """
    body_start = len(SNAPSHOT_MAGIC) + CHECKSUM_BYTES
    if snapshot[: len(SNAPSHOT_MAGIC)] != SNAPSHOT_MAGIC:
        return Failure(DamagedSnapshot(Damage.FORMAT, len(snapshot)))
    body = snapshot[body_start:]
    if snapshot[len(SNAPSHOT_MAGIC) : body_start] != xxhash.xxh3_64_digest(body):
        return Failure(DamagedSnapshot(Damage.CHECKSUM, len(snapshot)))
    try:
        decompressed = zlib.decompress(body)
        return Success(
            msgspec.msgpack.decode(decompressed, type=tuple[StoredObject, ...])
        )
    except (zlib.error, msgspec.MsgspecError):
        return Failure(DamagedSnapshot(Damage.CONTENT, len(snapshot)))
