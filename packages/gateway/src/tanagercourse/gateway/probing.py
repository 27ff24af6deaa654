"""Find out when an upstream that could not be reached answers again."""

from collections.abc import Callable
from dataclasses import dataclass

import anyio
from anyio.abc import TaskGroup
from returns.result import Failure

from tanagercourse.core.ids import ServiceId, UpstreamId
from tanagercourse.gateway.connections import ConnectionPool, OutboundRequest
from tanagercourse.gateway.headers import HeaderNames, find_header, read_milliseconds
from tanagercourse.gateway.logs import Log
from tanagercourse.gateway.messages import Response
from tanagercourse.routing.fleet import Fleet, Reachability, UpstreamRecord

# Pause before the first probe and the longest one, in seconds; it doubles.
FIRST_PAUSE_S = 0.3
LONGEST_PAUSE_S = 1.5
# How long one probe may take, in seconds; an upstream answers it in turn.
PROBE_TIMEOUT_S = 2.0


@dataclass(frozen=True)
class ProbingDependencies:
    """What probes are made with.

    Attributes:
        header_names: Names of the headers.
        fleet: The upstreams; one that is gone is probed no more.
        pool: Opens connections.
        health_path: Returns the path of a service's health check.
        clock: A monotonic clock, in seconds.
        log: Takes a line for each change of belief.
        tasks: Runs one task for each upstream that is down.
    """

    header_names: HeaderNames
    fleet: Fleet
    pool: ConnectionPool
    health_path: Callable[[ServiceId], str]
    clock: Callable[[], float]
    log: Log
    tasks: TaskGroup


def make_down_handler(
    parts: ProbingDependencies,
) -> Callable[[UpstreamRecord, str], None]:
    """Return what takes an upstream for down and probes it until it answers."""

    def mark_down(record: UpstreamRecord, detail: str) -> None:
        if record.reachability is Reachability.DOWN:
            return
        record.reachability = Reachability.DOWN
        upstream = record.registration.upstream
        parts.log.warning("upstream_down", upstream=upstream, detail=detail)
        parts.tasks.start_soon(_probe_until_up, parts, record)

    return mark_down


async def _probe_until_up(parts: ProbingDependencies, record: UpstreamRecord) -> None:
    pause_s = FIRST_PAUSE_S
    upstream = record.registration.upstream
    await parts.pool.discard_idle(upstream)
    while parts.fleet.get(upstream) is record:
        await anyio.sleep(pause_s)
        pause_s = min(2 * pause_s, LONGEST_PAUSE_S)
        answer = await _probe(parts, record)
        if answer is not None and _is_healthy(parts, upstream, answer):
            cold = find_header(answer.headers, parts.header_names.cold_ms)
            cold_s = read_milliseconds(cold) or 0.0
            if cold_s > 0:
                record.note_cold(parts.clock() + cold_s)
            record.reachability = Reachability.UP
            parts.log.info("upstream_up", upstream=upstream, cold_s=cold_s)
            return


async def _probe(parts: ProbingDependencies, record: UpstreamRecord) -> Response | None:
    entry = record.registration
    taken = await parts.pool.acquire(entry.upstream, entry.host, entry.port, False)
    if isinstance(taken, Failure):
        return None
    channel = taken.unwrap()
    host = f"{entry.host}:{entry.port}".encode()
    path = parts.health_path(entry.service).encode()
    call = OutboundRequest(b"GET", path, ((b"Host", host),), b"")
    result = await channel.exchange_with_timeout(
        call, PROBE_TIMEOUT_S, "no answer in time"
    )
    if isinstance(result, Failure):
        return None
    await channel.close()
    return result.unwrap()


def _is_healthy(
    parts: ProbingDependencies, upstream: UpstreamId, answer: Response
) -> bool:
    if find_header(answer.headers, parts.header_names.not_run) is not None:
        # Too full to answer the check, hence alive.
        return True
    name = find_header(answer.headers, parts.header_names.upstream_id)
    return answer.status == 200 and name == upstream.encode()
