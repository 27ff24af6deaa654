"""Tests of routes, traffic splits, retry budgets and spill shares."""

from collections import Counter
from collections.abc import Callable
from random import Random

import pytest

from tanagercourse.core.ids import AffinityKey, ConfigurationVersion, RouteId, ServiceId
from tanagercourse.routing.caller_retries import CallerElapsedTimes
from tanagercourse.routing.configuration import (
    DEFAULT_LIMITS,
    Configuration,
    Route,
    ServiceWeight,
    find_route,
    sort_by_prefix_length,
)
from tanagercourse.routing.retry_budget import (
    SlidingWindowRetryBudget,
    instance_retry_ratio,
    instance_retry_slack,
)
from tanagercourse.routing.spilling import (
    MAX_SHARE_CHANGE_PER_S,
    RegionView,
    SpillShares,
    planned_share,
)
from tanagercourse.routing.traffic_split import TrafficSplitter

MakeRoute = Callable[..., Route]

STOCK = ServiceId("stock")


@pytest.mark.parametrize(
    ("host", "target", "expected"),
    [
        (b"h.example", b"/a/x", "short"),
        (b"h.example", b"/a/b/x?q=/a/", "long"),
        (b"H.Example:80", b"/a/b/", "long"),
        (b"h.example", b"/a", None),
        (b"h.example", b"/ab/", None),
        (b"other", b"/a/x", None),
    ],
)
def test_longest_matching_prefix_of_the_host_is_found(
    make_route: MakeRoute, host: bytes, target: bytes, expected: str | None
) -> None:
    routes = [
        make_route(route_id=RouteId("short"), prefix=b"/a/"),
        make_route(route_id=RouteId("long"), prefix=b"/a/b/"),
    ]
    hosts = {b"h.example": sort_by_prefix_length(routes)}
    configuration = Configuration(ConfigurationVersion(1), hosts, {}, DEFAULT_LIMITS)
    route = find_route(configuration, host, target)
    assert (route.route_id if route else None) == expected


def test_services_of_a_split_get_requests_by_weight(make_route: MakeRoute) -> None:
    service_weights = (
        ServiceWeight(ServiceId("x"), 90),
        ServiceWeight(ServiceId("y"), 10),
    )
    route = make_route(service_weights=service_weights)
    splitter = TrafficSplitter()
    counts = Counter(splitter.next_service(route) for _ in range(100))
    assert counts == {"x": 90, "y": 10}


def test_changed_weights_apply_from_the_next_request(make_route: MakeRoute) -> None:
    splitter = TrafficSplitter()
    old = make_route(
        service_weights=(
            ServiceWeight(ServiceId("x"), 1),
            ServiceWeight(ServiceId("y"), 1),
        )
    )
    for _ in range(5):
        splitter.next_service(old)
    new = make_route(
        service_weights=(
            ServiceWeight(ServiceId("x"), 1),
            ServiceWeight(ServiceId("z"), 3),
        )
    )
    counts = Counter(splitter.next_service(new) for _ in range(40))
    assert counts == {"x": 10, "z": 30}


def test_retries_stay_within_the_budget_in_every_window() -> None:
    budget = SlidingWindowRetryBudget(ratio=0.2, slack=2.0, window_s=10.0)
    retried: list[float] = []
    for step in range(400):
        now_s = step / 10
        budget.count_request(STOCK, now_s)
        if budget.try_retry(STOCK, now_s):
            retried.append(now_s)
    for start in range(30):
        in_window = [
            retried_at_s
            for retried_at_s in retried
            if start <= retried_at_s < start + 10
        ]
        assert len(in_window) <= 0.2 * 100 + 2 + 1
    assert len(retried) > 60


def test_requests_before_the_window_are_dropped_without_retries() -> None:
    budget = SlidingWindowRetryBudget(ratio=0.2, slack=2.0, window_s=10.0)
    for step in range(1_000):
        budget.count_request(STOCK, step / 10)
    assert budget.request_count(STOCK) == 100


@pytest.mark.parametrize(("instances", "slack"), [(10, 60.0), (71, 182.0), (83, 206.0)])
def test_all_instances_together_stay_within_the_slack(
    instances: int, slack: float
) -> None:
    assert instances * instance_retry_slack(slack) <= slack


def test_retries_stay_within_the_limit_despite_trial_requests() -> None:
    """Count requests that only try out a configuration in budgets, not in the limit."""
    random = Random(1)
    budgets = [
        SlidingWindowRetryBudget(
            instance_retry_ratio(0.2), instance_retry_slack(206.0), 10.0
        )
        for _ in range(83)
    ]
    counted = trials = retried = 0
    for step in range(12_000):
        budget, now_s = random.choice(budgets), step / 1200
        budget.count_request(STOCK, now_s)
        is_trial = random.random() < 0.06
        trials += is_trial
        counted += not is_trial
        retried += random.random() < 0.8 and budget.try_retry(STOCK, now_s)
    assert trials > 600 and retried <= 0.2 * counted + 206


