"""Tests of what relays and followers know of the members of a zone."""

from collections.abc import Callable
from dataclasses import replace

import pytest

from tanagercourse.core.ids import InstanceId, ZoneId
from tanagercourse.instance.look_ups import are_alike, choose_members
from tanagercourse.instance.members import (
    MAX_AGE_S,
    MAX_INACTIVE_S,
    SAMPLE_INTERVAL_S,
    UTILIZATION_WINDOW_S,
    Capacity,
    FollowedMembers,
    Member,
    NamedMember,
    NoMembers,
    Readiness,
    RelayMembers,
    ReportSource,
    Utilization,
    UtilizationMeter,
)
from tanagercourse.testing.stores import ManualClock

MakeMember = Callable[..., Member]

ZONE = ZoneId("b1")
CHECK_INTERVAL_S = 0.8


@pytest.fixture
def zone(make_member: MakeMember) -> dict[str, Member]:
    """Return a zone with three large machines and two small ones."""
    cores = {"l1": 2.0, "l2": 2.0, "l3": 1.9, "s1": 0.4, "s2": 0.4}
    return {name: make_member(name, count) for name, count in cores.items()}


def run(
    relay: RelayMembers, clock: ManualClock, members: list[Member], duration_s: float
) -> list[list[str]]:
    """Let members check a relay; return what is named after each round."""
    answers, until_s = [], clock.now_s + duration_s
    while clock.now_s < until_s:
        clock.now_s += CHECK_INTERVAL_S
        for member in members:
            relay.record_check(ZONE, InstanceId(member.address), member)
        named = relay.named_for(ZONE, InstanceId(members[0].address))
        if not isinstance(named, NoMembers):
            answers.append([member.address for member in named])
    return answers


def test_relay_that_started_states_nothing_until_all_could_report(
    relay_members: RelayMembers, manual_clock: ManualClock, zone: dict[str, Member]
) -> None:
    """A relay that restarts has heard of a part of the zone only, at first."""
    small_first = [zone["s1"], zone["l3"]]
    assert run(relay_members, manual_clock, small_first, MAX_AGE_S - 0.9) == []
    answers = run(relay_members, manual_clock, list(zone.values()), 3.0)
    assert answers and all(answer == ["l1", "l2"] for answer in answers)


@pytest.mark.parametrize("gone", ["l1", "l2"])
def test_silent_member_is_left_out(
    relay_members: RelayMembers,
    manual_clock: ManualClock,
    zone: dict[str, Member],
    gone: str,
) -> None:
    """A member that is killed, suspended or cut off is all the same to a relay."""
    run(relay_members, manual_clock, list(zone.values()), 4.0)
    rest = [member for name, member in zone.items() if name != gone]
    answers = run(relay_members, manual_clock, rest, MAX_AGE_S - 0.9)
    assert all(gone in answer for answer in answers)
    last = run(relay_members, manual_clock, rest, 2 * CHECK_INTERVAL_S)[-1]
    assert gone not in last and last[-1] == "l3"


def test_stopping_member_is_left_out_with_its_next_check(
    relay_members: RelayMembers,
    manual_clock: ManualClock,
    zone: dict[str, Member],
    make_member: MakeMember,
) -> None:
    run(relay_members, manual_clock, list(zone.values()), 4.0)
    zone["l1"] = make_member("l1", 2.0, readiness=Readiness.NOT_READY)
    answers = run(relay_members, manual_clock, list(zone.values()), CHECK_INTERVAL_S)
    assert answers == [["l2", "l3"]]


def test_zone_with_small_machines_left_needs_no_reports(
    relay_members: RelayMembers, manual_clock: ManualClock, zone: dict[str, Member]
) -> None:
    """All large machines of a zone were lost; the rest name themselves, as before."""
    run(relay_members, manual_clock, list(zone.values()), 4.0)
    run(relay_members, manual_clock, [zone["s1"], zone["s2"]], 4.0)
    assert relay_members.named_for(ZONE, InstanceId("s1")) is NoMembers.ALIKE


def test_reports_are_asked_for_when_a_large_machine_joins(
    relay_members: RelayMembers, manual_clock: ManualClock, zone: dict[str, Member]
) -> None:
    """Reports of the time before, when none were needed, are out of date."""
    small = [InstanceId("s1"), InstanceId("s2")]
    run(relay_members, manual_clock, [zone["s1"], zone["s2"]], 4.0)
    for _ in range(5):
        manual_clock.now_s += CHECK_INTERVAL_S
        for instance in small:
            relay_members.record_check(ZONE, instance, None)
            assert relay_members.named_for(ZONE, instance) is NoMembers.ALIKE
    relay_members.record_check(ZONE, InstanceId("l1"), zone["l1"])
    manual_clock.now_s += CHECK_INTERVAL_S
    assert relay_members.named_for(ZONE, small[0]) == ()
    assert run(relay_members, manual_clock, list(zone.values()), 0.1) == [["l1", "l2"]]


def test_relay_that_was_suspended_relies_on_nothing_it_heard_before(
    relay_members: RelayMembers, manual_clock: ManualClock, zone: dict[str, Member]
) -> None:
    """The members it hears of first would look like a zone of alike machines."""
    run(relay_members, manual_clock, list(zone.values()), 4.0)
    manual_clock.now_s += MAX_INACTIVE_S + 0.1
    relay_members.record_check(ZONE, InstanceId("s1"), zone["s1"])
    named = relay_members.named_for(ZONE, InstanceId("s1"))
    assert named is NoMembers.UNKNOWN and relay_members.addresses() == ()


