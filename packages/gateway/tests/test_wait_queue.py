"""Tests of the queue of waiting requests."""

import anyio
import pytest

from tanagercourse.core.ids import ServiceId
from tanagercourse.gateway.wait_queue import (
    MAX_CHECKS_PER_S,
    RECHECK_INTERVAL_S,
    WAITERS_WOKEN,
    WaitQueue,
    recheck_interval_s,
)
from tanagercourse.routing.admission import QueuePosition

pytestmark = pytest.mark.anyio

STOCK = ServiceId("stock")


@pytest.mark.parametrize("waiting_count", [1, 20, 100, 1000])
def test_rate_of_checks_is_bounded_however_many_wait(waiting_count: int) -> None:
    """Guards against a flood whose checks take up the processor of an instance."""
    interval_s = recheck_interval_s(False, waiting_count)
    assert waiting_count / interval_s <= MAX_CHECKS_PER_S * (1 + 1e-9)
    assert waiting_count > 20 or interval_s == RECHECK_INTERVAL_S


async def test_one_check_wakes_few_of_those_ahead() -> None:
    """Guards against checks that each cause a check of all requests ahead."""
    now_s, woken = 0.0, 0
    queue = WaitQueue(lambda: now_s)

    async def wait(number: int) -> None:
        nonlocal woken
        await queue.wait(STOCK, QueuePosition(True, 0, float(number)), 5.0)
        woken += 1

    async with anyio.create_task_group() as tasks:
        for number in range(30):
            tasks.start_soon(wait, number)
        await anyio.wait_all_tasks_blocked()
        now_s = 1.0
        await queue.let_others_check(STOCK, QueuePosition(True, 0, 30.0))
        await anyio.wait_all_tasks_blocked()
        assert woken == WAITERS_WOKEN
        tasks.cancel_scope.cancel()
