"""Each violation of an invariant is reported, and nothing else is."""

from collections.abc import Callable

import pytest

from tanagercourse.soak.checks import Checks, Invariant, Request, expected_body

MakeRequest = Callable[..., Request]


def violated_invariants(checks: Checks) -> list[str]:
    return [line.split(":")[0] for line in checks.violations]


def test_served_request_violates_no_invariant(
    checks: Checks, make_request: MakeRequest
) -> None:
    request = make_request()
    checks.record_sent(request)
    checks.check_run(request, 2)
    checks.check_response(request, 200, expected_body("r1"))
    checks.check_shutdown(True, "r1")
    checks.check_exit(True, "m1")
    assert checks.violations == [] and checks.check_counts.total() > 4


def test_order_that_runs_twice_is_reported(
    checks: Checks, make_request: MakeRequest
) -> None:
    request = make_request()
    checks.record_sent(request)
    for _ in range(2):
        checks.check_run(request, 2)
    assert violated_invariants(checks) == [Invariant.ORDER_RUNS_ONCE.value]


def test_read_that_exceeds_its_attempt_limit_is_reported(
    checks: Checks, make_request: MakeRequest
) -> None:
    request = make_request(is_order=False)
    checks.record_sent(request)
    for _ in range(3):
        checks.check_run(request, 2)
    assert violated_invariants(checks) == [Invariant.ATTEMPT_LIMIT.value]


@pytest.mark.parametrize("runs_first", [True, False])
def test_refused_order_that_runs_is_reported(
    checks: Checks, make_request: MakeRequest, runs_first: bool
) -> None:
    request = make_request()
    checks.record_sent(request)
    if runs_first:
        checks.check_run(request, 2)
    checks.check_response(request, 503, b"")
    if not runs_first:
        checks.check_run(request, 2)
    assert violated_invariants(checks) == [Invariant.REFUSAL_CORRECT.value]


@pytest.mark.parametrize("body", [b"", expected_body("r2"), expected_body("r1")[:-1]])
def test_truncated_or_mismatched_response_is_reported(
    checks: Checks, make_request: MakeRequest, body: bytes
) -> None:
    request = make_request()
    checks.record_sent(request)
    checks.check_run(request, 2)
    checks.check_response(request, 200, body)
    assert violated_invariants(checks) == [Invariant.COMPLETE_RESPONSE.value]


def test_run_of_an_unsent_or_changed_request_is_reported(
    checks: Checks, make_request: MakeRequest
) -> None:
    checks.record_sent(make_request())
    checks.check_run(make_request("other"), 2)
    checks.check_run(make_request(body=b"changed"), 2)
    assert violated_invariants(checks) == [Invariant.REQUEST_AS_SENT.value] * 2


def test_interrupted_request_and_unexpected_exit_are_reported(
    checks: Checks,
) -> None:
    checks.check_shutdown(False, "r1")
    checks.check_exit(False, "m1")
    assert violated_invariants(checks) == [
        Invariant.GRACEFUL_SHUTDOWN.value,
        Invariant.EXPECTED_EXIT.value,
    ]
