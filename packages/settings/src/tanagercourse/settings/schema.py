"""Schema of the steering settings: one dataclass for each kind of object."""

from dataclasses import dataclass
from enum import Enum, unique
from typing import Annotated

from msgspec import Meta

from tanagercourse.core.ids import RegionId, ServiceId, UpstreamId, ZoneId
from tanagercourse.core.states import Idempotency, Rank

# The schema that this program reads; older settings stay readable.
SCHEMA_VERSION = 1

Name = Annotated[
    str,
    Meta(
        min_length=1,
        max_length=63,
        pattern=r"\A[a-z0-9][a-z0-9-]*\Z",
        description="1 to 63 lower-case letters, digits and hyphens, no hyphen first",
    ),
]
IpNumber = Annotated[str, Meta(description="an IP number, such as 10.0.0.1")]
SchemaVersion = Annotated[
    int, Meta(ge=1, le=SCHEMA_VERSION, description=f"1 up to {SCHEMA_VERSION}")
]
Share = Annotated[float, Meta(ge=0.0, le=1.0)]
Slots = Annotated[int, Meta(ge=1, le=1024)]
Connections = Annotated[int, Meta(ge=1, le=65_536)]
TimeoutMs = Annotated[int, Meta(ge=1, le=600_000)]
Port = Annotated[int, Meta(ge=1, le=65_535)]


@unique
class Duty(Enum):
    """What operators ask of a backend server."""

    SERVE = "serve"
    DRAIN = "drain"


@dataclass(frozen=True)
class UpstreamSettings:
    """One upstream of a service: a backend server's address and limits.

    Attributes:
        id: The upstream's id.
        host: Its address, an IP number.
        port: Its TCP port.
        zone: Its availability zone.
        slots: How many requests it serves at once.
        connections: How many connections it takes from all instances together.
        duty: Whether it serves or drains.
    """

    id: Name
    host: IpNumber
    port: Port
    zone: Name
    slots: Slots = 4
    connections: Connections = 360
    duty: Duty = Duty.SERVE

    @property
    def upstream_id(self) -> UpstreamId:
        """Return the id as its own type."""
        return UpstreamId(self.id)

    @property
    def zone_id(self) -> ZoneId:
        """Return the availability zone's id as its own type."""
        return ZoneId(self.zone)


@dataclass(frozen=True)
class Target:
    """A service-level target.

    Attributes:
        goodput: Share of requests answered whole within the deadline.
        latency_ms: The latency that p99 stays under, in milliseconds.
    """

    goodput: Share = 0.999
    latency_ms: TimeoutMs = 1_000


@dataclass(frozen=True)
class ServiceSettings:
    """A service: its rank, limits, target and upstreams.

    Attributes:
        service: The service's id.
        rank: The rank of its work.
        idempotency: Whether its work may run twice; callers may not relax it.
        deadline_ms: Deadline of a request that brings none, in milliseconds.
        floor_share: Share of its slots kept for this rank in a flood of others.
        shift_cap_share: Share of traffic that may move in one interval.
        shift_interval_ms: The interval of the shift cap, in milliseconds.
        target: Its service-level target.
        upstreams: Where it is served.
        schema_version: The schema these settings are written in.
    """

    service: Name
    rank: Rank
    idempotency: Idempotency
    upstreams: tuple[UpstreamSettings, ...] = ()
    deadline_ms: TimeoutMs = 2_000
    floor_share: Share = 0.1
    shift_cap_share: Share = 0.2
    shift_interval_ms: TimeoutMs = 5_000
    target: Target = Target()
    schema_version: SchemaVersion = SCHEMA_VERSION

    @property
    def service_id(self) -> ServiceId:
        """Return the id as its own type."""
        return ServiceId(self.service)


@dataclass(frozen=True)
class ZoneSettings:
    """An availability zone and its region.

    Attributes:
        zone: The availability zone's id.
        region: The region it stands in.
    """

    zone: Name
    region: Name

    @property
    def region_id(self) -> RegionId:
        """Return the region's id as its own type."""
        return RegionId(self.region)


@dataclass(frozen=True)
class FleetSettings:
    """What is common to all services: zones, regions and their links.

    Attributes:
        zones: Every availability zone with its region.
        region_one_way_ms: One-way time between two regions, in milliseconds.
        link_mbit_s: Capacity of a link between two regions each way, in Mbit/s.
        schema_version: The schema these settings are written in.
    """

    zones: tuple[ZoneSettings, ...] = ()
    region_one_way_ms: Annotated[float, Meta(ge=0.0, le=1_000.0)] = 20.0
    link_mbit_s: Annotated[int, Meta(ge=1, le=1_000_000)] = 4_000
    schema_version: SchemaVersion = SCHEMA_VERSION
