"""What requests are served with, and how far one of them has got."""

from collections.abc import Callable
from dataclasses import dataclass, field

from tanagercourse.core.ids import (
    ConfigurationVersion,
    RequestId,
    ServiceId,
    UpstreamId,
)
from tanagercourse.core.states import Execution, RefusalReason
from tanagercourse.gateway.connections import ConnectionPool
from tanagercourse.gateway.counters import Counters
from tanagercourse.gateway.headers import HeaderNames
from tanagercourse.gateway.logs import Log
from tanagercourse.gateway.messages import CallerRequest, Response
from tanagercourse.gateway.wait_queue import WaitQueue
from tanagercourse.routing.choosing import Choose, Wanted
from tanagercourse.routing.configuration import Configuration, Route
from tanagercourse.routing.fleet import UpstreamRecord
from tanagercourse.routing.observations import (
    ActiveObjects,
    CrossZoneTransfers,
    ServiceTimes,
)
from tanagercourse.routing.retry_budget import SlidingWindowRetryBudget
from tanagercourse.routing.spilling import SpillShares
from tanagercourse.routing.topology import Location
from tanagercourse.routing.traffic_split import TrafficSplitter
from tanagercourse.routing.views import ServiceViewCache

# Nothing is sent with less time than this, in seconds.
MIN_SEND_S = 0.03


@dataclass(frozen=True)
class ForwardingDependencies:
    """What requests are served with.

    Attributes:
        header_names: Names of the headers.
        configuration: Returns the version in force, None before there is one.
        location: Where this instance stands.
        views: The upstreams as seen from there.
        choose: Chooses upstreams.
        service_times: How long upstreams usually work.
        transfers: How often objects were carried to another zone.
        active_objects: How many objects callers ask for.
        spill_shares: Decides which requests leave the region.
        retry_budget: Bounds repeats.
        traffic_splitter: Shares routes among services.
        pool: Connections to upstreams.
        wait_queue: Requests that wait.
        counters: Counts outcomes.
        log: Takes a line a decision.
        clock: A monotonic clock, in seconds.
        mark_down: Told of an upstream that can't be reached.
        is_caller_retry: Tells by a route's deadline whether a caller came back.
    """

    header_names: HeaderNames
    configuration: Callable[[], Configuration | None]
    location: Location
    views: ServiceViewCache
    choose: Choose
    service_times: ServiceTimes
    transfers: CrossZoneTransfers
    active_objects: ActiveObjects
    spill_shares: SpillShares
    retry_budget: SlidingWindowRetryBudget
    traffic_splitter: TrafficSplitter
    pool: ConnectionPool
    wait_queue: WaitQueue
    counters: Counters
    log: Log
    clock: Callable[[], float]
    mark_down: Callable[[UpstreamRecord, str], None]
    is_caller_retry: Callable[[Route, float], bool]


@dataclass
class Progress:
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
    is_caller_retry: bool
    execution: Execution = Execution.NOT_RUN
    answer: Response | None = None
    reason: RefusalReason = RefusalReason.NO_UPSTREAM
    sends: int = 0
    connect_failures: int = 0
    tried: set[UpstreamId] = field(default_factory=set)


def log_end(
    parts: ForwardingDependencies,
    progress: Progress,
    event: str,
    status: int | None,
    took_s: float,
) -> None:
    """Log how a request ended, with what decided it."""
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
        is_caller_retry=progress.is_caller_retry,
        waiting=parts.wait_queue.length(progress.service),
        took_ms=round(took_s * 1000),
    )
