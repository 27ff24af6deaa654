"""Tests of the queue of one service, without time passing."""

from collections.abc import Callable
from typing import Any

import pytest

from tanagercourse.core.ids import TenantId
from tanagercourse.routing import admission
from tanagercourse.routing.admission import QueuePosition, ServiceQueue


@pytest.fixture
def queue() -> ServiceQueue:
    return ServiceQueue()


def wait(queue: ServiceQueue, position: QueuePosition) -> None:
    queue.add(position, lambda: None, 1.0)


def test_check_does_not_sort_the_queue(
    queue: ServiceQueue, monkeypatch: pytest.MonkeyPatch
) -> None:
    """With 500 waiting requests, the two sorts of each check took 3 ms.

    All of them check within 30 ms, so the checks took more than all of the processor.
    """
    sorted_counts: list[int] = []

    def count_sorted(items: list[Any], key: Callable[[Any], Any]) -> list[Any]:
        sorted_counts.append(len(items))
        return sorted(items, key=key)

    for number in range(500):
        wait(queue, QueuePosition(False, 0, number / 1000, TenantId(f"{number % 9}")))
    monkeypatch.setattr(admission, "sorted", count_sorted, raising=False)
    position = QueuePosition(False, 0, 1.0)
    queue.outlook(position, 1.0)
    queue.unchecked_ahead(position, 1.0)
    assert not any(sorted_counts)
