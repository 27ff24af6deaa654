"""Which upstream a request goes to."""

from collections.abc import Callable
from random import Random

import pytest

from tanagercourse.core.ids import AffinityKey, RegionId, ServiceId, UpstreamId, ZoneId
from tanagercourse.routing.affinity import weigh
from tanagercourse.routing.choosing import (
    WARM_OBJECTS,
    Choose,
    Chosen,
    Full,
    NoUpstream,
    RoutingState,
    Wanted,
    make_expected_cost_chooser,
)
from tanagercourse.routing.configuration import Route
from tanagercourse.routing.fleet import (
    Duty,
    Fleet,
    Reachability,
    UpstreamRecord,
    UpstreamRegistration,
)
from tanagercourse.routing.observations import (
    CROSSINGS_BEFORE_COPY,
    OBJECT_MEMORY_S,
    ActiveObjects,
    CrossZoneTransfers,
    ServiceTimes,
)
from tanagercourse.routing.spilling import SpillShares
from tanagercourse.routing.topology import Location
from tanagercourse.routing.views import VIEW_S, ServiceViewCache

MakeEntry = Callable[..., UpstreamRegistration]
MakeRoute = Callable[..., Route]
MakeWanted = Callable[..., Wanted]

STOCK = ServiceId("stock")
KEY = AffinityKey("17")


@pytest.fixture
def fleet() -> Fleet:
    return Fleet()


@pytest.fixture
def knowledge(place: Location, fleet: Fleet) -> RoutingState:
    return RoutingState(
        place,
        ServiceViewCache(place, fleet),
        ServiceTimes(),
        CrossZoneTransfers(),
        ActiveObjects(),
        SpillShares(),
        lambda record: 1.0,
    )


@pytest.fixture
def choose(knowledge: RoutingState) -> Choose:
    return make_expected_cost_chooser(knowledge)


@pytest.fixture
def wanted(make_route: MakeRoute) -> MakeWanted:
    def make(
        tried: tuple[str, ...] = (),
        leaves: bool = False,
        key: AffinityKey | None = KEY,
        **route: object,
    ) -> Wanted:
        names = frozenset(UpstreamId(each) for each in tried)
        return Wanted(make_route(**route), STOCK, key, names, False, leaves)

    return make


def record_of(fleet: Fleet, name: str) -> UpstreamRecord:
    record = fleet.get(UpstreamId(name))
    assert record is not None
    return record


def chosen_name(choice: object) -> str:
    assert isinstance(choice, Chosen)
    return choice.record.registration.upstream


def test_an_object_keeps_its_upstream(
    choose: Choose, fleet: Fleet, make_entry: MakeEntry, wanted: MakeWanted
) -> None:
    for index in range(6):
        fleet.put(make_entry(f"u{index}"), 0.0)
    first = chosen_name(choose(wanted(), 1.0))
    fleet.remove(UpstreamId("u0" if first != "u0" else "u1"))
    assert chosen_name(choose(wanted(), 1.0)) == first


def test_a_request_never_goes_to_an_upstream_twice(
    choose: Choose, fleet: Fleet, make_entry: MakeEntry, wanted: MakeWanted
) -> None:
    for index in range(2):
        fleet.put(make_entry(f"u{index}"), 0.0)
    first = chosen_name(choose(wanted(), 1.0))
    assert chosen_name(choose(wanted(tried=(first,)), 1.0)) != first
    assert isinstance(choose(wanted(tried=("u0", "u1")), 1.0), NoUpstream)


@pytest.mark.parametrize("what", ["draining", "evacuated", "elsewhere"])
def test_upstreams_that_must_get_nothing_are_never_chosen(
    choose: Choose, fleet: Fleet, make_entry: MakeEntry, wanted: MakeWanted, what: str
) -> None:
    duty = Duty.DRAINING if what == "draining" else Duty.READY
    fleet.put(make_entry("u0", duty=duty), 0.0)
    if what == "evacuated":
        fleet.begin_evacuation(ZoneId("a1"))
    homes = frozenset([RegionId("b")]) if what == "elsewhere" else frozenset()
    assert isinstance(choose(wanted(home_regions=homes), 1.0), NoUpstream)


