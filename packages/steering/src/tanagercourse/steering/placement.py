"""Choose which entry instances a caller is told to use, and in which order."""

from collections.abc import Sequence
from dataclasses import dataclass

import xxhash
from tanagercourse.core.ids import InstanceId, RegionId, ZoneId

ANSWER_INSTANCES = 3


@dataclass(frozen=True)
class Candidate:
    """An entry instance that can be offered."""

    id: InstanceId
    zone: ZoneId
    region: RegionId


@dataclass(frozen=True)
class CallerPlace:
    """Where a caller is, as far as it is known."""

    zone: ZoneId | None
    region: RegionId | None


def place_caller(
    caller: str,
    place: CallerPlace,
    candidates: Sequence[Candidate],
    count: int = ANSWER_INSTANCES,
) -> tuple[Candidate, ...]:
    """Order entry instances for a caller by nearness, then by rendezvous hash.

    Rendezvous hashing moves only the callers of an instance that comes or goes.

    Args:
        caller: The caller's address or block as text.
        place: Its availability zone and region.
        candidates: Instances that can be offered.
        count: How many to return at most.

    Returns:
        Candidates, first choice first.
    """

    def order(candidate: Candidate) -> tuple[int, int]:
        score = xxhash.xxh3_64_intdigest(f"{caller}|{candidate.id}".encode())
        return (_distance(place, candidate), score)

    return tuple(sorted(candidates, key=order)[:count])


def _distance(place: CallerPlace, candidate: Candidate) -> int:
    if place.zone == candidate.zone:
        return 0
    return 1 if place.region == candidate.region else 2
