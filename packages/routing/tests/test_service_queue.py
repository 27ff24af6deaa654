"""Tests of the queue of one service, without time passing."""

from collections.abc import Callable
from dataclasses import replace
from typing import Any

import pytest

from tanagercourse.core.ids import RegionId, RouteId, TenantId
from tanagercourse.routing import admission
from tanagercourse.routing.admission import QueuePosition, ServiceQueue
from tanagercourse.routing.caller_retries import CallerElapsedTimes
from tanagercourse.testing.gateway_harness import make_two_route_configuration


@pytest.fixture
def queue() -> ServiceQueue:
    return ServiceQueue()


def wait(queue: ServiceQueue, position: QueuePosition) -> None:
    queue.add(position, lambda: None, 1.0)


def test_check_does_not_sort_the_queue(
    queue: ServiceQueue, monkeypatch: pytest.MonkeyPatch
) -> None:
    """With 500 waiting requests, the two sorts of each check took 3 ms.

    All of them check within 30 ms, so the checks took more than all of the processor.
    """
    sorted_counts: list[int] = []

    def count_sorted(items: list[Any], key: Callable[[Any], Any]) -> list[Any]:
        sorted_counts.append(len(items))
        return sorted(items, key=key)

    for number in range(500):
        wait(queue, QueuePosition(False, 0, number / 1000, TenantId(f"{number % 9}")))
    monkeypatch.setattr(admission, "sorted", count_sorted, raising=False)
    position = QueuePosition(False, 0, 1.0)
    queue.outlook(position, 1.0)
    queue.unchecked_ahead(position, 1.0)
    assert not any(sorted_counts)


NORTH, SOUTH = frozenset({RegionId("north")}), frozenset({RegionId("south")})


@pytest.mark.parametrize(
    ("waiting", "own", "is_competing"),
    [
        (NORTH, SOUTH, False),
        (NORTH, NORTH, True),
        (NORTH | SOUTH, SOUTH, True),
        (None, SOUTH, True),
    ],
)
def test_request_yields_only_to_one_that_can_use_its_slots(
    queue: ServiceQueue,
    waiting: frozenset[RegionId] | None,
    own: frozenset[RegionId],
    is_competing: bool,
) -> None:
    """Urgent requests of a tenant wait for its home region, which is full.

    All less urgent requests waited with them, also for regions with free slots.
    """
    position = QueuePosition(False, 1, 0.5, allowed_regions=own)
    wait(queue, QueuePosition(False, 0, 0.0, allowed_regions=waiting))
    assert queue.must_yield(position) is is_competing
    assert queue.outlook(position, 1.0).ahead == is_competing


def test_request_for_any_region_does_not_yield_to_one_with_home_regions(
    queue: ServiceQueue,
) -> None:
    """The request for any region was refused although other regions had free slots."""
    wait(queue, QueuePosition(False, 0, 0.0, allowed_regions=NORTH))
    assert not queue.must_yield(QueuePosition(False, 1, 0.5))


def test_tenants_that_send_nothing_are_forgotten(queue: ServiceQueue) -> None:
    """The slots of each tenant that ever sent a request stayed in memory."""
    for number in range(1000):
        tenant = TenantId(f"t{number}")
        queue.record_slot(QueuePosition(False, 0, 0.0, tenant), False, float(number))
    assert queue.tenant_count < 100


def test_routes_without_requests_are_forgotten() -> None:
    """The longest deadline of each route that was ever configured stayed in memory."""
    elapsed_times = CallerElapsedTimes()
    (route, _), *_ = make_two_route_configuration().hosts.values()
    for number in range(1000):
        named = replace(route, route_id=RouteId(f"r{number}"))
        elapsed_times.elapsed_s(named, 3.0, float(number))
    assert elapsed_times.route_count < 100
