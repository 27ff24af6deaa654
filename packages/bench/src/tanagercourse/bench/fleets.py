"""The users' deployments as fleets of the model."""

from tanagercourse.core.ids import RegionId, ZoneId
from tanagercourse.core.states import Rank
from tanagercourse.model.fleet import Fleet, ServiceModel, Zone
from tanagercourse.testing.deployments import (
    INSTANCES_PER_CUSTOMER,
    Deployment,
    ServiceDeployment,
)

SERVICE_TIME_S = {Rank.MOST_URGENT: 0.050, Rank.NEXT: 0.100, Rank.LEAST_URGENT: 0.200}
DEADLINE_S = {Rank.MOST_URGENT: 0.5, Rank.NEXT: 2.0, Rank.LEAST_URGENT: 4.0}


def fleet_of(deployment: Deployment) -> Fleet:
    """Return a deployment as the model takes it, machines spread over regions."""
    zones = [Zone(ZoneId(zone), RegionId(region)) for zone, region in deployment.zones]
    return Fleet(
        # The first zone of each region, then the second ones.
        zones=tuple(zones[0::2] + zones[1::2]),
        instance_count=INSTANCES_PER_CUSTOMER,
        zone_one_way_s=deployment.zone_one_way_s,
        region_one_way_s=deployment.region_one_way_s,
        client_one_way_s=deployment.client_one_way_s,
        services=tuple(_service_of(service) for service in deployment.services),
    )


def _service_of(service: ServiceDeployment) -> ServiceModel:
    return ServiceModel(
        service.service,
        service.rank,
        service.idempotency,
        service.upstreams,
        service.slots,
        SERVICE_TIME_S[service.rank],
        DEADLINE_S[service.rank],
    )
