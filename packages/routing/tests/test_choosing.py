"""Tests of the choice of an upstream."""

from collections.abc import Callable
from random import Random

import pytest

from tanagercourse.core.ids import AffinityKey, RegionId, ServiceId, UpstreamId, ZoneId
from tanagercourse.routing.affinity import rendezvous_weight
from tanagercourse.routing.authorization import Authorized
from tanagercourse.routing.choosing import (
    WARM_OBJECTS_PER_UPSTREAM,
    AtCapacity,
    Chooser,
    Chosen,
    NoUpstream,
    Paused,
    Requirements,
    RoutingState,
    make_expected_cost_chooser,
)
from tanagercourse.routing.cold_starts import ColdSendLimiter
from tanagercourse.routing.configuration import Route
from tanagercourse.routing.fleet import (
    Duty,
    Fleet,
    Reachability,
    UpstreamRecord,
    UpstreamRegistration,
)
from tanagercourse.routing.observations import (
    OBJECT_TTL_S,
    TRANSFERS_BEFORE_ZONE_OWNER,
    ActiveObjects,
    CrossZoneTransfers,
    ServiceTimes,
)
from tanagercourse.routing.spilling import SpillShares
from tanagercourse.routing.topology import Location
from tanagercourse.routing.views import VIEW_TTL_S, ServiceViewCache

MakeRegistration = Callable[..., UpstreamRegistration]
MakeRoute = Callable[..., Route]
MakeRequirements = Callable[..., Requirements]

STOCK = ServiceId("stock")
KEY = AffinityKey("17")


@pytest.fixture
def fleet() -> Fleet:
    return Fleet()


@pytest.fixture
def state(location: Location, fleet: Fleet) -> RoutingState:
    return RoutingState(
        location,
        ServiceViewCache(location, fleet),
        ServiceTimes(),
        CrossZoneTransfers(),
        ActiveObjects(),
        SpillShares(),
        ColdSendLimiter(lambda record: 1.0, Random(1)),
    )


@pytest.fixture
def choose(state: RoutingState) -> Chooser:
    return make_expected_cost_chooser(state)


@pytest.fixture
def make_requirements(make_route: MakeRoute) -> MakeRequirements:
    def make(
        tried: tuple[str, ...] = (),
        spills: bool = False,
        key: AffinityKey | None = KEY,
        is_late: bool = False,
        **route: object,
    ) -> Requirements:
        tried_ids = frozenset(UpstreamId(name) for name in tried)
        made_route = make_route(**route)
        allowed_regions = Authorized(made_route, None).allowed_regions
        return Requirements(
            made_route, STOCK, key, tried_ids, is_late, spills, allowed_regions
        )

    return make


def get_record(fleet: Fleet, name: str) -> UpstreamRecord:
    record = fleet.get(UpstreamId(name))
    assert record is not None
    return record


def get_chosen_name(choice: object) -> str:
    assert isinstance(choice, Chosen)
    return choice.record.registration.upstream


def test_object_keeps_its_upstream_when_another_is_removed(
    choose: Chooser,
    fleet: Fleet,
    make_registration: MakeRegistration,
    make_requirements: MakeRequirements,
) -> None:
    for index in range(6):
        fleet.put(make_registration(f"u{index}"), 0.0)
    owner = get_chosen_name(choose(make_requirements(), 1.0))
    fleet.remove(UpstreamId("u0" if owner != "u0" else "u1"))
    assert get_chosen_name(choose(make_requirements(), 1.0)) == owner


@pytest.mark.parametrize("spills", [True, False])
def test_pause_of_a_regions_upstreams_moves_no_request_to_another_region(
    choose: Chooser,
    fleet: Fleet,
    make_registration: MakeRegistration,
    make_requirements: MakeRequirements,
    spills: bool,
) -> None:
    """All of them at once would change their region (SHIFT); a share spills anyway."""
    for zone in ("a1", "a2", "b1"):
        fleet.put(make_registration(f"u-{zone}", zone), 0.0)
    fleet.pause(get_record(fleet, "u-a1"), 9.0)
    fleet.pause(get_record(fleet, "u-a2"), 7.0)
    choice = choose(make_requirements(spills=spills), 1.0)
    if spills:
        assert get_chosen_name(choice) == "u-b1"
    else:
        assert choice == Paused(7.0)
    assert isinstance(choose(make_requirements(spills=spills), 7.1), Chosen)


