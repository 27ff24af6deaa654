"""Encoding of client block maps as platform objects."""

from collections.abc import Mapping
from random import Random

import numpy as np
import pytest
from returns.result import Failure

from tanagercourse.core.ids import ObjectPath, SiteId, TeamId, ZoneId
from tanagercourse.settings import blocks as block_encoding
from tanagercourse.settings.blocks import (
    EncodedMap,
    decode_manifest,
    decode_part,
    encode_map,
    join_parts,
)
from tanagercourse.steering.block_map_builder import BlockRow, build_map
from tanagercourse.steering.blocks import BlockMap
from tanagercourse.steering.segments import Segments

TEAM = TeamId("water")
SITES = (SiteId("a"), SiteId("b"), SiteId("c"))
ZONES = {site: ZoneId("split-a") for site in SITES}


@pytest.fixture
def rows(monkeypatch: pytest.MonkeyPatch) -> list[BlockRow]:
    """Return blocks that fill more than ten parts; parts are limited to 20 segments."""
    monkeypatch.setattr(block_encoding, "MAX_PART_SEGMENTS", 20)
    random = Random(1)
    block_texts = {
        f"10.{random.randrange(256)}.{random.randrange(256)}.0/24" for _ in range(99)
    }
    block_texts |= {f"2001:db8:{random.randrange(9999)}::/48" for _ in range(99)}
    block_texts |= {f"2001:db8:1::{last_group}/128" for last_group in range(30)}
    return [BlockRow(block, random.choice(SITES)) for block in sorted(block_texts)]


def build_block_map(rows: list[BlockRow]) -> BlockMap:
    return build_map(rows, SITES, "test").unwrap()


def decode_parts(encoded: EncodedMap) -> Mapping[str, Segments]:
    return {
        path.rpartition("/")[2]: decode_part(path, value).unwrap()
        for path, value in encoded.parts.items()
    }


def assert_equal_segments(actual: Segments, expected: Segments) -> None:
    assert actual.family is expected.family
    np.testing.assert_array_equal(actual.keys, expected.keys)
    np.testing.assert_array_equal(actual.low, expected.low)
    np.testing.assert_array_equal(actual.sites, expected.sites)


def test_map_is_unchanged_by_encoding_and_decoding(rows: list[BlockRow]) -> None:
    built = build_block_map(rows)
    encoded = encode_map(TEAM, built, ZONES)
    manifest = decode_manifest(encoded.manifest_path, encoded.manifest).unwrap()
    joined = join_parts(encoded.manifest_path, manifest, decode_parts(encoded)).unwrap()
    assert len(encoded.parts) > 10
    assert joined.sites == built.sites
    assert_equal_segments(joined.ipv4, built.ipv4)
    assert_equal_segments(joined.ipv6, built.ipv6)


def test_edit_rewrites_few_parts(rows: list[BlockRow]) -> None:
    before = encode_map(TEAM, build_block_map(rows), ZONES)
    after = encode_map(
        TEAM, build_block_map([*rows, BlockRow("10.9.9.9/32", SITES[0])]), ZONES
    )
    assert len(after.parts.keys() - before.parts.keys()) <= 2


def test_damaged_part_is_refused(rows: list[BlockRow]) -> None:
    path, value = next(
        iter(encode_map(TEAM, build_block_map(rows), ZONES).parts.items())
    )
    damaged = value[:-1] + bytes([value[-1] ^ 1])
    assert decode_part(path, damaged).failure().field == "digest"


@pytest.mark.parametrize(
    "value", [b"", b"{}", b'{"format":2,"sites":[],"ipv4":[],"ipv6":[]}']
)
def test_invalid_manifest_is_refused(value: bytes) -> None:
    assert isinstance(decode_manifest(ObjectPath("/teams/a/blocks"), value), Failure)


def test_parts_out_of_order_are_refused(rows: list[BlockRow]) -> None:
    encoded = encode_map(TEAM, build_block_map(rows), ZONES)
    manifest = decode_manifest(encoded.manifest_path, encoded.manifest).unwrap()
    swapped = block_encoding.BlocksManifest(
        block_encoding.FORMAT, manifest.sites, manifest.ipv4[::-1], manifest.ipv6
    )
    result = join_parts(encoded.manifest_path, swapped, decode_parts(encoded))
    assert result.failure().field == "ipv4"


def test_unknown_site_index_is_refused(rows: list[BlockRow]) -> None:
    encoded = encode_map(TEAM, build_block_map(rows), ZONES)
    manifest = decode_manifest(encoded.manifest_path, encoded.manifest).unwrap()
    manifest_with_one_site = block_encoding.BlocksManifest(
        block_encoding.FORMAT, manifest.sites[:1], manifest.ipv4, manifest.ipv6
    )
    result = join_parts(
        encoded.manifest_path, manifest_with_one_site, decode_parts(encoded)
    )
    assert result.failure().field == "sites"
