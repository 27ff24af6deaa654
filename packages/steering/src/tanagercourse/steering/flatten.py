"""Build a map of blocks from rows that operators write."""

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

# A block: its first address, prefix length, site's index and row number. Maps have
# over a million, so they are bare tuples inside this module.
_Block = tuple[int, int, int, int]


@dataclass(frozen=True)
class BlockRow:
    """One row of a map: a block such as "192.0.2.0/24" and its site."""

    block: str
    site: SiteId


def build_map(
    rows: Iterable[BlockRow], sites: Iterable[SiteId], source: str
) -> Result[BlockMap, InvalidField]:
    """Build a map from blocks in any order.

    Args:
        rows: Blocks, each given once; a block inside another goes before it.
        sites: Every site that a row may name.
        source: Where the rows came from, for the problem.

    Returns:
        The map, or the first row that is wrong by its number, from 0.
    """
    named = tuple(sites)
    if len(named) > MAX_SITES:
        return Failure(_refuse(source, "sites", str(len(named)), f"up to {MAX_SITES}"))
    read = _read_rows(rows, named, source)
    if isinstance(read, Failure):
        return read
    blocks = read.unwrap()
    for family in Family:
        blocks[family].sort(key=itemgetter(0, 1))
        repeated = _find_repeated(blocks[family], source)
        if repeated is not None:
            return Failure(repeated)
    ipv4 = _flatten(Family.IPV4, blocks[Family.IPV4])
    ipv6 = _flatten(Family.IPV6, blocks[Family.IPV6])
    return Success(BlockMap((None, *named), ipv4, ipv6))


def _read_rows(
    rows: Iterable[BlockRow], sites: tuple[SiteId, ...], source: str
) -> Result[Mapping[Family, list[_Block]], InvalidField]:
    index_of = {site: index for index, site in enumerate(sites, start=1)}
    blocks: dict[Family, list[_Block]] = {family: [] for family in Family}
    for number, row in enumerate(rows):
        field = f"blocks[{number}]"
        site = index_of.get(row.site)
        if site is None:
            allowed = "one of the map's sites"
            return Failure(_refuse(source, f"{field}.site", row.site, allowed))
        address, _, length_text = row.block.partition("/")
        packed = pack_address(address)
        if packed is None or not _is_number(length_text):
            allowed = "a block such as 192.0.2.0/24 or 2001:db8::/32"
            return Failure(_refuse(source, f"{field}.block", row.block, allowed))
        family = Family.IPV4 if len(packed) == 4 else Family.IPV6
        first, length = int.from_bytes(packed), int(length_text)
        if length > family.bits or first & _host_mask(family, length):
            allowed = f"a prefix of up to {family.bits} bits, all bits past it 0"
            return Failure(_refuse(source, f"{field}.block", row.block, allowed))
        blocks[family].append((first, length, site, number))
    return Success(blocks)


def _is_number(text: str) -> bool:
    return text.isascii() and text.isdecimal()


def _refuse(source: str, field: str, value: str, allowed: str) -> InvalidField:
    return InvalidField(source, field, value[:80], allowed)


def _host_mask(family: Family, length: int) -> int:
    return (1 << (family.bits - length)) - 1


def _find_repeated(blocks: list[_Block], source: str) -> InvalidField | None:
    """Return what is wrong with the first block that is given twice, if any."""
    for one, other in zip(blocks, blocks[1:], strict=False):
        if one[:2] == other[:2]:
            earlier, later = sorted((one[3], other[3]))
            allowed = f"a block that blocks[{earlier}] does not give"
            field = f"blocks[{later}].block"
            return InvalidField(source, field, "given twice", allowed)
    return None


def _flatten(family: Family, blocks: list[_Block]) -> Segments:
    """Cut nested blocks, sorted by first address and length, into segments."""
    end = 1 << family.bits
    firsts, sites = [0], [NO_SITE]
    # Blocks that are open at this address: their end and site, outermost first.
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
    """Drop empty segments, and those whose neighbour before has the same site."""
    keys, low = to_keys(family, firsts)
    indexes = np.array(sites, np.uint16)
    is_last = np.append(keys[1:] != keys[:-1], True)
    if low.size:
        is_last |= np.append(low[1:] != low[:-1], True)
    keys, indexes = keys[is_last], indexes[is_last]
    low = low[is_last] if low.size else low
    is_new = np.append(True, indexes[1:] != indexes[:-1])
    low = low[is_new] if low.any() else low[:0]
    return Segments(family, keys[is_new], low, indexes[is_new])