def test_an_upstream_that_is_down_is_left_out(
    choose: Choose, fleet: Fleet, make_entry: MakeEntry, wanted: MakeWanted
) -> None:
    for index in range(2):
        fleet.put(make_entry(f"u{index}"), 0.0)
    first = chosen_name(choose(wanted(), 1.0))
    record_of(fleet, first).reachability = Reachability.DOWN
    assert chosen_name(choose(wanted(), 1.0)) != first


def test_a_lapsed_entry_is_used_only_where_nothing_else_is(
    choose: Choose, fleet: Fleet, make_entry: MakeEntry, wanted: MakeWanted
) -> None:
    for index in range(2):
        fleet.put(make_entry(f"u{index}"), 0.0)
    first = chosen_name(choose(wanted(), 1.0))
    record_of(fleet, first).is_missing = True
    other = chosen_name(choose(wanted(), 1.0))
    assert other != first
    record_of(fleet, other).is_missing = True
    assert chosen_name(choose(wanted(), 1.0)) == first


def test_a_busy_region_makes_a_request_wait(
    choose: Choose, fleet: Fleet, make_entry: MakeEntry, wanted: MakeWanted
) -> None:
    fleet.put(make_entry("near"), 0.0)
    fleet.put(make_entry("far", zone="b1"), 0.0)
    record_of(fleet, "near").in_flight = 6
    assert isinstance(choose(wanted(), 1.0), Full)
    assert chosen_name(choose(wanted(leaves=True), 1.0)) == "far"


def test_a_region_without_upstreams_is_left(
    choose: Choose, fleet: Fleet, make_entry: MakeEntry, wanted: MakeWanted
) -> None:
    fleet.put(make_entry("far", zone="b1"), 0.0)
    assert chosen_name(choose(wanted(), 1.0)) == "far"


def test_cold_upstreams_get_a_bounded_rate_from_their_own_zone(
    choose: Choose, fleet: Fleet, make_entry: MakeEntry, wanted: MakeWanted
) -> None:
    fleet.put(make_entry("cold", cold_s=3.0), 0.0)
    fleet.put(make_entry("other", zone="a2", cold_s=3.0), 0.0)
    names = [choose(wanted(), 1.0 + step / 100) for step in range(20)]
    sent = [each for each in names if isinstance(each, Chosen)]
    assert [chosen_name(each) for each in sent] == ["cold"]
    assert chosen_name(choose(wanted(), 3.5)) in ("cold", "other")


def test_an_object_carried_often_gets_an_owner_in_the_own_zone(
    choose: Choose,
    knowledge: RoutingState,
    fleet: Fleet,
    make_entry: MakeEntry,
    wanted: MakeWanted,
) -> None:
    for index in range(8):
        fleet.put(make_entry(f"n{index}", zone="a2"), 0.0)
    fleet.put(make_entry("own"), 0.0)
    key = next(
        AffinityKey(str(index))
        for index in range(100)
        if chosen_name(choose(wanted(key=AffinityKey(str(index))), 1.0)) != "own"
    )
    for _ in range(CROSSINGS_BEFORE_COPY):
        knowledge.transfers.note(STOCK, key)
    assert chosen_name(choose(wanted(key=key), 1.0)) == "own"


def test_an_object_is_shared_by_few_upstreams(
    choose: Choose, fleet: Fleet, make_entry: MakeEntry, wanted: MakeWanted
) -> None:
    for index in range(6):
        fleet.put(make_entry(f"u{index}"), 0.0)
    used: set[str] = set()
    for _ in range(30):
        choice = choose(wanted(), 1.0)
        if isinstance(choice, Full):
            break
        assert isinstance(choice, Chosen)
        choice.record.in_flight += 1
        used.add(chosen_name(choice))
    assert len(used) == 2


