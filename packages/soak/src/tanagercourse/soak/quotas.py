"""Check the limits of tenants from the requests that upstreams run.

In no window may more of a tenant's requests run than its rate and its burst allow, plus
the bounds that the platform grants.
"""

from collections import deque
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


@dataclass(frozen=True)
class _Limit:
    """Requests that may run in a window, and the time from which that is written."""

    requests: float
    since_s: float


@dataclass
class QuotaChecks:
    """The limits of tenants, and the requests that ran in the last window.

    Attributes:
        checks: Counts the checks and their violations.
        clock: A monotonic clock, in seconds.
    """

    checks: Checks
    clock: Callable[[], float]
    _limits: dict[TenantId, list[_Limit]] = field(default_factory=dict)
    _runs_at_s: dict[TenantId, deque[float]] = field(default_factory=dict)

    def set_limits(self, tenants: Iterable[Mapping[str, Any]]) -> None:
        """Read the limits of the configuration's tenants, which is written now."""
        for tenant in tenants:
            rate_per_s, burst = tenant.get("rate_per_s"), tenant.get("burst")
            allowed = (rate_per_s or 0.0) * WINDOW_S + (burst or 0.0)
            requests = allowed * (1 + OVERSHOOT) + SLACK if rate_per_s else inf
            limits = self._limits.setdefault(TenantId(tenant["name"]), [])
            if not limits or limits[-1].requests != requests:
                limits.append(_Limit(requests, self.clock()))

    def check_run(self, tenant: TenantId) -> None:
        """Check the limit of a tenant as one of its requests starts to run."""
        now_s = self.clock()
        runs_at_s = self._runs_at_s.setdefault(tenant, deque())
        runs_at_s.append(now_s)
        while runs_at_s[0] <= now_s - WINDOW_S:
            runs_at_s.popleft()
        requests = self._max_requests(tenant, now_s)
        if requests < inf:
            detail = f"{tenant}: {len(runs_at_s)} of {requests:.0f} in {WINDOW_S} s"
            is_kept = len(runs_at_s) <= requests
            self.checks.check(Invariant.QUOTA_KEPT, is_kept, detail)

    def _max_requests(self, tenant: TenantId, now_s: float) -> float:
        """Return the highest limit that may hold for the window that ends now.

        A lowered limit holds one window after it must be applied.
        """
        limits = self._limits.get(tenant, [])
        binding = [limit for limit in limits if limit.since_s <= now_s]
        replaced_at_s = [limit.since_s for limit in binding[1:]] + [inf]
        return max(
            (
                limit.requests
                for limit, ends_at_s in zip(binding, replaced_at_s, strict=True)
                if now_s < ends_at_s + APPLY_S + WINDOW_S
            ),
            default=inf,
        )
