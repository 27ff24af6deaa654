"""The handing of shares as a finite model: docs/spec/coordination.md, part 3.

One destination with one slot, two holders, and a granter that is replaced by one
with a newer fence and empty memory. Grants are kept on their way for good, so that
they come late, repeated and reordered.
"""

from collections.abc import Iterator
from enum import Enum, unique
from typing import NamedTuple

from minicheck import Protocol

HOLDERS = range(2)
CAPACITY = 1
TTL = 2
MAX_NOW = 4
MAX_FENCE = 2


@unique
class ShareMutant(Enum):
    """A fault seeded into the protocol, which a property has to catch."""

    NONE = "none"
    GRANT_WITHOUT_WAIT = "grant_without_wait"
    COUNT_FROM_ARRIVAL = "count_from_arrival"
    IGNORE_LEDGER = "ignore_book"


class Grant(NamedTuple):
    """A share on its way; it runs from when its request was sent."""

    sequence: int
    sent_at: int
    slots: int


class Holder(NamedTuple):
    """A holder: its last request, and the share it uses until a time."""

    sequence: int = 0
    sent_at: int = 0
    slots: int = 0
    until: int = 0
    has_asked: bool = False
    grants: frozenset[Grant] = frozenset()


class State(NamedTuple):
    """The clock, the granter's fence, start and book, and the holders."""

    now: int
    fence: int
    grants_from: int
    booked_until: tuple[int, ...]
    holders: tuple[Holder, ...]


Step = tuple[str, State]


def share_protocol(mutant: ShareMutant = ShareMutant.NONE) -> Protocol:
    """Return the model, with a fault seeded into it or none."""

    def steps(state: State) -> list[Step]:
        return list(_steps(State(*state), mutant))

    return Protocol(
        name="share",
        candidate=False,
        fields=State._fields,
        initial=State(0, 1, 0, (0,) * len(HOLDERS), (Holder(),) * len(HOLDERS)),
        transitions=steps,
        invariants={
            "within_capacity": lambda d: _used(d["holders"], d["now"]) <= CAPACITY
        },
    )


def _used(holders: tuple[Holder, ...], now: int) -> int:
    return sum(holder.slots for holder in holders if now < holder.until)


def _steps(state: State, mutant: ShareMutant) -> Iterator[Step]:
    if state.now < MAX_NOW:
        yield "tick", state._replace(now=state.now + 1)
    if state.fence < MAX_FENCE:
        wait = 0 if mutant is ShareMutant.GRANT_WITHOUT_WAIT else TTL
        booked = (0,) * len(HOLDERS)
        yield (
            "new granter",
            state._replace(
                fence=state.fence + 1, grants_from=state.now + wait, booked_until=booked
            ),
        )
    for index in HOLDERS:
        own = state.holders[index]
        yield f"restart {index}", _with(state, index, _restarted(own))
        if not own.has_asked and own.sequence < MAX_FENCE:
            asked = own._replace(
                sequence=own.sequence + 1, sent_at=state.now, has_asked=True
            )
            yield f"ask {index}", _with(state, index, asked)
        if own.has_asked and state.now >= state.grants_from:
            yield from _grant(state, index, mutant)
        for grant in own.grants:
            if grant.sequence == own.sequence:
                late = mutant is ShareMutant.COUNT_FROM_ARRIVAL
                start = state.now if late else grant.sent_at
                used = own._replace(slots=grant.slots, until=start + TTL)
                yield f"grant arrives {index}", _with(state, index, used)


def _grant(state: State, index: int, mutant: ShareMutant) -> Iterator[Step]:
    """Answer a request: the book keeps what is granted until it runs out."""
    own = state.holders[index]
    others = (u for i, u in enumerate(state.booked_until) if i != index)
    is_booked = any(state.now < until for until in others)
    if own.sent_at + TTL <= state.now:
        return
    if is_booked and mutant is not ShareMutant.IGNORE_LEDGER:
        return
    booked = list(state.booked_until)
    # By the granter's clock a share runs out later than by its holder's.
    booked[index] = state.now + TTL
    grant = Grant(own.sequence, own.sent_at, CAPACITY)
    answered = own._replace(has_asked=False, grants=own.grants | {grant})
    granted = _with(state, index, answered)
    yield f"grant {index}", granted._replace(booked_until=tuple(booked))


def _restarted(own: Holder) -> Holder:
    """Return a new incarnation: grants to the old one do not count for it."""
    return Holder(sequence=own.sequence)


def _with(state: State, index: int, changed: Holder) -> State:
    holders = list(state.holders)
    holders[index] = changed
    return state._replace(holders=tuple(holders))
