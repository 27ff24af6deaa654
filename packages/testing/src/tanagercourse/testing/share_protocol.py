"""Finite model of granting shares: docs/spec/coordination.md, part 3.

One destination with one slot, two holders, and a granter that may be replaced by a
granter with a newer fence and an empty ledger. A grant stays in flight until its
holder restarts, so it may arrive late, repeatedly and out of order.
"""

from collections.abc import Iterator
from enum import Enum, unique
from typing import NamedTuple

from minicheck import Protocol

HOLDERS = range(2)
CAPACITY = 1
TTL_TICKS = 2
MAX_TICKS = 4
MAX_FENCE = 2


@unique
class ShareMutant(Enum):
    """A fault seeded into the protocol, which an invariant must detect."""

    NONE = "none"
    GRANT_WITHOUT_WAIT = "grant_without_wait"
    COUNT_FROM_ARRIVAL = "count_from_arrival"
    IGNORE_LEDGER = "ignore_ledger"


class Grant(NamedTuple):
    """A grant in flight, whose time to live starts when its request is sent.

    Attributes:
        sequence: Sequence number of the request.
        sent_at: Tick at which the request was sent.
        slots: Number of granted slots.
    """

    sequence: int
    sent_at: int
    slots: int


class Holder(NamedTuple):
    """A holder of granted slots.

    Attributes:
        sequence: Sequence number of its last request.
        sent_at: Tick at which that request was sent.
        slots: Number of slots that it may use.
        until: Tick until which it may use them.
        has_pending_request: Whether the granter has not handled the request yet.
        grants_in_flight: Grants that may arrive.
    """

    sequence: int = 0
    sent_at: int = 0
    slots: int = 0
    until: int = 0
    has_pending_request: bool = False
    grants_in_flight: frozenset[Grant] = frozenset()


class State(NamedTuple):
    """The clock, the granter and the holders.

    Attributes:
        now: The current tick.
        fence: Fencing version of the granter.
        may_grant_from: Tick from which the granter may grant.
        granted_until: The granter's ledger: for each holder, the tick until which it
            has granted slots.
        holders: The holders.
    """

    now: int
    fence: int
    may_grant_from: int
    granted_until: tuple[int, ...]
    holders: tuple[Holder, ...]


Step = tuple[str, State]


def share_protocol(mutant: ShareMutant = ShareMutant.NONE) -> Protocol:
    """Return the model, with a seeded fault unless the mutant is NONE."""

    def steps(state: State) -> list[Step]:
        return list(_steps(State(*state), mutant))

    return Protocol(
        name="share",
        candidate=False,
        fields=State._fields,
        initial=State(0, 1, 0, (0,) * len(HOLDERS), (Holder(),) * len(HOLDERS)),
        transitions=steps,
        invariants={
            "within_capacity": lambda state: (
                _count_used_slots(state["holders"], state["now"]) <= CAPACITY
            )
        },
    )


def _count_used_slots(holders: tuple[Holder, ...], now: int) -> int:
    return sum(holder.slots for holder in holders if now < holder.until)


def _steps(state: State, mutant: ShareMutant) -> Iterator[Step]:
    if state.now < MAX_TICKS:
        yield "tick", state._replace(now=state.now + 1)
    if state.fence < MAX_FENCE:
        wait_ticks = 0 if mutant is ShareMutant.GRANT_WITHOUT_WAIT else TTL_TICKS
        new_granted_until = (0,) * len(HOLDERS)
        yield (
            "new granter",
            state._replace(
                fence=state.fence + 1,
                may_grant_from=state.now + wait_ticks,
                granted_until=new_granted_until,
            ),
        )
    for index in HOLDERS:
        holder = state.holders[index]
        yield f"restart {index}", _replace_holder(state, index, _restarted(holder))
        if not holder.has_pending_request and holder.sequence < MAX_FENCE:
            requested = holder._replace(
                sequence=holder.sequence + 1,
                sent_at=state.now,
                has_pending_request=True,
            )
            yield f"request {index}", _replace_holder(state, index, requested)
        if holder.has_pending_request and state.now >= state.may_grant_from:
            yield from _grant(state, index, mutant)
        for grant in holder.grants_in_flight:
            if grant.sequence == holder.sequence:
                counts_from_arrival = mutant is ShareMutant.COUNT_FROM_ARRIVAL
                valid_from = state.now if counts_from_arrival else grant.sent_at
                updated = holder._replace(
                    slots=grant.slots, until=valid_from + TTL_TICKS
                )
                yield f"grant arrives {index}", _replace_holder(state, index, updated)


def _grant(state: State, index: int, mutant: ShareMutant) -> Iterator[Step]:
    """Grant a request, and record the grant in the ledger until it expires."""
    holder = state.holders[index]
    other_grants = (until for i, until in enumerate(state.granted_until) if i != index)
    is_capacity_granted = any(state.now < until for until in other_grants)
    if holder.sent_at + TTL_TICKS <= state.now:
        return
    if is_capacity_granted and mutant is not ShareMutant.IGNORE_LEDGER:
        return
    new_granted_until = list(state.granted_until)
    # The granter counts from now and the holder from its request, so the grant
    # expires later in the ledger than at the holder.
    new_granted_until[index] = state.now + TTL_TICKS
    grant = Grant(holder.sequence, holder.sent_at, CAPACITY)
    replied = holder._replace(
        has_pending_request=False, grants_in_flight=holder.grants_in_flight | {grant}
    )
    granted = _replace_holder(state, index, replied)
    yield f"grant {index}", granted._replace(granted_until=tuple(new_granted_until))


def _restarted(holder: Holder) -> Holder:
    """Return a new incarnation, for which earlier grants are not valid."""
    return Holder(sequence=holder.sequence)


def _replace_holder(state: State, index: int, new_holder: Holder) -> State:
    holders = list(state.holders)
    holders[index] = new_holder
    return state._replace(holders=tuple(holders))
