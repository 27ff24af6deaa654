"""Assign objects to upstreams by rendezvous hashing.

All instances compute the same owner for the same set of upstreams, and few objects
change owners when an upstream is added or removed.
"""

import xxhash

from tanagercourse.core.ids import AffinityKey, UpstreamId


def rendezvous_weight(upstream: UpstreamId, key: AffinityKey) -> int:
    """Return an upstream's weight for an object; the highest weight owns the object."""
    return xxhash.xxh3_64_intdigest(f"{upstream}|{key}".encode())


def hash_to_unit_interval(key: AffinityKey) -> float:
    """Map an object to a number from 0 to 1 that is the same on every instance."""
    return xxhash.xxh3_64_intdigest(key.encode()) / 2**64
