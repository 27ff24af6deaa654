"""Share out an upstream's few slots among the entry instances that want them."""

import math
from collections.abc import Sequence
from dataclasses import dataclass

from tanagercourse.core.ids import InstanceId, UpstreamId

# Demand that an idle instance counts as, so that its first request finds a share.
IDLE_DEMAND = 0.25
# How long a change of demand takes to move most of the shares.
DEMAND_TIME_CONSTANT_S = 5.0


@dataclass(frozen=True)
class Demand:
    """What an instance last told of its need for slots.

    Attributes:
        instance: The entry instance.
        wanted_slots: Requests that run or wait there.
    """

    instance: InstanceId
    wanted_slots: float


class DemandAverage:
    """What one instance wants of one service, averaged so that shares move slowly.

    Reports of demand lag, so quick shares would follow noise, and instances that
    heard different reports would take each other's slots.
    """

    def __init__(self, time_constant_s: float = DEMAND_TIME_CONSTANT_S) -> None:
        self._time_constant_s = time_constant_s
        self._wanted = 0.0
        self._at_s: float | None = None

    def update(self, wanted: float, now_s: float) -> float:
        """Take what is wanted now and return the average.

        Args:
            wanted_slots: Requests that run or wait.
            now_s: The clock's reading, in seconds.
        """
        if self._at_s is None:
            self._wanted = wanted
        else:
            kept = math.exp((self._at_s - now_s) / self._time_constant_s)
            self._wanted = kept * self._wanted + (1.0 - kept) * wanted
        self._at_s = now_s
        return self._wanted


@dataclass(frozen=True)
class UpstreamSlots:
    """An upstream and its slots."""

    upstream: UpstreamId
    slots: int


def equal_share(
    upstreams: Sequence[UpstreamSlots], instances: Sequence[InstanceId], me: InstanceId
) -> dict[UpstreamId, int]:
    """Return the slots of an instance when all get the same: the naive partition."""
    same = [Demand(instance, 1.0) for instance in instances]
    return proportional_share(upstreams, same, me)


def proportional_share(
    upstreams: Sequence[UpstreamSlots], demands: Sequence[Demand], me: InstanceId
) -> dict[UpstreamId, int]:
    """Return the slots of an instance, in proportion to what each one wants.

    All slots stand in one row by upstream id, all instances in another by instance
    id, and each instance has the stretch that its demand gives it. Instances that
    heard the same demands agree without a message; where their views differ, two may
    think a slot theirs, and the upstream sheds the later request.

    Args:
        upstreams: The upstreams shared out.
        demands: What each instance wants; without `me` it has no share.
        me: Whose slots to return.

    Returns:
        How many slots of each upstream, none left out.
    """
    begin, end = _stretch(demands, me)
    total = sum(upstream.slots for upstream in upstreams)
    first, last = round(begin * total), round(end * total)
    shares: dict[UpstreamId, int] = {}
    position = 0
    for upstream in sorted(upstreams, key=lambda upstream: upstream.upstream):
        overlap = min(last, position + upstream.slots) - max(first, position)
        shares[upstream.upstream] = max(0, overlap)
        position += upstream.slots
    return shares


def _stretch(demands: Sequence[Demand], me: InstanceId) -> tuple[float, float]:
    """Return where an instance's stretch begins and ends, from 0.0 to 1.0."""
    total = sum(max(IDLE_DEMAND, demand.wanted_slots) for demand in demands)
    begin = 0.0
    for demand in sorted(demands, key=lambda demand: demand.instance):
        size = max(IDLE_DEMAND, demand.wanted_slots) / total
        if demand.instance == me:
            return begin, begin + size
        begin += size
    return 0.0, 0.0
