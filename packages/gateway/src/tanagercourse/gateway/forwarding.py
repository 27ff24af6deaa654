"""Forward one request: choose an upstream, send the request, and retry where safe.

All steps run in one task, a child of the connection's. If the caller disconnects, the
task is cancelled, which also closes the connection to the upstream.
"""

from collections.abc import Callable
from dataclasses import replace

import anyio
from returns.result import Failure, Result, Success

from tanagercourse.core.ids import RequestId
from tanagercourse.core.states import Execution, Idempotency, RefusalReason
from tanagercourse.gateway.attempts import attempt
from tanagercourse.gateway.headers import (
    find_header,
    read_affinity,
    read_api_key,
    read_milliseconds,
)
from tanagercourse.gateway.messages import CallerRequest, Response
from tanagercourse.gateway.refusing import refuse
from tanagercourse.gateway.request_state import (
    MIN_SEND_S,
    ForwardingDependencies,
    RequestState,
    log_outcome,
)
from tanagercourse.routing.admission import (
    Outlook,
    QueuePosition,
    Reject,
    Wait,
    WaitTerms,
    decide,
)
from tanagercourse.routing.authorization import Authorized, Denied, authorize
from tanagercourse.routing.choosing import (
    AtCapacity,
    Choice,
    Chosen,
    Paused,
    Requirements,
)
from tanagercourse.routing.configuration import Configuration, find_route

# Deadline of a request that states none, in seconds after its arrival.
DEFAULT_DEADLINE_S = 10.0
# Share of the time from arrival to deadline during which a caller's retry, or a request
# that may have run, may always wait for a free slot.
LATE_WAIT_SHARE = 0.3
# Time that a request may wait for its tenant's token without choosing its upstream
# again, in seconds.
MAX_CHOICE_AGE_S = 0.005
# Service times of a cold object that a late request must have left when it is sent,
# because upstreams may be slow or let it wait.
MIN_COLD_TIMES_LEFT = 1.5
# Failed connection attempts after which a request is given up.
MAX_CONNECT_FAILURES = 3


async def forward(deps: ForwardingDependencies, request: CallerRequest) -> Response:
    """Forward a caller's request and return the response.

    Args:
        deps: Dependencies of the forwarding task.
        request: The complete request.

    Returns:
        An upstream's response, or a refusal if there is none to pass on.
    """
    configuration = deps.configuration()
    raw_id = find_header(request.headers, deps.header_names.request_id) or b""
    request_id = RequestId(raw_id.decode("latin-1"))
    if configuration is None:
        return _refuse_unrouted(deps, request_id, RefusalReason.NO_SETTINGS)
    authorized = _authorize(configuration, request)
    if isinstance(authorized, Failure):
        reason = authorized.failure().reason
        return _deny(deps, request_id, reason, configuration)
    state = _make_state(deps, request, request_id, authorized.unwrap(), configuration)
    if not deps.may_serve(state.expires_at_s):
        state.reason = RefusalReason.LEAVING
        return _give_up(deps, state)
    try:
        response = await _try_upstreams(deps, state)
    except anyio.get_cancelled_exc_class():
        deps.counters.count("caller_left", state.route.route_id)
        elapsed_s = deps.clock() - request.arrived_at_s
        log_outcome(deps, state, "caller_left", None, elapsed_s)
        raise
    finally:
        if state.token is not None and state.execution is Execution.NOT_RUN:
            deps.quota.give_back(state.token)
    elapsed_s = deps.clock() - request.arrived_at_s
    deps.counters.observe("request", state.route.route_id, elapsed_s)
    return response


def make_overlap_decision(
    configuration: Callable[[], Configuration | None],
) -> Callable[[CallerRequest], bool]:
    """Return the decision whether a request may run together with others.

    Requests of idempotent routes may. So may those that no route serves, because they
    are refused.

    Args:
        configuration: Returns the active configuration.
    """

    def may_overlap(request: CallerRequest) -> bool:
        active = configuration()
        if active is None:
            return True
        host = find_header(request.headers, b"host") or b""
        route = find_route(active, host, request.target)
        return route is None or route.idempotency is Idempotency.IDEMPOTENT

    return may_overlap


def _refuse_unrouted(
    deps: ForwardingDependencies, request_id: RequestId, reason: RefusalReason
) -> Response:
    deps.counters.count("refused", reason.value)
    if reason is RefusalReason.NO_SETTINGS:
        deps.log.warning("refused", request_id=request_id, reason=reason.value)
    return refuse(reason, Execution.NOT_RUN)


def _authorize(
    configuration: Configuration, request: CallerRequest
) -> Result[Authorized, Denied]:
    host = find_header(request.headers, b"host") or b""
    key = read_api_key(request.headers)
    return authorize(configuration, host, request.target, key)


