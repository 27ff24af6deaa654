"""Tests of the rate of requests to upstreams in their cold start."""

from collections.abc import Callable
from random import Random

import pytest

from tanagercourse.routing.cold_starts import ColdSendLimiter
from tanagercourse.routing.fleet import UpstreamRecord, UpstreamRegistration

MakeRegistration = Callable[..., UpstreamRegistration]

COLD_S = 3.0


@pytest.fixture
def cold_record(make_registration: MakeRegistration) -> UpstreamRecord:
    return UpstreamRecord(make_registration("cold", cold_s=COLD_S), 0.0)


def largest_second(times_s: list[float]) -> int:
    return max(
        sum(start_s <= at_s < start_s + 1.0 for at_s in times_s) for start_s in times_s
    )


@pytest.mark.parametrize("per_s", [0.5, 1.0, 2.0])
def test_one_instance_stays_within_its_rate(
    cold_record: UpstreamRecord, per_s: float
) -> None:
    limiter = ColdSendLimiter(lambda record: per_s, Random(1))
    times_s = [step / 50 for step in range(150)]
    sent_at_s = [at_s for at_s in times_s if limiter.try_send(cold_record, at_s)]
    assert sent_at_s and largest_second(sent_at_s) <= max(1.0, per_s)


@pytest.mark.parametrize("instance_count", [2, 12, 26, 60])
def test_all_instances_of_a_full_zone_stay_within_the_rate(
    make_registration: MakeRegistration, instance_count: int
) -> None:
    """Nothing else has room, so each instance tries the cold upstream each 30 ms."""
    bound = 2.0 * 1.5 + 5.0
    for seed in range(20):
        sent_at_s: list[float] = []
        for number in range(instance_count):
            record = UpstreamRecord(make_registration("cold", cold_s=COLD_S), 0.0)
            limiter = ColdSendLimiter(
                lambda record: 2.0 / instance_count, Random(seed * 100 + number)
            )
            times_s = [number / 1000 + step * 0.03 for step in range(99)]
            sent_at_s += [at_s for at_s in times_s if limiter.try_send(record, at_s)]
        assert largest_second(sent_at_s) <= bound
        assert len(sent_at_s) >= 1


def test_next_cold_start_of_an_upstream_begins_anew(
    cold_record: UpstreamRecord,
) -> None:
    limiter = ColdSendLimiter(lambda record: 0.5, Random(1))
    first = [at / 10 for at in range(30) if limiter.try_send(cold_record, at / 10)]
    cold_record.mark_cold(23.0)
    second = [
        at / 10 for at in range(200, 230) if limiter.try_send(cold_record, at / 10)
    ]
    assert len(first) in (1, 2) and len(second) in (1, 2)
