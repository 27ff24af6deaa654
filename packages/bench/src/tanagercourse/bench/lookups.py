"""Measure look-ups: client blocks, prepared answers and the whole path over HTTP."""

import sys
import time
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from random import Random
from typing import TypeVar

import numpy as np

from tanagercourse.bench.client_blocks import SITES, make_rows
from tanagercourse.bench.lookup_rate import measure_http
from tanagercourse.bench.measure import Bound, Measure, Target
from tanagercourse.core.ids import InstanceId, RegionId, SiteId, TeamId, ZoneId
from tanagercourse.settings.blocks import (
    EncodedMap,
    decode_manifest,
    decode_part,
    encode_map,
    join_parts,
)
from tanagercourse.steering.blocks import Address, BlockMap
from tanagercourse.steering.flatten import BlockRow, build_map
from tanagercourse.steering.placement import (
    BUCKET_COUNT,
    CallerLocation,
    Candidate,
    Placement,
    assign_bounded,
    assign_rendezvous,
)
from tanagercourse.steering.segments import Family

BYTES_PER_MB = 1_000_000
MAX_MAP_MB = 64.0
MIN_BATCH_RATE = 1_000_000.0
MIN_HTTP_RATE = 2_000.0

ONE_BY_ONE = 100_000
BATCH = 1_000_000
ANSWERS = 5_000
FLEET_INSTANCES = 2_900
FLEET_ZONES = 68
ZONES_A_REGION = 3

# Sites by prefix length and leading bits: the naive map.
T = TypeVar("T")

NaiveMap = Mapping[tuple[int, int], SiteId]


def measure_lookups(seed: int) -> Iterable[Measure]:
    """Measure everything that a look-up takes."""
    random = Random(seed)
    yield from _measure_blocks(random)
    yield from _measure_answers(random)
    yield from _measure_placement()
    rate, batch_rate = measure_http()
    at_least = Target(Bound.AT_LEAST, MIN_HTTP_RATE)
    yield Measure("lookup/http/rate", "1/s and core", rate, target=at_least)
    yield Measure("lookup/http/batch_rate", "clients/s and core", batch_rate)


def _measure_blocks(random: Random) -> Iterator[Measure]:
    rows = make_rows(random)
    build_s, blocks = _timed(lambda: build_map(rows, SITES, "bench").unwrap())
    naive_build_s, naive = _timed(lambda: _build_naive(rows))
    yield Measure("lookup/map/build", "s", build_s, naive_build_s)
    encoded = encode_map(TeamId("t"), blocks, dict.fromkeys(SITES, ZoneId("z")))
    load_s, _ = _timed(lambda: _load(encoded))
    yield Measure("lookup/map/load", "s", load_s)
    sizes = [len(value) for value in encoded.parts.values()]
    yield Measure("lookup/map/encoded", "MB", sum(sizes) / BYTES_PER_MB)
    at_most = Target(Bound.AT_MOST, MAX_MAP_MB)
    ours_mb = blocks.size_bytes / BYTES_PER_MB
    naive_mb = _naive_size_bytes(naive) / BYTES_PER_MB
    yield Measure("lookup/map/memory", "MB", ours_mb, naive_mb, at_most)
    yield from _measure_searches(random, blocks, naive)


def _measure_searches(
    random: Random, blocks: BlockMap, naive: NaiveMap
) -> Iterator[Measure]:
    values = [random.getrandbits(32) for _ in range(ONE_BY_ONE)]
    lengths = sorted({length for length, _ in naive}, reverse=True)
    addresses = [Address(Family.IPV4, value) for value in values]
    ours_s, ours = _timed(lambda: [blocks.site_of(address) for address in addresses])
    naive_s, theirs = _timed(lambda: [_find_naive(naive, lengths, v) for v in values])
    if ours != theirs:
        raise AssertionError("the map and the naive version disagree")
    us = 1e6 / ONE_BY_ONE
    yield Measure("lookup/block/one", "us", ours_s * us, naive_s * us)
    keys = np.random.default_rng(random.getrandbits(32)).integers(
        0, 2**32, BATCH, dtype=np.uint32
    )
    no_low = np.empty(0, np.uint64)
    batch_s, _ = _timed(lambda: blocks.site_indexes(Family.IPV4, keys, no_low))
    at_least = Target(Bound.AT_LEAST, MIN_BATCH_RATE)
    rates = BATCH / batch_s, ONE_BY_ONE / naive_s
    yield Measure("lookup/block/batch_rate", "1/s", *rates, at_least)