def _deny(
    deps: ForwardingDependencies,
    request_id: RequestId,
    reason: RefusalReason,
    configuration: Configuration,
) -> Response:
    is_unauthorized = reason is RefusalReason.UNAUTHORIZED
    event = "unauthorized" if is_unauthorized else "no_route"
    deps.log.info(event, request_id=request_id, configuration=configuration.version)
    return _refuse_unrouted(deps, request_id, reason)


def _make_state(
    deps: ForwardingDependencies,
    request: CallerRequest,
    request_id: RequestId,
    authorized: Authorized,
    configuration: Configuration,
) -> RequestState:
    now_s, route = deps.clock(), authorized.route
    stated_deadline_s = read_milliseconds(
        find_header(request.headers, deps.header_names.deadline_ms)
    )
    deadline_s = DEFAULT_DEADLINE_S if stated_deadline_s is None else stated_deadline_s
    service = deps.traffic_splitter.next_service(route)
    deps.retry_budget.count_request(service, now_s)
    view = deps.views.get(service, now_s).region
    key = None
    if route.is_sticky:
        key = read_affinity(request.headers, deps.header_names.affinity_cookie)
    if key is not None:
        deps.active_objects.record(service, key, now_s)
    spills = deps.spill_shares.record_arrival(service, key, view, now_s)
    requirements = Requirements(
        route, service, key, frozenset(), False, spills, authorized.allowed_regions
    )
    warm_time_s = deps.service_times.estimate_s(service, route, True)
    elapsed_s = deps.caller_elapsed_s(route, deadline_s, now_s)
    first_attempt_at_s = request.arrived_at_s - elapsed_s
    return RequestState(
        request=request,
        request_id=request_id,
        authorized=authorized,
        version=configuration.version,
        drops_credentials=configuration.tenants is not None,
        service=service,
        requirements=requirements,
        expires_at_s=request.arrived_at_s + min(deadline_s, route.timeout_s),
        on_time_until_s=first_attempt_at_s
        + max(0.0, route.target_latency_s - warm_time_s),
        first_attempt_at_s=first_attempt_at_s,
    )


async def _try_upstreams(deps: ForwardingDependencies, state: RequestState) -> Response:
    position = _queue_position(state, deps.clock())
    await deps.wait_queue.let_others_check(state.service, position)
    while True:
        denied = _authorize_again(deps, state)
        if denied is not None:
            return denied
        now_s = deps.clock()
        if state.expires_at_s - now_s < MIN_SEND_S:
            state.reason = RefusalReason.DEADLINE
            return _give_up(deps, state)
        choice = _choose(deps, state, now_s)
        if isinstance(choice, Chosen):
            if not await _ensure_token(deps, state):
                return _give_up(deps, state)
            if deps.clock() - now_s > MAX_CHOICE_AGE_S:
                continue
            if not _may_send(deps, state, now_s):
                return _give_up(deps, state)
            queue = deps.wait_queue.queue(state.service)
            position = _queue_position(state, now_s)
            queue.record_slot(position, state.has_waited, now_s)
            state.has_waited = False
            response = await attempt(deps, state, choice)
            if response is not None:
                return response
            if not _may_retry(state):
                return _give_up(deps, state)
        elif isinstance(choice, AtCapacity):
            if state.sends == 0 and not deps.may_serve(state.expires_at_s):
                state.reason = RefusalReason.LEAVING
                return _give_up(deps, state)
            decision = _decide(deps, state, now_s)
            if isinstance(decision, Reject):
                return _reject(deps, state, now_s)
            state.has_waited = True
            await deps.wait_queue.wait(
                state.service, _queue_position(state, now_s), decision.until_s - now_s
            )
        elif isinstance(choice, Paused):
            state.reason = RefusalReason.UPSTREAMS_PAUSED
            state.resumes_at_s = choice.until_s
            return _give_up(deps, state)
        else:
            if state.sends == 0:
                state.reason = RefusalReason.NO_UPSTREAM
            return _give_up(deps, state)


async def _ensure_token(deps: ForwardingDependencies, state: RequestState) -> bool:
    """Take a token for a request that has not run and whose tenant has a limit.

    Returns:
        Whether the request may be sent.
    """
    tenant, token = state.authorized.tenant, state.token
    if tenant is None or not tenant.has_quota:
        return True
    if state.execution is not Execution.NOT_RUN:
        return True
    if token is not None:
        if token.tenant == tenant.tenant_id and deps.quota.is_valid(token):
            return True
        deps.quota.give_back(token)
        state.token = None
    acquired = await deps.quota.acquire(tenant.tenant_id)
    if isinstance(acquired, Success):
        state.token = acquired.unwrap()
        return True
    retry_after_s = acquired.failure().retry_after_s
    state.reason = RefusalReason.QUOTA_EXCEEDED
    state.resumes_at_s = deps.clock() + retry_after_s
    deps.log.info(
        "quota_exceeded",
        request_id=state.request_id,
        tenant=tenant.tenant_id,
        configuration=state.version,
        retry_after_ms=round(retry_after_s * 1000),
    )
    return False


