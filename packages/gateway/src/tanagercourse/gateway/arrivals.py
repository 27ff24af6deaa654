"""The state of a request at its arrival, from its headers and its route."""

from tanagercourse.core.ids import RequestId
from tanagercourse.gateway.headers import find_header, read_affinity, read_milliseconds
from tanagercourse.gateway.messages import CallerRequest
from tanagercourse.gateway.request_state import ForwardingDependencies, RequestState
from tanagercourse.routing.authorization import Authorized
from tanagercourse.routing.choosing import Requirements
from tanagercourse.routing.configuration import Configuration

# Deadline of a request that states none, in seconds after its arrival.
DEFAULT_DEADLINE_S = 10.0


def make_state(
    deps: ForwardingDependencies,
    request: CallerRequest,
    request_id: RequestId,
    authorized: Authorized,
    configuration: Configuration,
) -> RequestState:
    """Return the state of a request that a configuration allows.

    Args:
        deps: Dependencies of the forwarding task.
        request: The request.
        request_id: Id of the request.
        authorized: Route and tenant of the request.
        configuration: The configuration that allows it.
    """
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
