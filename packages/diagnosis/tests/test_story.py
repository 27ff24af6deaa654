"""Tests of the story of one request."""

from collections.abc import Callable

import pytest
from returns.result import Failure, Success

from tanagercourse.core.ids import RequestId
from tanagercourse.diagnosis.log_lines import read_log
from tanagercourse.diagnosis.story import UnknownRequest, tell_story

MakeLine = Callable[..., str]


def test_story_has_attempts_refusal_and_what_was_noticed_of_the_upstream(
    make_attempt_line: MakeLine, make_refusal_line: MakeLine, make_line: MakeLine
) -> None:
    lines = [
        make_refusal_line(10.3, sends=1, reason="upstream_lost", status=502),
        make_attempt_line(10.2, outcome="Lost: EndOfStream"),
        make_line("upstream_down", 10.25, upstream="u1", detail="connect: refused"),
        make_line("upstream_down", 10.25, upstream="u2"),
        make_line("upstream_down", 40.0, upstream="u1"),
        make_attempt_line(10.1, request_id="r2"),
    ]
    story = tell_story(read_log(lines), RequestId("r1"))
    assert isinstance(story, Success)
    attempt, change, refusal = story.unwrap()
    assert "u1 in a1" in attempt.text and "Lost: EndOfStream" in attempt.text
    assert "load of 2.5, reported 300 ms before" in attempt.text
    assert change.text == "upstream_down u1 (connect: refused)"
    assert "502" in refusal.text and "upstream was lost" in refusal.text


@pytest.mark.parametrize("event", ["upstream_leaving", "upstream_paused"])
def test_story_tells_what_the_upstream_said(
    make_attempt_line: MakeLine, make_line: MakeLine, event: str
) -> None:
    statement = make_line(
        event, 10.25, upstream="u1", request_id="r7", detail="as stated"
    )
    lines = [make_attempt_line(10.2), statement]
    _, change = tell_story(read_log(lines), RequestId("r1")).unwrap()
    assert change.text == f"{event} u1 (as stated)"


def test_request_without_a_line_is_a_typed_failure(
    make_attempt_line: MakeLine, make_line: MakeLine
) -> None:
    lines = [make_attempt_line(1.0), "no log line", "{", "", "{}"]
    lines.append(make_line("log_lines_dropped", 2.0, count=7))
    story = tell_story(read_log(lines), RequestId("r9"))
    assert isinstance(story, Failure)
    assert story.failure() == UnknownRequest(RequestId("r9"), 3, 7)


def test_text_before_the_line_is_skipped(make_attempt_line: MakeLine) -> None:
    log = read_log(["  1.5000 entry-1 " + make_attempt_line(1.0)])
    assert len(log.attempts) == 1 and log.unreadable_lines == 0
