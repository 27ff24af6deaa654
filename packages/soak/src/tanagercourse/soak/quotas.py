"""Check the limits of tenants from the requests that upstreams run.

In no window may more of a tenant's requests run than its rate and its burst allow, plus
the bounds that the platform grants. A request counts at the time at which it reached an
upstream, as an instance can't shorten an upstream's queue.
"""

from bisect import bisect_left, bisect_right, insort
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from math import inf
from typing import Any

from tanagercourse.core.ids import TenantId
from tanagercourse.soak.checks import Checks, Invariant
from tanagercourse.soak.tenants import APPLY_S

# The platform's bounds: length of the window in seconds, share of the limit, and number
# of requests by which the limit of a window may be exceeded.
WINDOW_S = 5.0
OVERSHOOT = 0.1
SLACK = 20.0
# Time for which arrivals are kept, in seconds. It exceeds the length of a window and
# the longest wait in an upstream's queue.
KEPT_S = 30.0
TOO_MANY_REQUESTS = 429


@dataclass(frozen=True)
class _Limit:
    """Requests that may run in a window, and the time from which that is written."""

    requests: float
    since_s: float


@dataclass
class QuotaChecks:
    """The limits of tenants, and when requests that ran reached an upstream.

    Attributes:
        checks: Counts the checks and their violations.
        clock: A monotonic clock, in seconds.
    """

    checks: Checks
    clock: Callable[[], float]
    _limits: dict[TenantId, list[_Limit]] = field(default_factory=dict)
    _arrived_at_s: dict[TenantId, list[float]] = field(default_factory=dict)

    def set_limits(self, tenants: Iterable[Mapping[str, Any]]) -> None:
        """Read the limits of the configuration's tenants, which is written now."""
        for tenant in tenants:
            rate_per_s, burst = tenant.get("rate_per_s"), tenant.get("burst")
            allowed = (rate_per_s or 0.0) * WINDOW_S + (burst or 0.0)
            requests = allowed * (1 + OVERSHOOT) + SLACK if rate_per_s else inf
            limits = self._limits.setdefault(TenantId(tenant["name"]), [])
            if not limits or limits[-1].requests != requests:
                limits.append(_Limit(requests, self.clock()))

    def check_run(self, tenant: TenantId, arrived_at_s: float) -> None:
        """Check the windows of a tenant's request that starts to run.

        Args:
            tenant: The tenant.
            arrived_at_s: Time at which the request reached the upstream, in seconds.
        """
        times_s = self._arrived_at_s.setdefault(tenant, [])
        insort(times_s, arrived_at_s)
        del times_s[: bisect_right(times_s, self.clock() - KEPT_S)]
        # Windows that end with this request or a later one that arrived before it ran.
        first = bisect_right(times_s, arrived_at_s) - 1
        for last in range(first, bisect_left(times_s, arrived_at_s + WINDOW_S)):
            ends_at_s = times_s[last]
            count = last + 1 - bisect_right(times_s, ends_at_s - WINDOW_S)
            requests = self._max_requests(tenant, ends_at_s)
            if requests < inf:
                detail = f"{tenant}: {count} of {requests:.0f} in {WINDOW_S} s"
                self.checks.check(Invariant.QUOTA_KEPT, count <= requests, detail)

    def check_response(
        self, request_id: str, tenant: TenantId | None, status: int
    ) -> None:
        """Check that only a tenant that has or had a limit is refused for its quota."""
        limits = [] if tenant is None else self._limits.get(tenant, [])
        has_limit = any(limit.requests < inf for limit in limits)
        if not has_limit:
            is_correct = status != TOO_MANY_REQUESTS
            detail = f"{request_id}: tenant {tenant}"
            self.checks.check(Invariant.UNLIMITED_NOT_REFUSED, is_correct, detail)

    def _max_requests(self, tenant: TenantId, ends_at_s: float) -> float:
        """Return the highest limit that may hold for a window that ends at a time.

        A lowered limit holds one window after it must be applied.
        """
        limits = self._limits.get(tenant, [])
        binding = [limit for limit in limits if limit.since_s <= ends_at_s]
        replaced_at_s = [limit.since_s for limit in binding[1:]] + [inf]
        return max(
            (
                limit.requests
                for limit, replaced_s in zip(binding, replaced_at_s, strict=True)
                if ends_at_s < replaced_s + APPLY_S + WINDOW_S
            ),
            default=inf,
        )
