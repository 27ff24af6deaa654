"""A user's fleet as the model sees it."""

from dataclasses import dataclass

from tanagercourse.core.ids import InstanceId, RegionId, ServiceId, ZoneId
from tanagercourse.core.states import Idempotency, Rank


@dataclass(frozen=True)
class Zone:
    """An availability zone and its region."""

    id: ZoneId
    region: RegionId


@dataclass(frozen=True)
class ServiceModel:
    """A service.

    Attributes:
        service: Its id.
        rank: The rank of its requests.
        idempotency: Whether its requests may run twice.
        upstreams: How many upstreams it has, spread over the availability zones.
        slots: How many requests each of them serves at once.
        service_time_s: Mean time of a request on an upstream, in seconds.
        deadline_s: Time from a caller's request to its deadline, in seconds.
    """

    service: ServiceId
    rank: Rank
    idempotency: Idempotency
    upstream_count: int
    slots_per_upstream: int
    service_time_s: float
    deadline_s: float

    @property
    def capacity_per_s(self) -> float:
        """Return how many requests a second all upstreams serve together."""
        return self.upstream_count * self.slots_per_upstream / self.service_time_s


@dataclass(frozen=True)
class Fleet:
    """Zones, entry instances and services of one user.

    Attributes:
        zones: Availability zones, in the order in which machines are spread.
        instances: How many entry instances there are.
        zone_one_way_s: One-way time between zones of a region, in seconds.
        region_one_way_s: One-way time between regions, in seconds.
        client_one_way_s: One-way time between callers and instances, in seconds.
        services: The services.
        max_running: Requests that one entry instance runs at once.
    """

    zones: tuple[Zone, ...]
    instance_count: int
    zone_one_way_s: float
    region_one_way_s: float
    client_one_way_s: float
    services: tuple[ServiceModel, ...]
    max_running: int = 24

    def zone_at(self, index: int) -> Zone:
        """Return the zone of the machine with an index."""
        return self.zones[index % len(self.zones)]

    def instance_id(self, index: int) -> InstanceId:
        """Return the id of an entry instance."""
        return InstanceId(f"entry-{index:02}")

    def one_way_s(self, source: Zone, destination: Zone) -> float:
        """Return the one-way time between two zones, in seconds."""
        if source.region != destination.region:
            return self.region_one_way_s
        return self.zone_one_way_s if source.id != destination.id else 0.0
