"""Serve one request: choose an upstream, send it, and send again where that is safe.

The caller's task runs this from top to bottom. When the caller leaves, the task is
cancelled, and the upstream's connection is closed with it.
"""

import anyio

from tanagercourse.core.ids import ConfigurationVersion, RequestId
from tanagercourse.core.states import Execution, Idempotency, RefusalReason
from tanagercourse.gateway.attempts import attempt
from tanagercourse.gateway.headers import (
    find_header,
    read_affinity,
    read_milliseconds,
)
from tanagercourse.gateway.messages import CallerRequest, Response
from tanagercourse.gateway.refusing import refuse
from tanagercourse.gateway.request_state import (
    MIN_SEND_S,
    ForwardingDependencies,
    Progress,
    log_end,
)
from tanagercourse.gateway.wait_queue import Turn
from tanagercourse.routing.choosing import Choice, Chosen, Full, Wanted
from tanagercourse.routing.configuration import Route, find_route

# How long a caller waits that names no deadline, in seconds.
DEFAULT_DEADLINE_S = 10.0
# Share of its time that a request without hope for its objective may wait.
LATE_WAIT_SHARE = 0.3
# Connections that may fail before a request is given up.
MAX_CONNECT_FAILURES = 3


async def forward(parts: ForwardingDependencies, request: CallerRequest) -> Response:
    """Return the answer to a caller's request, whatever happens to it.

    Args:
        parts: What requests are served with.
        request: The request, read whole.
    """
    configuration = parts.configuration()
    raw_id = find_header(request.headers, parts.header_names.request_id) or b""
    request_id = RequestId(raw_id.decode("latin-1"))
    if configuration is None:
        return _end_early(parts, request_id, RefusalReason.NO_SETTINGS)
    host = find_header(request.headers, b"host") or b""
    route = find_route(configuration, host, request.target)
    if route is None:
        version = configuration.version
        parts.log.info("no_route", request_id=request_id, configuration=version)
        return _end_early(parts, request_id, RefusalReason.UNKNOWN_SERVICE)
    progress = _begin(parts, request, request_id, route, configuration.version)
    try:
        answer = await _try_upstreams(parts, progress)
    except anyio.get_cancelled_exc_class():
        parts.counters.count("caller_left", route.route_id)
        took_s = parts.clock() - request.arrived_at_s
        log_end(parts, progress, "caller_left", None, took_s)
        raise
    took_s = parts.clock() - request.arrived_at_s
    parts.counters.observe("request", route.route_id, took_s)
    return answer


def _end_early(
    parts: ForwardingDependencies, request_id: RequestId, reason: RefusalReason
) -> Response:
    parts.counters.count("refused", reason.value)
    if reason is RefusalReason.NO_SETTINGS:
        parts.log.warning("refused", request_id=request_id, reason=reason.value)
    return refuse(reason, Execution.NOT_RUN)


def _begin(
    parts: ForwardingDependencies,
    request: CallerRequest,
    request_id: RequestId,
    route: Route,
    version: ConfigurationVersion,
) -> Progress:
    now_s = parts.clock()
    deadline = read_milliseconds(
        find_header(request.headers, parts.header_names.deadline_ms)
    )
    deadline_s = DEFAULT_DEADLINE_S if deadline is None else deadline
    service = parts.traffic_splitter.next_service(route)
    parts.retry_budget.count_request(service, now_s)
    view = parts.views.of(service, now_s).region
    key = None
    if route.is_sticky:
        key = read_affinity(request.headers, parts.header_names.affinity_cookie)
    if key is not None:
        parts.active_objects.note(service, key, now_s)
    leaves = parts.spill_shares.note_arrival(service, key, view, now_s)
    wanted = Wanted(route, service, key, frozenset(), False, leaves)
    usual_s = parts.service_times.expect_s(service, route, True)
    return Progress(
        request=request,
        request_id=request_id,
        route=route,
        version=version,
        service=service,
        wanted=wanted,
        expires_at_s=request.arrived_at_s + min(deadline_s, route.timeout_s),
        on_time_until_s=request.arrived_at_s
        + max(0.0, route.target_latency_s - usual_s),
        is_caller_retry=parts.is_caller_retry(route, deadline_s),
    )


