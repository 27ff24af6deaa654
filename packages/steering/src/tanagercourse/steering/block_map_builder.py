"""Build a block map from the rows that operators write."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from operator import itemgetter

import numpy as np
from returns.result import Failure, Result, Success

from tanagercourse.core.ids import SiteId
from tanagercourse.core.problems import InvalidField
from tanagercourse.steering.blocks import BlockMap, pack_address
from tanagercourse.steering.segments import (
    MAX_SITES,
    NO_SITE,
    Family,
    Segments,
    to_keys,
)

# First address, prefix length, site index and row index of a block. Plain tuples,
# because a map can have over a million blocks.
_Block = tuple[int, int, int, int]


@dataclass(frozen=True)
class BlockRow:
    """One row of a block map: a block such as "192.0.2.0/24" and its site."""

    block: str
    site: SiteId


def build_map(
    rows: Iterable[BlockRow], sites: Iterable[SiteId], source: str
) -> Result[BlockMap, InvalidField]:
    """Build a block map from rows in any order.

    Args:
        rows: Distinct blocks; a block nested in another takes precedence over it.
        sites: The sites that rows may name.
        source: Where the rows came from, for the error.

    Returns:
        The map, or the first invalid row, named by its index.
    """
    site_ids = tuple(sites)
    if len(site_ids) > MAX_SITES:
        return Failure(
            _invalid_field(source, "sites", str(len(site_ids)), f"up to {MAX_SITES}")
        )
    parsed = _parse_rows(rows, site_ids, source)
    if isinstance(parsed, Failure):
        return parsed
    blocks = parsed.unwrap()
    for family in Family:
        blocks[family].sort(key=itemgetter(0, 1))
        duplicate = _find_duplicate(blocks[family], source)
        if duplicate is not None:
            return Failure(duplicate)
    ipv4 = _flatten(Family.IPV4, blocks[Family.IPV4])
    ipv6 = _flatten(Family.IPV6, blocks[Family.IPV6])
    return Success(BlockMap((None, *site_ids), ipv4, ipv6))


def _parse_rows(
    rows: Iterable[BlockRow], sites: tuple[SiteId, ...], source: str
) -> Result[Mapping[Family, list[_Block]], InvalidField]:
    index_of = {site: index for index, site in enumerate(sites, start=1)}
    blocks: dict[Family, list[_Block]] = {family: [] for family in Family}
    for row_index, row in enumerate(rows):
        field = f"blocks[{row_index}]"
        site = index_of.get(row.site)
        if site is None:
            allowed = "one of the map's sites"
            return Failure(_invalid_field(source, f"{field}.site", row.site, allowed))
        address, _, length_text = row.block.partition("/")
        packed = pack_address(address)
        if packed is None or not _is_decimal(length_text):
            allowed = "a block such as 192.0.2.0/24 or 2001:db8::/32"
            return Failure(_invalid_field(source, f"{field}.block", row.block, allowed))
        family = Family.IPV4 if len(packed) == 4 else Family.IPV6
        first, length = int.from_bytes(packed), int(length_text)
        if length > family.bits or first & _host_mask(family, length):
            allowed = f"a prefix of up to {family.bits} bits with all host bits 0"
            return Failure(_invalid_field(source, f"{field}.block", row.block, allowed))
        blocks[family].append((first, length, site, row_index))
    return Success(blocks)


def _is_decimal(text: str) -> bool:
    return text.isascii() and text.isdecimal()


def _invalid_field(source: str, field: str, value: str, allowed: str) -> InvalidField:
    return InvalidField(source, field, value[:80], allowed)


def _host_mask(family: Family, length: int) -> int:
    return (1 << (family.bits - length)) - 1


def _find_duplicate(blocks: list[_Block], source: str) -> InvalidField | None:
    """Return the error for the first duplicate block, None without duplicates."""
    for block, next_block in zip(blocks, blocks[1:], strict=False):
        if block[:2] == next_block[:2]:
            earlier, later = sorted((block[3], next_block[3]))
            allowed = f"a block other than blocks[{earlier}].block"
            field = f"blocks[{later}].block"
            return InvalidField(source, field, "a duplicate", allowed)
    return None


def _flatten(family: Family, blocks: list[_Block]) -> Segments:
    """Split nested blocks, sorted by first address and length, into segments."""
    end = 1 << family.bits
    firsts, sites = [0], [NO_SITE]
    # Ends and site indexes of the blocks around the current address, outermost first.
    open_blocks = [(end, NO_SITE)]
    for first, length, site, _ in blocks:
        while open_blocks[-1][0] <= first:
            firsts.append(open_blocks.pop()[0])
            sites.append(open_blocks[-1][1])
        firsts.append(first)
        sites.append(site)
        open_blocks.append((first + _host_mask(family, length) + 1, site))
    while open_blocks[-1][0] < end:
        firsts.append(open_blocks.pop()[0])
        sites.append(open_blocks[-1][1])
    return _to_segments(family, firsts, sites)


def _to_segments(family: Family, firsts: list[int], sites: list[int]) -> Segments:
    """Build segments, dropping empty ones and merging neighbours of the same site."""
    keys, low = to_keys(family, firsts)
    site_indexes = np.array(sites, np.uint16)
    is_last = np.append(keys[1:] != keys[:-1], True)
    if low.size:
        is_last |= np.append(low[1:] != low[:-1], True)
    keys, site_indexes = keys[is_last], site_indexes[is_last]
    low = low[is_last] if low.size else low
    is_new = np.append(True, site_indexes[1:] != site_indexes[:-1])
    low = low[is_new] if low.any() else low[:0]
    return Segments(family, keys[is_new], low, site_indexes[is_new])
