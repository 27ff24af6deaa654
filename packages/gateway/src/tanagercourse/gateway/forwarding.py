"""Forward one request: choose an upstream, send the request, and retry where safe.

All steps run in one task, a child of the connection's. If the caller disconnects, the
task is cancelled, which also closes the connection to the upstream.
"""

from collections.abc import Callable

import anyio
from returns.result import Failure

from tanagercourse.core.ids import RequestId
from tanagercourse.core.states import Execution, Idempotency, RefusalReason
from tanagercourse.gateway.admitting import (
    authorize_again,
    authorize_request,
    ensure_token,
)
from tanagercourse.gateway.arrivals import make_state
from tanagercourse.gateway.attempts import attempt
from tanagercourse.gateway.headers import find_header
from tanagercourse.gateway.messages import CallerRequest, Response
from tanagercourse.gateway.outcomes import deny, give_up, refuse_unrouted
from tanagercourse.gateway.request_state import (
    MIN_SEND_S,
    ForwardingDependencies,
    RequestState,
    log_outcome,
)
from tanagercourse.gateway.waiting import decide_wait, queue_position, reject
from tanagercourse.routing.admission import Reject
from tanagercourse.routing.choosing import (
    AtCapacity,
    Choice,
    Chosen,
    Paused,
    Requirements,
)
from tanagercourse.routing.configuration import Configuration, find_route

# Time that a request may wait for its tenant's token without choosing its upstream
# again, in seconds.
MAX_CHOICE_AGE_S = 0.005
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
        return refuse_unrouted(deps, request_id, RefusalReason.NO_SETTINGS)
    authorized = authorize_request(configuration, request)
    if isinstance(authorized, Failure):
        reason = authorized.failure().reason
        return deny(deps, request_id, reason, configuration)
    state = make_state(deps, request, request_id, authorized.unwrap(), configuration)
    try:
        with deps.scopes.open(state.expires_at_s) as scope:
            response = await _try_upstreams(deps, state)
        if scope.cancelled_caught:
            state.reason = RefusalReason.LEAVING
            response = give_up(deps, state)
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


async def _try_upstreams(deps: ForwardingDependencies, state: RequestState) -> Response:
    position = queue_position(state, deps.clock())
    await deps.wait_queue.let_others_check(state.service, position)
    while True:
        denied = authorize_again(deps, state)
        if denied is not None:
            return denied
        is_not_run = state.execution is Execution.NOT_RUN
        if is_not_run and not deps.may_serve(state.expires_at_s):
            state.reason = RefusalReason.LEAVING
            return give_up(deps, state)
        now_s = deps.clock()
        if state.expires_at_s - now_s < MIN_SEND_S:
            state.reason = RefusalReason.DEADLINE
            return give_up(deps, state)
        choice = _choose(deps, state, now_s)
        if isinstance(choice, Chosen):
            held_token = state.token
            if not await ensure_token(deps, state):
                return give_up(deps, state)
            has_waited = deps.clock() - now_s > MAX_CHOICE_AGE_S
            if state.token is not held_token and has_waited:
                continue
            if not _may_send(deps, state, now_s):
                return give_up(deps, state)
            queue = deps.wait_queue.queue(state.service)
            position = queue_position(state, now_s)
            queue.record_slot(position, state.has_waited, now_s)
            state.has_waited = False
            response = await attempt(deps, state, choice)
            if response is not None:
                return response
            if not _may_retry(state):
                return give_up(deps, state)
        elif isinstance(choice, AtCapacity):
            decision = decide_wait(deps, state, now_s)
            if isinstance(decision, Reject):
                return reject(deps, state, now_s)
            state.has_waited = True
            await deps.wait_queue.wait(
                state.service, queue_position(state, now_s), decision.until_s - now_s
            )
        elif isinstance(choice, Paused):
            state.reason = RefusalReason.UPSTREAMS_PAUSED
            state.resumes_at_s = choice.until_s
            return give_up(deps, state)
        else:
            if state.sends == 0:
                state.reason = RefusalReason.NO_UPSTREAM
            return give_up(deps, state)


def _choose(deps: ForwardingDependencies, state: RequestState, now_s: float) -> Choice:
    position = queue_position(state, now_s)
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
