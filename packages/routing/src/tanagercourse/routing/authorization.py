"""Decide whether a request is allowed, and what its tenant changes about it."""

from dataclasses import dataclass

from returns.result import Failure, Result, Success

from tanagercourse.core.ids import ApiKey, RegionId
from tanagercourse.core.problems import Problem
from tanagercourse.core.states import RefusalReason
from tanagercourse.routing.configuration import Configuration, Route, find_route
from tanagercourse.routing.tenants import Tenant


@dataclass(frozen=True)
class Authorized:
    """A request that the configuration allows.

    Attributes:
        route: Route of the request.
        tenant: Tenant of the request's key; None without a key, or without tenants in
            the configuration.
    """

    route: Route
    tenant: Tenant | None

    @property
    def priority(self) -> int:
        """Rank of the request: the tenant's if it has one, otherwise the route's."""
        if self.tenant is None or self.tenant.priority is None:
            return self.route.priority
        return self.tenant.priority

    @property
    def allowed_regions(self) -> frozenset[RegionId] | None:
        """Regions that may serve the request, None for any.

        The home regions of the route and of the tenant both bind, so two sets without a
        common region leave none.
        """
        homes = [self.route.home_regions]
        if self.tenant is not None:
            homes.append(self.tenant.home_regions)
        binding = [regions for regions in homes if regions]
        return frozenset.intersection(*binding) if binding else None


@dataclass(frozen=True)
class Denied(Problem):
    """A request that the configuration doesn't allow.

    Attributes:
        reason: Whether the route or the key is unknown.
    """

    reason: RefusalReason


def authorize(
    configuration: Configuration, host: bytes, target: bytes, key: ApiKey | None
) -> Result[Authorized, Denied]:
    """Return the route and the tenant of a request, or why it is denied.

    Args:
        configuration: The active configuration.
        host: The request's host, with or without a port.
        target: The request's target; its query is ignored.
        key: The request's API key, None without a well-formed one.
    """
    route = find_route(configuration, host, target)
    if route is None:
        return Failure(Denied(RefusalReason.UNKNOWN_SERVICE))
    if configuration.tenants is None:
        return Success(Authorized(route, None))
    tenant = None if key is None else configuration.tenants.find(key)
    if tenant is None and not route.is_public:
        return Failure(Denied(RefusalReason.UNAUTHORIZED))
    return Success(Authorized(route, tenant))
