"""Each statement of an upstream that an instance ignores is reported."""

from dataclasses import dataclass

import pytest

from tanagercourse.core.ids import UpstreamId
from tanagercourse.soak.checks import Checks, Invariant
from tanagercourse.soak.statements import DRAIN_S, Sender, StatementChecks

UPSTREAM = UpstreamId("u0")
SENDER = Sender("front-1", 1)


@dataclass
class Clock:
    """A clock whose time is set by tests."""

    now_s: float = 0.0

    def __call__(self) -> float:
        return self.now_s


@pytest.fixture
def clock() -> Clock:
    return Clock()


@pytest.fixture
def statements(checks: Checks, clock: Clock) -> StatementChecks:
    return StatementChecks(checks, clock)


def arrive(statements: StatementChecks, name: str, sender: Sender = SENDER) -> None:
    statements.record_sent(name, sender)
    statements.check_arrival(name, UPSTREAM)


@pytest.mark.parametrize(
    ("elapsed_s", "sender", "is_reported"),
    [
        (DRAIN_S, SENDER, False),
        (DRAIN_S + 0.1, SENDER, True),
        (DRAIN_S + 0.1, Sender("front-1", 2), False),
        (DRAIN_S + 0.1, Sender("front-2", 1), False),
    ],
)
def test_request_after_a_statement_of_leaving_is_reported(
    statements: StatementChecks,
    checks: Checks,
    clock: Clock,
    elapsed_s: float,
    sender: Sender,
    is_reported: bool,
) -> None:
    arrive(statements, "r0")
    statements.record_leaving("r0", UPSTREAM)
    statements.record_response("r0", UPSTREAM)
    clock.now_s = elapsed_s
    arrive(statements, "r1", sender)
    assert bool(checks.violations) is is_reported


def test_statement_that_was_not_passed_on_binds_nobody(
    statements: StatementChecks, checks: Checks, clock: Clock
) -> None:
    arrive(statements, "r0")
    statements.record_leaving("r0", UPSTREAM)
    statements.record_response("r0", UpstreamId("u1"))
    clock.now_s = DRAIN_S + 1.0
    arrive(statements, "r1")
    assert checks.violations == []


@pytest.mark.parametrize(
    ("at_s", "is_undisturbed", "is_reported"),
    [(0.4, True, False), (0.6, True, True), (3.1, True, False), (0.6, False, False)],
)
def test_third_request_in_a_pause_is_reported(
    statements: StatementChecks,
    checks: Checks,
    clock: Clock,
    at_s: float,
    is_undisturbed: bool,
    is_reported: bool,
) -> None:
    arrive(statements, "r0")
    statements.record_pause("r0", UPSTREAM, 3.0, lambda: is_undisturbed)
    clock.now_s = at_s
    for name in ("r1", "r2"):
        arrive(statements, name)
    assert checks.violations == []
    arrive(statements, "r3")
    assert bool(checks.violations) is is_reported
    assert checks.check_counts[Invariant.PAUSE_HEEDED] == 4
