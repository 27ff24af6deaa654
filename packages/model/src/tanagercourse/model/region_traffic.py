"""What a run moved between regions: shifts of traffic and spills into full regions."""

from collections import Counter
from dataclasses import dataclass, field

from tanagercourse.core.ids import RegionId, ServiceId
from tanagercourse.model.result import SlotMeter

BUCKET_S = 1.0
# Below so many requests an interval, shares of traffic are too coarse to compare.
MIN_REQUESTS = 50


@dataclass
class Moves:
    """Where each home region's requests were sent, by time.

    Attributes:
        into_full: Requests spilled into a region whose slots were all taken.
    """

    into_full: int = 0
    _traffic: dict[tuple[ServiceId, RegionId], dict[int, "_Bucket"]] = field(
        default_factory=dict
    )

    def arrive(self, service: ServiceId, home: RegionId, now_s: float) -> None:
        """Count a caller's request that arrives at its home region."""
        self._bucket(service, home, now_s).arrived += 1

    def spill(self, meter: SlotMeter) -> None:
        """Count a request that is about to be sent to another region.

        Args:
            meter: The slots there.
        """
        if 0 < meter.slots <= meter.busy:
            self.into_full += 1

    def serve(
        self, service: ServiceId, home: RegionId, region: RegionId, now_s: float
    ) -> None:
        """Count a request that a region has served."""
        if region != home:
            self._bucket(service, home, now_s).spilled[region] += 1

    def largest_shift(self, interval_s: float, failed: frozenset[RegionId]) -> float:
        """Return the largest share of traffic moved from one interval to the next.

        From a region to others counts, and back to a region that failed; leaving a
        region that fails is the one case without a cap.

        Args:
            interval_s: Length of an interval, in seconds.
            failed: Regions that failed in the run.
        """
        width = round(interval_s / BUCKET_S)
        shifts = [
            _shift(buckets, begin, width, home in failed)
            for (_, home), buckets in self._traffic.items()
            for begin in range(_last_arrival(buckets) - 2 * width + 1)
        ]
        return max(shifts, default=0.0)

    def _bucket(self, service: ServiceId, home: RegionId, now_s: float) -> "_Bucket":
        buckets = self._traffic.setdefault((service, home), {})
        return buckets.setdefault(int(now_s / BUCKET_S), _Bucket())


@dataclass
class _Bucket:
    """One second of a home region's traffic."""

    arrived: int = 0
    spilled: Counter[RegionId] = field(default_factory=Counter)


def _last_arrival(buckets: dict[int, _Bucket]) -> int:
    """Return the last bucket with arrivals: after it there is no traffic to move."""
    return max((at for at, bucket in buckets.items() if bucket.arrived), default=0)


def _shift(
    buckets: dict[int, _Bucket], begin: int, width: int, has_failed: bool
) -> float:
    earlier = _sum(buckets, begin, begin + width)
    later = _sum(buckets, begin + width, begin + 2 * width)
    if min(earlier.arrived, later.arrived) < MIN_REQUESTS:
        return 0.0
    growth = [
        later.spilled[region] / later.arrived
        - earlier.spilled[region] / earlier.arrived
        for region in {*earlier.spilled, *later.spilled}
    ]
    return sum(max(0.0, -part if has_failed else part) for part in growth)


def _sum(buckets: dict[int, _Bucket], begin: int, end: int) -> _Bucket:
    total = _Bucket()
    for number in range(begin, end):
        bucket = buckets.get(number, _Bucket())
        total.arrived += bucket.arrived
        total.spilled += bucket.spilled
    return total
