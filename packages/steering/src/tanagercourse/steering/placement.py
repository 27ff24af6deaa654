"""Choose the entry instances that a caller should use, in order of preference.

Callers are hashed into buckets, and each bucket of a zone gets an ordered list of
instances: first those of the caller's zone, then those of its region, then the rest.
Rendezvous hashing with bounded loads assigns the first choice of each bucket, so that
callers spread evenly and few of them move when an instance joins or leaves. The last
choice is, if possible, in another zone than the first, so that a response remains
useful after the loss of a zone.
"""

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from itertools import chain, islice

import xxhash

from tanagercourse.core.ids import InstanceId, RegionId, ZoneId

INSTANCES_PER_RESPONSE = 3
BUCKET_COUNT = 1_024
# Maximum share of buckets that an instance gets in excess of an equal distribution.
LOAD_SLACK = 0.05
# Above this number of instances, loads are not bounded, as the cost of computing the
# assignment exceeds the benefit of the better balance.
MAX_BOUNDED_INSTANCES = 64

Bucket = int


@dataclass(frozen=True)
class Candidate:
    """An entry instance that can be offered to callers."""

    id: InstanceId
    zone: ZoneId
    region: RegionId


@dataclass(frozen=True)
class CallerLocation:
    """A caller's zone and region, None where unknown."""

    zone: ZoneId | None
    region: RegionId | None


class Placement:
    """Orders a set of candidates by caller location and bucket.

    The order for a location is prepared on its first use.

    Args:
        candidates: The instances to choose from.
    """

    def __init__(self, candidates: Sequence[Candidate]) -> None:
        self._candidates = tuple(candidates)
        self._tiers: dict[CallerLocation, tuple[tuple[Candidate, ...], ...]] = {}
        self._first_choices: dict[CallerLocation, tuple[Candidate, ...]] = {}

    def candidates_for(
        self, location: CallerLocation, bucket: Bucket
    ) -> tuple[Candidate, ...]:
        """Return the candidates for a caller, in order of preference.

        Args:
            location: The caller's location.
            bucket: The caller's bucket.
        """
        if location not in self._tiers:
            self._tiers[location] = _split_by_distance(location, self._candidates)
            self._first_choices[location] = _assign_first_choices(self._tiers[location])
        tiers = self._tiers[location]
        if not tiers:
            return ()
        by_bucket = self._first_choices[location]
        chosen = by_bucket[bucket] if by_bucket else _by_score(bucket, tiers[0])[0]
        return _append_fallbacks(bucket, chosen, tiers)


def bucket_of(address: bytes) -> Bucket:
    """Return the bucket that a caller is hashed into.

    Args:
        address: The caller's address as bytes.
    """
    return xxhash.xxh3_64_intdigest(address) % BUCKET_COUNT


def assign_bounded(
    candidates: Sequence[Candidate], slack: float = LOAD_SLACK
) -> tuple[Candidate, ...]:
    """Assign each bucket to its highest-scoring candidate below the load limit.

    Args:
        candidates: Instances to choose from, at least one.
        slack: Share of buckets that a candidate may get in excess of an equal
            distribution.

    Returns:
        The candidate of each bucket.
    """
    max_buckets = math.ceil(BUCKET_COUNT / len(candidates) * (1.0 + slack))
    loads = dict.fromkeys((candidate.id for candidate in candidates), 0)
    chosen = []
    for bucket in range(BUCKET_COUNT):
        ordered = _by_score(bucket, candidates)
        assigned = next(
            candidate for candidate in ordered if loads[candidate.id] < max_buckets
        )
        loads[assigned.id] += 1
        chosen.append(assigned)
    return tuple(chosen)


def assign_rendezvous(candidates: Sequence[Candidate]) -> tuple[Candidate, ...]:
    """Assign each bucket to its highest-scoring candidate: the unbounded baseline."""
    return tuple(_by_score(bucket, candidates)[0] for bucket in range(BUCKET_COUNT))


def location_of(
    regions: Mapping[ZoneId, RegionId], zone: ZoneId | None
) -> CallerLocation:
    """Return the location of a caller, without zone and region if its zone is unknown.

    Args:
        regions: Region of each zone of the fleet.
        zone: The caller's zone, None if unknown.
    """
    if zone is None or zone not in regions:
        return CallerLocation(None, None)
    return CallerLocation(zone, regions[zone])


def _split_by_distance(
    location: CallerLocation, candidates: Sequence[Candidate]
) -> tuple[tuple[Candidate, ...], ...]:
    """Return non-empty groups of candidates at the same distance, nearest first."""
    tiers: tuple[list[Candidate], ...] = ([], [], [])
    for candidate in candidates:
        tiers[_distance(location, candidate)].append(candidate)
    return tuple(tuple(tier) for tier in tiers if tier)


def _distance(location: CallerLocation, candidate: Candidate) -> int:
    if location.zone == candidate.zone:
        return 0
    return 1 if location.region == candidate.region else 2


def _assign_first_choices(
    tiers: Sequence[Sequence[Candidate]],
) -> tuple[Candidate, ...]:
    if not tiers or len(tiers[0]) > MAX_BOUNDED_INSTANCES:
        return ()
    return assign_bounded(tiers[0])


def _append_fallbacks(
    bucket: Bucket, first_choice: Candidate, tiers: Sequence[Sequence[Candidate]]
) -> tuple[Candidate, ...]:
    """Append the nearest other candidates to the first choice.

    The last of them is in another zone than the first choice, if one is left.
    """
    ordered = chain.from_iterable(_by_score(bucket, tier) for tier in tiers)
    fallbacks = (candidate for candidate in ordered if candidate.id != first_choice.id)
    chosen = (first_choice, *islice(fallbacks, INSTANCES_PER_RESPONSE - 2))
    same_zone = []
    for fallback in fallbacks:
        if fallback.zone != first_choice.zone:
            return (*chosen, fallback)
        same_zone.append(fallback)
    return (*chosen, *same_zone[:1])


def _by_score(bucket: Bucket, candidates: Sequence[Candidate]) -> list[Candidate]:
    """Return candidates by rendezvous score, highest first."""

    def score(candidate: Candidate) -> int:
        return xxhash.xxh3_64_intdigest(f"{bucket}|{candidate.id}".encode())

    return sorted(candidates, key=score, reverse=True)
