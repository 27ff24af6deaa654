"""Tests of the service times that choices and deadlines rest on."""

from collections.abc import Callable

import pytest

from tanagercourse.core.ids import RouteId, ServiceId
from tanagercourse.routing.configuration import Route
from tanagercourse.routing.observations import (
    INITIAL_WARM_SHARE,
    MAX_SERVICE_TIMES,
    ServiceTimes,
)

STOCK = ServiceId("stock")
SHORT_S, LONG_S = 0.18, 0.58
MakeRoute = Callable[..., Route]


@pytest.fixture
def short_route(make_route: MakeRoute) -> Route:
    return make_route(route_id=RouteId("short"), target_latency_s=0.4)


@pytest.fixture
def long_route(make_route: MakeRoute) -> Route:
    return make_route(route_id=RouteId("long"), target_latency_s=2.5)


def test_long_requests_of_a_service_make_no_short_one_late(
    short_route: Route, long_route: Route
) -> None:
    """Replays four long requests to one short one of the same service."""
    times = ServiceTimes()
    for _ in range(100):
        for _ in range(4):
            times.record(STOCK, long_route, True, LONG_S)
        times.record(STOCK, short_route, True, SHORT_S)
    assert times.estimate_s(STOCK, short_route, True) == pytest.approx(SHORT_S, rel=0.1)
    assert times.estimate_s(STOCK, long_route, True) == pytest.approx(LONG_S, rel=0.1)
    # What waits at an upstream is of both routes.
    assert SHORT_S < times.estimate_queued_s(STOCK, short_route) < LONG_S


def test_first_responses_correct_an_initial_estimate_that_is_far_off(
    long_route: Route,
) -> None:
    times = ServiceTimes()
    initial_s = INITIAL_WARM_SHARE * long_route.target_latency_s
    assert times.estimate_s(STOCK, long_route, True) == initial_s
    for _ in range(12):
        times.record(STOCK, long_route, True, LONG_S)
    assert times.estimate_s(STOCK, long_route, True) < (LONG_S + initial_s) / 2


def test_routes_that_are_gone_take_no_memory(make_route: MakeRoute) -> None:
    times = ServiceTimes()
    for number in range(2 * MAX_SERVICE_TIMES):
        times.record(STOCK, make_route(route_id=RouteId(str(number))), True, SHORT_S)
    assert len(times._averages) <= MAX_SERVICE_TIMES
