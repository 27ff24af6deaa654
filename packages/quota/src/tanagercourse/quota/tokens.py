"""Tokens that requests need, as the code that forwards them uses quotas."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from returns.result import Result, Success

from tanagercourse.core.ids import TenantId
from tanagercourse.core.problems import Problem


@dataclass(frozen=True)
class QuotaToken:
    """Permission to send one request of a tenant.

    Attributes:
        tenant: The tenant.
        expires_at_s: Time on CLOCK_BOOTTIME by which the request must be sent.
    """

    tenant: TenantId
    expires_at_s: float


@dataclass(frozen=True)
class QuotaExceeded(Problem):
    """A tenant has no token left.

    Attributes:
        tenant: The tenant.
        retry_after_s: Time after which a token is likely, in seconds.
    """

    tenant: TenantId
    retry_after_s: float

    def describe(self) -> str:
        """Return the tenant and the time to wait as one line."""
        return f"{self.tenant}: no token, retry after {self.retry_after_s:.2f} s"


Acquire = Callable[[TenantId], Awaitable[Result[QuotaToken, QuotaExceeded]]]


@dataclass(frozen=True)
class QuotaAccess:
    """Access to the tokens of tenants with a limit.

    Attributes:
        acquire: Returns a token, after a wait of at most MAX_WAIT_S.
        is_valid: Returns whether a token may still be used.
        give_back: Returns the token of a request that did not run.
    """

    acquire: Acquire
    is_valid: Callable[[QuotaToken], bool]
    give_back: Callable[[QuotaToken], None]


async def _grant(tenant: TenantId) -> Result[QuotaToken, QuotaExceeded]:
    return Success(QuotaToken(tenant, 0.0))


UNLIMITED = QuotaAccess(_grant, lambda token: True, lambda token: None)
