"""The operator's configuration as the routing decisions see it."""

from collections.abc import Mapping
from dataclasses import dataclass

from tanagercourse.core.ids import (
    ConfigurationVersion,
    RegionId,
    RouteId,
    ServiceId,
)
from tanagercourse.core.states import Idempotency


@dataclass(frozen=True)
class ServiceWeight:
    """One service of a route and its share of the route's requests."""

    service: ServiceId
    weight: float


@dataclass(frozen=True)
class Route:
    """How requests under one prefix of a host's paths are served.

    Attributes:
        route_id: Its name.
        prefix: What the path must begin with.
        service_weights: The services that share its requests; one, unless it is split.
        idempotency: Whether a request may run more than once.
        timeout_s: The longest that a request may be kept waiting, in seconds.
        target_latency_s: The time within which an answer has its full worth, in seconds.
        max_upstreams: To how many upstreams one request may be sent.
        priority: Its rank; 0 is the most urgent.
        home_regions: Where it may be served; empty for anywhere.
        is_sticky: Whether upstreams are faster on objects that they handled lately.
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


@dataclass(frozen=True)
class ServiceTraits:
    """What the operator says of one service.

    Attributes:
        health_path: Path of its upstreams' health check.
        connection_limit: Connections that one upstream takes from all callers.
        cold_start_s: How long an upstream stays cold after its start, in seconds.
        cold_per_s: Requests a second that a cold upstream tolerates.
    """

    service: ServiceId
    health_path: str
    connection_limit: int
    cold_start_s: float
    cold_per_s: float


@dataclass(frozen=True)
class CallerLimits:
    """Bounds on what a caller may send and how long it may take."""

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


DEFAULT_LIMITS = CallerLimits(16_384, 64 * 1024 * 1024, 3.0, 15.0)


@dataclass(frozen=True)
class Configuration:
    """One version of the configuration.

    Attributes:
        version: Grows with each change.
        hosts: Routes of each host, longest prefix first.
        services: What is known of each service.
        limits: Bounds on callers.
    """

    version: ConfigurationVersion
    hosts: Mapping[bytes, tuple[Route, ...]]
    services: Mapping[ServiceId, ServiceTraits]
    limits: CallerLimits


def sort_by_prefix_length(routes: list[Route]) -> tuple[Route, ...]:
    """Order a host's routes as `find_route` needs them."""
    return tuple(sorted(routes, key=lambda route: -len(route.prefix)))


def find_route(
    configuration: Configuration, host: bytes, target: bytes
) -> Route | None:
    """Return the route with the longest prefix that begins a request's path.

    Args:
        configuration: The version in force.
        host: The request's host, with or without a port.
        target: The request's target; a query takes no part.
    """
    name = host.rsplit(b":", 1)[0] if b":" in host else host
    path = target.split(b"?", 1)[0]
    for route in configuration.hosts.get(name.lower(), ()):
        if path.startswith(route.prefix):
            return route
    return None
