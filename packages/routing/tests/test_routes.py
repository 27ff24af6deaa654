"""Routes, splits, budgets of repeats, and shares that leave a region."""

from collections import Counter
from collections.abc import Callable
from random import Random

import pytest

from tanagercourse.core.ids import AffinityKey, ConfigurationVersion, RouteId, ServiceId
from tanagercourse.routing.caller_retries import CallerRetryDetector
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
    SHARE_CHANGE_PER_S,
    RegionView,
    SpillShares,
    planned_share,
)
from tanagercourse.routing.traffic_split import TrafficSplitter

MakeRoute = Callable[..., Route]

STOCK = ServiceId("stock")


@pytest.mark.parametrize(
    ("host", "target", "found"),
    [
        (b"h.example", b"/a/x", "short"),
        (b"h.example", b"/a/b/x?q=/a/", "long"),
        (b"H.Example:80", b"/a/b/", "long"),
        (b"h.example", b"/a", None),
        (b"h.example", b"/ab/", None),
        (b"other", b"/a/x", None),
    ],
)
def test_the_longest_prefix_of_the_host_wins(
    make_route: MakeRoute, host: bytes, target: bytes, found: str | None
) -> None:
    routes = [
        make_route(route_id=RouteId("short"), prefix=b"/a/"),
        make_route(route_id=RouteId("long"), prefix=b"/a/b/"),
    ]
    hosts = {b"h.example": sort_by_prefix_length(routes)}
    configuration = Configuration(ConfigurationVersion(1), hosts, {}, DEFAULT_LIMITS)
    route = find_route(configuration, host, target)
    assert (route.route_id if route else None) == found


def test_each_part_of_a_split_gets_its_share(make_route: MakeRoute) -> None:
    parts = (ServiceWeight(ServiceId("x"), 90), ServiceWeight(ServiceId("y"), 10))
    route = make_route(service_weights=parts)
    counter = TrafficSplitter()
    counts = Counter(counter.next_service(route) for _ in range(100))
    assert counts == {"x": 90, "y": 10}


def test_new_weights_hold_from_the_next_request_on(make_route: MakeRoute) -> None:
    counter = TrafficSplitter()
    old = make_route(
        service_weights=(
            ServiceWeight(ServiceId("x"), 1),
            ServiceWeight(ServiceId("y"), 1),
        )
    )
    for _ in range(5):
        counter.next_service(old)
    new = make_route(
        service_weights=(
            ServiceWeight(ServiceId("x"), 1),
            ServiceWeight(ServiceId("z"), 3),
        )
    )
    counts = Counter(counter.next_service(new) for _ in range(40))
    assert counts == {"x": 10, "z": 30}


def test_repeats_keep_to_their_share_in_every_window() -> None:
    budget = SlidingWindowRetryBudget(ratio=0.2, slack=2.0, window_s=10.0)
    repeated: list[float] = []
    for step in range(400):
        now_s = step / 10
        budget.count_request(STOCK, now_s)
        if budget.try_repeat(STOCK, now_s):
            repeated.append(now_s)
    for start in range(30):
        inside = [at for at in repeated if start <= at < start + 10]
        assert len(inside) <= 0.2 * 100 + 2 + 1
    assert len(repeated) > 60


@pytest.mark.parametrize(("instances", "slack"), [(10, 60.0), (71, 182.0), (83, 206.0)])
def test_all_instances_together_keep_to_the_slack(instances: int, slack: float) -> None:
    assert instances * instance_retry_slack(slack) <= slack


def test_requests_that_are_not_counted_leave_room_for_no_more_repeats() -> None:
    """83 instances, of which each also gets requests that only try routes out."""
    random = Random(1)
    budgets = [
        SlidingWindowRetryBudget(
            instance_retry_ratio(0.2), instance_retry_slack(206.0), 10.0
        )
        for _ in range(83)
    ]
    counted = tried = repeated = 0
    for step in range(12_000):
        budget, now_s = random.choice(budgets), step / 1200
        budget.count_request(STOCK, now_s)
        is_trial = random.random() < 0.06
        tried += is_trial
        counted += not is_trial
        repeated += random.random() < 0.8 and budget.try_repeat(STOCK, now_s)
    assert tried > 600 and repeated <= 0.2 * counted + 206


def test_a_caller_with_less_time_than_others_came_back(make_route: MakeRoute) -> None:
    memory, route = CallerRetryDetector(), make_route()
    assert not memory.is_caller_retry(route, 3.0)
    assert memory.is_caller_retry(route, 2.4)
    assert not memory.is_caller_retry(route, 3.0)


def view(
    busy: float, far_busy: float = 0.0, home: int = 8, every: int = 56
) -> RegionView:
    return RegionView(home, every, 3, busy, far_busy)


def test_a_small_region_sends_its_planned_share_away_from_the_start() -> None:
    shares = SpillShares()
    away = [shares.note_arrival(STOCK, None, view(0.7), 0.0) for _ in range(200)]
    assert sum(away) == pytest.approx(200 * planned_share(view(0.7)), abs=1)


def test_a_share_never_changes_faster_than_its_bound() -> None:
    shares = SpillShares()
    shares.note_arrival(STOCK, None, view(0.7), 0.0)
    before = shares.share(STOCK)
    for step in range(1, 300):
        busy = 2.0 if step % 40 < 20 else 0.0
        shares.note_arrival(STOCK, None, view(busy), step / 20)
        change = abs(shares.share(STOCK) - before)
        assert change <= SHARE_CHANGE_PER_S / 20 + 1e-9
        before = shares.share(STOCK)


def test_nothing_leaves_for_regions_that_are_as_busy() -> None:
    shares = SpillShares()
    full = view(1.5, 1.5, home=24)
    away = [shares.note_arrival(STOCK, None, full, step / 10) for step in range(300)]
    assert not any(away)


def test_mostly_the_same_objects_leave() -> None:
    """Fewer than half as many go the other way as would by chance."""
    shares, random = SpillShares(), Random(1)
    left: Counter[AffinityKey] = Counter()
    seen: Counter[AffinityKey] = Counter()
    services = [STOCK, ServiceId("order"), ServiceId("pattern")]
    for _ in range(8000):
        key, service = AffinityKey(str(random.randrange(28))), random.choice(services)
        leaves = shares.note_arrival(service, key, view(0.7), 0.0)
        if service == STOCK:
            seen[key] += 1
            left[key] += leaves
    share = planned_share(view(0.7))
    assert left.total() == pytest.approx(seen.total() * share, abs=3)
    other_way = sum(min(left[key], seen[key] - left[key]) for key in seen)
    assert other_way < 0.5 * min(share, 1 - share) * seen.total()


def test_shares_of_all_services_change_little_from_one_interval_to_the_next() -> None:
    """Two seconds of a region with three instances: a change is at most 0.15."""
    random = Random(2)
    instances = [SpillShares() for _ in range(3)]
    services = [ServiceId("stock")] * 3 + [ServiceId("order"), ServiceId("pattern")]
    away = []
    for _ in range(78 * 100):
        key = AffinityKey(str(random.randrange(28)))
        service = random.choice(services)
        shares = random.choice(instances)
        away.append(shares.note_arrival(service, key, view(0.7), 0.0))
    counts = [sum(away[start : start + 78]) for start in range(0, len(away), 78)]
    changes = [abs(a - b) / 78 for a, b in zip(counts, counts[1:], strict=False)]
    assert max(changes) <= 0.15
