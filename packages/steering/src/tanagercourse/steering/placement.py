"""Choose which entry instances a caller is told to use, and in which order.

Callers are hashed into buckets, and each bucket of a zone gets an order of instances:
the caller's zone first, then its region, then the others. Buckets are given to the
first choice by rendezvous hashing with bounded loads, so that callers spread evenly
and few move when an instance comes or goes. The last choice stands in another zone,
so that an answer outlives the loss of one.
"""

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from itertools import chain, islice

import xxhash

from tanagercourse.core.ids import InstanceId, RegionId, ZoneId

ANSWER_INSTANCES = 3
BUCKET_COUNT = 1_024
# An instance gets at most this share of buckets beyond the even part.
LOAD_SLACK = 0.05
# Beyond this many instances, bounding their loads costs more than it evens out.
MAX_BOUNDED = 64

Bucket = int


@dataclass(frozen=True)
class Candidate:
    """An entry instance that can be offered."""

    id: InstanceId
    zone: ZoneId
    region: RegionId


@dataclass(frozen=True)
class CallerLocation:
    """Where a caller is, as far as it is known."""

    zone: ZoneId | None
    region: RegionId | None


class Placement:
    """Orders of one set of candidates by place and bucket, made when first asked."""

    def __init__(self, candidates: Sequence[Candidate]) -> None:
        self._candidates = tuple(candidates)
        self._tiers: dict[CallerLocation, tuple[tuple[Candidate, ...], ...]] = {}
        self._first: dict[CallerLocation, tuple[Candidate, ...]] = {}

    def candidates_for(
        self, place: CallerLocation, bucket: Bucket
    ) -> tuple[Candidate, ...]:
        """Return candidates for a caller, first choice first.

        Args:
            place: Where the caller is.
            bucket: The caller's bucket.
        """
        if place not in self._tiers:
            self._tiers[place] = _split_by_distance(place, self._candidates)
            self._first[place] = _choose_first(self._tiers[place])
        tiers = self._tiers[place]
        if not tiers:
            return ()
        first = self._first[place]
        chosen = first[bucket] if first else _by_score(bucket, tiers[0])[0]
        return _complete(bucket, chosen, tiers)


def bucket_of(address: bytes) -> Bucket:
    """Return a caller's bucket.

    Args:
        address: The caller's address as bytes.
    """
    return xxhash.xxh3_64_intdigest(address) % BUCKET_COUNT


def assign_bounded(
    candidates: Sequence[Candidate], slack: float = LOAD_SLACK
) -> tuple[Candidate, ...]:
    """Give each bucket to the candidate it scores highest that is not full.

    Args:
        candidates: Instances to choose from, at least one.
        slack: Share of buckets that one may get beyond the even part.

    Returns:
        The chosen candidate of each bucket.
    """
    limit = math.ceil(BUCKET_COUNT / len(candidates) * (1.0 + slack))
    loads = dict.fromkeys((candidate.id for candidate in candidates), 0)
    chosen = []
    for bucket in range(BUCKET_COUNT):
        ordered = _by_score(bucket, candidates)
        free = next(candidate for candidate in ordered if loads[candidate.id] < limit)
        loads[free.id] += 1
        chosen.append(free)
    return tuple(chosen)


def assign_rendezvous(candidates: Sequence[Candidate]) -> tuple[Candidate, ...]:
    """Give each bucket to the candidate it scores highest: the naive version."""
    return tuple(_by_score(bucket, candidates)[0] for bucket in range(BUCKET_COUNT))


def location_of(
    regions: Mapping[ZoneId, RegionId], zone: ZoneId | None
) -> CallerLocation:
    """Return the place of a caller in a zone; an unknown zone is no place."""
    if zone is None or zone not in regions:
        return CallerLocation(None, None)
    return CallerLocation(zone, regions[zone])


def _split_by_distance(
    place: CallerLocation, candidates: Sequence[Candidate]
) -> tuple[tuple[Candidate, ...], ...]:
    """Return candidates by distance, nearest first, without empty groups."""
    tiers: tuple[list[Candidate], ...] = ([], [], [])
    for candidate in candidates:
        tiers[_distance(place, candidate)].append(candidate)
    return tuple(tuple(tier) for tier in tiers if tier)


def _distance(place: CallerLocation, candidate: Candidate) -> int:
    if place.zone == candidate.zone:
        return 0
    return 1 if place.region == candidate.region else 2


def _choose_first(tiers: Sequence[Sequence[Candidate]]) -> tuple[Candidate, ...]:
    if not tiers or len(tiers[0]) > MAX_BOUNDED:
        return ()
    return assign_bounded(tiers[0])


def _complete(
    bucket: Bucket, first: Candidate, tiers: Sequence[Sequence[Candidate]]
) -> tuple[Candidate, ...]:
    """Add the nearest others to the first choice, the last from another zone."""
    ordered = chain.from_iterable(_by_score(bucket, tier) for tier in tiers)
    others = (other for other in ordered if other.id != first.id)
    chosen = (first, *islice(others, ANSWER_INSTANCES - 2))
    passed_over = []
    for other in others:
        if other.zone != first.zone:
            return (*chosen, other)
        passed_over.append(other)
    return (*chosen, *passed_over[:1])


def _by_score(bucket: Bucket, candidates: Sequence[Candidate]) -> list[Candidate]:
    """Return candidates by rendezvous hash, highest first."""

    def score(candidate: Candidate) -> int:
        return xxhash.xxh3_64_intdigest(f"{bucket}|{candidate.id}".encode())

    return sorted(candidates, key=score, reverse=True)
