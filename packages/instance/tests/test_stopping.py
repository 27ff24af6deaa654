"""Tests of which requests a stopping instance still serves."""

from dataclasses import dataclass

import pytest
import structlog

from tanagercourse.gateway.callers import CallerConnections
from tanagercourse.instance.stopping import (
    ACCEPT_ANY_S,
    EXIT_MARGIN_S,
    GracefulShutdown,
    Phase,
)

pytestmark = pytest.mark.anyio

GRACE_S = 10.0


@dataclass
class Clock:
    """A clock whose time is set by tests."""

    now_s: float = 100.0

    def __call__(self) -> float:
        return self.now_s


@pytest.fixture
def clock() -> Clock:
    return Clock()


@pytest.fixture
async def shutdown(anyio_backend: str, clock: Clock) -> GracefulShutdown:
    """Return a shutdown with a long grace period that began at the clock's time."""
    shutdown = GracefulShutdown(CallerConnections(), GRACE_S, clock)
    shutdown.begin(structlog.get_logger())
    return shutdown


def test_serving_instance_serves_any_request(clock: Clock) -> None:
    shutdown = GracefulShutdown(CallerConnections(), GRACE_S, clock)
    assert shutdown.phase is Phase.SERVING and shutdown.may_serve(clock.now_s + 60.0)


@pytest.mark.parametrize(
    ("elapsed_s", "remaining_s", "is_served"),
    [
        (ACCEPT_ANY_S, 60.0, True),
        (ACCEPT_ANY_S + 0.1, GRACE_S, False),
        (ACCEPT_ANY_S + 0.1, 2.0, True),
        (8.0, GRACE_S - EXIT_MARGIN_S - 8.0, True),
        (8.0, GRACE_S - EXIT_MARGIN_S - 7.9, False),
    ],
)
async def test_request_that_may_outlast_the_process_is_refused_late_in_the_grace_period(
    shutdown: GracefulShutdown,
    clock: Clock,
    elapsed_s: float,
    remaining_s: float,
    is_served: bool,
) -> None:
    """Requests taken late in a long grace period were cut off at its end (LOST)."""
    clock.now_s += elapsed_s
    assert shutdown.may_serve(clock.now_s + remaining_s) is is_served
