"""Map client addresses to sites by the longest prefix of their block.

Nested blocks are flattened into sorted, disjoint segments of the address space, each
with one site, so that a look-up is one binary search and a batch is one call of numpy.
"""

import socket
from bisect import bisect_right
from collections.abc import Sequence
from dataclasses import dataclass

import numpy as np
import numpy.typing as npt
from returns.result import Failure, Result, Success

from tanagercourse.core.ids import SiteId
from tanagercourse.core.problems import InvalidField
from tanagercourse.steering.segments import (
    LOW_BITS,
    LOW_MASK,
    NO_SITE,
    Family,
    Keys,
    LowKeys,
    Segments,
    SiteIndexes,
    to_keys,
)

_IPV4_MAPPED = bytes(10) + b"\xff\xff"


@dataclass(frozen=True)
class Address:
    """A client's address as a number."""

    family: Family
    value: int

    @property
    def packed(self) -> bytes:
        """Return the address as bytes."""
        return self.value.to_bytes(self.family.bits // 8)


@dataclass(frozen=True)
class BlockMap:
    """A map from blocks to sites, ready for look-ups.

    Attributes:
        sites: Site ids by index; the first stands for "no site".
        ipv4: Segments of IPv4.
        ipv6: Segments of IPv6.
    """

    sites: tuple[SiteId | None, ...]
    ipv4: Segments
    ipv6: Segments

    @property
    def size_bytes(self) -> int:
        """Return the memory that the segments take."""
        arrays = (
            array
            for segments in (self.ipv4, self.ipv6)
            for array in (segments.keys, segments.low, segments.sites)
        )
        return sum(array.nbytes for array in arrays)

    def site_of(self, address: Address) -> SiteId | None:
        """Return the site of one address, or None when no block holds it."""
        if address.family is Family.IPV4:
            # A view's items are plain integers, which bisect reads the fastest.
            index = bisect_right(self.ipv4.keys.data, address.value) - 1
            return self.sites[self.ipv4.sites.data[index]]
        index = _position_of_ipv6(self.ipv6, address.value)
        return self.sites[self.ipv6.sites.data[index]]

    def site_indexes(self, family: Family, keys: Keys, low: LowKeys) -> SiteIndexes:
        """Return the index of each address's site.

        Args:
            family: The family of all the addresses.
            keys: Whole IPv4 addresses or the upper halves of IPv6 addresses.
            low: The lower halves of IPv6 addresses; empty for IPv4.
        """
        segments = self.ipv4 if family is Family.IPV4 else self.ipv6
        found = np.searchsorted(segments.keys, keys, side="right") - 1
        if segments.low.size:
            _step_back(segments, keys, low, found)
        indexes: SiteIndexes = segments.sites[found]
        return indexes

    def sites_of(self, addresses: Sequence[Address]) -> tuple[SiteId | None, ...]:
        """Return the site of each address, families mixed."""
        found = np.full(len(addresses), NO_SITE, np.uint16)
        for family in Family:
            rows = [
                row for row, address in enumerate(addresses) if address.family is family
            ]
            keys, low = to_keys(family, [addresses[row].value for row in rows])
            found[rows] = self.site_indexes(family, keys, low)
        return tuple(self.sites[index] for index in found.tolist())


def parse_address(
    text: str, source: str, field: str = "client"
) -> Result[Address, InvalidField]:
    """Read an address; an IPv4 address inside IPv6 counts as IPv4.

    Args:
        text: The address as text.
        source: Where it came from, for the problem.
        field: The field that held it, for the problem.

    >>> parse_address("::ffff:10.0.0.1", "look-up").unwrap().value == 10 * 2**24 + 1
    True
    >>> parse_address("10.0.0", "look-up").failure().describe()
    'look-up: client is 10.0.0; allowed: an IPv4 or IPv6 address'
    """
    packed = pack_address(text)
    if packed is None:
        allowed = "an IPv4 or IPv6 address"
        return Failure(InvalidField(source, field, text[:80], allowed))
    if packed.startswith(_IPV4_MAPPED):
        packed = packed[len(_IPV4_MAPPED) :]
    family = Family.IPV4 if len(packed) == 4 else Family.IPV6
    return Success(Address(family, int.from_bytes(packed)))


def pack_address(text: str) -> bytes | None:
    """Return an address as bytes, or None when the text is not one."""
    try:
        kind = socket.AF_INET6 if ":" in text else socket.AF_INET
        return socket.inet_pton(kind, text)
    except (OSError, ValueError):
        return None


def _position_of_ipv6(segments: Segments, value: int) -> int:
    key = value >> LOW_BITS
    index = bisect_right(segments.keys.data, key) - 1
    low = value & LOW_MASK
    if segments.low.size and segments.keys.data[index] == key:
        return _position_in_key(segments, index, low)
    return index


def _position_in_key(segments: Segments, last: int, low: int) -> int:
    """Return the last segment at or before an address, among those of its key.

    Args:
        segments: Segments of IPv6.
        last: The last segment that has the address's key.
        low: The address's lower half.
    """
    first = int(np.searchsorted(segments.keys, segments.keys[last]))
    return bisect_right(segments.low.data, low, first, last + 1) - 1


def _step_back(
    segments: Segments, keys: Keys, low: LowKeys, found: npt.NDArray[np.intp]
) -> None:
    """Correct, in place, the positions of addresses that share a key with others."""
    is_past = (segments.keys[found] == keys) & (segments.low[found] > low)
    for row in np.flatnonzero(is_past):
        found[row] = _position_in_key(segments, int(found[row]), int(low[row]))
