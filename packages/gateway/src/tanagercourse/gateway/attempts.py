"""Send a request to one upstream and record the outcome."""

from dataclasses import replace

from returns.result import Failure, Result, Success

from tanagercourse.core.states import Execution, Idempotency, RefusalReason
from tanagercourse.gateway.connection_pool import Reuse
from tanagercourse.gateway.connections import OutboundRequest
from tanagercourse.gateway.headers import HeaderNames, find_header, read_load
from tanagercourse.gateway.messages import (
    Lost,
    NotSent,
    Response,
    TokenExpired,
    drop_connection_headers,
)
from tanagercourse.gateway.request_state import (
    MIN_SEND_S,
    ForwardingDependencies,
    RequestState,
)
from tanagercourse.routing.choosing import ROUND_TRIP_S, Chosen
from tanagercourse.routing.fleet import UpstreamRecord
from tanagercourse.routing.topology import Distance

# Subtracted from the deadline sent to an upstream, so that its refusal still arrives in
# time, in seconds.
RESPONSE_MARGIN_S = 0.02

_SERVER_ERROR = 500
_MISDIRECTED = 421
# By increasing certainty that the request ran.
_EXECUTION_ORDER = (Execution.NOT_RUN, Execution.MAY_HAVE_RUN, Execution.RAN)


async def attempt(
    deps: ForwardingDependencies, state: RequestState, chosen: Chosen
) -> Response | None:
    """Send a request to the chosen upstream.

    Returns:
        The response to pass on to the caller, or None if the attempt failed.
    """
    record = chosen.record
    is_remote = (
        deps.location.distance_to(record.registration.zone) is Distance.OTHER_REGION
    )
    if is_remote and not state.requirements.spills:
        deps.spill_shares.consume_overflow_credit()
    record.in_flight += 1
    sent = record.silence.begin(deps.clock(), chosen.expected_s)
    has_response = False
    try:
        result = await _send(deps, state, record)
        has_response = isinstance(result, Success)
        elapsed_s = deps.clock() - sent.sent_at_s
    finally:
        record.in_flight -= 1
        record.silence.end(sent, deps.clock(), has_response)
        deps.wait_queue.wake(state.service)
    _log_attempt(deps, state, chosen, result, elapsed_s)
    if isinstance(result, Success):
        return _handle_response(deps, state, chosen, result.unwrap(), elapsed_s)
    _handle_problem(deps, state, record, result.failure())
    return None


async def _send(
    deps: ForwardingDependencies, state: RequestState, record: UpstreamRecord
) -> Result[Response, NotSent | TokenExpired | Lost]:
    registration = record.registration
    is_idempotent = state.route.idempotency is Idempotency.IDEMPOTENT
    acquired = await deps.pool.acquire(
        registration.upstream,
        registration.host,
        registration.port,
        Reuse.ANY if is_idempotent else Reuse.SAFE,
    )
    if isinstance(acquired, Failure):
        return acquired
    connection = acquired.unwrap()
    if _needs_another_token(deps, state):
        await deps.pool.put_back(registration.upstream, connection)
        return Failure(TokenExpired("while a connection was opened"))
    if connection.is_unused:
        deps.counters.count("connection_opened", connection.open_reason.value)
    state.sends += 1
    state.tried.add(registration.upstream)
    previous_execution = state.execution
    state.execution = _most_certain(previous_execution, Execution.MAY_HAVE_RUN)
    remaining_s = state.expires_at_s - deps.clock()
    request = _encode_request(deps, state, record)
    result = await connection.exchange_with_timeout(
        request, remaining_s, "no response before the request's deadline"
    )
    if isinstance(result, Success):
        if is_not_run(deps.header_names, result.unwrap()):
            state.execution = previous_execution
        if record.accepts_requests:
            await deps.pool.release(registration.upstream, connection)
        else:
            await connection.close()
    elif isinstance(result.failure(), NotSent):
        state.execution = previous_execution
        state.sends -= 1
    return result


def _needs_another_token(deps: ForwardingDependencies, state: RequestState) -> bool:
    """Return whether a token expired, as when opening a connection took long."""
    if state.limited_tenant is None or state.token is None:
        return False
    return not deps.quota.is_valid(state.token)


def _encode_request(
    deps: ForwardingDependencies, state: RequestState, record: UpstreamRecord
) -> OutboundRequest:
    names = deps.header_names
    remaining_s = state.expires_at_s - deps.clock() - RESPONSE_MARGIN_S
    dropped = [names.deadline_ms.lower(), names.expected_upstream.lower()]
    if state.drops_credentials:
        dropped += [b"authorization", names.tenant.lower()]
    headers = drop_connection_headers(state.request.headers, *dropped)
    added = [
        (names.deadline_ms, str(max(1, int(remaining_s * 1000))).encode()),
        (names.expected_upstream, record.registration.upstream.encode()),
    ]
    if state.tenant_id is not None:
        added.append((names.tenant, state.tenant_id.encode()))
    return OutboundRequest(
        state.request.method,
        state.request.target,
        (*headers, *added),
        state.request.body,
        names.request_id,
        state.request_id.encode("latin-1"),
        names.proof,
    )


