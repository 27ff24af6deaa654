"""Fixtures of the tests of look-ups: a clock, and members of a zone."""

from collections.abc import Callable

import pytest

from tanagercourse.core.ids import InstanceId, ZoneId
from tanagercourse.instance.look_ups import are_alike, choose_members
from tanagercourse.instance.members import (
    Capacity,
    Member,
    Readiness,
    RelayMembers,
    Utilization,
)
from tanagercourse.testing.stores import ManualClock

MakeMember = Callable[..., Member]


@pytest.fixture
def manual_clock() -> ManualClock:
    return ManualClock()


@pytest.fixture
def make_member() -> MakeMember:
    def make(
        name: str,
        cores: float,
        link_mbps: float = 100.0,
        cpu: float = 0.1,
        link: float = 0.0,
        readiness: Readiness = Readiness.READY,
    ) -> Member:
        utilization = Utilization(cpu, link)
        return Member(name, Capacity(cores, link_mbps), readiness, utilization)

    return make


@pytest.fixture
def relay_members(manual_clock: ManualClock, make_member: MakeMember) -> RelayMembers:
    """Return the state of a relay with 2 cores in zone a1."""
    return RelayMembers(
        ZoneId("a1"),
        InstanceId("relay"),
        lambda: make_member("relay", 2.0),
        choose_members,
        are_alike,
        manual_clock,
    )
