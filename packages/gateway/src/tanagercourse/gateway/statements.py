"""What an upstream's response says of the upstream itself, and what follows from it.

Only a complete response to a request of this instance is read here: bytes that belong
to no request, an earlier response that was sent again, and a response that is cut off
never get this far. A response with status 421 comes from another upstream at the same
address, and says nothing of the expected one.
"""

from collections.abc import Callable, Iterable

from tanagercourse.core.ids import RequestId, UpstreamId
from tanagercourse.gateway.counters import Counters
from tanagercourse.gateway.headers import HeaderNames, read_retry_after
from tanagercourse.gateway.logs import Log
from tanagercourse.gateway.messages import Response
from tanagercourse.routing.fleet import Fleet, UpstreamRecord

_MISDIRECTED = 421
_UNAVAILABLE = 503
_LEAVING = b"1"

# Called with an upstream, its response, and the request's id, empty if it has none.
RecordStatements = Callable[[UpstreamRecord, Response, RequestId], None]


def make_statement_recorder(
    names: HeaderNames,
    fleet: Fleet,
    on_leave: Callable[[UpstreamId], None],
    clock: Callable[[], float],
    counters: Counters,
    log: Log,
) -> RecordStatements:
    """Return a function that records what upstreams' responses say of them.

    Args:
        names: Names of the headers.
        fleet: The fleet in which statements are recorded.
        on_leave: Called with an upstream that says for the first time that it leaves.
        clock: A monotonic clock, in seconds.
        counters: Counts the statements.
        log: Logs each change of what is known of an upstream.
    """

    def record_statements(
        record: UpstreamRecord, response: Response, request_id: RequestId
    ) -> None:
        if response.status == _MISDIRECTED:
            return
        if says_leaving(names, response.headers) and not record.statements.is_leaving:
            registration = record.registration
            fleet.mark_leaving(record)
            log.info(
                "upstream_leaving",
                upstream=registration.upstream,
                request_id=request_id,
                detail="stated in a response",
            )
            counters.count("upstream_leaving", registration.service)
            on_leave(registration.upstream)
        pause_s = read_pause(response)
        if pause_s is not None and pause_s > 0.0:
            pause(record, pause_s, request_id)

    def pause(record: UpstreamRecord, pause_s: float, request_id: RequestId) -> None:
        registration = record.registration
        fleet.pause(record, clock() + pause_s)
        log.info(
            "upstream_paused",
            upstream=registration.upstream,
            request_id=request_id,
            detail=f"it wants no requests for {pause_s:g} s",
        )
        counters.count("upstream_paused", registration.service)

    return record_statements


def read_pause(response: Response) -> float | None:
    """Return for how long an upstream wants no requests, in seconds, None if it does.

    An upstream says so with Retry-After in a response with status 503, whether the
    request ran or not.
    """
    if response.status != _UNAVAILABLE:
        return None
    return read_retry_after(
        value for key, value in response.headers if key.lower() == b"retry-after"
    )


def says_leaving(names: HeaderNames, headers: Iterable[tuple[bytes, bytes]]) -> bool:
    """Return whether a response states that its upstream is leaving.

    The header may be repeated; if one of its values is not 1, it states nothing.
    """
    name = names.leaving.lower()
    values = [
        value.strip()
        for key, field in headers
        if key.lower() == name
        for value in field.split(b",")
    ]
    return bool(values) and all(value == _LEAVING for value in values)
