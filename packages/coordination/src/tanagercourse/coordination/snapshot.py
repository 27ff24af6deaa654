"""Snapshots of objects as bytes: format version, checksum, deflated MessagePack."""

import zlib
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum, unique

import msgspec
import xxhash
from returns.result import Failure, Result, Success

from tanagercourse.core.problems import Problem
from tanagercourse.platform.store import StoredObject

FORMAT = b"tcs1"
CHECKSUM_BYTES = 8
# The fastest level: settings are JSON text, which shrinks well at any.
LEVEL = 1


@unique
class Damage(Enum):
    """What is wrong with a snapshot."""

    FORMAT = "format"
    CHECKSUM = "checksum"
    CONTENT = "content"


@dataclass(frozen=True)
class DamagedSnapshot(Problem):
    """A snapshot that can't be read; nothing of it was used."""

    damage: Damage
    size_bytes: int


def encode_snapshot(objects: Iterable[StoredObject]) -> bytes:
    """Return objects and deletion markers as a snapshot."""
    body = zlib.compress(msgspec.msgpack.encode(tuple(objects)), LEVEL)
    return FORMAT + xxhash.xxh3_64_digest(body) + body


def decode_snapshot(
    snapshot: bytes,
) -> Result[tuple[StoredObject, ...], DamagedSnapshot]:
    """Decode a snapshot whole, or not at all.

    Returns:
        Its objects, or what is wrong with it.
    """
    start = len(FORMAT) + CHECKSUM_BYTES
    if snapshot[: len(FORMAT)] != FORMAT:
        return Failure(DamagedSnapshot(Damage.FORMAT, len(snapshot)))
    body = snapshot[start:]
    if snapshot[len(FORMAT) : start] != xxhash.xxh3_64_digest(body):
        return Failure(DamagedSnapshot(Damage.CHECKSUM, len(snapshot)))
    try:
        unpacked = zlib.decompress(body)
        return Success(msgspec.msgpack.decode(unpacked, type=tuple[StoredObject, ...]))
    except (zlib.error, msgspec.MsgspecError):
        return Failure(DamagedSnapshot(Damage.CONTENT, len(snapshot)))
