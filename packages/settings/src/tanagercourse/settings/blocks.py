"""Encode a map of client blocks as objects that the platform can keep.

A map is too large for one value. It becomes parts, each named by the digest of its
bytes, and a manifest under the team's `blocks` path that names the parts. Parts never
change, so a reader that has every part of one manifest has one whole map. The address
space is cut in halves until a part is small enough: an edit rewrites only the parts
that hold the edited addresses.
"""

import zlib
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Annotated

import msgspec
import numpy as np
import xxhash
from msgspec import Meta
from returns.result import Failure, Result, Success

from tanagercourse.core.ids import ObjectPath, SiteId, TeamId, ZoneId
from tanagercourse.core.problems import InvalidField
from tanagercourse.settings.paths import blocks_part_path, blocks_path
from tanagercourse.settings.schema import Name
from tanagercourse.steering.blocks import BlockMap
from tanagercourse.steering.segments import (
    MAX_SITES,
    Family,
    Segments,
    join_segments,
    split_segments,
)

FORMAT = 1
# Keeps a part under the platform's limit of a megabyte even if nothing compresses.
MAX_PART_SEGMENTS = 50_000
_COMPRESSION_LEVEL = 1

Digest = Annotated[str, Meta(pattern=r"^[0-9a-f]{32}$")]


@dataclass(frozen=True)
class SiteSettings:
    """A site and the availability zone that serves its clients."""

    site: Name
    zone: Name


@dataclass(frozen=True)
class BlocksManifest:
    """What one map consists of.

    Attributes:
        format: Version of the encoding.
        sites: Sites in the order of their indexes, from 1.
        ipv4: Digests of the parts of IPv4, in the order of their addresses.
        ipv6: Digests of the parts of IPv6, in the order of their addresses.
    """

    format: Annotated[int, Meta(ge=FORMAT, le=FORMAT)]
    sites: Annotated[tuple[SiteSettings, ...], Meta(max_length=MAX_SITES)]
    ipv4: tuple[Digest, ...]
    ipv6: tuple[Digest, ...]

    def digests(self) -> tuple[str, ...]:
        """Return the digest of every part."""
        return (*self.ipv4, *self.ipv6)

    def zones(self) -> Mapping[SiteId, ZoneId]:
        """Return each site's availability zone."""
        return {SiteId(entry.site): ZoneId(entry.zone) for entry in self.sites}


@dataclass(frozen=True)
class EncodedMap:
    """A map as objects: write the parts first, then the manifest."""

    parts: Mapping[ObjectPath, bytes]
    manifest_path: ObjectPath
    manifest: bytes


@dataclass(frozen=True)
class _Part:
    """Segments of one part, as little-endian arrays; keys as their differences."""

    family: Family
    keys: bytes
    low: bytes
    sites: bytes


def encode_map(
    team: TeamId, blocks: BlockMap, zones: Mapping[SiteId, ZoneId]
) -> EncodedMap:
    """Return a map as the objects to write under a team's path.

    Args:
        team: Whose map it is.
        blocks: The map.
        zones: The availability zone of each of its sites.
    """
    parts: dict[str, bytes] = {}
    digests: dict[Family, list[str]] = {family: [] for family in Family}
    for segments in (blocks.ipv4, blocks.ipv6):
        for part in split_segments(segments, MAX_PART_SEGMENTS):
            value = _encode_part(part)
            digest = digest_of(value)
            parts[digest] = value
            digests[segments.family].append(digest)
    sites = tuple(SiteSettings(site, zones[site]) for site in blocks.sites if site)
    manifest = BlocksManifest(
        FORMAT, sites, tuple(digests[Family.IPV4]), tuple(digests[Family.IPV6])
    )
    return EncodedMap(
        {blocks_part_path(team, digest): value for digest, value in parts.items()},
        blocks_path(team),
        msgspec.json.encode(manifest),
    )


def decode_manifest(
    path: ObjectPath, value: bytes
) -> Result[BlocksManifest, InvalidField]:
    """Decode and check a manifest."""
    try:
        return Success(msgspec.json.decode(value, type=BlocksManifest))
    except msgspec.MsgspecError as error:
        text = value[:40].decode(errors="replace")
        return Failure(InvalidField(path, "(manifest)", text, str(error)))


def decode_part(path: ObjectPath, value: bytes) -> Result[Segments, InvalidField]:
    """Decode and check one part.

    Returns:
        Its segments, or a problem when it is damaged or not in order.
    """
    if path.rpartition("/")[2] != digest_of(value):
        return Failure(_refuse(path, "digest", "the path's last step"))
    try:
        part = msgspec.msgpack.decode(zlib.decompress(value), type=_Part)
        return _to_segments(path, part)
    except (zlib.error, msgspec.MsgspecError, ValueError) as error:
        return Failure(_refuse(path, "(part)", str(error)))


def join_parts(
    path: ObjectPath, manifest: BlocksManifest, parts: Mapping[str, Segments]
) -> Result[BlockMap, InvalidField]:
    """Put a whole map together.

    Args:
        path: The manifest's path.
        manifest: What the map consists of.
        parts: Its parts by digest; none may be missing.
    """
    sites = (None, *(SiteId(entry.site) for entry in manifest.sites))
    joined = {}
    for family, digests in ((Family.IPV4, manifest.ipv4), (Family.IPV6, manifest.ipv6)):
        segments = join_segments(family, [parts[digest] for digest in digests])
        if segments is None:
            allowed = "parts of one family that cover it in order"
            return Failure(_refuse(path, family.value, allowed))
        if int(segments.sites.max()) >= len(sites):
            return Failure(_refuse(path, "sites", "a site for each index"))
        joined[family] = segments
    return Success(BlockMap(sites, joined[Family.IPV4], joined[Family.IPV6]))


def digest_of(value: bytes) -> str:
    """Return the digest that names a part."""
    return xxhash.xxh3_128_hexdigest(value)


def _encode_part(segments: Segments) -> bytes:
    keys = segments.keys.astype("<u8")
    differences = np.diff(keys, prepend=np.zeros(1, "<u8"))
    part = _Part(
        segments.family,
        differences.tobytes(),
        segments.low.astype("<u8").tobytes(),
        segments.sites.astype("<u2").tobytes(),
    )
    return zlib.compress(msgspec.msgpack.encode(part), _COMPRESSION_LEVEL)


def _to_segments(path: ObjectPath, part: _Part) -> Result[Segments, InvalidField]:
    keys = np.cumsum(np.frombuffer(part.keys, "<u8"), dtype=np.uint64)
    low = np.frombuffer(part.low, "<u8").astype(np.uint64)
    sites = np.frombuffer(part.sites, "<u2").astype(np.uint16)
    is_whole = len(keys) == len(sites) and len(low) in (0, len(keys))
    if not is_whole or not len(keys) or int(keys[-1]) >> part.family.key_bits:
        return Failure(_refuse(path, "(part)", "as many keys as sites"))
    if part.family is Family.IPV4:
        segments = Segments(part.family, keys.astype(np.uint32), low, sites)
    else:
        segments = Segments(part.family, keys, low, sites)
    if not segments.is_sorted:
        return Failure(_refuse(path, "keys", "segments in order"))
    return Success(segments)


def _refuse(path: ObjectPath, field: str, allowed: str) -> InvalidField:
    return InvalidField(path, field, "something else", allowed)