def test_relay_answers_look_ups_of_its_own_zone(
    relay_members: RelayMembers, manual_clock: ManualClock, zone: dict[str, Member]
) -> None:
    for _ in range(5):
        manual_clock.now_s += CHECK_INTERVAL_S
        for name, member in zone.items():
            relay_members.record_check(ZoneId("a1"), InstanceId(name), member)
    assert relay_members.addresses() == ("l1", "l2")


def test_relays_that_know_a_part_each_name_the_same_members(
    relay_members: RelayMembers,
    manual_clock: ManualClock,
    zone: dict[str, Member],
    make_member: MakeMember,
) -> None:
    """Followers of two relays answered differently, and callers drop connections."""
    other = RelayMembers(
        ZoneId("c1"),
        InstanceId("other"),
        lambda: make_member("other", 2.0),
        choose_members,
        are_alike,
        manual_clock,
    )
    parts = {relay_members: ("l1", "s1"), other: ("l2", "l3", "s2")}
    for is_exchanging in (True, False):
        for _ in range(5):
            manual_clock.now_s += CHECK_INTERVAL_S
            for relay, part in parts.items():
                for name in part:
                    relay.record_check(ZONE, InstanceId(name), zone[name])
            if is_exchanging:
                relay_members.record_from_relay(other.reports_for_relays())
                other.record_from_relay(relay_members.reports_for_relays())
        seen = []
        for relay, part in parts.items():
            named = relay.named_for(ZONE, InstanceId(part[0]))
            assert not isinstance(named, NoMembers)
            seen.append([member.address for member in named])
        # Cut off from each other, each relay names the best of what it hears of.
        expected = ["l1", "l2"] if is_exchanging else ["l1", "s1"]
        assert seen == [expected, ["l1", "l2"] if is_exchanging else ["l2", "l3"]]


def test_older_report_of_another_relay_replaces_nothing(
    relay_members: RelayMembers,
    manual_clock: ManualClock,
    zone: dict[str, Member],
    make_member: Callable[..., Member],
) -> None:
    """A stopping member that changed its relay became ready again at the new one."""
    run(relay_members, manual_clock, list(zone.values()), 4.0)
    older = [r for r in relay_members.reports_for_relays() if r.instance == "l1"]
    older = [replace(r, source=ReportSource.OTHER_RELAY) for r in older]
    zone["l1"] = make_member("l1", 2.0, readiness=Readiness.NOT_READY)
    run(relay_members, manual_clock, list(zone.values()), 0.1)
    relay_members.record_from_relay(older)
    manual_clock.now_s += 0.3
    named = relay_members.named_for(ZONE, InstanceId("l2"))
    assert not isinstance(named, NoMembers)
    assert [member.address for member in named] == ["l2", "l3"]


def test_reports_of_other_relays_are_not_passed_on(
    relay_members: RelayMembers, manual_clock: ManualClock, zone: dict[str, Member]
) -> None:
    """Three relays would send each other every report three times."""
    run(relay_members, manual_clock, [zone["l1"]], 0.1)
    (report,) = (r for r in relay_members.reports_for_relays() if r.instance == "l1")
    others = replace(report, instance=InstanceId("l2"), source=ReportSource.OTHER_RELAY)
    relay_members.record_from_relay([others])
    instances = {report.instance for report in relay_members.reports_for_relays()}
    assert instances == {"relay", "l1"}


def test_follower_keeps_what_it_heard_while_its_relay_knows_nothing(
    manual_clock: ManualClock,
) -> None:
    """The relay restarts; at last the follower names itself."""
    followed = FollowedMembers(manual_clock)
    heard_at_s = manual_clock.now_s - 1.0
    followed.record((NamedMember("l1", heard_at_s), NamedMember("l2", heard_at_s)))
    manual_clock.now_s = heard_at_s + MAX_AGE_S - 0.1
    followed.record(NoMembers.UNKNOWN)
    assert followed.addresses() == ("l1", "l2")
    manual_clock.now_s = heard_at_s + MAX_AGE_S + 0.1
    assert followed.addresses() == ()


@pytest.mark.parametrize("answer", [NoMembers.ALIKE, ()])
def test_follower_names_itself_at_once_if_its_relay_says_so(
    manual_clock: ManualClock, answer: NoMembers | tuple[NamedMember, ...]
) -> None:
    followed = FollowedMembers(manual_clock)
    followed.record((NamedMember("l1", manual_clock.now_s),))
    followed.record(answer)
    assert followed.addresses() == ()


def test_utilization_is_relative_to_the_capacity_and_recent(
    manual_clock: ManualClock,
) -> None:
    """The start takes much processor time, which must not count for ever."""
    cpu_s = 0.0
    capacity = Capacity(cores=0.5, link_mbps=8.0)
    meter = UtilizationMeter(capacity, manual_clock, lambda: cpu_s)
    manual_clock.now_s += 1.0
    cpu_s += 0.5
    assert meter.read() == Utilization(1.0, 0.0)
    for _ in range(2 * round(UTILIZATION_WINDOW_S / SAMPLE_INTERVAL_S)):
        manual_clock.now_s += SAMPLE_INTERVAL_S
        cpu_s += 0.1 * SAMPLE_INTERVAL_S
        meter.moved_bytes += round(250_000 * SAMPLE_INTERVAL_S)
        utilization = meter.read()
    assert utilization.cpu == pytest.approx(0.2)
    assert utilization.link == pytest.approx(0.25)
