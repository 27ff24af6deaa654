"""The modelled fleet of one user: zones, entry instances and services."""

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
    """A service and the properties of its upstreams.

    Attributes:
        service: Id of the service.
        rank: Rank of its requests.
        idempotency: Whether its requests may run twice.
        upstream_count: Number of upstreams, spread over the availability zones.
        slots_per_upstream: Requests that each upstream serves at once.
        service_time_s: Mean service time of a request, in seconds.
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
        """Return the requests that all upstreams together serve per second."""
        return self.upstream_count * self.slots_per_upstream / self.service_time_s


@dataclass(frozen=True)
class Fleet:
    """The zones, entry instances and services of one user.

    Attributes:
        zones: Availability zones; machines are assigned to them in this order, in
            turn.
        instance_count: Number of entry instances.
        zone_one_way_s: One-way time between zones of a region, in seconds.
        region_one_way_s: One-way time between regions, in seconds.
        client_one_way_s: One-way time between callers and instances, in seconds.
        services: The services.
        max_running: Maximum number of requests that one entry instance runs at once.
    """

    zones: tuple[Zone, ...]
    instance_count: int
    zone_one_way_s: float
    region_one_way_s: float
    client_one_way_s: float
    services: tuple[ServiceModel, ...]
    max_running: int = 24

    def zone_at(self, index: int) -> Zone:
        """Return the zone of the machine (instance or upstream) at an index."""
        return self.zones[index % len(self.zones)]

    def instance_id(self, index: int) -> InstanceId:
        """Return the id of the entry instance at an index."""
        return InstanceId(f"entry-{index:02}")

    def one_way_s(self, source: Zone, destination: Zone) -> float:
        """Return the one-way time between two zones, in seconds."""
        if source.region != destination.region:
            return self.region_one_way_s
        return self.zone_one_way_s if source.id != destination.id else 0.0
