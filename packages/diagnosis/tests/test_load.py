"""Tests of the report on load."""

from collections.abc import Callable

import pytest

from tanagercourse.core.ids import RouteId, ZoneId
from tanagercourse.diagnosis.load import build_load_report
from tanagercourse.diagnosis.log_lines import read_log

MakeLine = Callable[..., str]


def test_refusals_are_shown_beside_the_requests_at_upstreams(
    make_attempt_line: MakeLine, make_refusal_line: MakeLine
) -> None:
    lines = [
        make_attempt_line(102.0, took_ms=2000),
        make_attempt_line(103.0, took_ms=2000, zone="b1", warm=False, outcome="500"),
        make_refusal_line(102.5, came_back=True),
        make_refusal_line(102.6),
    ]
    first, second = build_load_report(read_log(lines), 2.0, None)
    assert (first.attempts, second.attempts) == (0, 2)
    assert (second.succeeded, second.assumed_cold) == (1, 1)
    assert second.refused == {"overloaded": 2} and second.refused_retries == 1
    assert first.running == pytest.approx({ZoneId("a1"): 1.0, ZoneId("b1"): 0.5})
    assert second.running[ZoneId("b1")] == pytest.approx(0.5)
    assert second.p50_ms == pytest.approx(2000, rel=0.02)


def test_only_requests_of_the_route_count(
    make_attempt_line: MakeLine, make_refusal_line: MakeLine
) -> None:
    lines = [make_attempt_line(1.0), make_refusal_line(1.0, route="orders")]
    log = read_log(lines)
    (interval,) = build_load_report(log, 2.0, RouteId("orders"))
    assert interval.attempts == 0 and interval.refused == {"overloaded": 1}
    assert build_load_report(log, 2.0, RouteId("none")) == ()


def test_interval_without_lines_is_empty(make_attempt_line: MakeLine) -> None:
    lines = [make_attempt_line(1.0), make_attempt_line(7.0)]
    intervals = build_load_report(read_log(lines), 2.0, None)
    assert [interval.attempts for interval in intervals] == [1, 0, 0, 1]
    assert intervals[1].p99_ms == 0 and intervals[1].running == {}
