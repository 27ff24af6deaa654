"""An instance's own share of each limit, for deployments without granters."""

from collections.abc import Mapping
from dataclasses import dataclass

from tanagercourse.core.ids import TenantId
from tanagercourse.quota.limits import (
    SEND_MARGIN_S,
    QuotaBounds,
    QuotaLimit,
    bucket_size,
)
from tanagercourse.quota.tokens import QuotaToken


@dataclass
class _Bucket:
    level: float
    advanced_at_s: float


class LocalShare:
    """Token buckets with an equal share of every limit."""

    def __init__(self, bounds: QuotaBounds) -> None:
        """Start without tenants.

        Args:
            bounds: Bounds on the requests that may run in a window.
        """
        self._bounds = bounds
        self._limits: Mapping[TenantId, QuotaLimit] = {}
        self._buckets: dict[TenantId, _Bucket] = {}

    def configure(self, limits: Mapping[TenantId, QuotaLimit], now_s: float) -> None:
        """Apply the limits of a configuration; a new tenant's bucket is empty."""
        for tenant in self._buckets.keys() - limits.keys():
            del self._buckets[tenant]
        for tenant in limits.keys() - self._buckets.keys():
            self._buckets[tenant] = _Bucket(0.0, now_s)
        self._limits = limits

    def take(
        self, tenant: TenantId, instance_count: int, now_s: float
    ) -> QuotaToken | None:
        """Take a token of the share of one of several instances.

        A share of less than one token holds one all the same, since it would otherwise
        never serve a request; many instances may then exceed a small limit together.
        """
        size = bucket_size(self._limits[tenant], self._bounds, instance_count)
        bucket = self._buckets[tenant]
        added = size.rate_per_s * (now_s - bucket.advanced_at_s)
        bucket.level = min(max(1.0, size.capacity), bucket.level + added)
        bucket.advanced_at_s = now_s
        if bucket.level < 1:
            return None
        bucket.level -= 1
        return QuotaToken(tenant, now_s + SEND_MARGIN_S)

    def give_back(self, token: QuotaToken, now_s: float) -> None:
        """Return the token of a request that did not run.

        An expired token is not added, because the bucket may have filled up again
        since and more would then run in a window than the limit allows.
        """
        bucket = self._buckets.get(token.tenant)
        if bucket is not None and now_s < token.expires_at_s:
            bucket.level += 1

    def retry_after_s(self, tenant: TenantId, instance_count: int) -> float:
        """Return the time until a token is added, in seconds."""
        size = bucket_size(self._limits[tenant], self._bounds, instance_count)
        return min(self._bounds.window_s, 1 / max(size.rate_per_s, 0.001))
