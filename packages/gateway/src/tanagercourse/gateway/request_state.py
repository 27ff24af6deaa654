"""Dependencies of request forwarding, and the state of one request."""

from collections.abc import Callable
from dataclasses import dataclass, field

from tanagercourse.core.ids import (
    ConfigurationVersion,
    RequestId,
    ServiceId,
    TenantId,
    UpstreamId,
)
from tanagercourse.core.states import Execution, RefusalReason
from tanagercourse.gateway.connection_pool import ConnectionPool
from tanagercourse.gateway.counters import Counters
from tanagercourse.gateway.headers import HeaderNames
from tanagercourse.gateway.logs import Log
from tanagercourse.gateway.messages import CallerRequest, Response
from tanagercourse.gateway.request_scopes import RequestScopes
from tanagercourse.gateway.statements import RecordStatements
from tanagercourse.gateway.wait_queue import WaitQueue
from tanagercourse.quota.tokens import UNLIMITED, QuotaAccess, QuotaToken
from tanagercourse.routing.admission import Outlook
from tanagercourse.routing.authorization import Authorized
from tanagercourse.routing.choosing import Chooser, Requirements
from tanagercourse.routing.configuration import Configuration, Route
from tanagercourse.routing.fleet import UpstreamRecord
from tanagercourse.routing.observations import (
    ActiveObjects,
    CrossZoneTransfers,
    ServiceTimes,
)
from tanagercourse.routing.retry_budget import SlidingWindowRetryBudget
from tanagercourse.routing.spilling import SpillShares
from tanagercourse.routing.tenants import Tenant
from tanagercourse.routing.topology import Location
from tanagercourse.routing.traffic_split import TrafficSplitter
from tanagercourse.routing.views import ServiceViewCache

# Minimum time left before the deadline to send a request, in seconds.
MIN_SEND_S = 0.03


@dataclass(frozen=True)
class ForwardingDependencies:
    """Dependencies of the tasks that forward requests.

    Attributes:
        header_names: Names of the headers.
        configuration: Returns the active configuration, None before the first one.
        location: This instance's zone and the regions of all zones.
        views: Cached views of each service's upstreams.
        choose: Chooses the upstream for a request.
        service_times: Service times estimated from earlier responses.
        transfers: Cross-zone transfers of each object.
        active_objects: Objects that callers recently requested.
        spill_shares: Decides which requests spill to remote regions.
        retry_budget: Limits retries.
        traffic_splitter: Splits a route's requests among its services.
        pool: Connections to upstreams.
        wait_queue: Requests that wait for a free slot.
        counters: Counts outcomes.
        log: Logs each attempt and each outcome.
        clock: A monotonic clock, in seconds.
        mark_down: Marks an upstream as unreachable; called with the reason.
        record_statements: Records what a response says of its upstream.
        caller_elapsed_s: Returns the time since the caller's first attempt, by route,
            deadline and time of arrival; all in seconds.
        may_serve: Returns whether a request with a given deadline, on the monotonic
            clock in seconds, is served although this instance may be stopping.
        quota: Access to the tokens of tenants with a limit.
        scopes: The requests in progress.
    """

    header_names: HeaderNames
    configuration: Callable[[], Configuration | None]
    location: Location
    views: ServiceViewCache
    choose: Chooser
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
    record_statements: RecordStatements
    caller_elapsed_s: Callable[[Route, float, float], float]
    may_serve: Callable[[float], bool] = lambda expires_at_s: True
    quota: QuotaAccess = UNLIMITED
    scopes: RequestScopes = field(default_factory=RequestScopes)


@dataclass
class RequestState:
    """The state of one request while it is served.

    Times are on the monotonic clock, in seconds.

    Attributes:
        request: The caller's request.
        request_id: Id of the request.
        authorized: Route and tenant of the request.
        version: Version of the configuration that last allowed the request.
        drops_credentials: Whether the caller's key, and a tenant's name that the caller
            sent, are not passed on.
        service: Service that the request is sent to.
        requirements: Requirements on the upstream at the request's arrival.
        expires_at_s: Deadline of the request.
        on_time_until_s: Latest time to send the request such that its response is
            expected within the target latency.
        first_attempt_at_s: Time of the caller's first attempt; the time of arrival
            unless the request is a caller's retry.
        execution: Whether the request has run, over all attempts.
        failed_response: An upstream's response with a server error, passed on if no
            attempt succeeds.
        reason: Reason of a refusal, if the request ends with one.
        resumes_at_s: Time at which an upstream wants requests again, if all of them
            paused, or at which a token is likely, if the tenant's quota is exceeded.
        outlook: What the request could expect when it last found no free slot.
        retry_after_s: Time after which the caller of a rejected request is to return.
        has_waited: Whether the request waits or waited for the slot of its next send.
        sends: Number of times that the request was sent.
        connect_failures: Number of failed connection attempts.
        tried: Upstreams that the request was sent to.
        token: The tenant's token for the request; None if it has none.
    """

    request: CallerRequest
    request_id: RequestId
    authorized: Authorized
    version: ConfigurationVersion
    drops_credentials: bool
    service: ServiceId
    requirements: Requirements
    expires_at_s: float
    on_time_until_s: float
    first_attempt_at_s: float
    execution: Execution = Execution.NOT_RUN
    failed_response: Response | None = None
    reason: RefusalReason = RefusalReason.NO_UPSTREAM
    resumes_at_s: float | None = None
    outlook: Outlook | None = None
    retry_after_s: float | None = None
    has_waited: bool = False
    sends: int = 0
    connect_failures: int = 0
    tried: set[UpstreamId] = field(default_factory=set)
    token: QuotaToken | None = None

    @property
    def route(self) -> Route:
        """Route of the request."""
        return self.authorized.route

    @property
    def limited_tenant(self) -> Tenant | None:
        """Tenant whose token the request needs before it is sent, None without one."""
        tenant = self.authorized.tenant
        if tenant is None or not tenant.has_quota:
            return None
        return tenant if self.execution is Execution.NOT_RUN else None

    @property
    def is_caller_retry(self) -> bool:
        """Whether the caller's first attempt was refused before."""
        return self.first_attempt_at_s < self.request.arrived_at_s

    @property
    def tenant_id(self) -> TenantId | None:
        """Id of the request's tenant, None without one."""
        tenant = self.authorized.tenant
        return None if tenant is None else tenant.tenant_id


def log_outcome(
    deps: ForwardingDependencies,
    state: RequestState,
    event: str,
    status: int | None,
    elapsed_s: float,
) -> None:
    """Log the outcome of a request and the state that led to it.

    Args:
        deps: Dependencies of the forwarding task.
        state: State of the request.
        event: Event of the log line.
        status: Status of the response, None if there is none.
        elapsed_s: Time since the request's arrival, in seconds.
    """
    outlook = state.outlook or Outlook(0, None)
    deps.counters.count_for_tenant(event, state.tenant_id)
    deps.log.info(
        event,
        request_id=state.request_id,
        route=state.route.route_id,
        configuration=state.version,
        tenant=state.tenant_id,
        service=state.service,
        status=status,
        reason=state.reason.value if event == "refused" else None,
        execution=state.execution.value,
        sends=state.sends,
        came_back=state.is_caller_retry,
        waiting=deps.wait_queue.length(state.service),
        ahead=outlook.ahead,
        expected_wait_ms=_to_milliseconds(outlook.expected_wait_s),
        retry_after_ms=_to_milliseconds(state.retry_after_s),
        took_ms=round(elapsed_s * 1000),
    )


def _to_milliseconds(time_s: float | None) -> int | None:
    return None if time_s is None else round(time_s * 1000)
