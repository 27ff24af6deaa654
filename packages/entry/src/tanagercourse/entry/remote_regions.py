"""Remote regions of a service, and the order of requests for their shares."""

from collections import deque
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

import xxhash

from tanagercourse.core.ids import RegionId, ServiceId
from tanagercourse.entry.active_settings import ActiveSettings
from tanagercourse.entry.topology import Topology


@dataclass(frozen=True)
class RemoteRegion:
    """A region, other than the instance's own, with upstreams of a service.

    Attributes:
        region: The region.
        slots: Total number of slots of the service's upstreams in this region.
        one_way_s: One-way network latency to this region, in seconds.
    """

    region: RegionId
    slots: int
    one_way_s: float


def remote_region_finder(
    active_settings: ActiveSettings, topology: Topology
) -> Callable[[ServiceId], Sequence[RemoteRegion]]:
    """Return a function that lists the remote regions with upstreams of a service."""

    def find_remote_regions(service: ServiceId) -> Sequence[RemoteRegion]:
        active_service = active_settings.service(service)
        slots: dict[RegionId, int] = {}
        one_way_s: dict[RegionId, float] = {}
        for upstream in active_service.settings.upstreams if active_service else ():
            region = topology.region_of(upstream.zone_id)
            if region != topology.home_region():
                slots[region] = slots.get(region, 0) + upstream.slots
                one_way_s[region] = topology.one_way_s(upstream.zone_id)
        return [
            RemoteRegion(region, slots[region], one_way_s[region]) for region in slots
        ]

    return find_remote_regions


class ShareRequestOrder:
    """The order in which one instance requests shares from remote regions.

    Regions with a lower latency come first. Among regions of equal latency the order
    follows a hash, so that each instance has a different one.

    Args:
        owner: Text that identifies the instance and the service, input of the hash.
    """

    def __init__(self, owner: str) -> None:
        self._owner = owner
        self._order: deque[RegionId] = deque()

    def next_regions(
        self, count: int, remote_regions: Iterable[RemoteRegion]
    ) -> list[RegionId]:
        """Return the regions to request shares from now.

        Args:
            count: Maximum number of regions.
            remote_regions: All remote regions with upstreams of the service.
        """
        remote_by_region = {remote.region: remote for remote in remote_regions}
        self._order = deque(
            region for region in self._order if region in remote_by_region
        )
        added = [
            remote_by_region[region]
            for region in remote_by_region.keys() - set(self._order)
        ]
        added.sort(
            key=lambda remote: (remote.one_way_s, self._tie_break(remote.region))
        )
        self._order.extend(remote.region for remote in added)
        return list(self._order)[:count]

    def move_to_end(self, region: RegionId) -> None:
        """Move a region behind all others."""
        if region in self._order:
            self._order.remove(region)
            self._order.append(region)

    def _tie_break(self, region: RegionId) -> int:
        return xxhash.xxh3_64_intdigest(f"{self._owner} {region}".encode())
