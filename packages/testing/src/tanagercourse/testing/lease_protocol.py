"""The lease protocol as a finite model: docs/spec/coordination.md, part 1.

Instances pause by not acting while the clock ticks. A request to the store takes
effect at any later time or never; its reply is delivered at any later time or never.
"""

from collections.abc import Iterator
from enum import Enum, unique
from typing import NamedTuple

from minicheck import Protocol

INSTANCES = range(3)
DURATION = 1
MAX_NOW = 2
MAX_VERSION = 3


@unique
class LeaseMutant(Enum):
    """A fault seeded into the protocol, which a property has to catch."""

    NONE = "none"
    DROP_FENCE = "drop_fence"
    RENEW_AFTER_LAPSE = "renew_after_lapse"
    EARLY_TAKEOVER = "early_takeover"
    COUNT_FROM_REPLY = "count_from_reply"


class Request(NamedTuple):
    """An update on its way to the store; `fence` is 0 where it acquires."""

    expected: int
    fence: int
    sent_at: int


class Reply(NamedTuple):
    """A confirmed update on its way back."""

    version: int
    fence: int
    sent_at: int


class Instance(NamedTuple):
    """What one instance knows; a fence of 0 means that it holds nothing."""

    fence: int = 0
    version: int = 0
    until: int = 0
    seen: int = 0
    seen_at: int = 0
    request: Request | None = None
    reply: Reply | None = None


class State(NamedTuple):
    """The clock, the store's object, the guarded resource and the instances."""

    now: int
    version: int
    fence: int
    work: frozenset[int]
    accepted: int
    is_reversed: bool
    instances: tuple[Instance, ...]


Step = tuple[str, State]


def lease_protocol(
    mutant: LeaseMutant = LeaseMutant.NONE, max_now: int = MAX_NOW
) -> Protocol:
    """Return the model, with a fault seeded into it or none, to a last tick."""

    def steps(state: State) -> list[Step]:
        return [
            (label, _canonical(after, mutant))
            for label, after in _steps(State(*state), mutant, max_now)
        ]

    return Protocol(
        name="lease",
        candidate=False,
        fields=State._fields,
        initial=State(
            0, 0, 0, frozenset(), 0, False, tuple(Instance() for _ in INSTANCES)
        ),
        transitions=steps,
        invariants={
            "one_holder": lambda d: _holders(d["instances"], d["now"]) <= 1,
            "work_never_under_an_older_fence": lambda d: not d["is_reversed"],
        },
    )


def _holders(instances: tuple[Instance, ...], now: int) -> int:
    return sum(bool(i.fence) and now < i.until for i in instances)


def _steps(state: State, mutant: LeaseMutant, max_now: int) -> Iterator[Step]:
    if state.now < max_now:
        yield "tick", state._replace(now=state.now + 1)
    yield from _accept_work(state, mutant)
    for index in INSTANCES:
        instance = state.instances[index]
        for label, changed in _own_steps(state, instance, mutant):
            yield f"{label} {index}", _with(state, index, changed)
        yield from _store_steps(state, index, mutant)
        if instance.fence and state.now < instance.until:
            yield f"work {index}", state._replace(work=state.work | {instance.fence})


def _own_steps(
    state: State, own: Instance, mutant: LeaseMutant
) -> Iterator[tuple[str, Instance]]:
    """Yield what an instance does by itself."""
    if own != Instance():
        # A restart forgets all; a request on its way may still take effect.
        yield "restart", Instance(request=own.request)
    if own.seen != state.version:
        yield "look", own._replace(seen=state.version, seen_at=state.now)
    if own.request is None and own.reply is None:
        yield from _send(state, own, mutant)
    if own.reply is not None:
        yield "reply", _take_reply(state, own, own.reply, mutant)
        yield "reply lost", own._replace(reply=None)


def _send(
    state: State, own: Instance, mutant: LeaseMutant
) -> Iterator[tuple[str, Instance]]:
    wait = DURATION - 1 if mutant is LeaseMutant.EARLY_TAKEOVER else DURATION
    is_held = own.fence and state.now < own.until
    if is_held or (own.fence and mutant is LeaseMutant.RENEW_AFTER_LAPSE):
        request = Request(own.version, own.fence, state.now)
        yield "renew", own._replace(request=request)
    elif own.seen == 0 or state.now >= own.seen_at + wait:
        request = Request(own.seen, 0, state.now)
        yield "acquire", own._replace(request=request)


def _take_reply(
    state: State, own: Instance, reply: Reply, mutant: LeaseMutant
) -> Instance:
    late = mutant is LeaseMutant.COUNT_FROM_REPLY
    start = state.now if late else reply.sent_at
    return own._replace(
        fence=reply.fence, version=reply.version, until=start + DURATION, reply=None
    )


def _store_steps(state: State, index: int, mutant: LeaseMutant) -> Iterator[Step]:
    """Yield the effects of a request: taken, refused or lost."""
    own = state.instances[index]
    request = own.request
    if request is None:
        return
    yield f"request lost {index}", _with(state, index, own._replace(request=None))
    unconditional = mutant is LeaseMutant.RENEW_AFTER_LAPSE and request.fence
    if request.expected != state.version and not unconditional:
        return
    if state.version >= MAX_VERSION:
        return
    version = state.version + 1
    fence = request.fence or version
    reply = Reply(version, fence, request.sent_at)
    taken = _with(state, index, own._replace(request=None, reply=reply))
    yield f"write {index}", taken._replace(version=version, fence=fence)


def _accept_work(state: State, mutant: LeaseMutant) -> Iterator[Step]:
    """Yield the arrival of work at the resource that the lease guards.

    Work that was sent may arrive late, again or never.
    """
    for fence in state.work:
        is_older = fence < state.accepted
        if is_older and mutant is not LeaseMutant.DROP_FENCE:
            continue
        yield (
            "work arrives",
            state._replace(
                accepted=max(fence, state.accepted),
                is_reversed=state.is_reversed or is_older,
            ),
        )


def _canonical(state: State, mutant: LeaseMutant) -> State:
    """Return the one state that stands for all that behave alike.

    Instances may change places; what can have no effect any more is forgotten.
    """
    instances = [_trim(own, state, mutant) for own in state.instances]
    instances.sort(key=_order)
    return state._replace(instances=tuple(instances))


def _order(own: Instance) -> tuple[object, ...]:
    return (*own[:5], own.request or (), own.reply or ())


def _trim(own: Instance, state: State, mutant: LeaseMutant) -> Instance:
    if mutant is not LeaseMutant.RENEW_AFTER_LAPSE:
        if own.until <= state.now:
            own = own._replace(fence=0, version=0, until=0)
        if own.request is not None and own.request.expected < state.version:
            own = own._replace(request=None)
        if mutant is not LeaseMutant.COUNT_FROM_REPLY and _is_late(own, state):
            own = own._replace(reply=None)
    return own._replace(seen_at=max(own.seen_at, state.now - DURATION))


def _is_late(own: Instance, state: State) -> bool:
    return own.reply is not None and own.reply.sent_at + DURATION <= state.now


def _with(state: State, index: int, changed: Instance) -> State:
    instances = list(state.instances)
    instances[index] = changed
    return state._replace(instances=tuple(instances))
