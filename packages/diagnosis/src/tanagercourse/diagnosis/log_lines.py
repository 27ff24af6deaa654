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


_ATTEMPT_KEYS = {
    "ended_at_s": "at",
    "request": "request_id",
    "number": "attempt",
    "is_warm": "warm",
}


class Attempt(msgspec.Struct, frozen=True, rename=_ATTEMPT_KEYS):
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
    request: RequestId = RequestId("")
    route: RouteId = RouteId("")
    upstream: UpstreamId = UpstreamId("")
    zone: ZoneId = ZoneId("")
    number: int = 0
    load: float = 0.0
    load_age_ms: int = 0
    is_warm: bool = False
    expected_ms: int = 0
    outcome: str = ""
    took_ms: int = 0

    def is_success(self) -> bool:
        """Return whether the upstream responded with success."""
        return self.outcome.startswith("2")


_ENDING_KEYS = {"at_s": "at", "request": "request_id", "kind": "event"}


class Ending(msgspec.Struct, frozen=True, rename=_ENDING_KEYS):
    """The end of a request that got no successful response.

    Attributes:
        at_s: Time, in Unix seconds.
        instance: The instance that served the request.
        kind: How the request ended.
        request: Id of the request.
        route: Route of the request.
        service: Service of the request.
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
    kind: EndingKind
    request: RequestId = RequestId("")
    route: RouteId = RouteId("")
    service: ServiceId = ServiceId("")
    status: int | None = None
    reason: str | None = None
    execution: str = ""
    sends: int = 0
    came_back: bool = False
    waiting: int = 0
    took_ms: int = 0


class UpstreamChange(msgspec.Struct, frozen=True, rename={"at_s": "at"}):
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
    detail: str = ""


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
    """The keys of a log line that decide which record it is read into."""

    at: float
    instance: str
    event: str
    upstream: str = ""
    count: int = 0


def read_log(lines: Iterable[str]) -> FleetLog:
    """Read log lines; text before a line's JSON object is skipped.

    Lines of other events are skipped; lines without a readable object are counted.

    Args:
        lines: Lines of one or more instances, in any order.
    """
    log = FleetLog()
    for text in lines:
        if not text.strip():
            continue
        _, brace, rest = text.partition("{")
        try:
            _read_line(log, brace + rest)
        except msgspec.MsgspecError:
            log.unreadable_lines += 1
    return log


def _read_line(log: FleetLog, text: str) -> None:
    line = msgspec.json.decode(text, type=_Line)
    if line.event == _ATTEMPT_EVENT:
        log.attempts.append(msgspec.json.decode(text, type=Attempt))
    elif line.event in _ENDING_EVENTS:
        log.endings.append(msgspec.json.decode(text, type=Ending))
    elif line.event == _DROPPED_EVENT:
        log.dropped_lines += line.count
    elif line.upstream:
        log.upstream_changes.append(msgspec.json.decode(text, type=UpstreamChange))