def test_pause_sends_no_request_out_of_its_home_regions(
    choose: Chooser,
    fleet: Fleet,
    make_registration: MakeRegistration,
    make_requirements: MakeRequirements,
) -> None:
    for zone in ("a1", "b1", "c1"):
        fleet.put(make_registration(f"u-{zone}", zone), 0.0)
    for name in ("u-a1", "u-b1"):
        fleet.pause(get_record(fleet, name), 9.0)
    for homes in ("a", "b"):
        home_regions = frozenset({RegionId(homes)})
        for spills in (True, False):
            requirements = make_requirements(spills=spills, home_regions=home_regions)
            assert choose(requirements, 1.0) == Paused(9.0)


def test_pause_of_some_upstreams_makes_a_request_wait_for_the_others(
    choose: Chooser,
    fleet: Fleet,
    make_registration: MakeRegistration,
    make_requirements: MakeRequirements,
) -> None:
    for name in ("u0", "u1"):
        fleet.put(make_registration(name), 0.0)
    fleet.pause(get_record(fleet, "u0"), 9.0)
    get_record(fleet, "u1").in_flight = 6
    assert choose(make_requirements(), 1.0) == AtCapacity()


def test_pause_keeps_the_slots_of_its_region_and_counts_them_as_busy(
    state: RoutingState, fleet: Fleet, make_registration: MakeRegistration
) -> None:
    """The share that spills follows the region's slots and utilization."""
    for zone in ("a1", "a2", "b1"):
        fleet.put(make_registration(f"u-{zone}", zone), 0.0)
    before = state.views.refresh(STOCK, 1.0).region
    fleet.pause(get_record(fleet, "u-a1"), 9.0)
    after = state.views.refresh(STOCK, 1.0).region
    assert (after.local_slots, after.total_slots) == (
        before.local_slots,
        before.total_slots,
    )
    assert before.utilization == 0.0 and after.utilization == 1.0


def test_request_is_never_sent_to_a_tried_upstream(
    choose: Chooser,
    fleet: Fleet,
    make_registration: MakeRegistration,
    make_requirements: MakeRequirements,
) -> None:
    for index in range(2):
        fleet.put(make_registration(f"u{index}"), 0.0)
    owner = get_chosen_name(choose(make_requirements(), 1.0))
    assert get_chosen_name(choose(make_requirements(tried=(owner,)), 1.0)) != owner
    assert isinstance(choose(make_requirements(tried=("u0", "u1")), 1.0), NoUpstream)


def test_request_has_no_upstream_if_none_can_be_reached(
    choose: Chooser,
    fleet: Fleet,
    make_registration: MakeRegistration,
    make_requirements: MakeRequirements,
) -> None:
    records = [fleet.put(make_registration(f"u{index}"), 0.0) for index in range(2)]
    for record in records:
        record.reachability = Reachability.DOWN
    assert isinstance(choose(make_requirements(), 1.0), NoUpstream)


@pytest.mark.parametrize("exclusion", ["draining", "evacuated", "outside home regions"])
def test_excluded_upstream_is_never_chosen(
    choose: Chooser,
    fleet: Fleet,
    make_registration: MakeRegistration,
    make_requirements: MakeRequirements,
    exclusion: str,
) -> None:
    duty = Duty.DRAINING if exclusion == "draining" else Duty.READY
    fleet.put(make_registration("u0", duty=duty), 0.0)
    if exclusion == "evacuated":
        fleet.begin_evacuation(ZoneId("a1"))
    home_regions = (
        frozenset([RegionId("b")])
        if exclusion == "outside home regions"
        else frozenset()
    )
    assert isinstance(
        choose(make_requirements(home_regions=home_regions), 1.0), NoUpstream
    )


