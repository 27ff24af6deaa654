"""Encode a map of client blocks as objects of the platform.

A map is too large for one value. It is stored as parts, each named by the digest of its
bytes, and as a manifest at the team's `blocks` path that lists the parts. Parts are
immutable, so a reader that has all parts of a manifest has a complete, consistent map.
The address space is halved until each part is small enough, so that an edit rewrites
only the parts that contain the edited addresses.
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

# Version of the encoding of maps; other versions are refused.
FORMAT_VERSION = 1
# Keeps a part below the platform's value limit of 1 MB even if it does not compress.
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
    """The sites and parts of one map.

    Attributes:
        format: Version of the encoding.
        sites: Sites in the order of their indexes, which start at 1.
        ipv4: Digests of the IPv4 parts, in address order.
        ipv6: Digests of the IPv6 parts, in address order.
    """

    format: Annotated[int, Meta(ge=FORMAT_VERSION, le=FORMAT_VERSION)]
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
    """A map as objects to write: the parts first, then the manifest.

    Attributes:
        parts: Encoded parts by path.
        manifest_path: Path of the manifest.
        manifest: Encoded manifest.
    """

    parts: Mapping[ObjectPath, bytes]
    manifest_path: ObjectPath
    manifest: bytes


@dataclass(frozen=True)
class _Part:
    """Segments of one part, as little-endian arrays.

    Attributes:
        family: Address family.
        keys: Differences between successive keys, 64 bits each.
        low: Lower 64 bits of the addresses; empty if all are 0.
        sites: Site indexes, 16 bits each.
    """

    family: Family
    keys: bytes
    low: bytes
    sites: bytes


def encode_map(
    team: TeamId, blocks: BlockMap, zones: Mapping[SiteId, ZoneId]
) -> EncodedMap:
    """Encode a map as the objects to write under a team's path.

    Args:
        team: The team that owns the map.
        blocks: The map.
        zones: The availability zone of each site of the map.
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
        FORMAT_VERSION, sites, tuple(digests[Family.IPV4]), tuple(digests[Family.IPV6])
    )
    return EncodedMap(
        {blocks_part_path(team, digest): value for digest, value in parts.items()},
        blocks_path(team),
        msgspec.json.encode(manifest),
    )


def decode_manifest(
    path: ObjectPath, value: bytes
) -> Result[BlocksManifest, InvalidField]:
    """Decode and validate a manifest."""
    try:
        return Success(msgspec.json.decode(value, type=BlocksManifest))
    except msgspec.MsgspecError as error:
        text = value[:40].decode(errors="replace")
        return Failure(InvalidField(path, "(manifest)", text, str(error)))


def decode_part(path: ObjectPath, value: bytes) -> Result[Segments, InvalidField]:
    """Decode and validate one part.

    Returns:
        The segments of the part, or a problem if it is damaged or not sorted.
    """
    if path.rpartition("/")[2] != digest_of(value):
        return Failure(_invalid_field(path, "digest", "the last component of the path"))
    try:
        part = msgspec.msgpack.decode(zlib.decompress(value), type=_Part)
        return _to_segments(path, part)
    except (zlib.error, msgspec.MsgspecError, ValueError) as error:
        return Failure(_invalid_field(path, "(part)", str(error)))


def join_parts(
    path: ObjectPath, manifest: BlocksManifest, parts: Mapping[str, Segments]
) -> Result[BlockMap, InvalidField]:
    """Assemble a map from its parts.

    Args:
        path: Path of the manifest.
        manifest: Manifest of the map.
        parts: All parts of the manifest, by digest.

    Returns:
        The map, or a problem if the parts or site indexes don't match.
    """
    sites = (None, *(SiteId(entry.site) for entry in manifest.sites))
    segments_by_family = {}
    for family, digests in ((Family.IPV4, manifest.ipv4), (Family.IPV6, manifest.ipv6)):
        segments = join_segments(family, [parts[digest] for digest in digests])
        if segments is None:
            allowed = "sorted parts that cover the whole address family"
            return Failure(_invalid_field(path, family.value, allowed))
        if int(segments.sites.max()) >= len(sites):
            return Failure(
                _invalid_field(
                    path, "sites", "a site for each index that the parts use"
                )
            )
        segments_by_family[family] = segments
    return Success(
        BlockMap(
            sites, segments_by_family[Family.IPV4], segments_by_family[Family.IPV6]
        )
    )


def digest_of(value: bytes) -> str:
    """Return the digest by which an encoded part is named."""
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
    has_equal_lengths = len(keys) == len(sites) and len(low) in (0, len(keys))
    if not has_equal_lengths or not len(keys) or int(keys[-1]) >> part.family.key_bits:
        return Failure(
            _invalid_field(
                path,
                "(part)",
                "equal, nonzero numbers of keys and sites, and keys in range",
            )
        )
    if part.family is Family.IPV4:
        segments = Segments(part.family, keys.astype(np.uint32), low, sites)
    else:
        segments = Segments(part.family, keys, low, sites)
    if not segments.is_sorted:
        return Failure(_invalid_field(path, "keys", "sorted segments"))
    return Success(segments)


def _invalid_field(path: ObjectPath, field: str, allowed: str) -> InvalidField:
    return InvalidField(path, field, "invalid", allowed)
