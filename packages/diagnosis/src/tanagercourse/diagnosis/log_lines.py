"""Read the log lines of instances into typed records."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum, unique

import msgspec

from tanagercourse.core.ids import (
    InstanceId,
    RequestId,
    RouteId,
    ServiceId,
    UpstreamId,
    ZoneId,
)

_ATTEMPT_EVENT = "sent"
_DROPPED_EVENT = "log_lines_dropped"


@unique
class EndingKind(Enum):
    """How a request without a successful response ended.

    ANSWERED means that an upstream's failure was passed on. The values are the log
    events.
    """

    REFUSED = "refused"
    ANSWERED = "answered"
    CALLER_LEFT = "caller_left"


_ENDING_EVENTS = frozenset(kind.value for kind in EndingKind)


@dataclass(frozen=True)
class Attempt:
    """One attempt to serve a request at an upstream.

    Attributes:
        ended_at_s: End of the attempt, in Unix seconds.
        instance: The instance that made the attempt.
        request: Id of the request.
        route: Route of the request.
        upstream: The upstream.
        zone: Zone of the upstream.
        number: Number of times that the request had been sent, including this one.
        load: Estimated number of requests at the upstream at the choice.
        load_age_ms: Age of the load report behind that estimate, in milliseconds.
        is_warm: Whether the upstream was assumed to be warm for the object.
        expected_ms: Expected time until the response, in milliseconds.
        outcome: Status of the response, or what happened instead of a response.
        took_ms: Duration, in milliseconds.
    """

    ended_at_s: float
    instance: InstanceId
    request: RequestId
    route: RouteId
    upstream: UpstreamId
    zone: ZoneId
    number: int
    load: float
    load_age_ms: int
    is_warm: bool
    expected_ms: int
    outcome: str
    took_ms: int

    def is_success(self) -> bool:
        """Return whether the upstream responded with success."""
        return self.outcome.startswith("2")


@dataclass(frozen=True)
class Ending:
    """The end of a request that got no successful response.

    Attributes:
        at_s: Time, in Unix seconds.
        instance: The instance that served the request.
        request: Id of the request.
        route: Route of the request.
        service: Service of the request.
        kind: How the request ended.
        status: Status of the response, None if there was none.
        reason: Reason of a refusal, None if the request was not refused.
        execution: What is known of whether the request ran.
        sends: Number of times that the request was sent.
        came_back: Whether the request was a caller's retry.
        waiting: Requests of the service that were waiting at the instance.
        took_ms: Time since the request's arrival, in milliseconds.
    """

    at_s: float
    instance: InstanceId
    request: RequestId
    route: RouteId
    service: ServiceId
    kind: EndingKind
    status: int | None
    reason: str | None
    execution: str
    sends: int
    came_back: bool
    waiting: int
    took_ms: int


@dataclass(frozen=True)
class UpstreamChange:
    """A change of what an instance believes of an upstream.

    Attributes:
        at_s: Time, in Unix seconds.
        instance: The instance.
        upstream: The upstream.
        event: The log event, such as `upstream_down`.
        detail: Reason of the change; empty if the line states none.
    """

    at_s: float
    instance: InstanceId
    upstream: UpstreamId
    event: str
    detail: str


@dataclass
class FleetLog:
    """The records of the instances' log lines, in the order in which they were read.

    Attributes:
        attempts: Attempts at upstreams.
        endings: Ends of requests without a successful response.
        upstream_changes: Changes of upstreams.
        dropped_lines: Lines that the instances dropped because of their log limits.
        unreadable_lines: Lines that are no log lines of an instance.
    """

    attempts: list[Attempt] = field(default_factory=list)
    endings: list[Ending] = field(default_factory=list)
    upstream_changes: list[UpstreamChange] = field(default_factory=list)
    dropped_lines: int = 0
    unreadable_lines: int = 0


class _Line(msgspec.Struct):
    """A log line with the keys of all events that are read."""

    at: float
    instance: str
    event: str
    request_id: str = ""
    route: str = ""
    service: str = ""
    upstream: str = ""
    zone: str = ""
    attempt: int = 0
    load: float = 0.0
    load_age_ms: int = 0
    warm: bool = False
    expected_ms: int = 0
    outcome: str = ""
    took_ms: int = 0
    status: int | None = None
    reason: str | None = None
    execution: str = ""
    sends: int = 0
    came_back: bool = False
    waiting: int = 0
    detail: str = ""
    count: int = 0


def read_log(lines: Iterable[str]) -> FleetLog:
    """Read log lines; text before a line's JSON object is skipped.

    Lines of other events are skipped; lines without a readable object are counted.

    Args:
        lines: Lines of one or more instances, in any order.
    """
    decoder = msgspec.json.Decoder(_Line)
    log = FleetLog()
    for text in lines:
        if not text.strip():
            continue
        _, brace, rest = text.partition("{")
        try:
            line = decoder.decode(brace + rest)
        except msgspec.MsgspecError:
            log.unreadable_lines += 1
            continue
        _add_line(log, line)
    return log


def _add_line(log: FleetLog, line: _Line) -> None:
    if line.event == _ATTEMPT_EVENT:
        log.attempts.append(_make_attempt(line))
    elif line.event in _ENDING_EVENTS:
        log.endings.append(_make_ending(line))
    elif line.event == _DROPPED_EVENT:
        log.dropped_lines += line.count
    elif line.upstream:
        log.upstream_changes.append(
            UpstreamChange(
                line.at,
                InstanceId(line.instance),
                UpstreamId(line.upstream),
                line.event,
                line.detail,
            )
        )


def _make_attempt(line: _Line) -> Attempt:
    return Attempt(
        ended_at_s=line.at,
        instance=InstanceId(line.instance),
        request=RequestId(line.request_id),
        route=RouteId(line.route),
        upstream=UpstreamId(line.upstream),
        zone=ZoneId(line.zone),
        number=line.attempt,
        load=line.load,
        load_age_ms=line.load_age_ms,
        is_warm=line.warm,
        expected_ms=line.expected_ms,
        outcome=line.outcome,
        took_ms=line.took_ms,
    )


def _make_ending(line: _Line) -> Ending:
    return Ending(
        at_s=line.at,
        instance=InstanceId(line.instance),
        request=RequestId(line.request_id),
        route=RouteId(line.route),
        service=ServiceId(line.service),
        kind=EndingKind(line.event),
        status=line.status,
        reason=line.reason,
        execution=line.execution,
        sends=line.sends,
        came_back=line.came_back,
        waiting=line.waiting,
        took_ms=line.took_ms,
    )
