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
        if len(route.parts) == 1:
            return route.parts[0].service
        if self._parts.get(route.route_id) != route.parts:
            self._parts[route.route_id] = route.parts
            self._credits[route.route_id] = {part.service: 0.0 for part in route.parts}
        credits = self._credits[route.route_id]
        total = 0.0
        for part in route.parts:
            credits[part.service] += part.weight
            total += part.weight
        chosen = max(route.parts, key=lambda part: credits[part.service]).service
        credits[chosen] -= total
        return chosen