def is_not_run(names: HeaderNames, response: Response) -> bool:
    """Return whether an upstream's response states that the request did not run."""
    if response.status == _MISDIRECTED:
        return True
    return find_header(response.headers, names.not_run) is not None


def _handle_response(
    deps: ForwardingDependencies,
    state: RequestState,
    chosen: Chosen,
    response: Response,
    elapsed_s: float,
) -> Response | None:
    now_s = deps.clock()
    record = chosen.record
    deps.record_statements(record, response, state.request_id)
    response = _without_statements(deps.header_names, response)
    _record_load(deps.header_names, record, response, now_s)
    if is_not_run(deps.header_names, response):
        state.reason = RefusalReason.UPSTREAM_SHED
        deps.counters.count("shed", state.service)
        if response.status == _MISDIRECTED:
            deps.mark_down(record, "another upstream responded at its address")
        else:
            record.record_shed(now_s)
        return None
    state.execution = Execution.RAN
    if response.status >= _SERVER_ERROR:
        state.failed_response = response
        if record.record_failure(now_s):
            deps.log.warning("upstream_cooldown", upstream=record.registration.upstream)
        return None
    record.record_response(elapsed_s / max(chosen.expected_s, 0.001), now_s)
    _record_observations(deps, state, chosen, elapsed_s, now_s)
    deps.counters.count("answered", state.service)
    deps.counters.count_for_tenant("answered", state.tenant_id)
    return response


def _without_statements(names: HeaderNames, response: Response) -> Response:
    """Return a response without what concerns only the upstream's connections."""
    name = names.leaving.lower()
    if find_header(response.headers, name) is None:
        return response
    headers = tuple(field for field in response.headers if field[0].lower() != name)
    return replace(response, headers=headers)


def _record_load(
    names: HeaderNames, record: UpstreamRecord, response: Response, now_s: float
) -> None:
    """Record the load that a response reports, without the request it responds to."""
    load = read_load(find_header(response.headers, names.load))
    if load is None:
        return
    # An upstream counts the request among the running ones until the response is sent.
    own_count = 0 if is_not_run(names, response) else 1
    record.record_load(load.running - own_count, load.waiting, now_s)


def _record_observations(
    deps: ForwardingDependencies,
    state: RequestState,
    chosen: Chosen,
    elapsed_s: float,
    now_s: float,
) -> None:
    distance = deps.location.distance_to(chosen.record.registration.zone)
    if state.requirements.key is not None:
        chosen.record.mark_warm(state.requirements.key, now_s)
        if distance is not Distance.SAME_ZONE:
            deps.transfers.record(state.service, state.requirements.key)
    if (
        chosen.load <= chosen.record.registration.slots - 1
        and not chosen.record.is_cold(now_s)
    ):
        service_time_s = max(0.001, elapsed_s - ROUND_TRIP_S[distance])
        was_warm = chosen.is_known_warm
        deps.service_times.record(state.service, state.route, was_warm, service_time_s)


def _handle_problem(
    deps: ForwardingDependencies,
    state: RequestState,
    record: UpstreamRecord,
    problem: NotSent | TokenExpired | Lost,
) -> None:
    if isinstance(problem, TokenExpired):
        return
    if isinstance(problem, NotSent):
        state.connect_failures += 1
        state.reason = RefusalReason.UPSTREAM_LOST
        deps.mark_down(record, problem.detail)
        return
    if deps.clock() >= state.expires_at_s - MIN_SEND_S:
        state.reason = RefusalReason.DEADLINE
    else:
        state.reason = RefusalReason.UPSTREAM_LOST
    if not problem.was_kept and record.record_failure(deps.clock()):
        deps.log.warning("upstream_cooldown", upstream=record.registration.upstream)


def _log_attempt(
    deps: ForwardingDependencies,
    state: RequestState,
    chosen: Chosen,
    result: Result[Response, NotSent | TokenExpired | Lost],
    elapsed_s: float,
) -> None:
    if isinstance(result, Success):
        outcome = str(result.unwrap().status)
    else:
        problem = result.failure()
        outcome = f"{type(problem).__name__}: {problem.detail}"
    deps.log.info(
        "sent",
        request_id=state.request_id,
        route=state.route.route_id,
        configuration=state.version,
        tenant=state.tenant_id,
        upstream=chosen.record.registration.upstream,
        zone=chosen.record.registration.zone,
        attempt=state.sends,
        load=round(chosen.load, 2),
        load_age_ms=round(min(chosen.report_age_s, 999.0) * 1000),
        object=state.requirements.key,
        warm=chosen.is_warm,
        known_warm=chosen.is_known_warm,
        leaves=state.requirements.spills,
        expected_ms=round(chosen.expected_s * 1000),
        outcome=outcome,
        took_ms=round(elapsed_s * 1000),
    )


def _most_certain(first: Execution, second: Execution) -> Execution:
    return max(first, second, key=_EXECUTION_ORDER.index)
