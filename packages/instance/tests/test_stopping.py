"""Tests of which requests a stopping instance still serves."""

import time
from dataclasses import dataclass

import anyio
import pytest
import structlog

from tanagercourse.gateway.callers import CallerConnections
from tanagercourse.gateway.request_scopes import RequestScopes
from tanagercourse.instance.stopping import (
    ACCEPT_ANY_S,
    ANSWER_S,
    EXIT_MARGIN_S,
    GracefulShutdown,
    Phase,
)

pytestmark = pytest.mark.anyio

GRACE_S = 10.0
SHORT_GRACE_S = 1.0


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
    shutdown = GracefulShutdown(CallerConnections(), RequestScopes(), GRACE_S, clock)
    shutdown.begin(structlog.get_logger())
    return shutdown


def test_serving_instance_serves_any_request(clock: Clock) -> None:
    shutdown = GracefulShutdown(CallerConnections(), RequestScopes(), GRACE_S, clock)
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


@pytest.mark.parametrize("is_answered", [True, False])
async def test_requests_in_progress_are_ended_and_answered_before_the_exit(
    anyio_backend: str, is_answered: bool
) -> None:
    """Unfinished requests were cut off without an answer (LOST, review/15)."""
    connections, requests = CallerConnections(), RequestScopes()
    shutdown = GracefulShutdown(connections, requests, SHORT_GRACE_S, time.monotonic)
    ended_by: list[str] = []

    async def serve(expires_at_s: float) -> None:
        connections.in_hand += 1
        with requests.open(expires_at_s) as scope:
            await anyio.sleep_until(anyio.current_time() + SHORT_GRACE_S)
        ended_by.append("exit" if scope.cancelled_caught else "itself")
        connections.in_hand -= is_answered

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(serve, time.monotonic() + 60.0)
        await anyio.sleep(0)
        started_s = time.monotonic()
        await shutdown.run(lambda: None, structlog.get_logger())
        elapsed_s = time.monotonic() - started_s
    assert ended_by == ["exit"]
    exit_s = SHORT_GRACE_S - EXIT_MARGIN_S
    assert exit_s <= elapsed_s < SHORT_GRACE_S
    assert (elapsed_s < exit_s + ANSWER_S) is is_answered