def test_unreachable_upstream_is_not_chosen(
    choose: Chooser,
    fleet: Fleet,
    make_registration: MakeRegistration,
    make_requirements: MakeRequirements,
) -> None:
    for index in range(2):
        fleet.put(make_registration(f"u{index}"), 0.0)
    owner = get_chosen_name(choose(make_requirements(), 1.0))
    get_record(fleet, owner).reachability = Reachability.DOWN
    assert get_chosen_name(choose(make_requirements(), 1.0)) != owner


def test_lapsed_registration_is_used_only_without_alternative(
    choose: Chooser,
    fleet: Fleet,
    make_registration: MakeRegistration,
    make_requirements: MakeRequirements,
) -> None:
    for index in range(2):
        fleet.put(make_registration(f"u{index}"), 0.0)
    owner = get_chosen_name(choose(make_requirements(), 1.0))
    get_record(fleet, owner).is_missing = True
    alternative = get_chosen_name(choose(make_requirements(), 1.0))
    assert alternative != owner
    get_record(fleet, alternative).is_missing = True
    assert get_chosen_name(choose(make_requirements(), 1.0)) == owner


def test_request_waits_if_the_local_region_is_full_unless_it_spills(
    choose: Chooser,
    fleet: Fleet,
    make_registration: MakeRegistration,
    make_requirements: MakeRequirements,
) -> None:
    fleet.put(make_registration("near"), 0.0)
    fleet.put(make_registration("far", zone="b1"), 0.0)
    get_record(fleet, "near").in_flight = 6
    assert isinstance(choose(make_requirements(), 1.0), AtCapacity)
    assert get_chosen_name(choose(make_requirements(spills=True), 1.0)) == "far"


@pytest.mark.parametrize(("in_flight", "is_sent"), [(2, True), (3, True), (4, False)])
def test_late_request_waits_for_one_slot_at_most_at_an_upstream(
    choose: Chooser,
    fleet: Fleet,
    make_registration: MakeRegistration,
    make_requirements: MakeRequirements,
    in_flight: int,
    is_sent: bool,
) -> None:
    """Load pattern: all slots are taken, and callers come back after refusals."""
    fleet.put(make_registration("near", slots=3), 0.0)
    get_record(fleet, "near").in_flight = in_flight
    choice = choose(make_requirements(is_late=True), 1.0)
    assert isinstance(choice, Chosen) is is_sent


def test_request_goes_to_a_remote_region_without_local_upstreams(
    choose: Chooser,
    fleet: Fleet,
    make_registration: MakeRegistration,
    make_requirements: MakeRequirements,
) -> None:
    fleet.put(make_registration("far", zone="b1"), 0.0)
    assert get_chosen_name(choose(make_requirements(), 1.0)) == "far"


def test_cold_upstream_receives_a_limited_rate_from_its_own_zone(
    choose: Chooser,
    fleet: Fleet,
    make_registration: MakeRegistration,
    make_requirements: MakeRequirements,
) -> None:
    fleet.put(make_registration("cold", cold_s=3.0), 0.0)
    fleet.put(make_registration("other", zone="a2", cold_s=3.0), 0.0)
    choices = [choose(make_requirements(), 1.0 + step / 100) for step in range(20)]
    chosen = [choice for choice in choices if isinstance(choice, Chosen)]
    assert [get_chosen_name(choice) for choice in chosen] == ["cold"]
    assert get_chosen_name(choose(make_requirements(), 3.5)) in ("cold", "other")