def test_request_with_a_shorter_deadline_is_a_caller_retry(
    make_route: MakeRoute,
) -> None:
    times, route = CallerElapsedTimes(), make_route()
    assert times.elapsed_s(route, 3.0, 0.0) == 0
    assert times.elapsed_s(route, 2.4, 1.0) == pytest.approx(0.6)
    assert times.elapsed_s(route, 3.0, 2.0) == 0


def test_one_long_deadline_does_not_make_others_callers_retries(
    make_route: MakeRoute,
) -> None:
    """One odd deadline put every later request of its route behind all others."""
    times, route = CallerElapsedTimes(), make_route()
    times.elapsed_s(route, 60.0, 0.0)
    assert times.elapsed_s(route, 3.0, 1.0) == 0
    times.elapsed_s(route, 4.0, 2.0)
    assert times.elapsed_s(route, 3.0, 100.0) == 0


def make_view(
    utilization: float,
    remote_utilization: float = 0.0,
    local_slots: int = 8,
    total_slots: int = 56,
    report_count: float = 100.0,
) -> RegionView:
    return RegionView(
        local_slots, total_slots, 3, utilization, remote_utilization, report_count
    )


def test_small_region_spills_its_planned_share_from_the_start() -> None:
    shares = SpillShares()
    spilled = [
        shares.record_arrival(STOCK, None, make_view(0.7), 0.0) for _ in range(200)
    ]
    assert sum(spilled) == pytest.approx(200 * planned_share(make_view(0.7)), abs=1)


def test_share_never_changes_faster_than_the_limit() -> None:
    shares = SpillShares()
    shares.record_arrival(STOCK, None, make_view(0.7), 0.0)
    previous = shares.share(STOCK)
    for step in range(1, 300):
        utilization = 2.0 if step % 40 < 20 else 0.0
        shares.record_arrival(STOCK, None, make_view(utilization), step / 20)
        change = abs(shares.share(STOCK) - previous)
        assert change <= MAX_SHARE_CHANGE_PER_S / 20 + 1e-9
        previous = shares.share(STOCK)


def test_nothing_spills_to_equally_utilized_regions() -> None:
    shares = SpillShares()
    full_view = make_view(1.5, 1.5, local_slots=24)
    spilled = [
        shares.record_arrival(STOCK, None, full_view, step / 10) for step in range(300)
    ]
    assert not any(spilled)


def test_lull_brings_few_requests_back_to_a_small_region() -> None:
    """Returning objects are cold, and the next peak would send them away again."""
    shares = SpillShares()
    for step in range(100):
        shares.record_arrival(STOCK, None, make_view(0.1), step / 10)
    plan = planned_share(make_view(0.1))
    assert 0.7 * plan <= shares.share(STOCK) < plan


def test_share_returns_to_the_plan_without_load_reports() -> None:
    shares = SpillShares()
    for step in range(200):
        shares.record_arrival(STOCK, None, make_view(1.0), step / 10)
    assert shares.share(STOCK) > planned_share(make_view(1.0))
    for step in range(200, 400):
        view = make_view(0.0, report_count=1.0)
        shares.record_arrival(STOCK, None, view, step / 10)
    assert shares.share(STOCK) == pytest.approx(planned_share(make_view(1.0)))


def test_spilled_requests_are_mostly_for_the_same_objects() -> None:
    """Compare with a random choice of the requests that spill.

    Less than half as many requests deviate from their object's usual region.
    """
    shares, random = SpillShares(), Random(1)
    spilled: Counter[AffinityKey] = Counter()
    requested: Counter[AffinityKey] = Counter()
    services = [STOCK, ServiceId("order"), ServiceId("pattern")]
    for _ in range(8000):
        key, service = AffinityKey(str(random.randrange(28))), random.choice(services)
        spills = shares.record_arrival(service, key, make_view(0.7), 0.0)
        if service == STOCK:
            requested[key] += 1
            spilled[key] += spills
    share = planned_share(make_view(0.7))
    assert spilled.total() == pytest.approx(requested.total() * share, abs=3)
    deviating = sum(
        min(spilled[key], requested[key] - spilled[key]) for key in requested
    )
    assert deviating < 0.5 * min(share, 1 - share) * requested.total()


def test_spilled_share_changes_little_between_intervals() -> None:
    """Intervals are two seconds of requests to a region with three instances."""
    random = Random(2)
    instances = [SpillShares() for _ in range(3)]
    services = [ServiceId("stock")] * 3 + [ServiceId("order"), ServiceId("pattern")]
    spilled = []
    for _ in range(78 * 100):
        key = AffinityKey(str(random.randrange(28)))
        service = random.choice(services)
        shares = random.choice(instances)
        spilled.append(shares.record_arrival(service, key, make_view(0.7), 0.0))
    counts = [sum(spilled[start : start + 78]) for start in range(0, len(spilled), 78)]
    changes = [abs(a - b) / 78 for a, b in zip(counts, counts[1:], strict=False)]
    assert max(changes) <= 0.15
