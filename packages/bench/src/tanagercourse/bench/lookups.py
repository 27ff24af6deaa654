"""Measure look-ups: the block map, the order of instances and look-ups over HTTP."""

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
from tanagercourse.steering.block_map_builder import BlockRow, build_map
from tanagercourse.steering.blocks import Address, BlockMap
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
MIN_BATCH_RATE_PER_S = 1_000_000.0
MIN_HTTP_RATE_PER_S = 2_000.0

SINGLE_LOOKUPS = 100_000
BATCH_SIZE = 1_000_000
ORDER_LOOKUPS = 5_000
FLEET_INSTANCES = 2_900
FLEET_ZONES = 68
ZONES_PER_REGION = 3

T = TypeVar("T")

# Baseline: a dictionary of sites by prefix length and leading bits.
BaselineMap = Mapping[tuple[int, int], SiteId]


def measure_lookups(seed: int) -> Iterable[Measure]:
    """Measure the parts of a look-up, and look-ups over HTTP."""
    random = Random(seed)
    yield from _measure_blocks(random)
    yield from _measure_candidate_order(random)
    yield from _measure_placement()
    rate, batch_rate = measure_http()
    rate_target = Target(Bound.AT_LEAST, MIN_HTTP_RATE_PER_S)
    yield Measure("lookup/http/rate", "1/s and core", rate, target=rate_target)
    yield Measure("lookup/http/batch_rate", "clients/s and core", batch_rate)


def _measure_blocks(random: Random) -> Iterator[Measure]:
    rows = make_rows(random)
    build_s, blocks = _time_call(lambda: build_map(rows, SITES, "bench").unwrap())
    baseline_build_s, baseline = _time_call(lambda: _build_baseline(rows))
    yield Measure("lookup/map/build", "s", build_s, baseline_build_s)
    encoded = encode_map(TeamId("t"), blocks, dict.fromkeys(SITES, ZoneId("z")))
    load_s, _ = _time_call(lambda: _decode_map(encoded))
    yield Measure("lookup/map/load", "s", load_s)
    sizes = [len(value) for value in encoded.parts.values()]
    yield Measure("lookup/map/encoded", "MB", sum(sizes) / BYTES_PER_MB)
    memory_target = Target(Bound.AT_MOST, MAX_MAP_MB)
    product_mb = blocks.size_bytes / BYTES_PER_MB
    baseline_mb = _baseline_size_bytes(baseline) / BYTES_PER_MB
    yield Measure("lookup/map/memory", "MB", product_mb, baseline_mb, memory_target)
    yield from _measure_searches(random, blocks, baseline)


def _measure_searches(
    random: Random, blocks: BlockMap, baseline: BaselineMap
) -> Iterator[Measure]:
    values = [random.getrandbits(32) for _ in range(SINGLE_LOOKUPS)]
    lengths = sorted({length for length, _ in baseline}, reverse=True)
    addresses = [Address(Family.IPV4, value) for value in values]
    product_s, product_sites = _time_call(
        lambda: [blocks.site_of(address) for address in addresses]
    )
    baseline_s, baseline_sites = _time_call(
        lambda: [_find_in_baseline(baseline, lengths, value) for value in values]
    )
    if product_sites != baseline_sites:
        raise AssertionError(
            "sites found in the block map differ from those of the baseline map"
        )
    us_per_lookup = 1e6 / SINGLE_LOOKUPS
    yield Measure(
        "lookup/block/one", "us", product_s * us_per_lookup, baseline_s * us_per_lookup
    )
    keys = np.random.default_rng(random.getrandbits(32)).integers(
        0, 2**32, BATCH_SIZE, dtype=np.uint32
    )
    low_keys = np.empty(0, np.uint64)
    batch_s, _ = _time_call(lambda: blocks.site_indexes(Family.IPV4, keys, low_keys))
    rate_target = Target(Bound.AT_LEAST, MIN_BATCH_RATE_PER_S)
    rates = BATCH_SIZE / batch_s, SINGLE_LOOKUPS / baseline_s
    yield Measure("lookup/block/batch_rate", "1/s", *rates, rate_target)


