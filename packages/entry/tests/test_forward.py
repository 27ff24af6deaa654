"""Tests of one attempt at an upstream, without the instance around it."""

import socket
import time
from collections.abc import Iterator
from contextlib import ExitStack

import pytest
from returns.result import Failure

from tanagercourse.core.ids import RequestId, ServiceId
from tanagercourse.core.states import Execution, Idempotency, Rank
from tanagercourse.core.work import Work
from tanagercourse.entry.forward import UpstreamRequest, send_once
from tanagercourse.settings.schema import UpstreamSettings
from tanagercourse.wire.connections import CONNECT_TIMEOUT_S, open_http_clients

pytestmark = pytest.mark.anyio

# The attempt gets half of it, less than a connection may take to open.
DEADLINE_S = 1.6 * CONNECT_TIMEOUT_S


@pytest.fixture
def full_port() -> Iterator[int]:
    """Return a port on which no further connection can be opened."""
    with ExitStack() as stack:
        listener = stack.enter_context(socket.socket())
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        for _ in range(4):
            waiting = stack.enter_context(socket.socket())
            waiting.setblocking(False)
            waiting.connect_ex(listener.getsockname())
        yield listener.getsockname()[1]


async def test_read_that_could_not_be_sent_is_reported_as_not_run(
    full_port: int,
) -> None:
    """The limit on a whole attempt expired before the one that tells why."""
    now_s = time.monotonic()
    work = Work(
        RequestId("r1"),
        ServiceId("reads"),
        Rank.NEXT,
        Idempotency.IDEMPOTENT,
        now_s + DEADLINE_S,
    )
    upstream = UpstreamSettings("reads-0", "127.0.0.1", full_port, "split-a")
    async with open_http_clients(4, time.monotonic) as clients:
        result = await send_once(
            clients, upstream, UpstreamRequest(work, "GET", "/", {}, b""), now_s, True
        )
    assert isinstance(result, Failure)
    assert result.failure().execution is Execution.NOT_RUN
