"""Send a request to one upstream, and learn from what comes back."""

from returns.result import Failure, Result, Success

from tanagercourse.core.states import Execution, Idempotency, RefusalReason
from tanagercourse.gateway.connections import OutboundRequest
from tanagercourse.gateway.headers import HeaderNames, find_header, read_load
from tanagercourse.gateway.messages import (
    Lost,
    NotSent,
    Response,
    drop_connection_headers,
)
from tanagercourse.gateway.request_state import (
    MIN_SEND_S,
    ForwardingDependencies,
    Progress,
)
from tanagercourse.routing.choosing import ROUND_TRIP_S, Chosen
from tanagercourse.routing.fleet import UpstreamRecord
from tanagercourse.routing.topology import Distance

# Taken off the time handed to an upstream, so that its verdict comes back in time.
VERDICT_MARGIN_S = 0.02

_SERVER_ERROR = 500
_MISDIRECTED = 421
_CERTAINTY = (Execution.NOT_RUN, Execution.MAY_HAVE_RUN, Execution.RAN)


async def attempt(
    parts: ForwardingDependencies, progress: Progress, chosen: Chosen
) -> Response | None:
    """Send a request once; return the answer to pass on, None to go on trying."""
    record = chosen.record
    is_far = (
        parts.location.distance_to(record.registration.zone) is Distance.OTHER_REGION
    )
    if is_far and not progress.wanted.leaves:
        parts.spill_shares.note_overflow()
    record.in_flight += 1
    try:
        sent_at_s = parts.clock()
        result = await _send(parts, progress, record)
        took_s = parts.clock() - sent_at_s
    finally:
        record.in_flight -= 1
        parts.wait_queue.wake(progress.service)
    _log_attempt(parts, progress, chosen, result, took_s)
    if isinstance(result, Success):
        return _take_answer(parts, progress, chosen, result.unwrap(), took_s)
    _take_problem(parts, progress, record, result.failure())
    return None


async def _send(
    parts: ForwardingDependencies, progress: Progress, record: UpstreamRecord
) -> Result[Response, NotSent | Lost]:
    entry = record.registration
    may_be_kept = progress.route.idempotency is Idempotency.IDEMPOTENT
    taken = await parts.pool.acquire(
        entry.upstream, entry.host, entry.port, may_be_kept
    )
    if isinstance(taken, Failure):
        return taken
    channel = taken.unwrap()
    progress.sends += 1
    progress.tried.add(entry.upstream)
    before = progress.execution
    progress.execution = _more(before, Execution.MAY_HAVE_RUN)
    left_s = progress.expires_at_s - parts.clock()
    call = _encode_call(parts, progress, record)
    result = await channel.exchange_with_timeout(call, left_s, "the time ran out")
    if isinstance(result, Success):
        if is_not_run(parts.header_names, result.unwrap()):
            progress.execution = before
        await parts.pool.release(entry.upstream, channel)
    return result


def _encode_call(
    parts: ForwardingDependencies, progress: Progress, record: UpstreamRecord
) -> OutboundRequest:
    dialect = parts.header_names
    left_s = progress.expires_at_s - parts.clock() - VERDICT_MARGIN_S
    headers = drop_connection_headers(
        progress.request.headers,
        dialect.deadline_ms.lower(),
        dialect.expected_upstream.lower(),
    )
    added = (
        (dialect.deadline_ms, str(max(1, int(left_s * 1000))).encode()),
        (dialect.expected_upstream, record.registration.upstream.encode()),
    )
    return OutboundRequest(
        progress.request.method,
        progress.request.target,
        (*headers, *added),
        progress.request.body,
        dialect.request_id,
        progress.request_id.encode("latin-1"),
    )


def is_not_run(dialect: HeaderNames, answer: Response) -> bool:
    """Return whether an upstream states that it did not run the request."""
    if answer.status == _MISDIRECTED:
        return True
    return find_header(answer.headers, dialect.not_run) is not None


def _take_answer(
    parts: ForwardingDependencies,
    progress: Progress,
    chosen: Chosen,
    answer: Response,
    took_s: float,
) -> Response | None:
    now_s = parts.clock()
    record = chosen.record
    load = read_load(find_header(answer.headers, parts.header_names.load))
    if load is not None:
        record.note_load(load.running, load.waiting, now_s)
    if is_not_run(parts.header_names, answer):
        progress.reason = RefusalReason.UPSTREAM_SHED
        parts.counters.count("shed", progress.service)
        if answer.status == _MISDIRECTED:
            parts.mark_down(record, "another upstream has its address")
        else:
            record.note_shed(now_s)
        return None
    progress.execution = Execution.RAN
    if answer.status >= _SERVER_ERROR:
        progress.answer = answer
        if record.note_failure(now_s):
            parts.log.warning("upstream_rests", upstream=record.registration.upstream)
        return None
    record.note_answer(took_s / max(chosen.expected_s, 0.001), now_s)
    _learn(parts, progress, chosen, took_s, now_s)
    parts.counters.count("answered", progress.service)
    return answer


def _learn(
    parts: ForwardingDependencies,
    progress: Progress,
    chosen: Chosen,
    took_s: float,
    now_s: float,
) -> None:
    distance = parts.location.distance_to(chosen.record.registration.zone)
    if progress.wanted.key is not None:
        chosen.record.note_warm(progress.wanted.key, now_s)
        if distance is not Distance.SAME_ZONE:
            parts.transfers.note(progress.service, progress.wanted.key)
    if (
        chosen.load <= chosen.record.registration.slots - 1
        and not chosen.record.is_cold(now_s)
    ):
        work_s = max(0.001, took_s - ROUND_TRIP_S[distance])
        was_warm = chosen.is_known_warm
        parts.service_times.learn(progress.service, progress.route, was_warm, work_s)


def _take_problem(
    parts: ForwardingDependencies,
    progress: Progress,
    record: UpstreamRecord,
    problem: NotSent | Lost,
) -> None:
    if isinstance(problem, NotSent):
        progress.connect_failures += 1
        progress.reason = RefusalReason.UPSTREAM_LOST
        parts.mark_down(record, problem.detail)
        return
    if parts.clock() >= progress.expires_at_s - MIN_SEND_S:
        progress.reason = RefusalReason.DEADLINE
    else:
        progress.reason = RefusalReason.UPSTREAM_LOST
    if not problem.was_kept and record.note_failure(parts.clock()):
        parts.log.warning("upstream_rests", upstream=record.registration.upstream)


def _log_attempt(
    parts: ForwardingDependencies,
    progress: Progress,
    chosen: Chosen,
    result: Result[Response, NotSent | Lost],
    took_s: float,
) -> None:
    if isinstance(result, Success):
        outcome = str(result.unwrap().status)
    else:
        problem = result.failure()
        outcome = f"{type(problem).__name__}: {problem.detail}"
    parts.log.info(
        "sent",
        request_id=progress.request_id,
        route=progress.route.route_id,
        configuration=progress.version,
        upstream=chosen.record.registration.upstream,
        zone=chosen.record.registration.zone,
        attempt=progress.sends,
        load=round(chosen.load, 2),
        load_age_ms=round(min(chosen.report_age_s, 999.0) * 1000),
        object=progress.wanted.key,
        warm=chosen.is_warm,
        known_warm=chosen.is_known_warm,
        leaves=progress.wanted.leaves,
        expected_ms=round(chosen.expected_s * 1000),
        outcome=outcome,
        took_ms=round(took_s * 1000),
    )


def _more(one: Execution, other: Execution) -> Execution:
    return max(one, other, key=_CERTAINTY.index)
