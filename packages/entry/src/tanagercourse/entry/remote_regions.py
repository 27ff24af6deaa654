"""The other regions that serve a service, and which are asked first."""

from collections import deque
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

import xxhash

from tanagercourse.core.ids import RegionId, ServiceId
from tanagercourse.entry.active_settings import ActiveSettings
from tanagercourse.entry.topology import Topology


@dataclass(frozen=True)
class Away:
    """Another region that serves a service.

    Attributes:
        region: The region.
        slots: Slots of the service's upstreams there.
        one_way_s: One-way time to it, in seconds.
    """

    region: RegionId
    slots: int
    one_way_s: float


def away_of(
    in_force: ActiveSettings, surroundings: Topology
) -> Callable[[ServiceId], Sequence[Away]]:
    """Return what tells which other regions serve a service."""

    def away(service: ServiceId) -> Sequence[Away]:
        found = in_force.service(service)
        slots: dict[RegionId, int] = {}
        one_way_s: dict[RegionId, float] = {}
        for upstream in found.settings.upstreams if found else ():
            region = surroundings.region_of(upstream.zone_id)
            if region != surroundings.home():
                slots[region] = slots.get(region, 0) + upstream.slots
                one_way_s[region] = surroundings.one_way_s(upstream.zone_id)
        return [Away(region, slots[region], one_way_s[region]) for region in slots]

    return away


class AskOrder:
    """Regions in the order in which one instance asks them for shares.

    Nearer regions come first; instances ask equally near ones in orders of their own.

    Args:
        owner: Names the instance and the service.
    """

    def __init__(self, owner: str) -> None:
        self._owner = owner
        self._order: deque[RegionId] = deque()

    def first(self, count: int, aways: Iterable[Away]) -> list[RegionId]:
        """Return the regions to ask now, out of those that serve."""
        regions = {away.region: away for away in aways}
        self._order = deque(region for region in self._order if region in regions)
        new = [regions[region] for region in regions.keys() - set(self._order)]
        new.sort(key=lambda away: (away.one_way_s, self._weight(away.region)))
        self._order.extend(away.region for away in new)
        return list(self._order)[:count]

    def put_last(self, region: RegionId) -> None:
        """Ask a region after all others from now on."""
        if region in self._order:
            self._order.remove(region)
            self._order.append(region)

    def _weight(self, region: RegionId) -> int:
        return xxhash.xxh3_64_intdigest(f"{self._owner} {region}".encode())
