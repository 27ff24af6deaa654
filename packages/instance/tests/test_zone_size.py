"""Tests of the number of instances in a zone."""

import pytest

from tanagercourse.core.ids import InstanceId, ZoneId
from tanagercourse.instance.zone_size import (
    COUNT_TTL_S,
    DEFAULT_ZONE_INSTANCES,
    FOLLOWER_TTL_S,
    FollowerCounts,
    ZoneSize,
)

OWN_ZONE, OTHER_ZONE = ZoneId("a1"), ZoneId("b1")


class Clock:
    """A clock that a test sets."""

    def __init__(self) -> None:
        self.now_s = 100.0

    def __call__(self) -> float:
        return self.now_s


@pytest.fixture
def clock() -> Clock:
    return Clock()


def test_relay_counts_itself_and_each_follower_once(clock: Clock) -> None:
    followers = FollowerCounts(OWN_ZONE, clock)
    for name, zone in (("e1", OWN_ZONE), ("e1", OWN_ZONE), ("e2", OTHER_ZONE)):
        followers.record(InstanceId(name), zone)
    assert followers.count(OWN_ZONE) == 2
    assert followers.count(OTHER_ZONE) == 1


def test_silent_follower_no_longer_counts(clock: Clock) -> None:
    followers = FollowerCounts(OWN_ZONE, clock)
    followers.record(InstanceId("e1"), OTHER_ZONE)
    clock.now_s += FOLLOWER_TTL_S + 0.1
    assert followers.count(OTHER_ZONE) == 0


def test_small_count_of_a_restarted_relay_is_not_believed_at_once(clock: Clock) -> None:
    zone_size = ZoneSize(clock)
    assert zone_size.instance_count() == DEFAULT_ZONE_INSTANCES
    zone_size.record(25)
    clock.now_s += 1.0
    zone_size.record(1)
    assert zone_size.instance_count() == 25
    clock.now_s += COUNT_TTL_S
    zone_size.record(2)
    assert zone_size.instance_count() == 2


def test_last_count_is_kept_while_no_relay_responds(clock: Clock) -> None:
    zone_size = ZoneSize(clock)
    zone_size.record(25)
    clock.now_s += 10 * COUNT_TTL_S
    assert zone_size.instance_count() == 25
