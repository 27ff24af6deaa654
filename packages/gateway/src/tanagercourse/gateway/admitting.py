"""What a request needs before it is sent: a known route and key, and a token."""

from dataclasses import replace

from returns.result import Failure, Result, Success

from tanagercourse.core.states import Execution, RefusalReason
from tanagercourse.gateway.headers import find_header, read_api_key
from tanagercourse.gateway.messages import CallerRequest, Response
from tanagercourse.gateway.outcomes import deny, give_up
from tanagercourse.gateway.request_state import ForwardingDependencies, RequestState
from tanagercourse.routing.authorization import Authorized, Denied, authorize
from tanagercourse.routing.configuration import Configuration


def authorize_request(
    configuration: Configuration, request: CallerRequest
) -> Result[Authorized, Denied]:
    """Return the route and the tenant of a request, or why it is denied."""
    host = find_header(request.headers, b"host") or b""
    key = read_api_key(request.headers)
    return authorize(configuration, host, request.target, key)


def authorize_again(
    deps: ForwardingDependencies, state: RequestState
) -> Response | None:
    """Check a request that waited against a configuration that became active since.

    Returns:
        The refusal if the request's key was removed or its route is gone.
    """
    configuration = deps.configuration()
    if configuration is None or configuration.version == state.version:
        return None
    authorized = authorize_request(configuration, state.request)
    if isinstance(authorized, Failure):
        if state.execution is not Execution.NOT_RUN:
            return give_up(deps, state)
        reason = authorized.failure().reason
        return deny(deps, state.request_id, reason, configuration)
    allowed = authorized.unwrap()
    # The rest of the route holds for the request since its arrival.
    route = replace(state.route, home_regions=allowed.route.home_regions)
    state.authorized = Authorized(route, allowed.tenant)
    state.drops_credentials = configuration.tenants is not None
    state.version = configuration.version
    return None


async def ensure_token(deps: ForwardingDependencies, state: RequestState) -> bool:
    """Take a token for a request that has not run and whose tenant has a limit.

    Returns:
        Whether the request may be sent.
    """
    tenant, token = state.limited_tenant, state.token
    if tenant is None:
        return True
    if token is not None:
        if token.tenant == tenant.tenant_id and deps.quota.is_valid(token):
            return True
        deps.quota.give_back(token)
        state.token = None
    acquired = await deps.quota.acquire(tenant.tenant_id)
    if isinstance(acquired, Success):
        state.token = acquired.unwrap()
        return True
    retry_after_s = acquired.failure().retry_after_s
    state.reason = RefusalReason.QUOTA_EXCEEDED
    state.resumes_at_s = deps.clock() + retry_after_s
    deps.log.info(
        "quota_exceeded",
        request_id=state.request_id,
        tenant=tenant.tenant_id,
        configuration=state.version,
        retry_after_ms=round(retry_after_s * 1000),
    )
    return False
