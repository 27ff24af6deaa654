"""Tests of the observed state of upstreams."""

from collections.abc import Callable

import pytest

from tanagercourse.core.ids import AffinityKey, ServiceId, UpstreamId, ZoneId
from tanagercourse.routing.fleet import (
    FAILURE_COOLDOWN_S,
    Duty,
    Fleet,
    UpstreamRecord,
    UpstreamRegistration,
)

MakeRegistration = Callable[..., UpstreamRegistration]


@pytest.fixture
def record(make_registration: MakeRegistration) -> UpstreamRecord:
    return UpstreamRecord(make_registration("u0"), 0.0)


def test_restarted_upstream_gets_a_new_record(
    make_registration: MakeRegistration,
) -> None:
    fleet = Fleet()
    record = fleet.put(make_registration("u0"), 0.0)
    record.mark_warm(AffinityKey("17"), 0.0)
    new_record = fleet.put(make_registration("u0", started_unix_ms=2, cold_s=3.0), 1.0)
    assert new_record is not record
    assert not new_record.is_warm(AffinityKey("17"), 1.0)
    assert new_record.is_cold(3.9) and not new_record.is_cold(4.1)


def test_changed_duty_keeps_the_record(make_registration: MakeRegistration) -> None:
    fleet = Fleet()
    record = fleet.put(make_registration("u0"), 0.0)
    assert fleet.put(make_registration("u0", duty=Duty.DRAINING), 1.0) is record
    assert list(fleet.serving(ServiceId("stock"))) == []


def test_upstream_moves_to_its_newly_registered_service(
    make_registration: MakeRegistration,
) -> None:
    fleet = Fleet()
    fleet.put(make_registration("u0"), 0.0)
    fleet.put(make_registration("u0", service=ServiceId("orders")), 1.0)
    assert not list(fleet.serving(ServiceId("stock")))
    assert len(list(fleet.serving(ServiceId("orders")))) == 1


def test_upstreams_are_cold_after_the_evacuation_of_their_zone(
    make_registration: MakeRegistration,
) -> None:
    fleet = Fleet()
    record = fleet.put(make_registration("u0"), 0.0)
    fleet.begin_evacuation(ZoneId("a1"))
    assert not list(fleet.serving(ServiceId("stock")))
    fleet.end_evacuation(ZoneId("a1"), {ServiceId("stock"): 3.0}, 10.0)
    assert list(fleet.serving(ServiceId("stock"))) == [record]
    assert record.is_cold(12.9) and not record.is_cold(13.1)


def test_load_includes_requests_of_other_instances(record: UpstreamRecord) -> None:
    record.in_flight = 1
    record.record_load(running=3, waiting=2, now_s=1.0)
    assert 2.0 < record.load(1.0) <= 5.0
    assert record.load(60.0) == pytest.approx(1.0, abs=0.01)


def test_repeated_failures_begin_a_cooldown(record: UpstreamRecord) -> None:
    in_cooldown = [record.record_failure(1.0) for _ in range(3)]
    assert in_cooldown == [False, False, True]
    assert record.is_in_cooldown(1.0 + FAILURE_COOLDOWN_S / 2)
    assert not record.is_in_cooldown(1.0 + FAILURE_COOLDOWN_S)


def test_rare_failures_begin_no_cooldown(record: UpstreamRecord) -> None:
    for step in range(50):
        record.record_response(1.0, step)
        if step % 10 == 0:
            assert not record.record_failure(step)


def test_unregistered_upstream_has_no_record() -> None:
    assert Fleet().get(UpstreamId("u0")) is None


@pytest.mark.parametrize(
    ("running", "in_cooldown"), [(0, False), (2, False), (3, True)]
)
def test_only_a_full_upstream_gets_a_cooldown_after_a_shed(
    record: UpstreamRecord, running: int, in_cooldown: bool
) -> None:
    for _ in range(10):
        record.record_load(running, 0, 1.0)
    record.record_shed(1.0)
    assert record.is_in_cooldown(1.01) is in_cooldown


def test_upstream_that_goes_dark_gets_no_more_requests(record: UpstreamRecord) -> None:
    # A replay of an upstream that loses power while requests are in flight: it was
    # chosen until all slots that the instance assumed there were full.
    for number in range(3):
        record.silence.begin(0.1 * number, 0.2)
    assert not record.is_in_cooldown(0.35)
    assert record.is_in_cooldown(0.55)


def test_long_request_makes_no_responsive_upstream_silent(
    record: UpstreamRecord,
) -> None:
    long_request = record.silence.begin(0.0, 0.2)
    short_request = record.silence.begin(0.3, 0.2)
    record.silence.end(short_request, 0.5, True)
    assert not record.is_in_cooldown(5.0)
    record.silence.end(long_request, 5.0, False)


def test_silence_ends_with_the_request_that_was_overdue(record: UpstreamRecord) -> None:
    # Otherwise the upstream would never be tried again.
    overdue = record.silence.begin(0.0, 0.2)
    assert record.is_in_cooldown(1.0)
    record.silence.end(overdue, 1.2, False)
    assert not record.is_in_cooldown(1.2)
