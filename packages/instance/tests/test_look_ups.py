"""Tests of which members look-ups name."""

from collections.abc import Callable
from random import Random

import msgspec
import pytest
import structlog
from structlog.testing import capture_logs

from tanagercourse.core.ids import ZoneId
from tanagercourse.instance.look_ups import (
    MAX_NAMED,
    SHRINK_UTILIZATION,
    TARGET_UTILIZATION,
    are_alike,
    choose_members,
    make_look_up,
)
from tanagercourse.instance.members import Capacity, Member, Readiness

MakeMember = Callable[..., Member]


def names(members: tuple[Member, ...]) -> list[str]:
    return [member.address for member in members]


@pytest.mark.parametrize(
    ("capacities", "is_alike"),
    [
        ([], True),
        ([(2.0, 100.0)], True),
        ([(2.0, 100.0), (1.01, 100.0)], True),
        ([(2.0, 100.0), (1.0, 100.0)], False),
        ([(2.0, 100.0), (2.0, 50.0)], False),
        ([(2.0, 50.0), (1.0, 100.0)], True),
    ],
)
def test_machines_differ_from_twice_the_capacity(
    capacities: list[tuple[float, float]], is_alike: bool
) -> None:
    """Each of the last two machines has half of what is the most: they are alike."""
    assert are_alike([Capacity(*pair) for pair in capacities]) is is_alike


def test_largest_machines_are_named_in_a_fixed_order(make_member: MakeMember) -> None:
    """Callers drop connections to addresses that go in and out of the answer."""
    members = [make_member(name, 2.0) for name in ("l3", "l1", "l2")]
    members += [make_member(f"s{i}", 0.4) for i in range(9)]
    members.append(make_member("narrow", 2.0, link_mbps=10.0))
    for seed in range(5):
        Random(seed).shuffle(members)
        assert names(choose_members(members, 0)) == ["l1", "l2"]


@pytest.mark.parametrize("readiness", list(Readiness))
def test_stopping_member_is_replaced_by_the_next_one(
    make_member: MakeMember, readiness: Readiness
) -> None:
    members = [make_member("l1", 2.0, readiness=readiness), make_member("l2", 2.0)]
    members += [make_member("m1", 1.5), make_member("s1", 0.4)]
    first = ["l1", "l2"] if readiness is Readiness.READY else ["l2", "m1"]
    assert names(choose_members(members, 2)) == first


def test_nobody_is_chosen_from_one_ready_or_from_small_machines_only(
    make_member: MakeMember,
) -> None:
    """The large machines of a zone stop together; each small one names itself."""
    leaving = [make_member("l1", 2.0, readiness=Readiness.NOT_READY)]
    small = [make_member(f"s{i}", 0.4) for i in range(6)]
    assert choose_members(leaving + small, 2) == ()
    assert choose_members(leaving + small[:1], 2) == ()


def test_busy_member_stays_and_gets_help(make_member: MakeMember) -> None:
    """Load pattern: one member is used to the full, by its own callers or as a relay.

    Leaving it out would move all its callers; with another member named, it gets a
    smaller part of the callers.
    """
    members = [make_member("l1", 2.0, cpu=0.9), make_member("s1", 0.4)]
    members += [make_member(f"m{i}", 1.5) for i in range(4)]
    members.append(make_member("l2", 2.0, cpu=0.1))
    assert names(choose_members(members, 2)) == ["l1", "l2", "m0", "m1", "m2", "m3"]


def test_link_counts_where_it_is_used_more_than_the_processor(
    make_member: MakeMember,
) -> None:
    """Load pattern: large downloads, which use the link and hardly the processor."""
    members = [make_member(f"l{i}", 2.0, 50.0, cpu=0.1, link=0.3) for i in range(4)]
    members.append(make_member("s1", 0.4, 50.0))
    assert len(choose_members(members, 0)) == 4


def test_small_machines_do_not_help_large_ones(make_member: MakeMember) -> None:
    """Every named member gets the same part, which a small machine can't serve."""
    members = [make_member(f"l{i}", 2.0, cpu=0.9) for i in range(2)]
    members += [make_member(f"s{i}", 0.2, cpu=0.0) for i in range(5)]
    assert names(choose_members(members, 2)) == ["l0", "l1"]


def test_load_within_the_range_changes_nothing(make_member: MakeMember) -> None:
    """Load pattern: a wave of +-55%, with steps of a few percent up and down."""

    def choose(cpu: float, named_count: int) -> int:
        members = [make_member(f"l{i}", 2.0, cpu=cpu) for i in range(6)]
        members.append(make_member("s1", 0.4, cpu=0.0))
        return len(choose_members(members, named_count))

    # The six members' load on three of them is twice their utilization.
    assert choose(TARGET_UTILIZATION / 2 * 0.98, 0) == 3
    count, counts = 3, []
    for step in range(100):
        middle = (SHRINK_UTILIZATION + TARGET_UTILIZATION) / 4
        count = choose(middle * (1 + 0.1 * (-1) ** step), count)
        counts.append(count)
    assert set(counts) == {3}
    assert choose(TARGET_UTILIZATION / 2 * 1.02, 3) == 4
    assert choose(SHRINK_UTILIZATION / 3 * 0.98, 3) == 2


def test_no_more_are_named_than_an_answer_may_hold(make_member: MakeMember) -> None:
    members = [make_member(f"l{i:03}", 2.0, cpu=0.9) for i in range(100)]
    members.append(make_member("s", 0.4))
    assert len(choose_members(members, 0)) == MAX_NAMED


def test_look_up_names_members_or_else_itself_and_logs_changes() -> None:
    members: list[tuple[str, ...]] = [()]
    readiness = [False]
    look_up = make_look_up(
        ZoneId("a1"),
        "own:1",
        lambda: readiness[-1],
        lambda: members[-1],
        structlog.get_logger(),
    )
    named = []
    with capture_logs() as lines:
        assert look_up(b"/resolution?zone=b1").status == 503
        readiness.append(True)
        both = ("l1:1", "l2:1")
        for addresses in ((), ("l1:1",), both, both, ("l1:1",)):
            members.append(addresses)
            response = look_up(b"/resolution?zone=b1")
            named.append(msgspec.json.decode(response.body)["addresses"])
    own = ["own:1"]
    assert named == [own, own, list(both), list(both), own]
    assert [line["event"] for line in lines] == ["look_up_members"] * 2
    assert [line["now"] for line in lines] == [both, ("own:1",)]


@pytest.mark.parametrize("seed", range(50))
def test_choice_is_stable_while_nothing_changes(
    make_member: MakeMember, seed: int
) -> None:
    """An answer that alternates between two sets drops connections without end."""
    random = Random(seed)
    members = [
        make_member(
            f"m{i}",
            random.uniform(0.3, 2.15),
            random.choice((5.0, 20.0, 100.0)),
            random.uniform(0.0, 0.9),
            random.uniform(0.0, 0.9),
        )
        for i in range(random.randrange(20))
    ]
    for former in (0, 2, 5, 30):
        chosen = choose_members(members, former)
        assert choose_members(members, len(chosen)) == chosen
        assert len(chosen) != 1 and len(set(chosen)) == len(chosen)
