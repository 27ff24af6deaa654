"""Sorted, disjoint segments of an address space, each with one site.

A segment is kept as its first address and the index of its site; it ends where the
next one begins.
"""

from bisect import bisect_left
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from enum import Enum, unique

import numpy as np
import numpy.typing as npt

# The first part of an address: 32 bits of IPv4 or the upper 64 of IPv6.
Keys = npt.NDArray[np.uint32] | npt.NDArray[np.uint64]
LowKeys = npt.NDArray[np.uint64]
SiteIndexes = npt.NDArray[np.uint16]

# The index of "no site": addresses that no block holds.
NO_SITE = 0
MAX_SITES = 65_535

LOW_BITS = 64
LOW_MASK = 2**LOW_BITS - 1


@unique
class Family(Enum):
    """Address families."""

    IPV4 = "ipv4"
    IPV6 = "ipv6"

    @property
    def bits(self) -> int:
        """Return the length of an address, in bits."""
        return 32 if self is Family.IPV4 else 128

    @property
    def key_bits(self) -> int:
        """Return the length of the part that keys hold, in bits."""
        return 32 if self is Family.IPV4 else 64


@dataclass(frozen=True)
class Segments:
    """Disjoint segments that cover one family's whole address space in order.

    Attributes:
        family: The address family.
        keys: First part of each segment's first address, in order.
        low: Lower 64 bits of each first address; empty when all are 0.
        sites: Index of each segment's site.
    """

    family: Family
    keys: Keys
    low: LowKeys
    sites: SiteIndexes

    @property
    def is_sorted(self) -> bool:
        """Whether each segment begins after the one before it."""
        earlier, later = self.keys[:-1], self.keys[1:]
        is_after = later > earlier
        if self.low.size:
            is_after |= (later == earlier) & (self.low[1:] > self.low[:-1])
        return bool(is_after.all())


def to_keys(family: Family, values: Sequence[int]) -> tuple[Keys, LowKeys]:
    """Return addresses as the arrays that segments and batches are made of."""
    if family is Family.IPV4:
        return np.array(values, np.uint32), np.empty(0, np.uint64)
    keys = np.array([value >> LOW_BITS for value in values], np.uint64)
    low = np.array([value & LOW_MASK for value in values], np.uint64)
    return keys, low


def split_segments(segments: Segments, max_segments: int) -> tuple[Segments, ...]:
    """Cut segments into runs by halving the address space until each is short.

    Where the cuts fall depends on the segments near them only.

    Args:
        segments: What to cut.
        max_segments: The longest run, unless one key alone has more.
    """
    return tuple(_halve(segments, 0, segments.family.key_bits, max_segments))


def join_segments(family: Family, runs: Sequence[Segments]) -> Segments | None:
    """Join runs in order, or return None when they are not one family's whole space.

    Args:
        family: The family that they must be of.
        runs: What `split_segments` returned.
    """
    if not runs or any(run.family is not family for run in runs):
        return None
    has_low = any(run.low.size for run in runs)
    lows = [
        run.low if run.low.size else np.zeros(len(run.keys), np.uint64) for run in runs
    ]
    joined = Segments(
        family,
        np.concatenate([run.keys for run in runs]),
        np.concatenate(lows) if has_low else np.empty(0, np.uint64),
        np.concatenate([run.sites for run in runs]),
    )
    starts_at_0 = joined.keys[0] == 0 and not joined.low[:1].any()
    return joined if starts_at_0 and joined.is_sorted else None


def _halve(
    segments: Segments, first: int, bits: int, max_segments: int
) -> Iterator[Segments]:
    """Yield runs of segments that begin at `first` and span a number of bits."""
    if not len(segments.keys):
        return
    if len(segments.keys) <= max_segments or bits == 0:
        yield segments
        return
    middle = first + (1 << (bits - 1))
    cut = bisect_left(segments.keys.data, middle)
    yield from _halve(_cut(segments, slice(0, cut)), first, bits - 1, max_segments)
    yield from _halve(_cut(segments, slice(cut, None)), middle, bits - 1, max_segments)


def _cut(segments: Segments, part: slice) -> Segments:
    low = segments.low[part] if segments.low.size else segments.low
    return Segments(segments.family, segments.keys[part], low, segments.sites[part])
