"""Decide whether a call that failed at one instance may be sent to the next."""

from tanagercourse.client.call import Call
from tanagercourse.core.problems import Refusal
from tanagercourse.core.states import Execution, Idempotency, RefusalReason

# After this number of fail-overs, a call refused for overload fails. An overloaded
# fleet thus gets one extra request per call, not one per instance.
MAX_OVERLOAD_FAILOVERS = 1

# Refusals that another instance would repeat, or for which its response would be late.
_FINAL_REASONS = frozenset(
    {
        RefusalReason.INVALID_REQUEST,
        RefusalReason.UNKNOWN_SERVICE,
        RefusalReason.DUPLICATE_KEY,
        RefusalReason.DEADLINE,
        RefusalReason.CANCELLED,
    }
)


def may_fail_over(call: Call, refusal: Refusal, failovers: int) -> bool:
    """Return whether a call may be sent to the next instance.

    Args:
        call: The call.
        refusal: Why the last attempt got no complete response.
        failovers: The number of fail-overs of this call so far.
    """
    if refusal.reason in _FINAL_REASONS:
        return False
    if (
        refusal.reason is RefusalReason.OVERLOADED
        and failovers >= MAX_OVERLOAD_FAILOVERS
    ):
        return False
    if refusal.execution is Execution.NOT_RUN:
        return True
    return call.idempotency is Idempotency.IDEMPOTENT


def needs_retry_budget(refusal: Refusal) -> bool:
    """Return whether a fail-over counts against the retry budget.

    A fail-over counts if the call may already have run, or if it adds load to an
    overloaded fleet. A call that a leaving or unreachable instance has not run adds no
    work when it is sent to the next instance.
    """
    if refusal.reason is RefusalReason.OVERLOADED:
        return True
    return refusal.execution is not Execution.NOT_RUN


def is_instance_unavailable(refusal: Refusal) -> bool:
    """Return whether a refusal shows that its instance is leaving or unreachable."""
    return refusal.reason in (RefusalReason.LEAVING, RefusalReason.INSTANCE_LOST)
