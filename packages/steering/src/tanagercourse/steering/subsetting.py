"""Assign each service a small subset of its region's entry instances.

Only the instance that uses a slot observes when it is free. When all instances of a
region share a service's slots, each estimates the use by the others, and slots stay
idle at one instance while work waits at another. Callers of a service are therefore
directed to the fewest instances that can use all of its slots. The other instances
serve for failover.
"""

import math
from collections.abc import Sequence
from dataclasses import dataclass

import xxhash

from tanagercourse.core.ids import InstanceId, ServiceId


@dataclass(frozen=True)
class ServiceSlots:
    """A service and its number of slots in one region."""

    service: ServiceId
    slots: int


@dataclass(frozen=True)
class ServiceSubset:
    """A region's instances for the callers of a service, in order of preference."""

    service: ServiceId
    instances: tuple[InstanceId, ...]


def assign_subsets(
    services: Sequence[ServiceSlots], instances: Sequence[InstanceId], max_running: int
) -> tuple[ServiceSubset, ...]:
    """Assign each service the fewest instances that can run a request on every slot.

    Services are assigned in order of their ids. Each prefers instances by its own
    rendezvous hash, so that an instance that joins or leaves changes few other
    assignments. A service that does not fit is assigned all instances.

    Args:
        services: The services and their slots in the region.
        instances: The region's live entry instances.
        max_running: Concurrency limit of one instance.

    Returns:
        One subset for each service, not empty unless `instances` is.
    """
    free_by_instance = dict.fromkeys(instances, max_running)
    subsets = []
    for service_slots in sorted(
        services, key=lambda service_slots: service_slots.service
    ):
        preferred = sorted(
            instances, key=lambda instance: _score(service_slots.service, instance)
        )
        chosen = _reserve(service_slots.slots, preferred, free_by_instance)
        subsets.append(ServiceSubset(service_slots.service, tuple(chosen)))
    return tuple(subsets)


def _reserve(
    slots: int, preferred: list[InstanceId], free_by_instance: dict[InstanceId, int]
) -> list[InstanceId]:
    """Reserve an equal part of the slots at the fewest instances with room for it."""
    for count in range(1, len(preferred) + 1):
        part = math.ceil(slots / count)
        with_room = [
            instance for instance in preferred if free_by_instance[instance] >= part
        ]
        if len(with_room) >= count:
            for instance in with_room[:count]:
                free_by_instance[instance] -= part
            return with_room[:count]
    return preferred


def _score(service: ServiceId, instance: InstanceId) -> int:
    return xxhash.xxh3_64_intdigest(f"{service}|{instance}".encode())
