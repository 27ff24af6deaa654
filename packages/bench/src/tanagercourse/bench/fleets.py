"""Fleets of the model, built from the users' deployments."""

from tanagercourse.core.ids import RegionId, ZoneId
from tanagercourse.core.states import Rank
from tanagercourse.model.fleet import Fleet, ServiceModel, Zone
from tanagercourse.testing.deployments import (
    INSTANCES_PER_CUSTOMER,
    Deployment,
    ServiceDeployment,
)

SERVICE_TIME_BY_RANK_S = {
    Rank.MOST_URGENT: 0.050,
    Rank.NEXT: 0.100,
    Rank.LEAST_URGENT: 0.200,
}
DEADLINE_BY_RANK_S = {Rank.MOST_URGENT: 0.5, Rank.NEXT: 2.0, Rank.LEAST_URGENT: 4.0}


def make_fleet(deployment: Deployment) -> Fleet:
    """Return the model's fleet of a deployment.

    Zones alternate between regions, as the model assigns machines to zones in turn.
    """
    zones = [Zone(ZoneId(zone), RegionId(region)) for zone, region in deployment.zones]
    return Fleet(
        # First the first zone of each region, then the second zone of each region.
        zones=tuple(zones[0::2] + zones[1::2]),
        instance_count=INSTANCES_PER_CUSTOMER,
        zone_one_way_s=deployment.zone_one_way_s,
        region_one_way_s=deployment.region_one_way_s,
        client_one_way_s=deployment.client_one_way_s,
        services=tuple(_make_service(service) for service in deployment.services),
    )


def _make_service(service: ServiceDeployment) -> ServiceModel:
    return ServiceModel(
        service.service,
        service.rank,
        service.idempotency,
        service.upstreams,
        service.slots,
        SERVICE_TIME_BY_RANK_S[service.rank],
        DEADLINE_BY_RANK_S[service.rank],
    )
