"""Current deployments of the two users, as their requirements state them."""

from dataclasses import dataclass

from tanagercourse.core.ids import CustomerId, ServiceId, TeamId
from tanagercourse.core.states import Idempotency, Rank


@dataclass(frozen=True)
class ServiceDeployment:
    """A service of a deployment.

    Attributes:
        service: The service's id.
        rank: The service's rank.
        idempotency: Whether a request may run more than once.
        upstreams: Number of upstreams.
        slots: Slots of each upstream.
    """

    service: ServiceId
    rank: Rank
    idempotency: Idempotency
    upstreams: int
    slots: int


@dataclass(frozen=True)
class Deployment:
    """A user's availability zones and services.

    Attributes:
        customer: The user.
        team: The team that owns the user's settings.
        zones: Pairs of an availability zone and its region.
        store_region: The region in which the platform's store runs.
        zone_one_way_s: One-way latency between availability zones of a region, in
            seconds.
        region_one_way_s: One-way latency between regions, in seconds.
        client_one_way_s: One-way latency to clients, in seconds.
        services: The user's services.
    """

    customer: CustomerId
    team: TeamId
    zones: tuple[tuple[str, str], ...]
    store_region: str
    zone_one_way_s: float
    region_one_way_s: float
    client_one_way_s: float
    services: tuple[ServiceDeployment, ...]


KANALIS = Deployment(
    customer=CustomerId("kanalis"),
    team=TeamId("preljev"),
    zones=(
        ("split-a", "jadran"),
        ("rijeka-b", "jadran"),
        ("osijek-a", "panonija"),
        ("vukovar-b", "panonija"),
        ("gospic-a", "gorje"),
        ("delnice-b", "gorje"),
    ),
    store_region="jadran",
    zone_one_way_s=0.001,
    region_one_way_s=0.020,
    client_one_way_s=0.001,
    services=(
        ServiceDeployment(
            ServiceId("motritelj"), Rank.MOST_URGENT, Idempotency.IDEMPOTENT, 14, 4
        ),
        ServiceDeployment(
            ServiceId("prijavnica"), Rank.NEXT, Idempotency.NON_IDEMPOTENT, 12, 3
        ),
        ServiceDeployment(
            ServiceId("ljetopis"), Rank.LEAST_URGENT, Idempotency.IDEMPOTENT, 12, 4
        ),
    ),
)

HARBOR_KNOT = Deployment(
    customer=CustomerId("harbor-knot"),
    team=TeamId("franchise"),
    zones=(
        ("coastal-a", "coastal"),
        ("coastal-b", "coastal"),
        ("valley-a", "valley"),
        ("valley-b", "valley"),
        ("cape-a", "cape"),
        ("cape-b", "cape"),
    ),
    store_region="coastal",
    zone_one_way_s=0.0005,
    region_one_way_s=0.020,
    client_one_way_s=0.008,
    services=(
        ServiceDeployment(
            ServiceId("kitstock"), Rank.MOST_URGENT, Idempotency.IDEMPOTENT, 12, 3
        ),
        ServiceDeployment(
            ServiceId("orderpost"), Rank.NEXT, Idempotency.NON_IDEMPOTENT, 12, 3
        ),
        ServiceDeployment(
            ServiceId("patternvault"), Rank.LEAST_URGENT, Idempotency.IDEMPOTENT, 12, 3
        ),
    ),
)

DEPLOYMENTS = {deployment.customer: deployment for deployment in (KANALIS, HARBOR_KNOT)}
INSTANCES_PER_CUSTOMER = 10