def test_object_gets_an_owner_in_this_zone_after_repeated_transfers(
    choose: Chooser,
    state: RoutingState,
    fleet: Fleet,
    make_registration: MakeRegistration,
    make_requirements: MakeRequirements,
) -> None:
    for index in range(8):
        fleet.put(make_registration(f"n{index}", zone="a2"), 0.0)
    fleet.put(make_registration("own"), 0.0)
    key = next(
        AffinityKey(str(index))
        for index in range(100)
        if get_chosen_name(choose(make_requirements(key=AffinityKey(str(index))), 1.0))
        != "own"
    )
    for _ in range(TRANSFERS_BEFORE_ZONE_OWNER):
        state.transfers.record(STOCK, key)
    assert get_chosen_name(choose(make_requirements(key=key), 1.0)) == "own"


def test_object_is_served_by_at_most_two_local_upstreams(
    choose: Chooser,
    fleet: Fleet,
    make_registration: MakeRegistration,
    make_requirements: MakeRequirements,
) -> None:
    for index in range(6):
        fleet.put(make_registration(f"u{index}"), 0.0)
    chosen_names: set[str] = set()
    for _ in range(30):
        choice = choose(make_requirements(), 1.0)
        if isinstance(choice, AtCapacity):
            break
        assert isinstance(choice, Chosen)
        choice.record.in_flight += 1
        chosen_names.add(get_chosen_name(choice))
    assert len(chosen_names) == 2


def test_region_with_many_objects_serves_each_from_one_upstream(
    choose: Chooser,
    state: RoutingState,
    fleet: Fleet,
    make_registration: MakeRegistration,
    make_requirements: MakeRequirements,
) -> None:
    for index in range(2):
        fleet.put(make_registration(f"u{index}", zone=f"a{index + 1}"), 0.0)
    for index in range(WARM_OBJECTS_PER_UPSTREAM + 1):
        state.active_objects.record(STOCK, AffinityKey(str(index)), 1.0)
        for _ in range(TRANSFERS_BEFORE_ZONE_OWNER):
            state.transfers.record(STOCK, AffinityKey(str(index)))
    choice = choose(make_requirements(), 1.0)
    assert isinstance(choice, Chosen)
    choice.record.in_flight = 6
    assert isinstance(choose(make_requirements(), 1.0), AtCapacity)


def test_objects_that_spill_count_towards_the_number_of_objects(
    choose: Chooser,
    state: RoutingState,
    fleet: Fleet,
    make_registration: MakeRegistration,
    make_requirements: MakeRequirements,
) -> None:
    """Under load they are served at home as well, where all must stay warm."""
    for index in range(2):
        fleet.put(make_registration(f"u{index}"), 0.0)
    for index in range(12):
        fleet.put(make_registration(f"r{index}", zone="b1"), 0.0)
    for index in range(5 * (WARM_OBJECTS_PER_UPSTREAM + 1)):
        key = AffinityKey(str(index % (WARM_OBJECTS_PER_UPSTREAM + 1)))
        state.active_objects.record(STOCK, key, 1.0)
    region = state.views.get(STOCK, 1.0).region
    state.spill_shares.record_arrival(STOCK, KEY, region, 1.0)
    assert state.spill_shares.share(STOCK) > 0.5
    choice = choose(make_requirements(), 1.0)
    assert isinstance(choice, Chosen)
    choice.record.in_flight = 6
    assert isinstance(choose(make_requirements(), 1.0), AtCapacity)


def test_spilled_requests_avoid_regions_that_spill_themselves(
    choose: Chooser,
    fleet: Fleet,
    make_registration: MakeRegistration,
    make_requirements: MakeRequirements,
) -> None:
    """Two regions have room for their own load, the third has a quarter of theirs."""
    for index in range(4):
        fleet.put(make_registration(f"a-{index}"), 0.0)
        fleet.put(make_registration(f"b-{index}", zone="b1"), 0.0)
    fleet.put(make_registration("c-0", zone="c1"), 0.0)
    keys = [AffinityKey(str(index)) for index in range(60)]

    def spill_all() -> set[str]:
        choices = [choose(make_requirements(key=key, spills=True), 1.0) for key in keys]
        return {get_chosen_name(choice)[0] for choice in choices}

    assert spill_all() == {"b"}
    for record in fleet:
        if record.registration.zone == "b1":
            record.reachability = Reachability.DOWN
    assert spill_all() == {"c"}