def _measure_answers(random: Random) -> Iterator[Measure]:
    """Measure the order of instances for callers of a zone in a fleet of full size."""
    fleet = [_candidate(number) for number in range(FLEET_INSTANCES)]
    place = CallerLocation(fleet[0].zone, fleet[0].region)
    buckets = [random.randrange(BUCKET_COUNT) for _ in range(ANSWERS)]
    placement = Placement(fleet)
    first_s, _ = _timed(lambda: placement.candidates_for(place, 0))
    yield Measure("lookup/order/first_of_a_zone", "ms", first_s * 1e3)
    ours_s, _ = _timed(lambda: [placement.candidates_for(place, b) for b in buckets])
    few = buckets[: ANSWERS // 100]
    naive_s, _ = _timed(lambda: [_order_naive(fleet, place, b) for b in few])
    ours_us, naive_us = ours_s / len(buckets) * 1e6, naive_s / len(few) * 1e6
    yield Measure("lookup/order/unprepared", "us", ours_us, naive_us)


def _measure_placement() -> Iterator[Measure]:
    """Measure how evenly callers spread, and how many move when one instance goes."""
    for count in (2, 10, FLEET_INSTANCES // FLEET_ZONES + 1):
        fleet = [_candidate(number) for number in range(count)]
        ours, naive = _spread(assign_bounded, fleet), _spread(assign_rendezvous, fleet)
        name = f"lookup/placement/{count}"
        yield Measure(f"{name}/busiest", "of mean", ours[0], naive[0])
        yield Measure(f"{name}/moved", "of its callers", ours[1], naive[1])


def _spread(
    assign: Callable[[Sequence[Candidate]], tuple[Candidate, ...]],
    fleet: Sequence[Candidate],
) -> tuple[float, float]:
    """Return the largest load over the mean, and callers moved over the mean."""
    mean = BUCKET_COUNT / len(fleet)
    before = assign(fleet)
    moved = 0
    for gone in fleet:
        after = assign([other for other in fleet if other != gone])
        moved += sum(one != two for one, two in zip(before, after, strict=True))
    largest = max(before.count(candidate) for candidate in fleet)
    return largest / mean, moved / len(fleet) / mean


def _candidate(number: int) -> Candidate:
    zone = number % FLEET_ZONES
    region = RegionId(f"region-{zone // ZONES_A_REGION}")
    return Candidate(InstanceId(f"entry-{number}"), ZoneId(f"zone-{zone}"), region)


def _order_naive(
    fleet: Sequence[Candidate], place: CallerLocation, bucket: int
) -> Sequence[Candidate]:
    """Sort the whole fleet by distance and hash, as at first."""

    def candidates_for(one: Candidate) -> tuple[int, int, int]:
        score = hash((bucket, one.id))
        return (place.zone != one.zone, place.region != one.region, score)

    return sorted(fleet, key=candidates_for)[:3]


def _load(encoded: EncodedMap) -> BlockMap:
    manifest = decode_manifest(encoded.manifest_path, encoded.manifest).unwrap()
    parts = {
        path.rpartition("/")[2]: decode_part(path, value).unwrap()
        for path, value in encoded.parts.items()
    }
    return join_parts(encoded.manifest_path, manifest, parts).unwrap()


def _build_naive(rows: Iterable[BlockRow]) -> NaiveMap:
    """Return the IPv4 blocks in a dictionary."""
    naive = {}
    for row in rows:
        address, _, length_text = row.block.partition("/")
        if ":" not in address:
            length = int(length_text)
            octets = bytes(int(part) for part in address.split("."))
            naive[length, int.from_bytes(octets) >> (32 - length)] = row.site
    return naive


def _find_naive(naive: NaiveMap, lengths: Sequence[int], value: int) -> SiteId | None:
    for length in lengths:
        site = naive.get((length, value >> (32 - length)))
        if site is not None:
            return site
    return None


def _naive_size_bytes(naive: NaiveMap) -> int:
    """Return the memory of the dictionary and its keys; sites are shared."""
    keys = sum(sys.getsizeof(key) + sys.getsizeof(key[1]) for key in naive)
    return sys.getsizeof(naive) + keys


def _timed(run: Callable[[], T]) -> tuple[float, T]:
    begun_s = time.perf_counter()
    result = run()
    return time.perf_counter() - begun_s, result
