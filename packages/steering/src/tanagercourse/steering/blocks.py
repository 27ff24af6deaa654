"""Map client addresses to sites by longest-prefix match.

Nested blocks are flattened into sorted, disjoint segments of the address space, each
with one site. A look-up is one binary search, and a batch is one call of numpy.
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
    """A client's IP address.

    Attributes:
        family: The address family.
        value: The address as an integer.
    """

    family: Family
    value: int

    @property
    def packed(self) -> bytes:
        """Return the address as bytes in network byte order."""
        return self.value.to_bytes(self.family.bits // 8)


@dataclass(frozen=True)
class BlockMap:
    """An immutable map from address blocks to sites.

    Attributes:
        sites: Site ids by index; the first is None, for addresses without a site.
        ipv4: Segments of the IPv4 address space.
        ipv6: Segments of the IPv6 address space.
    """

    sites: tuple[SiteId | None, ...]
    ipv4: Segments
    ipv6: Segments

    @property
    def size_bytes(self) -> int:
        """Return the memory size of the segments, in bytes."""
        arrays = (
            array
            for segments in (self.ipv4, self.ipv6)
            for array in (segments.keys, segments.low, segments.sites)
        )
        return sum(array.nbytes for array in arrays)

    def site_of(self, address: Address) -> SiteId | None:
        """Return the site of an address, None when no block contains it."""
        if address.family is Family.IPV4:
            # The items of a memoryview are plain integers, on which bisect is fastest.
            index = bisect_right(self.ipv4.keys.data, address.value) - 1
            return self.sites[self.ipv4.sites.data[index]]
        index = _position_of_ipv6(self.ipv6, address.value)
        return self.sites[self.ipv6.sites.data[index]]

    def site_indexes(self, family: Family, keys: Keys, low: LowKeys) -> SiteIndexes:
        """Return the site index of each address.

        Args:
            family: The family of all the addresses.
            keys: Complete IPv4 addresses or upper halves of IPv6 addresses.
            low: Lower halves of IPv6 addresses; empty for IPv4.
        """
        segments = self.ipv4 if family is Family.IPV4 else self.ipv6
        positions = np.searchsorted(segments.keys, keys, side="right") - 1
        if segments.low.size:
            _correct_shared_keys(segments, keys, low, positions)
        indexes: SiteIndexes = segments.sites[positions]
        return indexes

    def sites_of(self, addresses: Sequence[Address]) -> tuple[SiteId | None, ...]:
        """Return the site of each address; families may be mixed."""
        indexes = np.full(len(addresses), NO_SITE, np.uint16)
        for family in Family:
            rows = [
                row for row, address in enumerate(addresses) if address.family is family
            ]
            keys, low = to_keys(family, [addresses[row].value for row in rows])
            indexes[rows] = self.site_indexes(family, keys, low)
        return tuple(self.sites[index] for index in indexes.tolist())


def parse_address(
    text: str, source: str, field: str = "client"
) -> Result[Address, InvalidField]:
    """Parse an address; an IPv4-mapped IPv6 address is returned as IPv4.

    Args:
        text: The address as text.
        source: Where the text came from, for the error.
        field: The field that contained the text, for the error.

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
    """Return an address as bytes, None when the text is not an address."""
    try:
        socket_family = socket.AF_INET6 if ":" in text else socket.AF_INET
        return socket.inet_pton(socket_family, text)
    except (OSError, ValueError):
        return None


def _position_of_ipv6(segments: Segments, value: int) -> int:
    key = value >> LOW_BITS
    index = bisect_right(segments.keys.data, key) - 1
    low = value & LOW_MASK
    if segments.low.size and segments.keys.data[index] == key:
        return _position_in_key(segments, index, low)
    return index


def _position_in_key(segments: Segments, last_index: int, low: int) -> int:
    """Return the last segment at or before an address, among those with its key.

    Args:
        segments: Segments of the IPv6 address space.
        last_index: Index of the last segment with the address's key.
        low: Lower half of the address.
    """
    first_index = int(np.searchsorted(segments.keys, segments.keys[last_index]))
    return bisect_right(segments.low.data, low, first_index, last_index + 1) - 1


def _correct_shared_keys(
    segments: Segments, keys: Keys, low: LowKeys, positions: npt.NDArray[np.intp]
) -> None:
    """Correct, in place, the positions of addresses whose key has several segments."""
    is_past = (segments.keys[positions] == keys) & (segments.low[positions] > low)
    for row in np.flatnonzero(is_past):
        positions[row] = _position_in_key(segments, int(positions[row]), int(low[row]))