def test_objects_expire_without_requests() -> None:
    active_objects = ActiveObjects()
    for index in range(5):
        active_objects.record(STOCK, AffinityKey(str(index)), 0.0)
    active_objects.record(STOCK, KEY, OBJECT_TTL_S + 1.0)
    assert active_objects.count(STOCK) == 1


def test_upstreams_in_cooldown_are_used_if_most_are_in_cooldown(
    choose: Chooser,
    fleet: Fleet,
    make_registration: MakeRegistration,
    make_requirements: MakeRequirements,
) -> None:
    for index in range(4):
        fleet.put(make_registration(f"u{index}"), 0.0)
    owner = get_chosen_name(choose(make_requirements(), 1.0))
    other_records = [
        record for record in fleet if record.registration.upstream != owner
    ]
    for failing_record in (get_record(fleet, owner), *other_records[:2]):
        for _ in range(5):
            failing_record.record_failure(1.0)
    assert get_chosen_name(choose(make_requirements(), 1.0 + VIEW_TTL_S)) == owner
    for _ in range(5):
        other_records[2].record_failure(1.0)
    assert get_chosen_name(choose(make_requirements(), 1.0 + VIEW_TTL_S)) == owner


def test_upstream_in_cooldown_is_skipped_if_half_are_available(
    choose: Chooser,
    fleet: Fleet,
    make_registration: MakeRegistration,
    make_requirements: MakeRequirements,
) -> None:
    for index in range(2):
        fleet.put(make_registration(f"u{index}"), 0.0)
    owner = get_chosen_name(choose(make_requirements(), 1.0))
    for _ in range(5):
        get_record(fleet, owner).record_failure(1.0)
    assert get_chosen_name(choose(make_requirements(), 1.0 + VIEW_TTL_S)) != owner


@pytest.mark.parametrize("seed", range(20))
def test_choice_is_among_the_highest_ranked_upstreams(
    seed: int,
    choose: Chooser,
    fleet: Fleet,
    make_registration: MakeRegistration,
    make_requirements: MakeRequirements,
) -> None:
    """Compare with a baseline choice that caches nothing between requests."""
    random = Random(seed)
    for step in range(60):
        now_s = step * VIEW_TTL_S
        name, zone = f"u{random.randrange(12)}", random.choice(["a1", "a2", "b1"])
        change = random.random()
        if change < 0.5:
            cold_s = random.choice([0.0, 0.0, 1.0])
            fleet.put(make_registration(name, zone=zone, cold_s=cold_s), now_s)
        elif change < 0.6:
            fleet.remove(UpstreamId(name))
        elif change < 0.7 and fleet.get(UpstreamId(name)) is not None:
            get_record(fleet, name).reachability = random.choice(
                [Reachability.UP, Reachability.DOWN]
            )
        elif change < 0.8:
            fleet.begin_evacuation(ZoneId(zone))
        elif change < 0.9:
            fleet.end_evacuation(ZoneId(zone), {STOCK: 0.0}, now_s)
        tried = (f"u{random.randrange(12)}",)
        key = AffinityKey(str(random.randrange(5)))
        choice = choose(make_requirements(tried=tried, key=key), now_s)
        reachable = [
            record
            for record in fleet.serving(STOCK)
            if record.reachability is Reachability.UP
            and record.registration.upstream not in tried
        ]
        local_records = [
            record for record in reachable if record.registration.zone != "b1"
        ]
        warm = [
            record for record in local_records or reachable if not record.is_cold(now_s)
        ]
        warm.sort(
            key=lambda record: -rendezvous_weight(record.registration.upstream, key)
        )
        expected_names = [
            record.registration.upstream for record in warm[: 2 if local_records else 1]
        ]
        if expected_names:
            assert get_chosen_name(choice) in expected_names
        elif isinstance(choice, Chosen):
            assert (
                choice.record.is_cold(now_s) and choice.record.registration.zone == "a1"
            )