def test_a_region_with_many_objects_gives_each_one_upstream(
    choose: Choose,
    knowledge: RoutingState,
    fleet: Fleet,
    make_entry: MakeEntry,
    wanted: MakeWanted,
) -> None:
    for index in range(2):
        fleet.put(make_entry(f"u{index}", zone=f"a{index + 1}"), 0.0)
    for index in range(WARM_OBJECTS + 1):
        knowledge.active_objects.note(STOCK, AffinityKey(str(index)), 1.0)
        for _ in range(CROSSINGS_BEFORE_COPY):
            knowledge.transfers.note(STOCK, AffinityKey(str(index)))
    first = choose(wanted(), 1.0)
    assert isinstance(first, Chosen)
    first.record.in_flight = 6
    assert isinstance(choose(wanted(), 1.0), Full)


def test_objects_that_nobody_asks_for_are_not_counted() -> None:
    objects = ActiveObjects()
    for index in range(5):
        objects.note(STOCK, AffinityKey(str(index)), 0.0)
    objects.note(STOCK, KEY, OBJECT_MEMORY_S + 1.0)
    assert objects.count(STOCK) == 1


def test_upstreams_that_rest_are_used_where_most_do(
    choose: Choose, fleet: Fleet, make_entry: MakeEntry, wanted: MakeWanted
) -> None:
    for index in range(4):
        fleet.put(make_entry(f"u{index}"), 0.0)
    owner = chosen_name(choose(wanted(), 1.0))
    others = [each for each in fleet if each.registration.upstream != owner]
    for resting in (record_of(fleet, owner), *others[:2]):
        for _ in range(5):
            resting.note_failure(1.0)
    assert chosen_name(choose(wanted(), 1.0 + VIEW_S)) == owner
    for _ in range(5):
        others[2].note_failure(1.0)
    assert chosen_name(choose(wanted(), 1.0 + VIEW_S)) == owner


def test_one_of_a_few_that_rests_is_left_out(
    choose: Choose, fleet: Fleet, make_entry: MakeEntry, wanted: MakeWanted
) -> None:
    for index in range(2):
        fleet.put(make_entry(f"u{index}"), 0.0)
    owner = chosen_name(choose(wanted(), 1.0))
    for _ in range(5):
        record_of(fleet, owner).note_failure(1.0)
    assert chosen_name(choose(wanted(), 1.0 + VIEW_S)) != owner


@pytest.mark.parametrize("seed", range(20))
def test_a_choice_is_among_the_heaviest_that_a_look_at_all_upstreams_finds(
    seed: int,
    choose: Choose,
    fleet: Fleet,
    make_entry: MakeEntry,
    wanted: MakeWanted,
) -> None:
    """Compare with a naive choice that keeps nothing between two requests."""
    random = Random(seed)
    for step in range(60):
        now_s = step * VIEW_S
        name, zone = f"u{random.randrange(12)}", random.choice(["a1", "a2", "b1"])
        change = random.random()
        if change < 0.5:
            cold_s = random.choice([0.0, 0.0, 1.0])
            fleet.put(make_entry(name, zone=zone, cold_s=cold_s), now_s)
        elif change < 0.6:
            fleet.remove(UpstreamId(name))
        elif change < 0.7 and fleet.get(UpstreamId(name)) is not None:
            record_of(fleet, name).reachability = random.choice(
                [Reachability.UP, Reachability.DOWN]
            )
        elif change < 0.8:
            fleet.begin_evacuation(ZoneId(zone))
        elif change < 0.9:
            fleet.end_evacuation(ZoneId(zone), {STOCK: 0.0}, now_s)
        tried = (f"u{random.randrange(12)}",)
        key = AffinityKey(str(random.randrange(5)))
        choice = choose(wanted(tried=tried, key=key), now_s)
        up = [
            each
            for each in fleet.serving(STOCK)
            if each.reachability is Reachability.UP
            and each.registration.upstream not in tried
        ]
        near = [each for each in up if each.registration.zone != "b1"]
        warm = [each for each in near or up if not each.is_cold(now_s)]
        warm.sort(key=lambda each: -weigh(each.registration.upstream, key))
        names = [each.registration.upstream for each in warm[: 2 if near else 1]]
        if names:
            assert chosen_name(choice) in names
        elif isinstance(choice, Chosen):
            assert (
                choice.record.is_cold(now_s) and choice.record.registration.zone == "a1"
            )
