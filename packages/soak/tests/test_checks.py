"""Each broken promise is noticed, and nothing else is."""

from collections.abc import Callable

import pytest

from tanagercourse.soak.checks import Checks, Promise, Request, answer_body

MakeRequest = Callable[..., Request]


def broken(checks: Checks) -> list[str]:
    return [line.split(":")[0] for line in checks.broken]


def test_a_request_that_is_served_breaks_nothing(
    checks: Checks, make_request: MakeRequest
) -> None:
    request = make_request()
    checks.note_sent(request)
    checks.note_run(request, 2)
    checks.note_answer(request, 200, answer_body("r1"))
    checks.note_planned(True, "r1")
    checks.note_exit(True, "m1")
    assert checks.broken == [] and checks.checked.total() > 4


def test_an_order_that_runs_twice_is_noticed(
    checks: Checks, make_request: MakeRequest
) -> None:
    request = make_request()
    checks.note_sent(request)
    for _ in range(2):
        checks.note_run(request, 2)
    assert broken(checks) == [Promise.ONCE.value]


def test_a_read_that_runs_too_often_is_noticed(
    checks: Checks, make_request: MakeRequest
) -> None:
    request = make_request(is_order=False)
    checks.note_sent(request)
    for _ in range(3):
        checks.note_run(request, 2)
    assert broken(checks) == [Promise.ATTEMPTS.value]


@pytest.mark.parametrize("runs_first", [True, False])
def test_a_refused_order_that_runs_is_noticed(
    checks: Checks, make_request: MakeRequest, runs_first: bool
) -> None:
    request = make_request()
    checks.note_sent(request)
    if runs_first:
        checks.note_run(request, 2)
    checks.note_answer(request, 503, b"")
    if not runs_first:
        checks.note_run(request, 2)
    assert broken(checks) == [Promise.NOT_RUN.value]


@pytest.mark.parametrize("body", [b"", answer_body("r2"), answer_body("r1")[:-1]])
def test_an_answer_that_is_not_whole_or_not_its_own_is_noticed(
    checks: Checks, make_request: MakeRequest, body: bytes
) -> None:
    request = make_request()
    checks.note_sent(request)
    checks.note_run(request, 2)
    checks.note_answer(request, 200, body)
    assert broken(checks) == [Promise.WHOLE.value]


def test_what_nobody_sent_is_noticed(checks: Checks, make_request: MakeRequest) -> None:
    checks.note_sent(make_request())
    checks.note_run(make_request("other"), 2)
    checks.note_run(make_request(body=b"changed"), 2)
    assert broken(checks) == [Promise.ASKED.value] * 2


def test_a_cut_in_a_planned_stop_and_an_exit_of_its_own_are_noticed(
    checks: Checks,
) -> None:
    checks.note_planned(False, "r1")
    checks.note_exit(False, "m1")
    assert broken(checks) == [Promise.PLANNED.value, Promise.EXIT.value]
