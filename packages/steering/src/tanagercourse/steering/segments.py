"""Sorted, disjoint segments of an address space, each with one site.

A segment is stored as its first address and the index of its site. It ends where the
next segment begins.
"""

from bisect import bisect_left
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from enum import Enum, unique

import numpy as np
import numpy.typing as npt

# Leading bits of addresses: all 32 bits for IPv4, the upper 64 for IPv6.
Keys = npt.NDArray[np.uint32] | npt.NDArray[np.uint64]
LowKeys = npt.NDArray[np.uint64]
SiteIndexes = npt.NDArray[np.uint16]

# Site index of addresses that no block contains.
NO_SITE = 0
MAX_SITES = 65_535

LOW_BITS = 64
LOW_MASK = 2**LOW_BITS - 1


@unique
class Family(Enum):
    """The address families of client blocks."""

    IPV4 = "ipv4"
    IPV6 = "ipv6"

    @property
    def bits(self) -> int:
        """Return the length of an address, in bits."""
        return 32 if self is Family.IPV4 else 128

    @property
    def key_bits(self) -> int:
        """Return the number of leading bits in a key."""
        return 32 if self is Family.IPV4 else 64


@dataclass(frozen=True)
class Segments:
    """Disjoint, sorted segments that cover the address space of one family.

    Attributes:
        family: The address family.
        keys: Leading bits of each segment's first address, in order.
        low: Lower 64 bits of each first address; empty when all are 0.
        sites: Site index of each segment.
    """

    family: Family
    keys: Keys
    low: LowKeys
    sites: SiteIndexes

    @property
    def is_sorted(self) -> bool:
        """Whether each segment begins after the previous one."""
        previous, following = self.keys[:-1], self.keys[1:]
        is_after = following > previous
        if self.low.size:
            is_after |= (following == previous) & (self.low[1:] > self.low[:-1])
        return bool(is_after.all())


def to_keys(family: Family, values: Sequence[int]) -> tuple[Keys, LowKeys]:
    """Convert addresses into the arrays of segments and batch look-ups."""
    if family is Family.IPV4:
        return np.array(values, np.uint32), np.empty(0, np.uint64)
    keys = np.array([value >> LOW_BITS for value in values], np.uint64)
    low = np.array([value & LOW_MASK for value in values], np.uint64)
    return keys, low


def split_segments(segments: Segments, max_segments: int) -> tuple[Segments, ...]:
    """Split segments into runs by halving the address space until each run fits.

    The position of a split depends only on the segments near it.

    Args:
        segments: The segments to split.
        max_segments: Maximum length of a run, exceeded only if one key has more
            segments.
    """
    return tuple(_halve(segments, 0, segments.family.key_bits, max_segments))


def join_segments(family: Family, runs: Sequence[Segments]) -> Segments | None:
    """Join runs in order.

    Args:
        family: The expected address family of all runs.
        runs: Runs as returned by `split_segments`.

    Returns:
        The joined segments, or None when the runs do not cover the address space of the
        family in order.
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
    segments: Segments, first_key: int, bits: int, max_segments: int
) -> Iterator[Segments]:
    """Yield the runs of a part of the address space.

    Args:
        segments: Segments of this part.
        first_key: First key of the part.
        bits: Size of the part, as a number of key bits.
        max_segments: Maximum length of a run.
    """
    if not len(segments.keys):
        return
    if len(segments.keys) <= max_segments or bits == 0:
        yield segments
        return
    middle_key = first_key + (1 << (bits - 1))
    split_index = bisect_left(segments.keys.data, middle_key)
    yield from _halve(
        _slice_segments(segments, slice(0, split_index)),
        first_key,
        bits - 1,
        max_segments,
    )
    yield from _halve(
        _slice_segments(segments, slice(split_index, None)),
        middle_key,
        bits - 1,
        max_segments,
    )


def _slice_segments(segments: Segments, part: slice) -> Segments:
    low = segments.low[part] if segments.low.size else segments.low
    return Segments(segments.family, segments.keys[part], low, segments.sites[part])
