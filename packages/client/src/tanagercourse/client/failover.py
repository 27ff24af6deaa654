"""Decide whether a call that failed at one instance is sent to the next."""

from tanagercourse.client.call import Call
from tanagercourse.core.problems import Refusal
from tanagercourse.core.states import Execution, Idempotency, RefusalReason

# An overloaded fleet gets one more request for each call, not one from each instance.
MOVES_ON_OVERLOAD = 1

# What another instance would answer in the same way, or too late.
_FINAL = frozenset(
    {
        RefusalReason.INVALID_REQUEST,
        RefusalReason.UNKNOWN_SERVICE,
        RefusalReason.DUPLICATE_KEY,
        RefusalReason.DEADLINE,
        RefusalReason.CANCELLED,
    }
)


def may_move_on(call: Call, refusal: Refusal, moves: int) -> bool:
    """Tell whether a call may be sent to the next instance.

    Args:
        call: The call.
        refusal: Why the instance tried last gave no whole answer.
        moves: How often the call has moved on before.
    """
    if refusal.reason in _FINAL:
        return False
    if refusal.reason is RefusalReason.OVERLOADED and moves >= MOVES_ON_OVERLOAD:
        return False
    if refusal.execution is Execution.NOT_RUN:
        return True
    return call.idempotency is Idempotency.IDEMPOTENT


def costs_budget(refusal: Refusal) -> bool:
    """Whether moving on repeats work that may run twice, or adds to an overload.

    Moving on from an instance that leaves or can't be reached adds no work.
    """
    if refusal.reason is RefusalReason.OVERLOADED:
        return True
    return refusal.execution is not Execution.NOT_RUN


def is_instance_gone(refusal: Refusal) -> bool:
    """Whether a refusal tells that its instance leaves or can't be reached."""
    return refusal.reason in (RefusalReason.LEAVING, RefusalReason.INSTANCE_LOST)
