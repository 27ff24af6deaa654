"""How requests end without an upstream's response to pass on."""

from tanagercourse.core.ids import RequestId
from tanagercourse.core.states import Execution, RefusalReason
from tanagercourse.gateway.messages import Response
from tanagercourse.gateway.refusing import refuse
from tanagercourse.gateway.request_state import (
    ForwardingDependencies,
    RequestState,
    log_outcome,
)
from tanagercourse.routing.configuration import Configuration


def refuse_unrouted(
    deps: ForwardingDependencies, request_id: RequestId, reason: RefusalReason
) -> Response:
    """Return the refusal of a request that has no route."""
    deps.counters.count("refused", reason.value)
    if reason is RefusalReason.NO_SETTINGS:
        deps.log.warning("refused", request_id=request_id, reason=reason.value)
    return refuse(reason, Execution.NOT_RUN)


def deny(
    deps: ForwardingDependencies,
    request_id: RequestId,
    reason: RefusalReason,
    configuration: Configuration,
) -> Response:
    """Log that a configuration does not allow a request; return the refusal."""
    is_unauthorized = reason is RefusalReason.UNAUTHORIZED
    event = "unauthorized" if is_unauthorized else "no_route"
    deps.log.info(event, request_id=request_id, configuration=configuration.version)
    return refuse_unrouted(deps, request_id, reason)


def _known_retry_after_s(
    deps: ForwardingDependencies, state: RequestState
) -> float | None:
    """Return when a slot, a token or a ready upstream is likely, if that is known."""
    if state.resumes_at_s is None:
        return state.retry_after_s
    now_s = deps.clock()
    return max(0.0, min(state.resumes_at_s, state.expires_at_s) - now_s)


def give_up(deps: ForwardingDependencies, state: RequestState) -> Response:
    """Return the last server error of an upstream, or a refusal if there is none."""
    elapsed_s = deps.clock() - state.request.arrived_at_s
    if state.failed_response is not None:
        log_outcome(deps, state, "answered", state.failed_response.status, elapsed_s)
        return state.failed_response
    response = refuse(state.reason, state.execution, _known_retry_after_s(deps, state))
    deps.counters.count("refused", state.reason.value)
    log_outcome(deps, state, "refused", response.status, elapsed_s)
    return response
