"""What is remembered of upstreams."""

from collections.abc import Callable

import pytest

from tanagercourse.core.ids import AffinityKey, ServiceId, UpstreamId, ZoneId
from tanagercourse.routing.fleet import (
    FAILING_REST_S,
    Duty,
    Fleet,
    UpstreamRecord,
    UpstreamRegistration,
)

MakeEntry = Callable[..., UpstreamRegistration]


@pytest.fixture
def record(make_entry: MakeEntry) -> UpstreamRecord:
    return UpstreamRecord(make_entry("u0"), 0.0)


def test_a_new_lifetime_forgets_the_old_one(make_entry: MakeEntry) -> None:
    fleet = Fleet()
    record = fleet.put(make_entry("u0"), 0.0)
    record.note_warm(AffinityKey("17"), 0.0)
    again = fleet.put(make_entry("u0", started_unix_ms=2, cold_s=3.0), 1.0)
    assert again is not record
    assert not again.is_warm(AffinityKey("17"), 1.0)
    assert again.is_cold(3.9) and not again.is_cold(4.1)


def test_a_changed_duty_keeps_the_record(make_entry: MakeEntry) -> None:
    fleet = Fleet()
    record = fleet.put(make_entry("u0"), 0.0)
    assert fleet.put(make_entry("u0", duty=Duty.DRAINING), 1.0) is record
    assert list(fleet.serving(ServiceId("stock"))) == []


def test_an_address_that_serves_something_else_moves_to_the_other_service(
    make_entry: MakeEntry,
) -> None:
    fleet = Fleet()
    fleet.put(make_entry("u0"), 0.0)
    fleet.put(make_entry("u0", service=ServiceId("orders")), 1.0)
    assert not list(fleet.serving(ServiceId("stock")))
    assert len(list(fleet.serving(ServiceId("orders")))) == 1


def test_a_zone_that_is_taken_back_is_cold(make_entry: MakeEntry) -> None:
    fleet = Fleet()
    record = fleet.put(make_entry("u0"), 0.0)
    fleet.begin_evacuation(ZoneId("a1"))
    assert not list(fleet.serving(ServiceId("stock")))
    fleet.end_evacuation(ZoneId("a1"), {ServiceId("stock"): 3.0}, 10.0)
    assert list(fleet.serving(ServiceId("stock"))) == [record]
    assert record.is_cold(12.9) and not record.is_cold(13.1)


def test_load_counts_what_others_sent(record: UpstreamRecord) -> None:
    record.in_flight = 1
    record.note_load(running=3, waiting=2, now_s=1.0)
    assert 2.0 < record.load(1.0) <= 5.0
    assert record.load(60.0) == pytest.approx(1.0, abs=0.01)


def test_failures_rest_an_upstream_for_a_while(record: UpstreamRecord) -> None:
    rests = [record.note_failure(1.0) for _ in range(3)]
    assert rests == [False, False, True]
    assert record.is_resting(1.0 + FAILING_REST_S / 2)
    assert not record.is_resting(1.0 + FAILING_REST_S)


def test_one_failure_among_answers_rests_nothing(record: UpstreamRecord) -> None:
    for step in range(50):
        record.note_answer(1.0, step)
        if step % 10 == 0:
            assert not record.note_failure(step)


@pytest.mark.parametrize("per_s", [1.0, 2.0])
def test_sends_to_a_cold_upstream_keep_their_rate(
    record: UpstreamRecord, per_s: float
) -> None:
    times = [step / 50 for step in range(150)]
    taken = [now_s for now_s in times if record.take_cold_send(per_s, now_s)]
    for start_s in times:
        inside = [now_s for now_s in taken if start_s <= now_s < start_s + 0.999]
        assert len(inside) <= per_s


def test_an_unknown_upstream_is_not_there() -> None:
    assert Fleet().get(UpstreamId("u0")) is None


@pytest.mark.parametrize(("running", "rests"), [(0, False), (2, False), (3, True)])
def test_only_a_full_upstream_rests_after_it_shed_a_request(
    record: UpstreamRecord, running: int, rests: bool
) -> None:
    for _ in range(10):
        record.note_load(running, 0, 1.0)
    record.note_shed(1.0)
    assert record.is_resting(1.01) is rests