def _authorize_again(
    deps: ForwardingDependencies, state: RequestState
) -> Response | None:
    """Check a request that waited against a configuration that became active since.

    Returns:
        The refusal if the request's key was removed or its route is gone.
    """
    configuration = deps.configuration()
    if configuration is None or configuration.version == state.version:
        return None
    authorized = _authorize(configuration, state.request)
    if isinstance(authorized, Failure):
        if state.execution is not Execution.NOT_RUN:
            return _give_up(deps, state)
        reason = authorized.failure().reason
        return _deny(deps, state.request_id, reason, configuration)
    allowed = authorized.unwrap()
    # The rest of the route holds for the request since its arrival.
    route = replace(state.route, home_regions=allowed.route.home_regions)
    state.authorized = Authorized(route, allowed.tenant)
    state.drops_credentials = configuration.tenants is not None
    state.version = configuration.version
    return None


def _choose(deps: ForwardingDependencies, state: RequestState, now_s: float) -> Choice:
    position = _queue_position(state, now_s)
    if deps.wait_queue.must_yield(state.service, position):
        return AtCapacity()
    requirements = Requirements(
        state.route,
        state.service,
        state.requirements.key,
        frozenset(state.tried),
        position.is_late,
        state.requirements.spills,
        state.authorized.allowed_regions,
    )
    return deps.choose(requirements, now_s)


def _queue_position(state: RequestState, now_s: float) -> QueuePosition:
    is_late = now_s > state.on_time_until_s
    tenant = state.authorized.tenant
    return QueuePosition(
        is_late,
        state.authorized.priority,
        state.first_attempt_at_s,
        state.tenant_id,
        tenant.rate_per_s if tenant is not None and tenant.has_quota else 1.0,
        state.authorized.allowed_regions,
    )


def _decide(
    deps: ForwardingDependencies, state: RequestState, now_s: float
) -> Wait | Reject:
    """Decide whether a request that found no free slot waits.

    The rate of free slots counts only for requests that were never sent.
    """
    position = _queue_position(state, now_s)
    state.outlook = deps.wait_queue.queue(state.service).outlook(position, now_s)
    outlook = state.outlook if state.sends == 0 else Outlook(0, None)
    return decide(_wait_terms(deps, state), outlook, now_s)


def _wait_terms(deps: ForwardingDependencies, state: RequestState) -> WaitTerms:
    """Return how long it is useful that a request waits.

    A response is expected before the deadline even if the object is cold at a slow
    upstream. A share of the time may always be waited.
    """
    arrived_at_s = state.request.arrived_at_s
    total_s = state.expires_at_s - arrived_at_s
    cold_time_s = deps.service_times.estimate_s(state.service, state.route, False)
    useful_until_s = state.expires_at_s - MIN_COLD_TIMES_LEFT * cold_time_s
    return WaitTerms(
        state.on_time_until_s,
        max(arrived_at_s + LATE_WAIT_SHARE * total_s, useful_until_s),
        not state.is_caller_retry and state.execution is Execution.NOT_RUN,
    )


def _reject(
    deps: ForwardingDependencies, state: RequestState, now_s: float
) -> Response:
    if state.sends == 0:
        state.reason = RefusalReason.OVERLOADED
    if state.outlook is not None and state.execution is Execution.NOT_RUN:
        queue = deps.wait_queue.queue(state.service)
        state.retry_after_s = queue.schedule_return(state.outlook, now_s)
    return _give_up(deps, state)


def _may_send(deps: ForwardingDependencies, state: RequestState, now_s: float) -> bool:
    """Return whether a send is allowed; all but the first need retry budget."""
    if state.sends == 0:
        return True
    if deps.retry_budget.try_retry(state.service, now_s):
        return True
    deps.log.info("repeat_denied", request_id=state.request_id, service=state.service)
    deps.counters.count("repeat_denied", state.service)
    return False


def _may_retry(state: RequestState) -> bool:
    if state.connect_failures >= MAX_CONNECT_FAILURES:
        return False
    if state.sends >= state.route.max_upstreams:
        return False
    is_idempotent = state.route.idempotency is Idempotency.IDEMPOTENT
    return is_idempotent or state.execution is Execution.NOT_RUN


def _known_retry_after_s(
    deps: ForwardingDependencies, state: RequestState
) -> float | None:
    """Return when a slot, a token or a ready upstream is likely, if that is known."""
    if state.resumes_at_s is None:
        return state.retry_after_s
    now_s = deps.clock()
    return max(0.0, min(state.resumes_at_s, state.expires_at_s) - now_s)


def _give_up(deps: ForwardingDependencies, state: RequestState) -> Response:
    elapsed_s = deps.clock() - state.request.arrived_at_s
    if state.failed_response is not None:
        log_outcome(deps, state, "answered", state.failed_response.status, elapsed_s)
        return state.failed_response
    response = refuse(state.reason, state.execution, _known_retry_after_s(deps, state))
    deps.counters.count("refused", state.reason.value)
    log_outcome(deps, state, "refused", response.status, elapsed_s)
    return response
