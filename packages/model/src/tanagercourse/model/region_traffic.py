"""Traffic between regions in a run: shifts, and spills into full regions."""

from collections import Counter
from dataclasses import dataclass, field

from tanagercourse.core.ids import RegionId, ServiceId
from tanagercourse.model.result import SlotMeter

BUCKET_S = 1.0
# With fewer requests in an interval, shares of traffic are too coarse to compare.
MIN_REQUESTS_PER_INTERVAL = 50


@dataclass
class RegionTraffic:
    """Counts arrivals and remotely served requests by service, home region and second.

    Attributes:
        spills_into_full: Requests spilled into a region whose slots were all busy.
    """

    spills_into_full: int = 0
    _buckets: dict[tuple[ServiceId, RegionId], dict[int, "_Bucket"]] = field(
        default_factory=dict
    )

    def record_arrival(self, service: ServiceId, home: RegionId, now_s: float) -> None:
        """Count a caller's request that arrives in its home region."""
        self._current_bucket(service, home, now_s).arrivals += 1

    def record_spill(self, meter: SlotMeter) -> None:
        """Count a request about to be sent to another region, if that region is full.

        Args:
            meter: Slots of the service in that region.
        """
        if 0 < meter.slots <= meter.busy_slots:
            self.spills_into_full += 1

    def record_served(
        self, service: ServiceId, home: RegionId, region: RegionId, now_s: float
    ) -> None:
        """Count a request that a region has served, unless it is the home region."""
        if region != home:
            self._current_bucket(service, home, now_s).served_remotely[region] += 1

    def largest_shift(self, interval_s: float, failed: frozenset[RegionId]) -> float:
        """Return the largest share of traffic moved from one interval to the next.

        Counts traffic that leaves a home region, or, if the home region failed in the
        run, traffic that returns to it: the shift cap does not apply to traffic that
        leaves a failed region.

        Args:
            interval_s: Length of an interval, in seconds.
            failed: Regions that failed during the run.
        """
        buckets_per_interval = round(interval_s / BUCKET_S)
        shifts = [
            _interval_shift(buckets, start, buckets_per_interval, home in failed)
            for (_, home), buckets in self._buckets.items()
            for start in range(
                _last_bucket_with_arrivals(buckets) - 2 * buckets_per_interval + 1
            )
        ]
        return max(shifts, default=0.0)

    def _current_bucket(
        self, service: ServiceId, home: RegionId, now_s: float
    ) -> "_Bucket":
        buckets = self._buckets.setdefault((service, home), {})
        return buckets.setdefault(int(now_s / BUCKET_S), _Bucket())


@dataclass
class _Bucket:
    """Traffic of a home region in `BUCKET_S` seconds."""

    arrivals: int = 0
    served_remotely: Counter[RegionId] = field(default_factory=Counter)


def _last_bucket_with_arrivals(buckets: dict[int, _Bucket]) -> int:
    """Return the last bucket with arrivals, after which no traffic can move."""
    return max(
        (number for number, bucket in buckets.items() if bucket.arrivals), default=0
    )


def _interval_shift(
    buckets: dict[int, _Bucket], start: int, buckets_per_interval: int, has_failed: bool
) -> float:
    earlier = _sum_buckets(buckets, start, start + buckets_per_interval)
    later = _sum_buckets(
        buckets, start + buckets_per_interval, start + 2 * buckets_per_interval
    )
    if min(earlier.arrivals, later.arrivals) < MIN_REQUESTS_PER_INTERVAL:
        return 0.0
    share_growth = [
        later.served_remotely[region] / later.arrivals
        - earlier.served_remotely[region] / earlier.arrivals
        for region in {*earlier.served_remotely, *later.served_remotely}
    ]
    return sum(max(0.0, -growth if has_failed else growth) for growth in share_growth)


def _sum_buckets(buckets: dict[int, _Bucket], start: int, end: int) -> _Bucket:
    total = _Bucket()
    for number in range(start, end):
        bucket = buckets.get(number, _Bucket())
        total.arrivals += bucket.arrivals
        total.served_remotely += bucket.served_remotely
    return total
