"""Send requests through the entry instances that a look-up names."""

import time
import uuid
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from dataclasses import replace
from random import Random

import anyio
from returns.result import Failure, Result, Success

from tanagercourse.client.call import Call, CallProblem, CallResponse, NoInstance
from tanagercourse.client.failover import costs_budget, is_instance_gone, may_move_on
from tanagercourse.client.lookup_cache import Directory
from tanagercourse.client.sending import send_call
from tanagercourse.core.ids import IdempotencyKey
from tanagercourse.core.problems import Refusal
from tanagercourse.core.states import Execution, Idempotency
from tanagercourse.core.work import Clock
from tanagercourse.steering.retries import RetryBudget, RetryPolicy
from tanagercourse.wire.connections import HttpClients, open_http_clients
from tanagercourse.wire.lookups import LookupResponse

MAX_CONNECTIONS = 256


class Caller:
    """A caller: its connections and the instances it knows."""

    def __init__(
        self,
        connections: HttpClients,
        directory: Directory,
        clock: Clock,
        budget: RetryBudget,
    ) -> None:
        self._connections = connections
        self._directory = directory
        self._clock = clock
        self._budget = budget

    async def call(self, call: Call) -> Result[CallResponse, CallProblem]:
        """Send a request, trying the next instance while it is safe to.

        Args:
            call: What to send.

        Returns:
            The whole answer, or why there is none and whether it ran.
        """
        expires_at_s = self._clock() + call.deadline_s
        found = await self._find(call.deadline_s)
        if isinstance(found, Failure):
            return found
        keyed = _with_key(call)
        self._budget.deposit()
        execution = Execution.NOT_RUN
        for moves, url in enumerate(found.unwrap()):
            sent = await self._send(url, keyed, expires_at_s)
            if not isinstance(sent, Failure):
                return sent
            refusal: Refusal = sent.failure()
            if refusal.execution is not Execution.NOT_RUN:
                execution = refusal.execution
            is_late = self._clock() >= expires_at_s
            if is_late or not may_move_on(call, refusal, moves):
                break
            if costs_budget(refusal) and not self._budget.try_withdraw():
                break
        return Failure(replace(refusal, execution=execution))

    async def look_up(self) -> Result[LookupResponse, NoInstance]:
        """Return the instances to use, asking only when the last answer is old."""
        return await self._directory.look_up()

    async def _find(self, deadline_s: float) -> Result[tuple[str, ...], NoInstance]:
        with anyio.move_on_after(deadline_s):
            return await self._directory.urls()
        return Failure(NoInstance(self._directory.known_urls))

    async def _send(
        self, url: str, call: Call, expires_at_s: float
    ) -> Result[CallResponse, Refusal]:
        remaining_s = max(0.001, expires_at_s - self._clock())
        may_retry = self._budget.has_balance()
        sent = await send_call(self._connections, url, call, remaining_s, may_retry)
        if isinstance(sent, Failure):
            refusal: Refusal = sent.failure()
            if is_instance_gone(refusal):
                self._directory.avoid(url)
            return Failure(refusal)
        received = sent.unwrap()
        if received.is_leaving:
            self._directory.avoid(url)
        return Success(received.answer)


@asynccontextmanager
async def open_caller(
    known_urls: Sequence[str],
    address: str,
    zone: str | None = None,
    random: Random | None = None,
) -> AsyncIterator[Caller]:
    """Open a caller's connections and close them at the end.

    Args:
        known_urls: Base URLs of a few entry instances.
        address: The caller's own address, for look-ups.
        zone: Its availability zone, if it knows it.
        random: Spreads renewals and first look-ups.
    """
    query = {"client": address, **({"zone": zone} if zone else {})}
    clock = time.monotonic
    async with open_http_clients(MAX_CONNECTIONS, clock) as connections:
        chosen = random or Random()
        directory = Directory(connections.reused, known_urls, query, clock, chosen)
        budget = RetryBudget(RetryPolicy(), chosen)
        yield Caller(connections, directory, clock, budget)


def _with_key(call: Call) -> Call:
    if call.key is not None or call.idempotency is Idempotency.IDEMPOTENT:
        return call
    return replace(call, key=IdempotencyKey(uuid.uuid4().hex))
