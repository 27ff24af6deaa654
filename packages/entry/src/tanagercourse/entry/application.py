"""The entry instance's HTTP interface: look-ups, requests and health."""

import uuid
from enum import Enum, unique
from random import Random

import httpx
import msgspec
from returns.result import Failure, Result, Success
from tanagercourse.core.ids import RequestId, ServiceId
from tanagercourse.core.problems import InvalidField, Refusal
from tanagercourse.core.states import Execution, RefusalReason
from tanagercourse.core.work import Clock, Work
from tanagercourse.entry.forward import Connections, Exchange, passed_on
from tanagercourse.entry.inforce import ServiceInForce, SettingsInForce
from tanagercourse.entry.lookup import Lookups
from tanagercourse.entry.pool import ServicePool
from tanagercourse.entry.roster import Roster
from tanagercourse.entry.steer import steer
from tanagercourse.steering.upstreams import two_choices
from tanagercourse.web.asgi import (
    Application,
    CallerGoneError,
    HttpRequest,
    Receive,
    Scope,
    Send,
    answer,
    read_body,
    read_head,
    start_answer,
    while_connected,
)
from tanagercourse.wire.headers import read_facts, write_refusal
from tanagercourse.wire.lookups import (
    BATCH_LOOKUP,
    LOOKUP,
    SERVICES,
    decode_batch,
    encode_answer,
)
from tanagercourse.wire.refusals import encode_invalid_field, encode_refusal

HEALTH = "/healthz"
READY = "/readyz"

STATUS_OF_REASON = {
    RefusalReason.INVALID_REQUEST: 400,
    RefusalReason.UNKNOWN_SERVICE: 404,
    RefusalReason.DEADLINE: 504,
    RefusalReason.DUPLICATE_KEY: 409,
    RefusalReason.UPSTREAM_LOST: 502,
    RefusalReason.ANSWER_MISMATCHED: 502,
    RefusalReason.ANSWER_TRUNCATED: 502,
}
STATUS_OF_OTHER_REASONS = 503


@unique
class Phase(Enum):
    """Phase of an entry instance's life."""

    STARTING = "starting"
    SERVING = "serving"
    LEAVING = "leaving"


class EntryState:
    """All that an entry instance's handlers share."""

    def __init__(self, connections: Connections, clock: Clock, random: Random) -> None:
        self.connections = connections
        self.clock = clock
        self.random = random
        self.phase = Phase.STARTING
        self.in_force = SettingsInForce()
        self.roster = Roster()
        self.lookups = Lookups(self.in_force, self.roster, random)
        self._pools: dict[ServiceId, ServicePool] = {}
        self._configured: dict[ServiceId, ServiceInForce] = {}

    def pool(self, service: ServiceInForce) -> ServicePool:
        """Return a service's pool, set up by its settings in force."""
        service_id = service.settings.service_id
        pool = self._pools.get(service_id)
        if pool is None:
            pool = ServicePool(two_choices(self.random), self.clock)
            self._pools[service_id] = pool
        if self._configured.get(service_id) is not service:
            self._configured[service_id] = service
            pool.configure(service.settings)
        return pool


def entry_application(state: EntryState) -> Application:
    """Return the ASGI application of an entry instance."""

    async def handle(scope: Scope, receive: Receive, send: Send) -> None:
        if scope["type"] != "http":
            return
        request = read_head(scope)
        if request.path == LOOKUP:
            await _answer_lookup(state, request, send)
        elif request.path == BATCH_LOOKUP:
            await _answer_batch(state, receive, send)
        elif request.path.startswith(SERVICES):
            await _serve(state, request, receive, send)
        elif request.path == HEALTH:
            await answer(send, 200, msgspec.json.encode(state.phase))
        elif request.path == READY:
            status = 200 if state.phase is Phase.SERVING else 503
            await answer(send, status, msgspec.json.encode(state.phase))
        else:
            problem = InvalidField("request", "path", request.path[:80], SERVICES)
            await answer(send, 404, encode_invalid_field(problem))

    return handle


async def _answer_lookup(state: EntryState, request: HttpRequest, send: Send) -> None:
    query = request.query
    answered = state.lookups.answer(
        query.get("client", ""), query.get("zone"), query.get("service")
    )
    if isinstance(answered, Failure):
        await answer(send, 400, encode_invalid_field(answered.failure()))
        return
    await answer(send, 200, encode_answer(answered.unwrap()))


async def _answer_batch(state: EntryState, receive: Receive, send: Send) -> None:
    try:
        body = await read_body(receive)
    except CallerGoneError:
        return
    answered = decode_batch(body).bind(state.lookups.answer_batch)
    if isinstance(answered, Failure):
        await answer(send, 400, encode_invalid_field(answered.failure()))
        return
    await answer(send, 200, encode_answer(answered.unwrap()))


async def _serve(
    state: EntryState, request: HttpRequest, receive: Receive, send: Send
) -> None:
    read = _read_work(state, request)
    if isinstance(read, Failure):
        await _refuse(send, read.failure())
        return
    work, service, target = read.unwrap()
    try:
        body = await read_body(receive)
    except CallerGoneError:
        return
    exchange = Exchange(work, request.method, target, dict(request.headers), body)

    async def pass_on(response: httpx.Response) -> None:
        await start_answer(send, response.status_code, passed_on(response.headers))
        async for chunk in response.aiter_raw():
            await send({"type": "http.response.body", "body": chunk, "more_body": True})
        await send({"type": "http.response.body", "body": b"", "more_body": False})

    async def serve() -> None:
        refusal = await steer(
            state.pool(service), state.connections, exchange, state.clock, pass_on
        )
        if refusal is not None:
            await _refuse(send, refusal)

    await while_connected(receive, serve)


def _read_work(
    state: EntryState, request: HttpRequest
) -> Result[tuple[Work, ServiceInForce, str], Refusal | InvalidField]:
    facts_read = read_facts(request.headers)
    if isinstance(facts_read, Failure):
        return facts_read
    facts = facts_read.unwrap()
    request_id = facts.request_id or RequestId(uuid.uuid4().hex)
    name, _, rest = request.raw_path.removeprefix(SERVICES).partition("/")
    service = state.in_force.service(ServiceId(name))
    if service is None:
        started = state.phase is not Phase.STARTING
        unknown = RefusalReason.UNKNOWN_SERVICE
        reason = unknown if started else RefusalReason.NO_SETTINGS
        return Failure(Refusal(request_id, reason, Execution.NOT_RUN))
    settings = service.settings
    deadline_ms = facts.deadline_ms or settings.deadline_ms
    work = Work(
        request_id=request_id,
        service=settings.service_id,
        rank=settings.rank,
        idempotency=settings.idempotency,
        expires_at_s=state.clock() + deadline_ms / 1_000,
        key=facts.key,
    )
    return Success((work, service, f"/{rest}"))


async def _refuse(send: Send, problem: Refusal | InvalidField) -> None:
    if isinstance(problem, InvalidField):
        await answer(send, 400, encode_invalid_field(problem))
        return
    status = STATUS_OF_REASON.get(problem.reason, STATUS_OF_OTHER_REASONS)
    await answer(send, status, encode_refusal(problem), write_refusal(problem))
