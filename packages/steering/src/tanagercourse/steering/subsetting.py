"""Choose the few entry instances of a region where a service's callers meet.

An upstream's free slots are known only to the instance that fills them. Where all
instances of a region share a service's slots, each guesses at what the others use:
slots stand idle while work waits next door. So callers of a service are told, before
all others, of as few instances as can carry its slots; the rest are for fail-over.
"""

import math
from collections.abc import Sequence
from dataclasses import dataclass

import xxhash

from tanagercourse.core.ids import InstanceId, ServiceId


@dataclass(frozen=True)
class ServiceSlots:
    """A service's slots in one region."""

    service: ServiceId
    slots: int


@dataclass(frozen=True)
class Gathering:
    """Where a service's callers meet in one region, first choice first."""

    service: ServiceId
    instances: tuple[InstanceId, ...]


def assign_subsets(
    needs: Sequence[ServiceSlots], instances: Sequence[InstanceId], places: int
) -> tuple[Gathering, ...]:
    """Give each service as few instances as have a place for each of its slots.

    Services come in the order of their ids, and each tries instances in the order of
    its own rendezvous hash, so that an instance that comes or goes moves little else.
    A service that finds no room is given all instances.

    Args:
        needs: The services and their slots in the region.
        instances: The region's live entry instances.
        places: Requests that one instance runs at once.

    Returns:
        One gathering for each need, none of them empty while there is an instance.
    """
    free = dict.fromkeys(instances, places)
    gatherings = []
    for need in sorted(needs, key=lambda need: need.service):
        order = sorted(instances, key=lambda each: _score(need.service, each))
        chosen = _take(need.slots, order, free)
        gatherings.append(Gathering(need.service, tuple(chosen)))
    return tuple(gatherings)


def _take(
    slots: int, order: list[InstanceId], free: dict[InstanceId, int]
) -> list[InstanceId]:
    """Return the fewest instances with room for their part, and book it."""
    for count in range(1, len(order) + 1):
        part = math.ceil(slots / count)
        roomy = [instance for instance in order if free[instance] >= part]
        if len(roomy) >= count:
            for instance in roomy[:count]:
                free[instance] -= part
            return roomy[:count]
    return order


def _score(service: ServiceId, instance: InstanceId) -> int:
    return xxhash.xxh3_64_intdigest(f"{service}|{instance}".encode())
