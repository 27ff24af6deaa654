"""Send requests through the entry instances that a look-up names."""

import time
import uuid
from collections.abc import Sequence
from dataclasses import dataclass

import httpx
from returns.result import Failure, Result, Success
from tanagercourse.core.ids import IdempotencyKey, RequestId, ServiceId
from tanagercourse.core.problems import Problem, Refusal
from tanagercourse.core.states import Execution, Idempotency, RefusalReason
from tanagercourse.wire.headers import (
    REQUEST_ID,
    RequestFacts,
    read_refusal,
    write_facts,
)
from tanagercourse.wire.lookups import (
    LOOKUP,
    SERVICES,
    LookupAnswer,
    decode_answer,
)

LOOKUP_TIMEOUT_S = 1.0
CONNECT_TIMEOUT_S = 0.5

# Raised before any byte of the request was sent.
_NOT_SENT = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)


@dataclass(frozen=True)
class NoInstance(Problem):
    """No known address answered a look-up.

    Attributes:
        asked: Addresses that were asked.
    """

    asked: tuple[str, ...]


@dataclass(frozen=True)
class Call:
    """A request of a caller.

    Attributes:
        service: The service that is asked for.
        target: Path and query inside the service, beginning with a slash.
        method: The HTTP method.
        body: The whole body.
        idempotency: Whether it may be sent again once it may have run.
        deadline_s: Time to answer, in seconds.
        key: Idempotency key, if the caller has one.
    """

    service: ServiceId
    target: str
    method: str = "GET"
    body: bytes = b""
    idempotency: Idempotency = Idempotency.IDEMPOTENT
    deadline_s: float = 2.0
    key: IdempotencyKey | None = None


@dataclass(frozen=True)
class Answer:
    """A whole answer to a call."""

    request_id: RequestId
    status: int
    body: bytes


class Caller:
    """A caller: the addresses it knows and the look-up answer it caches."""

    def __init__(
        self,
        http: httpx.AsyncClient,
        known_urls: Sequence[str],
        address: str,
        zone: str | None = None,
    ) -> None:
        self._http = http
        self._known_urls = tuple(known_urls)
        self._address = address
        self._zone = zone
        self._answer: LookupAnswer | None = None
        self._valid_until_s = 0.0

    async def call(self, call: Call) -> Result[Answer, Refusal | NoInstance]:
        """Send a request, trying the next instance while it is safe to.

        Args:
            call: What to send.

        Returns:
            The whole answer, or why there is none and whether it ran.
        """
        expires_at_s = time.monotonic() + call.deadline_s
        looked_up = await self.look_up()
        if isinstance(looked_up, Failure):
            return looked_up
        request_id = RequestId(uuid.uuid4().hex)
        refusal = Refusal(request_id, RefusalReason.NO_UPSTREAM, Execution.NOT_RUN)
        for instance in looked_up.unwrap().instances:
            remaining_s = expires_at_s - time.monotonic()
            if remaining_s <= 0:
                break
            sent = await self._send(instance.url, request_id, call, remaining_s)
            if not isinstance(sent, Failure):
                return sent
            refusal = sent.failure()
            if not _may_repeat(call, refusal):
                break
        return Failure(refusal)

    async def look_up(self) -> Result[LookupAnswer, NoInstance]:
        """Return the instances to use, asking only when the last answer is old."""
        if self._answer is not None and time.monotonic() < self._valid_until_s:
            return Success(self._answer)
        cached = self._answer.instances if self._answer else ()
        urls = [*(instance.url for instance in cached), *self._known_urls]
        for url in urls:
            answer = await self._ask(url)
            if answer is not None and answer.instances:
                self._answer = answer
                self._valid_until_s = time.monotonic() + answer.valid_for_ms / 1_000
                return Success(answer)
        if self._answer is not None:
            return Success(self._answer)
        return Failure(NoInstance(tuple(urls)))

    async def _ask(self, url: str) -> LookupAnswer | None:
        query = {"client": self._address}
        if self._zone is not None:
            query["zone"] = self._zone
        try:
            response = await self._http.get(
                url + LOOKUP, params=query, timeout=LOOKUP_TIMEOUT_S
            )
        except httpx.HTTPError:
            return None
        if response.status_code != httpx.codes.OK:
            return None
        return decode_answer(response.content).value_or(None)

    async def _send(
        self, url: str, request_id: RequestId, call: Call, remaining_s: float
    ) -> Result[Answer, Refusal]:
        facts = RequestFacts(request_id, remaining_s * 1_000, call.key)
        try:
            response = await self._http.request(
                call.method,
                f"{url}{SERVICES}{call.service}{call.target}",
                content=call.body,
                headers=write_facts(facts),
                timeout=httpx.Timeout(
                    remaining_s, connect=min(remaining_s, CONNECT_TIMEOUT_S)
                ),
            )
        except _NOT_SENT:
            reason = RefusalReason.UPSTREAM_LOST
            return Failure(Refusal(request_id, reason, Execution.NOT_RUN))
        except httpx.TimeoutException:
            reason = RefusalReason.DEADLINE
            return Failure(Refusal(request_id, reason, Execution.MAY_HAVE_RUN))
        except httpx.HTTPError:
            reason = RefusalReason.UPSTREAM_LOST
            return Failure(Refusal(request_id, reason, Execution.MAY_HAVE_RUN))
        return _judge(request_id, response)


def _judge(request_id: RequestId, response: httpx.Response) -> Result[Answer, Refusal]:
    refusal = read_refusal(request_id, response.headers)
    if refusal is not None:
        return Failure(refusal)
    if response.headers.get(REQUEST_ID) != request_id:
        reason = RefusalReason.ANSWER_MISMATCHED
        return Failure(Refusal(request_id, reason, Execution.MAY_HAVE_RUN))
    return Success(Answer(request_id, response.status_code, response.content))


def _may_repeat(call: Call, refusal: Refusal) -> bool:
    if refusal.execution is Execution.NOT_RUN:
        return True
    return call.idempotency is Idempotency.IDEMPOTENT
