"""Tenants of the configuration, and the tenant that an API key belongs to."""

import hashlib
import secrets
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from types import MappingProxyType

from returns.result import Failure, Result, Success

from tanagercourse.core.ids import ApiKey, RegionId, TenantId
from tanagercourse.core.problems import Problem

DIGEST_BYTES = 16


@dataclass(frozen=True)
class Tenant:
    """A client account whose requests are identified by API keys.

    Attributes:
        tenant_id: Name of the tenant, which upstreams receive.
        priority: Rank of its requests, which replaces the route's; None to keep that.
        home_regions: Regions that may serve its requests; empty for any region.
        rate_per_s: Requests per second that it may make over all instances; 0 for no
            limit.
        burst: Requests that it may make beyond that rate at once.
    """

    tenant_id: TenantId
    priority: int | None = None
    home_regions: frozenset[RegionId] = frozenset()
    rate_per_s: float = 0.0
    burst: float = 0.0

    @property
    def has_quota(self) -> bool:
        """Whether the number of its requests is limited."""
        return self.rate_per_s > 0


@dataclass(frozen=True)
class SharedApiKey(Problem):
    """Two tenants have the same API key.

    Attributes:
        first: One of the tenants.
        second: The other tenant.
    """

    first: TenantId
    second: TenantId

    def describe(self) -> str:
        """Return both tenants, but not the key."""
        return f"tenants {self.first} and {self.second} have the same API key"


class TenantDirectory:
    """All tenants, and the tenant of each API key.

    Keys are kept and compared as keyed digests. The time of a comparison then tells
    nothing about a key, and a dump of the process contains no key of the configuration.

    Attributes:
        tenants: The tenants by id.
    """

    def __init__(self, tenants: Mapping[TenantId, Tenant]) -> None:
        """Create a directory without keys; `make_tenant_directory` adds them.

        Args:
            tenants: The tenants by id.
        """
        self.tenants = MappingProxyType(dict(tenants))
        self._secret = secrets.token_bytes(DIGEST_BYTES)
        self._ids_by_digest: dict[bytes, TenantId] = {}

    def find(self, key: ApiKey) -> Tenant | None:
        """Return the tenant that a key belongs to, None if the key is unknown."""
        tenant_id = self._ids_by_digest.get(self._digest(key))
        return None if tenant_id is None else self.tenants[tenant_id]

    def add_key(self, key: ApiKey, tenant_id: TenantId) -> TenantId:
        """Add a key unless it is known; return the tenant that it belongs to."""
        return self._ids_by_digest.setdefault(self._digest(key), tenant_id)

    def _digest(self, key: ApiKey) -> bytes:
        return hashlib.blake2b(key, digest_size=DIGEST_BYTES, key=self._secret).digest()


def make_tenant_directory(
    tenants: Iterable[tuple[Tenant, Iterable[ApiKey]]],
) -> Result[TenantDirectory, SharedApiKey]:
    """Return a directory of tenants and their API keys.

    Args:
        tenants: Each tenant with its keys.

    Returns:
        The directory, or the first pair of tenants that share a key.
    """
    with_keys = tuple(tenants)
    directory = TenantDirectory({tenant.tenant_id: tenant for tenant, _ in with_keys})
    for tenant, keys in with_keys:
        for key in keys:
            holder = directory.add_key(key, tenant.tenant_id)
            if holder != tenant.tenant_id:
                return Failure(SharedApiKey(holder, tenant.tenant_id))
    return Success(directory)