async def _try_upstreams(parts: ForwardingDependencies, progress: Progress) -> Response:
    while True:
        now_s = parts.clock()
        if progress.expires_at_s - now_s < MIN_SEND_S:
            progress.reason = RefusalReason.DEADLINE
            return _give_up(parts, progress)
        choice = _choose(parts, progress, now_s)
        if isinstance(choice, Chosen):
            if not _may_send(parts, progress, now_s):
                return _give_up(parts, progress)
            answer = await attempt(parts, progress, choice)
            if answer is not None:
                return answer
            if not _may_try_again(progress):
                return _give_up(parts, progress)
        elif isinstance(choice, Full) and _may_wait(progress, now_s):
            most_s = _waits_until_s(progress) - now_s
            await parts.wait_queue.wait(
                progress.service, _turn(progress, now_s), most_s
            )
        else:
            is_full = isinstance(choice, Full)
            if progress.sends == 0:
                progress.reason = (
                    RefusalReason.OVERLOADED if is_full else RefusalReason.NO_UPSTREAM
                )
            return _give_up(parts, progress)


def _choose(parts: ForwardingDependencies, progress: Progress, now_s: float) -> Choice:
    turn = _turn(progress, now_s)
    if parts.wait_queue.is_behind(progress.service, turn):
        return Full()
    wanted = Wanted(
        progress.route,
        progress.service,
        progress.wanted.key,
        frozenset(progress.tried),
        turn.is_late,
        progress.wanted.leaves,
    )
    return parts.choose(wanted, now_s)


def _turn(progress: Progress, now_s: float) -> Turn:
    is_late = progress.is_caller_retry or now_s > progress.on_time_until_s
    arrived_at_s = progress.request.arrived_at_s
    return Turn(is_late, progress.route.priority, arrived_at_s)


def _waits_until_s(progress: Progress) -> float:
    """Return until when a request may wait for room, in seconds.

    A first visit ends while a return may still find room elsewhere or later; a second
    one waits as long as there is hope to be served at all.
    """
    if not progress.is_caller_retry and progress.execution is Execution.NOT_RUN:
        return progress.on_time_until_s
    arrived_at_s = progress.request.arrived_at_s
    length_s = progress.expires_at_s - arrived_at_s
    return arrived_at_s + LATE_WAIT_SHARE * length_s


def _may_wait(progress: Progress, now_s: float) -> bool:
    return now_s < _waits_until_s(progress)


def _may_send(parts: ForwardingDependencies, progress: Progress, now_s: float) -> bool:
    """Return whether one more send is allowed; the first one always is."""
    if progress.sends == 0:
        return True
    if parts.retry_budget.try_repeat(progress.service, now_s):
        return True
    parts.log.info(
        "repeat_denied", request_id=progress.request_id, service=progress.service
    )
    parts.counters.count("repeat_denied", progress.service)
    return False


def _may_try_again(progress: Progress) -> bool:
    if progress.connect_failures >= MAX_CONNECT_FAILURES:
        return False
    if progress.sends >= progress.route.max_upstreams:
        return False
    is_idempotent = progress.route.idempotency is Idempotency.IDEMPOTENT
    return is_idempotent or progress.execution is Execution.NOT_RUN


def _give_up(parts: ForwardingDependencies, progress: Progress) -> Response:
    took_s = parts.clock() - progress.request.arrived_at_s
    if progress.answer is not None:
        log_end(parts, progress, "answered", progress.answer.status, took_s)
        return progress.answer
    answer = refuse(progress.reason, progress.execution)
    parts.counters.count("refused", progress.reason.value)
    log_end(parts, progress, "refused", answer.status, took_s)
    return answer
