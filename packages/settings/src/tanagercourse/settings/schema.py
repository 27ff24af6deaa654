"""Schema of the steering settings, with one dataclass for each kind of object."""

from dataclasses import dataclass
from enum import Enum, unique
from typing import Annotated

from msgspec import Meta

from tanagercourse.core.ids import RegionId, ServiceId, UpstreamId, ZoneId
from tanagercourse.core.states import Idempotency, Rank

# Newest schema version that this program reads; older versions remain readable.
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
IpAddress = Annotated[str, Meta(description="an IP address, such as 10.0.0.1")]
SchemaVersion = Annotated[
    int,
    Meta(
        ge=1,
        le=SCHEMA_VERSION,
        description=f"a whole number from 1 to {SCHEMA_VERSION}",
    ),
]
Share = Annotated[float, Meta(ge=0.0, le=1.0)]
Slots = Annotated[int, Meta(ge=1, le=1024)]
ConnectionLimit = Annotated[int, Meta(ge=1, le=65_536)]
TimeoutMs = Annotated[int, Meta(ge=1, le=600_000)]
Port = Annotated[int, Meta(ge=1, le=65_535)]


@unique
class Duty(Enum):
    """Operator's instruction for a backend server."""

    SERVE = "serve"
    DRAIN = "drain"


@dataclass(frozen=True)
class UpstreamSettings:
    """One upstream of a service: a backend server's address and limits.

    Attributes:
        id: The upstream's id.
        host: IP address of the backend server.
        port: TCP port of the backend server.
        zone: Availability zone of the backend server.
        slots: Maximum number of requests that it serves concurrently.
        connections: Maximum number of connections that it accepts from all instances
            together.
        duty: Whether it serves or drains.
    """

    id: Name
    host: IpAddress
    port: Port
    zone: Name
    slots: Slots = 4
    connections: ConnectionLimit = 360
    duty: Duty = Duty.SERVE

    @property
    def upstream_id(self) -> UpstreamId:
        """The id as a distinct type."""
        return UpstreamId(self.id)

    @property
    def zone_id(self) -> ZoneId:
        """The availability zone's id as a distinct type."""
        return ZoneId(self.zone)


@dataclass(frozen=True)
class Target:
    """A service-level target.

    Attributes:
        goodput: Minimum share of requests completely answered within their deadline.
        latency_ms: Upper limit of the p99 latency, in milliseconds.
    """

    goodput: Share = 0.999
    latency_ms: TimeoutMs = 1_000


@dataclass(frozen=True)
class ServiceSettings:
    """A service: its rank, limits, target and upstreams.

    Attributes:
        service: The service's id.
        rank: Priority class of its requests.
        idempotency: Whether its requests may be executed twice; callers can't relax it.
        deadline_ms: Deadline of requests that specify none, in milliseconds.
        floor_share: Share of its slots reserved for this rank when other ranks overload
            it.
        shift_cap_share: Maximum share of traffic that may move in one interval.
        shift_interval_ms: Length of the shift cap's interval, in milliseconds.
        target: Service-level target.
        upstreams: The service's backend servers.
        schema_version: Version of the schema that these settings use.
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
        """The id as a distinct type."""
        return ServiceId(self.service)


@dataclass(frozen=True)
class ZoneSettings:
    """An availability zone and its region.

    Attributes:
        zone: The availability zone's id.
        region: The region that contains the zone.
    """

    zone: Name
    region: Name

    @property
    def region_id(self) -> RegionId:
        """The region's id as a distinct type."""
        return RegionId(self.region)


@dataclass(frozen=True)
class FleetSettings:
    """Settings common to all services: zones, regions and the links between regions.

    Attributes:
        zones: Every availability zone with its region.
        region_one_way_ms: One-way latency between two regions, in milliseconds.
        link_mbit_s: Capacity of a link between two regions per direction, in Mbit/s.
        schema_version: Version of the schema that these settings use.
    """

    zones: tuple[ZoneSettings, ...] = ()
    region_one_way_ms: Annotated[float, Meta(ge=0.0, le=1_000.0)] = 20.0
    link_mbit_s: Annotated[int, Meta(ge=1, le=1_000_000)] = 4_000
    schema_version: SchemaVersion = SCHEMA_VERSION
