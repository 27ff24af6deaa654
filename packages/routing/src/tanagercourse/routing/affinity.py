"""Which upstream of a set owns an object, by rendezvous hashing.

Every instance gives the same answer for the same set, and few objects change their
owner when an upstream comes or goes.
"""

from collections.abc import Iterable

import xxhash

from tanagercourse.core.ids import AffinityKey, UpstreamId


def weigh(upstream: UpstreamId, key: AffinityKey) -> int:
    """Return an upstream's weight for an object; the heaviest owns it."""
    return xxhash.xxh3_64_intdigest(f"{upstream}|{key}".encode())


def find_position(key: AffinityKey) -> float:
    """Return an object's place between 0 and 1, the same on every instance."""
    return xxhash.xxh3_64_intdigest(key.encode()) / 2**64


def find_owner(upstreams: Iterable[UpstreamId], key: AffinityKey) -> UpstreamId | None:
    """Return the owner of an object among upstreams, None when there are none.

    >>> find_owner([], AffinityKey("17")) is None
    True
    """
    return max(upstreams, key=lambda each: weigh(each, key), default=None)
