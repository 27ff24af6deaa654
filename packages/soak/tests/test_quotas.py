"""The check of tenants' limits finds requests beyond them, in any window."""

from dataclasses import dataclass

import pytest

from tanagercourse.core.ids import TenantId
from tanagercourse.soak.checks import Checks, Invariant
from tanagercourse.soak.quotas import WINDOW_S, QuotaChecks
from tanagercourse.soak.tenants import APPLY_S

TENANT = TenantId("t")
# (10 per s * 5 s + 30) * 1.1 + 20
ALLOWED = 108


@dataclass
class Clock:
    now_s: float = 100.0

    def __call__(self) -> float:
        return self.now_s


@pytest.fixture
def clock() -> Clock:
    return Clock()


@pytest.fixture
def quotas(checks: Checks, clock: Clock) -> QuotaChecks:
    return QuotaChecks(checks, clock)


def limit(rate_per_s: float) -> list[dict[str, object]]:
    return [{"name": TENANT, "rate_per_s": rate_per_s, "burst": 30}]


def run(quotas: QuotaChecks, count: int) -> None:
    for _ in range(count):
        quotas.check_run(TENANT, quotas.clock())


def test_window_may_have_the_limit_but_no_request_more(
    checks: Checks, clock: Clock, quotas: QuotaChecks
) -> None:
    quotas.set_limits(limit(10))
    run(quotas, 54)
    clock.now_s += WINDOW_S / 2
    run(quotas, ALLOWED - 54)
    assert checks.violations == []
    run(quotas, 1)
    assert len(checks.violations) == 1
    clock.now_s += WINDOW_S / 2
    run(quotas, 53)
    assert len(checks.violations) == 1
    run(quotas, 1)
    assert len(checks.violations) == 2


def test_lowered_limit_holds_a_window_after_it_must_be_applied(
    checks: Checks, clock: Clock, quotas: QuotaChecks
) -> None:
    quotas.set_limits(limit(20))
    quotas.set_limits(limit(10))
    clock.now_s += APPLY_S + WINDOW_S - 0.1
    run(quotas, ALLOWED + 1)
    assert checks.violations == []
    clock.now_s += 0.1
    run(quotas, 1)
    assert len(checks.violations) == 1


def test_tenant_without_a_limit_is_not_checked(
    checks: Checks, quotas: QuotaChecks
) -> None:
    quotas.set_limits([{"name": TENANT}])
    run(quotas, 10_000)
    assert checks.check_counts[Invariant.QUOTA_KEPT] == 0


def test_request_counts_when_it_reached_the_upstream(
    checks: Checks, clock: Clock, quotas: QuotaChecks
) -> None:
    """A request that waited in an upstream's queue was counted in a later window."""
    quotas.set_limits(limit(10))
    waited_since_s = clock.now_s
    clock.now_s += WINDOW_S
    run(quotas, ALLOWED)
    quotas.check_run(TENANT, waited_since_s)
    assert checks.violations == []
    quotas.check_run(TENANT, waited_since_s + 0.1)
    assert checks.violations


@pytest.mark.parametrize(
    ("tenant", "status", "is_violation"),
    [(TENANT, 429, False), (TenantId("other"), 429, True), (None, 429, True)],
)
def test_only_a_tenant_with_a_limit_is_refused(
    checks: Checks,
    quotas: QuotaChecks,
    tenant: TenantId | None,
    status: int,
    is_violation: bool,
) -> None:
    """A tenant without a limit was refused for its quota."""
    quotas.set_limits([*limit(10), {"name": "other"}])
    quotas.check_response("r", tenant, 200)
    quotas.check_response("r", tenant, status)
    assert bool(checks.violations) is is_violation
