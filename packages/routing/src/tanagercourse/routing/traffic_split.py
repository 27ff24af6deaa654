"""Share a route's requests among its services by weight."""

from tanagercourse.core.ids import RouteId, ServiceId
from tanagercourse.routing.configuration import Route, ServiceWeight


class TrafficSplitter:
    """Smooth weighted round robin: each service's share holds in any long stretch."""

    def __init__(self) -> None:
        self._credits: dict[RouteId, dict[ServiceId, float]] = {}
        self._parts: dict[RouteId, tuple[ServiceWeight, ...]] = {}

    def next_service(self, route: Route) -> ServiceId:
        """Return the service of the route's next request."""
        if len(route.service_weights) == 1:
            return route.service_weights[0].service
        if self._parts.get(route.route_id) != route.service_weights:
            self._parts[route.route_id] = route.service_weights
            self._credits[route.route_id] = {
                part.service: 0.0 for part in route.service_weights
            }
        credits = self._credits[route.route_id]
        total = 0.0
        for part in route.service_weights:
            credits[part.service] += part.weight
            total += part.weight
        chosen = max(
            route.service_weights, key=lambda part: credits[part.service]
        ).service
        credits[chosen] -= total
        return chosen