def _measure_candidate_order(random: Random) -> Iterator[Measure]:
    """Measure the choice of a caller's candidate instances in a fleet of full size."""
    fleet = [_make_candidate(number) for number in range(FLEET_INSTANCES)]
    location = CallerLocation(fleet[0].zone, fleet[0].region)
    buckets = [random.randrange(BUCKET_COUNT) for _ in range(ORDER_LOOKUPS)]
    placement = Placement(fleet)
    first_lookup_s, _ = _time_call(lambda: placement.candidates_for(location, 0))
    yield Measure("lookup/order/first_of_a_zone", "ms", first_lookup_s * 1e3)
    product_s, _ = _time_call(
        lambda: [placement.candidates_for(location, bucket) for bucket in buckets]
    )
    baseline_buckets = buckets[: ORDER_LOOKUPS // 100]
    baseline_s, _ = _time_call(
        lambda: [
            _sort_baseline_candidates(fleet, location, bucket)
            for bucket in baseline_buckets
        ]
    )
    product_us, baseline_us = (
        product_s / len(buckets) * 1e6,
        baseline_s / len(baseline_buckets) * 1e6,
    )
    yield Measure("lookup/order/unprepared", "us", product_us, baseline_us)


def _measure_placement() -> Iterator[Measure]:
    """Measure the spread of callers, and how many move if an instance leaves."""
    for count in (2, 10, FLEET_INSTANCES // FLEET_ZONES + 1):
        fleet = [_make_candidate(number) for number in range(count)]
        product, baseline = (
            _measure_spread(assign_bounded, fleet),
            _measure_spread(assign_rendezvous, fleet),
        )
        name = f"lookup/placement/{count}"
        yield Measure(f"{name}/busiest", "of mean", product[0], baseline[0])
        yield Measure(f"{name}/moved", "of its callers", product[1], baseline[1])


def _measure_spread(
    assign: Callable[[Sequence[Candidate]], tuple[Candidate, ...]],
    fleet: Sequence[Candidate],
) -> tuple[float, float]:
    """Return the highest load of an instance, and the callers that move if one leaves.

    Both are relative to the mean load; the callers moved are a mean over the instances.
    """
    mean = BUCKET_COUNT / len(fleet)
    before = assign(fleet)
    moved = 0
    for removed in fleet:
        after = assign([candidate for candidate in fleet if candidate != removed])
        moved += sum(
            candidate_before != candidate_after
            for candidate_before, candidate_after in zip(before, after, strict=True)
        )
    busiest = max(before.count(candidate) for candidate in fleet)
    return busiest / mean, moved / len(fleet) / mean


def _make_candidate(number: int) -> Candidate:
    zone = number % FLEET_ZONES
    region = RegionId(f"region-{zone // ZONES_PER_REGION}")
    return Candidate(InstanceId(f"entry-{number}"), ZoneId(f"zone-{zone}"), region)


def _sort_baseline_candidates(
    fleet: Sequence[Candidate], location: CallerLocation, bucket: int
) -> Sequence[Candidate]:
    """Sort the entire fleet by distance and hash, and return the first three."""

    def distance_key(candidate: Candidate) -> tuple[int, int, int]:
        score = hash((bucket, candidate.id))
        return (
            location.zone != candidate.zone,
            location.region != candidate.region,
            score,
        )

    return sorted(fleet, key=distance_key)[:3]


def _decode_map(encoded: EncodedMap) -> BlockMap:
    manifest = decode_manifest(encoded.manifest_path, encoded.manifest).unwrap()
    parts = {
        path.rpartition("/")[2]: decode_part(path, value).unwrap()
        for path, value in encoded.parts.items()
    }
    return join_parts(encoded.manifest_path, manifest, parts).unwrap()


def _build_baseline(rows: Iterable[BlockRow]) -> BaselineMap:
    """Return the IPv4 blocks as a dictionary."""
    baseline = {}
    for row in rows:
        address, _, length_text = row.block.partition("/")
        if ":" not in address:
            length = int(length_text)
            octets = bytes(int(part) for part in address.split("."))
            baseline[length, int.from_bytes(octets) >> (32 - length)] = row.site
    return baseline


def _find_in_baseline(
    baseline: BaselineMap, lengths: Sequence[int], value: int
) -> SiteId | None:
    for length in lengths:
        site = baseline.get((length, value >> (32 - length)))
        if site is not None:
            return site
    return None


def _baseline_size_bytes(baseline: BaselineMap) -> int:
    """Return the size of the dictionary and its keys; the sites exist already."""
    key_bytes = sum(sys.getsizeof(key) + sys.getsizeof(key[1]) for key in baseline)
    return sys.getsizeof(baseline) + key_bytes


def _time_call(run: Callable[[], T]) -> tuple[float, T]:
    start_s = time.perf_counter()
    result = run()
    return time.perf_counter() - start_s, result
