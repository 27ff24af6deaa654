"""Probe unreachable upstreams until they respond again."""

from collections.abc import Callable
from dataclasses import dataclass

import anyio
from anyio.abc import TaskGroup
from returns.result import Failure

from tanagercourse.core.ids import RequestId, ServiceId, UpstreamId
from tanagercourse.gateway.connection_pool import ConnectionPool, Reuse
from tanagercourse.gateway.connections import OutboundRequest
from tanagercourse.gateway.headers import HeaderNames, find_header, read_milliseconds
from tanagercourse.gateway.logs import Log
from tanagercourse.gateway.messages import Response
from tanagercourse.gateway.statements import RecordStatements
from tanagercourse.routing.fleet import Fleet, Reachability, UpstreamRecord

# Delay before the first probe, and the maximum delay, in seconds; the delay doubles
# after each probe.
INITIAL_PROBE_DELAY_S = 0.3
MAX_PROBE_DELAY_S = 1.5
# Timeout of one probe, in seconds. It includes the time for which the upstream queues
# the probe behind other requests.
PROBE_TIMEOUT_S = 2.0
# Health checks have no request id.
NO_REQUEST = RequestId("")


@dataclass(frozen=True)
class ProbingDependencies:
    """Dependencies of the probing tasks.

    Attributes:
        header_names: Names of the headers.
        fleet: All registered upstreams; a removed upstream is no longer probed.
        pool: Opens connections to upstreams.
        health_path: Returns the path of a service's health check.
        clock: A monotonic clock, in seconds.
        record_statements: Records what a response says of its upstream.
        log: Logs each change of reachability.
        tasks: Runs one probing task for each upstream that is down.
    """

    header_names: HeaderNames
    fleet: Fleet
    pool: ConnectionPool
    health_path: Callable[[ServiceId], str]
    clock: Callable[[], float]
    record_statements: RecordStatements
    log: Log
    tasks: TaskGroup


def make_down_handler(
    deps: ProbingDependencies,
) -> Callable[[UpstreamRecord, str], None]:
    """Return a function that marks an upstream as down and starts probing it."""

    def mark_down(record: UpstreamRecord, detail: str) -> None:
        if record.reachability is Reachability.DOWN:
            return
        record.reachability = Reachability.DOWN
        upstream = record.registration.upstream
        deps.log.warning("upstream_down", upstream=upstream, detail=detail)
        deps.tasks.start_soon(_probe_until_up, deps, record)

    return mark_down


async def _probe_until_up(deps: ProbingDependencies, record: UpstreamRecord) -> None:
    delay_s = INITIAL_PROBE_DELAY_S
    upstream = record.registration.upstream
    await deps.pool.discard_idle(upstream)
    while deps.fleet.get(upstream) is record and not record.statements.is_leaving:
        await anyio.sleep(delay_s)
        if not record.accepts_requests or record.is_paused(deps.clock()):
            # A probe serves nothing now, or the upstream wants none.
            continue
        delay_s = min(2 * delay_s, MAX_PROBE_DELAY_S)
        try:
            response = await _probe(deps, record)
            if response is not None and _record_health(deps, record, response):
                return
        except Exception as error:
            # An unexpected error fails one probe, not the process.
            deps.log.exception("probe_failed", upstream=upstream, error=repr(error))


def _record_health(
    deps: ProbingDependencies, record: UpstreamRecord, response: Response
) -> bool:
    """Record what a health response states; return whether the upstream is up."""
    upstream = record.registration.upstream
    if _is_from(deps, upstream, response):
        deps.record_statements(record, response, NO_REQUEST)
    if not record.accepts_requests or not _is_healthy(deps, upstream, response):
        return False
    cold_header = find_header(response.headers, deps.header_names.cold_ms)
    cold_s = read_milliseconds(cold_header) or 0.0
    if cold_s > 0:
        record.mark_cold(deps.clock() + cold_s)
    record.reachability = Reachability.UP
    deps.log.info("upstream_up", upstream=upstream, cold_s=cold_s)
    return True


async def _probe(deps: ProbingDependencies, record: UpstreamRecord) -> Response | None:
    registration = record.registration
    acquired = await deps.pool.acquire(
        registration.upstream, registration.host, registration.port, Reuse.NEVER
    )
    if isinstance(acquired, Failure):
        return None
    connection = acquired.unwrap()
    host = f"{registration.host}:{registration.port}".encode()
    path = deps.health_path(registration.service).encode()
    request = OutboundRequest(b"GET", path, ((b"Host", host),), b"")
    result = await connection.exchange_with_timeout(
        request, PROBE_TIMEOUT_S, "no response in time"
    )
    if isinstance(result, Failure):
        return None
    await connection.close()
    return result.unwrap()


def _is_healthy(
    deps: ProbingDependencies, upstream: UpstreamId, response: Response
) -> bool:
    if find_header(response.headers, deps.header_names.not_run) is not None:
        # The upstream is reachable, but has no free slot for the health check.
        return True
    return response.status == 200 and _is_from(deps, upstream, response)


def _is_from(
    deps: ProbingDependencies, upstream: UpstreamId, response: Response
) -> bool:
    reported_id = find_header(response.headers, deps.header_names.upstream_id)
    return reported_id == upstream.encode()
