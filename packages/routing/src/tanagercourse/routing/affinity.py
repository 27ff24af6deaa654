"""Which upstream of a set owns an object, by rendezvous hashing.

Every instance gives the same answer for the same set, and few objects change their
owner when an upstream comes or goes.
"""

import xxhash

from tanagercourse.core.ids import AffinityKey, UpstreamId


def rendezvous_weight(upstream: UpstreamId, key: AffinityKey) -> int:
    """Return an upstream's weight for an object; the heaviest owns it."""
    return xxhash.xxh3_64_intdigest(f"{upstream}|{key}".encode())


def hash_to_unit_interval(key: AffinityKey) -> float:
    """Return an object's place between 0 and 1, the same on every instance."""
    return xxhash.xxh3_64_intdigest(key.encode()) / 2**64
