"""Fixtures for routes and upstream registrations."""

from collections.abc import Callable

import pytest

from tanagercourse.core.ids import RegionId, RouteId, ServiceId, UpstreamId, ZoneId
from tanagercourse.core.states import Idempotency
from tanagercourse.routing.configuration import Route, ServiceWeight
from tanagercourse.routing.fleet import Duty, UpstreamRegistration
from tanagercourse.routing.topology import Location

MakeRegistration = Callable[..., UpstreamRegistration]
MakeRoute = Callable[..., Route]


@pytest.fixture
def location() -> Location:
    regions = {"a1": "a", "a2": "a", "b1": "b", "c1": "c"}
    return Location(ZoneId("a1"), {ZoneId(z): RegionId(r) for z, r in regions.items()})


@pytest.fixture
def make_registration() -> MakeRegistration:
    def make(name: str, zone: str = "a1", **changes: object) -> UpstreamRegistration:
        fields = {
            "upstream": UpstreamId(name),
            "service": ServiceId("stock"),
            "host": "127.0.0.1",
            "port": 80,
            "zone": ZoneId(zone),
            "slots": 3,
            "duty": Duty.READY,
            "cold_s": 0.0,
            "started_unix_ms": 1,
        }
        return UpstreamRegistration(**{**fields, **changes})  # type: ignore[arg-type]

    return make


@pytest.fixture
def make_route() -> MakeRoute:
    def make(**changes: object) -> Route:
        fields = {
            "route_id": RouteId("r"),
            "prefix": b"/a/",
            "service_weights": (ServiceWeight(ServiceId("stock"), 1.0),),
            "idempotency": Idempotency.IDEMPOTENT,
            "timeout_s": 3.0,
            "target_latency_s": 0.4,
            "max_upstreams": 2,
            "priority": 0,
            "home_regions": frozenset(),
            "is_sticky": True,
        }
        return Route(**{**fields, **changes})  # type: ignore[arg-type]

    return make
