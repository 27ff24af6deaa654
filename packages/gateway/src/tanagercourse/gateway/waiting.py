"""Whether and how long a request waits for a free slot, and its place meanwhile."""

from tanagercourse.core.states import Execution, RefusalReason
from tanagercourse.gateway.messages import Response
from tanagercourse.gateway.outcomes import give_up
from tanagercourse.gateway.request_state import ForwardingDependencies, RequestState
from tanagercourse.routing.admission import (
    Outlook,
    QueuePosition,
    Reject,
    Wait,
    WaitTerms,
    decide,
)

# Share of the time from arrival to deadline during which a caller's retry, or a request
# that may have run, may always wait for a free slot.
LATE_WAIT_SHARE = 0.3
# Service times of a cold object that a late request must have left when it is sent,
# because upstreams may be slow or let it wait.
MIN_COLD_TIMES_LEFT = 1.5


def queue_position(state: RequestState, now_s: float) -> QueuePosition:
    """Return the current position of a request among those that wait."""
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


def decide_wait(
    deps: ForwardingDependencies, state: RequestState, now_s: float
) -> Wait | Reject:
    """Decide whether a request that found no free slot waits.

    The rate of free slots counts only for requests that were never sent.
    """
    position = queue_position(state, now_s)
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


def reject(deps: ForwardingDependencies, state: RequestState, now_s: float) -> Response:
    """Refuse a request whose wait is of no use, and schedule its caller's return."""
    if state.sends == 0:
        state.reason = RefusalReason.OVERLOADED
    if state.outlook is not None and state.execution is Execution.NOT_RUN:
        queue = deps.wait_queue.queue(state.service)
        state.retry_after_s = queue.schedule_return(state.outlook, now_s)
    return give_up(deps, state)
