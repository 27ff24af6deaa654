"""Serve one request: choose an upstream, send it, and send again where that is safe.

The caller's task runs this from top to bottom. When the caller leaves, the task is
cancelled, and the upstream's connection is closed with it.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

import anyio
from returns.result import Failure, Result, Success

from tanagercourse.core.ids import (
    ConfigurationVersion,
    RequestId,
    ServiceId,
    UpstreamId,
)
from tanagercourse.core.states import Execution, Idempotency, RefusalReason
from tanagercourse.gateway.channels import Call, ChannelPool
from tanagercourse.gateway.counters import Counters
from tanagercourse.gateway.dialect import (
    Dialect,
    find_header,
    read_affinity,
    read_load,
    read_milliseconds,
)
from tanagercourse.gateway.logs import Log
from tanagercourse.gateway.messages import (
    Answer,
    CallerRequest,
    Lost,
    NotSent,
    drop_connection_headers,
)
from tanagercourse.gateway.refusing import refuse
from tanagercourse.gateway.waiting import Line, Turn
from tanagercourse.routing.choosing import (
    ROUND_TRIP_S,
    Choose,
    Chosen,
    Crossings,
    Full,
    UsualWork,
    Wanted,
    view_region,
)
from tanagercourse.routing.configuration import Configuration, Route, find_route
from tanagercourse.routing.fleet import Fleet, UpstreamRecord
from tanagercourse.routing.places import Distance, Place
from tanagercourse.routing.repeats import RepeatBudget
from tanagercourse.routing.spilling import SpillShares
from tanagercourse.routing.splits import SplitCounter

# How long a caller waits that names no deadline, in seconds.
DEFAULT_DEADLINE_S = 10.0
# Nothing is sent with less time than this, in seconds.
MIN_SEND_S = 0.03
# Taken off the time handed to an upstream, so that its verdict comes back in time.
VERDICT_MARGIN_S = 0.02
# Share of the time left that a request without hope for its objective may wait.
LATE_WAIT_SHARE = 0.3
# Connections that may fail before a request is given up.
MAX_CONNECT_FAILURES = 3

_SERVER_ERROR = 500
_MISDIRECTED = 421


@dataclass(frozen=True)
class ForwardingParts:
    """What requests are served with.

    Attributes:
        dialect: Names of the headers.
        configuration: Returns the version in force, None before there is one.
        place: Where this instance stands.
        fleet: The upstreams.
        choose: Chooses upstreams.
        work: How long upstreams usually work.
        crossings: How often objects were carried to another zone.
        spill: Decides which requests leave the region.
        budget: Bounds repeats.
        splits: Shares routes among services.
        pool: Connections to upstreams.
        line: Requests that wait.
        counters: Counts outcomes.
        log: Takes a line a decision.
        clock: A monotonic clock, in seconds.
        upstream_down: Told of an upstream that can't be reached.
        came_back: Tells by a route's deadline whether a caller came back.
    """

    dialect: Dialect
    configuration: Callable[[], Configuration | None]
    place: Place
    fleet: Fleet
    choose: Choose
    work: UsualWork
    crossings: Crossings
    spill: SpillShares
    budget: RepeatBudget
    splits: SplitCounter
    pool: ChannelPool
    line: Line
    counters: Counters
    log: Log
    clock: Callable[[], float]
    upstream_down: Callable[[UpstreamRecord, str], None]
    came_back: Callable[[Route, float], bool]


@dataclass
class _Progress:
    """One request while it is served.

    Attributes:
        execution: What is known of its run, over all attempts.
        answer: An upstream's failure, passed on if nothing better comes.
    """

    request: CallerRequest
    request_id: RequestId
    route: Route
    version: ConfigurationVersion
    service: ServiceId
    wanted: Wanted
    expires_at_s: float
    on_time_until_s: float
    came_back: bool
    execution: Execution = Execution.NOT_RUN
    answer: Answer | None = None
    reason: RefusalReason = RefusalReason.NO_UPSTREAM
    sends: int = 0
    connect_failures: int = 0
    tried: set[UpstreamId] = field(default_factory=set)


async def forward(parts: ForwardingParts, request: CallerRequest) -> Answer:
    """Return the answer to a caller's request, whatever happens to it.

    Args:
        parts: What requests are served with.
        request: The request, read whole.
    """
    configuration = parts.configuration()
    raw_id = find_header(request.headers, parts.dialect.request_id) or b""
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
        _log_end(parts, progress, "caller_left", None, took_s)
        raise
    took_s = parts.clock() - request.arrived_at_s
    parts.counters.observe("request", route.route_id, took_s)
    return answer


def _end_early(
    parts: ForwardingParts, request_id: RequestId, reason: RefusalReason
) -> Answer:
    parts.counters.count("refused", reason.value)
    if reason is RefusalReason.NO_SETTINGS:
        parts.log.warning("refused", request_id=request_id, reason=reason.value)
    return refuse(reason, Execution.NOT_RUN)


def _begin(
    parts: ForwardingParts,
    request: CallerRequest,
    request_id: RequestId,
    route: Route,
    version: ConfigurationVersion,
) -> _Progress:
    now_s = parts.clock()
    deadline = read_milliseconds(
        find_header(request.headers, parts.dialect.deadline_ms)
    )
    deadline_s = DEFAULT_DEADLINE_S if deadline is None else deadline
    service = parts.splits.next_service(route)
    parts.budget.count_request(service, now_s)
    view = view_region(parts.place, parts.fleet, service, now_s)
    leaves = parts.spill.note_arrival(service, view, now_s)
    key = None
    if route.is_sticky:
        key = read_affinity(request.headers, parts.dialect.affinity_cookie)
    wanted = Wanted(route, service, key, frozenset(), False, leaves)
    usual_s = parts.work.expect_s(service, route, True)
    return _Progress(
        request=request,
        request_id=request_id,
        route=route,
        version=version,
        service=service,
        wanted=wanted,
        expires_at_s=request.arrived_at_s + min(deadline_s, route.timeout_s),
        on_time_until_s=request.arrived_at_s + max(0.0, route.objective_s - usual_s),
        came_back=parts.came_back(route, deadline_s),
    )


async def _try_upstreams(parts: ForwardingParts, progress: _Progress) -> Answer:
    while True:
        now_s = parts.clock()
        if progress.expires_at_s - now_s < MIN_SEND_S:
            progress.reason = RefusalReason.DEADLINE
            return _give_up(parts, progress)
        choice = _choose(parts, progress, now_s)
        if isinstance(choice, Chosen):
            if not _may_send(parts, progress, now_s):
                return _give_up(parts, progress)
            answer = await _attempt(parts, progress, choice)
            if answer is not None:
                return answer
            if not _may_try_again(progress):
                return _give_up(parts, progress)
        elif isinstance(choice, Full) and _may_wait(progress, now_s):
            most_s = _waits_until_s(progress) - now_s
            await parts.line.wait(progress.service, _turn(progress, now_s), most_s)
        else:
            is_full = isinstance(choice, Full)
            if progress.sends == 0:
                progress.reason = (
                    RefusalReason.OVERLOADED if is_full else RefusalReason.NO_UPSTREAM
                )
            return _give_up(parts, progress)


def _choose(
    parts: ForwardingParts, progress: _Progress, now_s: float
) -> Chosen | Full | object:
    turn = _turn(progress, now_s)
    if parts.line.is_behind(progress.service, turn):
        return Full(0)
    wanted = Wanted(
        progress.route,
        progress.service,
        progress.wanted.key,
        frozenset(progress.tried),
        turn.is_late,
        progress.wanted.leaves,
    )
    return parts.choose(wanted, now_s)


def _turn(progress: _Progress, now_s: float) -> Turn:
    is_late = progress.came_back or now_s > progress.on_time_until_s
    arrived_at_s = progress.request.arrived_at_s
    return Turn(is_late, progress.route.priority, arrived_at_s)


def _waits_until_s(progress: _Progress) -> float:
    """Return until when a request may wait for room, in seconds.

    A first visit ends while a return may still find room elsewhere or later; a second
    one waits as long as there is hope to be served at all.
    """
    if not progress.came_back and progress.execution is Execution.NOT_RUN:
        return progress.on_time_until_s
    arrived_at_s = progress.request.arrived_at_s
    length_s = progress.expires_at_s - arrived_at_s
    return arrived_at_s + LATE_WAIT_SHARE * length_s


def _may_wait(progress: _Progress, now_s: float) -> bool:
    return now_s < _waits_until_s(progress)


def _may_send(parts: ForwardingParts, progress: _Progress, now_s: float) -> bool:
    """Return whether one more send is allowed; the first one always is."""
    if progress.sends == 0:
        return True
    if parts.budget.try_repeat(progress.service, now_s):
        return True
    parts.log.info(
        "repeat_denied", request_id=progress.request_id, service=progress.service
    )
    parts.counters.count("repeat_denied", progress.service)
    return False


def _may_try_again(progress: _Progress) -> bool:
    if progress.connect_failures >= MAX_CONNECT_FAILURES:
        return False
    if progress.sends >= progress.route.max_upstreams:
        return False
    is_idempotent = progress.route.idempotency is Idempotency.IDEMPOTENT
    return is_idempotent or progress.execution is Execution.NOT_RUN


def _give_up(parts: ForwardingParts, progress: _Progress) -> Answer:
    took_s = parts.clock() - progress.request.arrived_at_s
    if progress.answer is not None:
        _log_end(parts, progress, "answered", progress.answer.status, took_s)
        return progress.answer
    answer = refuse(progress.reason, progress.execution)
    parts.counters.count("refused", progress.reason.value)
    _log_end(parts, progress, "refused", answer.status, took_s)
    return answer


def _log_end(
    parts: ForwardingParts,
    progress: _Progress,
    event: str,
    status: int | None,
    took_s: float,
) -> None:
    parts.log.info(
        event,
        request_id=progress.request_id,
        route=progress.route.route_id,
        configuration=progress.version,
        service=progress.service,
        status=status,
        reason=progress.reason.value if event == "refused" else None,
        execution=progress.execution.value,
        sends=progress.sends,
        came_back=progress.came_back,
        waiting=parts.line.length(progress.service),
        took_ms=round(took_s * 1000),
    )


async def _attempt(
    parts: ForwardingParts, progress: _Progress, chosen: Chosen
) -> Answer | None:
    """Send a request once; return the answer to pass on, None to go on trying."""
    record = chosen.record
    is_far = parts.place.distance_to(record.entry.zone) is Distance.OTHER_REGION
    if is_far and not progress.wanted.leaves:
        parts.spill.note_overflow()
    record.in_flight += 1
    try:
        sent_at_s = parts.clock()
        result = await _send(parts, progress, record)
        took_s = parts.clock() - sent_at_s
    finally:
        record.in_flight -= 1
        parts.line.wake(progress.service)
    _log_attempt(parts, progress, chosen, result, took_s)
    if isinstance(result, Success):
        return _take_answer(parts, progress, chosen, result.unwrap(), took_s)
    _take_problem(parts, progress, record, result.failure())
    return None


async def _send(
    parts: ForwardingParts, progress: _Progress, record: UpstreamRecord
) -> Result[Answer, NotSent | Lost]:
    entry = record.entry
    may_be_kept = progress.route.idempotency is Idempotency.IDEMPOTENT
    taken = await parts.pool.take(entry.upstream, entry.host, entry.port, may_be_kept)
    if isinstance(taken, Failure):
        return taken
    channel = taken.unwrap()
    progress.sends += 1
    progress.tried.add(entry.upstream)
    before = progress.execution
    progress.execution = _more(before, Execution.MAY_HAVE_RUN)
    result: Result[Answer, Lost] = Failure(Lost("the time ran out"))
    is_over = False
    try:
        with anyio.move_on_after(progress.expires_at_s - parts.clock()):
            result = await channel.exchange(_encode_call(parts, progress, record))
        is_over = isinstance(result, Success)
    finally:
        if not is_over:
            with anyio.CancelScope(shield=True):
                await channel.close()
    if isinstance(result, Success) and is_not_run(parts.dialect, result.unwrap()):
        progress.execution = before
    if is_over:
        await parts.pool.give_back(entry.upstream, channel)
    return result


def _encode_call(
    parts: ForwardingParts, progress: _Progress, record: UpstreamRecord
) -> Call:
    dialect = parts.dialect
    left_s = progress.expires_at_s - parts.clock() - VERDICT_MARGIN_S
    headers = drop_connection_headers(
        progress.request.headers,
        dialect.deadline_ms.lower(),
        dialect.expected_upstream.lower(),
    )
    added = (
        (dialect.deadline_ms, str(max(1, int(left_s * 1000))).encode()),
        (dialect.expected_upstream, record.entry.upstream.encode()),
    )
    return Call(
        progress.request.method,
        progress.request.target,
        (*headers, *added),
        progress.request.body,
        dialect.request_id,
        progress.request_id.encode("latin-1"),
    )


def is_not_run(dialect: Dialect, answer: Answer) -> bool:
    """Return whether an upstream states that it did not run the request."""
    if answer.status == _MISDIRECTED:
        return True
    return find_header(answer.headers, dialect.not_run) is not None


def _take_answer(
    parts: ForwardingParts,
    progress: _Progress,
    chosen: Chosen,
    answer: Answer,
    took_s: float,
) -> Answer | None:
    now_s = parts.clock()
    record = chosen.record
    load = read_load(find_header(answer.headers, parts.dialect.load))
    if load is not None:
        record.note_load(load.running, load.waiting, now_s)
    if is_not_run(parts.dialect, answer):
        progress.reason = RefusalReason.UPSTREAM_SHED
        parts.counters.count("shed", progress.service)
        if answer.status == _MISDIRECTED:
            parts.upstream_down(record, "another upstream has its address")
        else:
            record.note_shed(now_s)
        return None
    progress.execution = Execution.RAN
    if answer.status >= _SERVER_ERROR:
        progress.answer = answer
        if record.note_failure(now_s):
            parts.log.warning("upstream_rests", upstream=record.entry.upstream)
        return None
    record.note_answer(took_s / max(chosen.expected_s, 0.001), now_s)
    _learn(parts, progress, chosen, took_s, now_s)
    parts.counters.count("answered", progress.service)
    return answer


def _learn(
    parts: ForwardingParts,
    progress: _Progress,
    chosen: Chosen,
    took_s: float,
    now_s: float,
) -> None:
    distance = parts.place.distance_to(chosen.record.entry.zone)
    if progress.wanted.key is not None:
        chosen.record.note_warm(progress.wanted.key, now_s)
        if distance is not Distance.SAME_ZONE:
            parts.crossings.note(progress.service, progress.wanted.key)
    if chosen.load <= chosen.record.entry.slots - 1 and not chosen.record.is_cold(
        now_s
    ):
        work_s = max(0.001, took_s - ROUND_TRIP_S[distance])
        was_warm = chosen.is_known_warm
        parts.work.learn(progress.service, progress.route, was_warm, work_s)


def _take_problem(
    parts: ForwardingParts,
    progress: _Progress,
    record: UpstreamRecord,
    problem: NotSent | Lost,
) -> None:
    if isinstance(problem, NotSent):
        progress.connect_failures += 1
        progress.reason = RefusalReason.UPSTREAM_LOST
        parts.upstream_down(record, problem.detail)
        return
    if parts.clock() >= progress.expires_at_s - MIN_SEND_S:
        progress.reason = RefusalReason.DEADLINE
    else:
        progress.reason = RefusalReason.UPSTREAM_LOST
    if not problem.was_kept and record.note_failure(parts.clock()):
        parts.log.warning("upstream_rests", upstream=record.entry.upstream)


def _log_attempt(
    parts: ForwardingParts,
    progress: _Progress,
    chosen: Chosen,
    result: Result[Answer, NotSent | Lost],
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
        upstream=chosen.record.entry.upstream,
        zone=chosen.record.entry.zone,
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


_CERTAINTY = (Execution.NOT_RUN, Execution.MAY_HAVE_RUN, Execution.RAN)


def _more(one: Execution, other: Execution) -> Execution:
    return max(one, other, key=_CERTAINTY.index)
