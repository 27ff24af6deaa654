"""Send calls to the entry instances that a look-up offers, failing over if needed."""

import time
import uuid
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from dataclasses import replace
from random import Random

import anyio
from returns.result import Failure, Result, Success

from tanagercourse.client.call import Call, CallProblem, CallResponse, NoInstance
from tanagercourse.client.failover import (
    is_instance_unavailable,
    may_fail_over,
    needs_retry_budget,
)
from tanagercourse.client.lookup_cache import LookupCache
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
    """Sends the calls of one caller over its connections to entry instances.

    Args:
        http_clients: The HTTP clients with the connections to entry instances.
        lookup_cache: The entry instances that the caller may use.
        clock: A monotonic clock, in seconds.
        retry_budget: Limits the retries that add load to the fleet.
    """

    def __init__(
        self,
        http_clients: HttpClients,
        lookup_cache: LookupCache,
        clock: Clock,
        retry_budget: RetryBudget,
    ) -> None:
        self._http_clients = http_clients
        self._lookup_cache = lookup_cache
        self._clock = clock
        self._retry_budget = retry_budget

    async def call(self, call: Call) -> Result[CallResponse, CallProblem]:
        """Send a call, failing over to the next instance while that is safe.

        Args:
            call: The call to send.

        Returns:
            The complete response, or why there is none. The execution of a refusal
            covers all attempts: it is NOT_RUN only if no attempt can have run.
        """
        expires_at_s = self._clock() + call.deadline_s
        found = await self._find_urls(call.deadline_s)
        if isinstance(found, Failure):
            return found
        keyed_call = _with_idempotency_key(call)
        self._retry_budget.deposit()
        execution = Execution.NOT_RUN
        urls = found.unwrap()
        for failovers, url in enumerate(urls):
            is_last = failovers == len(urls) - 1
            sent = await self._send(url, keyed_call, expires_at_s, is_last)
            if not isinstance(sent, Failure):
                return sent
            refusal: Refusal = sent.failure()
            if refusal.execution is not Execution.NOT_RUN:
                execution = refusal.execution
            is_expired = self._clock() >= expires_at_s
            if is_expired or not may_fail_over(call, refusal, failovers):
                break
            if needs_retry_budget(refusal) and not self._retry_budget.try_withdraw():
                break
        return Failure(replace(refusal, execution=execution))

    async def look_up(self) -> Result[LookupResponse, NoInstance]:
        """Return the instances to use, from the cache unless it needs renewal."""
        return await self._lookup_cache.look_up()

    async def _find_urls(
        self, deadline_s: float
    ) -> Result[tuple[str, ...], NoInstance]:
        with anyio.move_on_after(deadline_s):
            return await self._lookup_cache.urls()
        return Failure(NoInstance(self._lookup_cache.seed_urls))

    async def _send(
        self, url: str, call: Call, expires_at_s: float, is_last: bool
    ) -> Result[CallResponse, Refusal]:
        remaining_s = max(0.001, expires_at_s - self._clock())
        may_retry = not is_last and self._retry_budget.has_balance()
        sent = await send_call(self._http_clients, url, call, remaining_s, may_retry)
        if isinstance(sent, Failure):
            refusal: Refusal = sent.failure()
            if is_instance_unavailable(refusal):
                self._lookup_cache.avoid(url)
            return Failure(refusal)
        received = sent.unwrap()
        if received.is_leaving:
            self._lookup_cache.avoid(url)
        return Success(received.response)


@asynccontextmanager
async def open_caller(
    seed_urls: Sequence[str],
    address: str,
    zone: str | None = None,
    random: Random | None = None,
) -> AsyncIterator[Caller]:
    """Open a caller and close its connections at the end of the block.

    Args:
        seed_urls: Base URLs of a few entry instances, for the first look-up.
        address: The caller's own IP address, sent with look-ups.
        zone: The caller's availability zone; None if unspecified.
        random: Source of randomness that spreads the look-ups of callers over time
            and over instances.
    """
    query = {"client": address, **({"zone": zone} if zone else {})}
    clock = time.monotonic
    async with open_http_clients(MAX_CONNECTIONS, clock) as http_clients:
        rng = random or Random()
        cache = LookupCache(http_clients.reused, seed_urls, query, clock, rng)
        retry_budget = RetryBudget(RetryPolicy(), rng)
        yield Caller(http_clients, cache, clock, retry_budget)


def _with_idempotency_key(call: Call) -> Call:
    if call.key is not None or call.idempotency is Idempotency.IDEMPOTENT:
        return call
    return replace(call, key=IdempotencyKey(uuid.uuid4().hex))
