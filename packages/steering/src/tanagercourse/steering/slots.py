"""Partition the slots of upstreams among entry instances by demand."""

import math
from collections.abc import Sequence
from dataclasses import dataclass

from tanagercourse.core.ids import InstanceId, UpstreamId

# Minimum demand assumed for an instance, so that the first request at an idle
# instance finds a share.
IDLE_DEMAND = 0.25
# Time in which the average follows 63% of a change of demand.
DEMAND_TIME_CONSTANT_S = 5.0


@dataclass(frozen=True)
class Demand:
    """The last reported demand of an instance for slots.

    Attributes:
        instance: The entry instance.
        wanted_slots: Requests running or waiting at the instance.
    """

    instance: InstanceId
    wanted_slots: float


class DemandAverage:
    """An instance's demand for one service, averaged so that shares change slowly.

    Demand reports lag. Shares that followed them at once would follow noise, and
    instances that received different reports would use each other's slots.

    Args:
        time_constant_s: Time constant of the exponential average, in seconds.
    """

    def __init__(self, time_constant_s: float = DEMAND_TIME_CONSTANT_S) -> None:
        self._time_constant_s = time_constant_s
        self._demand = 0.0
        self._updated_at_s: float | None = None

    def update(self, demand: float, now_s: float) -> float:
        """Add the current demand and return the average.

        Args:
            demand: Requests running or waiting.
            now_s: A monotonic clock, in seconds.
        """
        if self._updated_at_s is None:
            self._demand = demand
        else:
            retained = math.exp((self._updated_at_s - now_s) / self._time_constant_s)
            self._demand = retained * self._demand + (1.0 - retained) * demand
        self._updated_at_s = now_s
        return self._demand


@dataclass(frozen=True)
class UpstreamSlots:
    """An upstream and its number of slots."""

    upstream: UpstreamId
    slots: int


def equal_share(
    upstreams: Sequence[UpstreamSlots],
    instances: Sequence[InstanceId],
    instance: InstanceId,
) -> dict[UpstreamId, int]:
    """Return an instance's slots in the baseline partition, with equal shares."""
    equal = [Demand(instance_id, 1.0) for instance_id in instances]
    return proportional_share(upstreams, equal, instance)


def proportional_share(
    upstreams: Sequence[UpstreamSlots], demands: Sequence[Demand], instance: InstanceId
) -> dict[UpstreamId, int]:
    """Return an instance's slots of each upstream, in proportion to its demand.

    All slots are laid out in order of upstream id. In order of instance id, each
    instance gets a range of them whose length is proportional to its demand.
    Instances that received the same demand reports compute the same partition without
    exchanging messages. Where their views differ, two instances may use the same
    slot, and the upstream sheds the later request.

    Args:
        upstreams: The upstreams to partition.
        demands: Demand of each instance; an instance that is missing has no share.
        instance: The instance whose slots to return.

    Returns:
        The number of slots of every upstream, 0 included.
    """
    begin, end = _slot_range(demands, instance)
    total = sum(upstream.slots for upstream in upstreams)
    begin_slot, end_slot = round(begin * total), round(end * total)
    slots_by_upstream: dict[UpstreamId, int] = {}
    position = 0
    for upstream in sorted(upstreams, key=lambda upstream: upstream.upstream):
        overlap = min(end_slot, position + upstream.slots) - max(begin_slot, position)
        slots_by_upstream[upstream.upstream] = max(0, overlap)
        position += upstream.slots
    return slots_by_upstream


def _slot_range(demands: Sequence[Demand], instance: InstanceId) -> tuple[float, float]:
    """Return the begin and end of an instance's range, as fractions of all slots."""
    total = sum(max(IDLE_DEMAND, demand.wanted_slots) for demand in demands)
    begin = 0.0
    for demand in sorted(demands, key=lambda demand: demand.instance):
        fraction = max(IDLE_DEMAND, demand.wanted_slots) / total
        if demand.instance == instance:
            return begin, begin + fraction
        begin += fraction
    return 0.0, 0.0
