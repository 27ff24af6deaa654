"""The operator's configuration in the form that routing decisions use."""

from collections.abc import Mapping
from dataclasses import dataclass

from tanagercourse.core.ids import (
    ConfigurationVersion,
    RegionId,
    RouteId,
    ServiceId,
)
from tanagercourse.core.states import Idempotency
from tanagercourse.routing.tenants import TenantDirectory


@dataclass(frozen=True)
class ServiceWeight:
    """A service of a route and its weight in the route's traffic split."""

    service: ServiceId
    weight: float


@dataclass(frozen=True)
class Route:
    """How requests for one path prefix of a host are served.

    Attributes:
        route_id: Name of the route.
        prefix: Path prefix of the requests.
        service_weights: Services that share the requests; more than one if the route
            is split.
        idempotency: Whether a request may run more than once.
        timeout_s: Maximum time from a request's arrival to its response, in seconds.
        target_latency_s: Time within which a response has its full value, in seconds.
        max_upstreams: Maximum number of upstreams that one request is sent to.
        priority: Rank of the requests; 0 is the most urgent.
        home_regions: Regions that may serve the requests; empty for any region.
        is_sticky: Whether requests for an object prefer the upstreams that recently
            served it, because these respond faster.
        is_public: Whether requests need no API key.
    """

    route_id: RouteId
    prefix: bytes
    service_weights: tuple[ServiceWeight, ...]
    idempotency: Idempotency
    timeout_s: float
    target_latency_s: float
    max_upstreams: int
    priority: int
    home_regions: frozenset[RegionId]
    is_sticky: bool
    is_public: bool = False


@dataclass(frozen=True)
class ServiceTraits:
    """The operator's configuration of one service.

    Attributes:
        service: Id of the service.
        health_path: Path of the upstreams' health check.
        connection_limit: Connections that one upstream accepts from all clients.
        cold_start_s: Time that an upstream stays cold after its start, in seconds.
        cold_per_s: Maximum rate of requests to a cold upstream, per second.
    """

    service: ServiceId
    health_path: str
    connection_limit: int
    cold_start_s: float
    cold_per_s: float


@dataclass(frozen=True)
class CallerLimits:
    """Limits on the size of a caller's request and on its timing.

    Attributes:
        header_bytes: Maximum size of a request's head, in bytes.
        body_bytes: Maximum size of a request's body, in bytes.
        header_timeout_s: Maximum time from a request's first byte to its end, in
            seconds.
        idle_timeout_s: Time after which an idle connection is closed, in seconds.
    """

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


# Limits before the first configuration is applied.
DEFAULT_LIMITS = CallerLimits(16_384, 64 * 1024 * 1024, 3.0, 15.0)


@dataclass(frozen=True)
class Configuration:
    """One version of the configuration.

    Attributes:
        version: Increases with each change.
        hosts: Routes of each host, longest prefix first.
        services: Configuration of each service.
        limits: Limits on callers' requests.
        tenants: The tenants and their API keys; None if requests need no key.
    """

    version: ConfigurationVersion
    hosts: Mapping[bytes, tuple[Route, ...]]
    services: Mapping[ServiceId, ServiceTraits]
    limits: CallerLimits
    tenants: TenantDirectory | None = None


def sort_by_prefix_length(routes: list[Route]) -> tuple[Route, ...]:
    """Sort a host's routes by descending prefix length, as `find_route` expects."""
    return tuple(sorted(routes, key=lambda route: -len(route.prefix)))


def find_route(
    configuration: Configuration, host: bytes, target: bytes
) -> Route | None:
    """Return the route with the longest prefix of a request's path, None if none match.

    Args:
        configuration: The active configuration.
        host: The request's host, with or without a port.
        target: The request's target; its query is ignored.
    """
    host_name = host.rsplit(b":", 1)[0] if b":" in host else host
    path = target.split(b"?", 1)[0]
    for route in configuration.hosts.get(host_name.lower(), ()):
        if path.startswith(route.prefix):
            return route
    return None
