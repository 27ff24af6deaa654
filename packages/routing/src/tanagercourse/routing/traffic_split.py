"""Split a route's requests among its services by weight."""

from tanagercourse.core.ids import RouteId, ServiceId
from tanagercourse.routing.configuration import Route, ServiceWeight


class TrafficSplitter:
    """Smooth weighted round robin over the services of each route.

    Each service gets its share within any long run of consecutive requests.
    """

    def __init__(self) -> None:
        self._credits: dict[RouteId, dict[ServiceId, float]] = {}
        self._service_weights: dict[RouteId, tuple[ServiceWeight, ...]] = {}

    def next_service(self, route: Route) -> ServiceId:
        """Return the service for the route's next request."""
        if len(route.service_weights) == 1:
            return route.service_weights[0].service
        if self._service_weights.get(route.route_id) != route.service_weights:
            self._service_weights[route.route_id] = route.service_weights
            self._credits[route.route_id] = {
                weighted.service: 0.0 for weighted in route.service_weights
            }
        service_credits = self._credits[route.route_id]
        total = 0.0
        for weighted in route.service_weights:
            service_credits[weighted.service] += weighted.weight
            total += weighted.weight
        chosen = max(
            route.service_weights,
            key=lambda weighted: service_credits[weighted.service],
        ).service
        service_credits[chosen] -= total
        return chosen
