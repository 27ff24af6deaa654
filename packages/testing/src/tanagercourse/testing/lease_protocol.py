"""Finite model of the lease protocol: docs/spec/coordination.md, part 1.

An instance pauses by taking no step while the clock ticks. A request to the store
takes effect at any later time or never; its reply arrives at any later time or never.
"""

from collections.abc import Iterator
from enum import Enum, unique
from typing import NamedTuple

from minicheck import Protocol

INSTANCES = range(3)
LEASE_TICKS = 1
MAX_TICKS = 2
MAX_VERSION = 3


@unique
class LeaseMutant(Enum):
    """A fault seeded into the protocol, which an invariant must detect."""

    NONE = "none"
    DROP_FENCE = "drop_fence"
    RENEW_AFTER_LAPSE = "renew_after_lapse"
    EARLY_TAKEOVER = "early_takeover"
    COUNT_FROM_REPLY = "count_from_reply"


class Request(NamedTuple):
    """An update in flight to the store; `fence` is 0 if it acquires the lease."""

    expected: int
    fence: int
    sent_at: int


class Reply(NamedTuple):
    """The reply to an accepted update, in flight to the instance."""

    version: int
    fence: int
    sent_at: int


class Instance(NamedTuple):
    """An instance's view of the lease.

    Attributes:
        fence: Fencing version of the lease that it holds, 0 if it holds none.
        version: Version of the lease object at its last successful update.
        held_until: Tick until which it holds the lease.
        observed_version: Last observed version of the lease object.
        observed_at: Tick of that observation.
        request: The request in flight.
        reply: The reply in flight.
    """

    fence: int = 0
    version: int = 0
    held_until: int = 0
    observed_version: int = 0
    observed_at: int = 0
    request: Request | None = None
    reply: Reply | None = None


class State(NamedTuple):
    """The clock, the lease object, the guarded resource and the instances.

    Attributes:
        now: The current tick.
        version: Version of the lease object in the store.
        fence: Fencing version of the lease object.
        work_in_flight: Fencing versions of the work sent to the resource.
        highest_accepted: Highest fencing version of accepted work.
        is_order_violated: Whether work was accepted after work with a higher fencing
            version.
        instances: The instances.
    """

    now: int
    version: int
    fence: int
    work_in_flight: frozenset[int]
    highest_accepted: int
    is_order_violated: bool
    instances: tuple[Instance, ...]


Step = tuple[str, State]


def lease_protocol(
    mutant: LeaseMutant = LeaseMutant.NONE, max_ticks: int = MAX_TICKS
) -> Protocol:
    """Return the model, with a seeded fault unless the mutant is NONE.

    Args:
        mutant: The seeded fault.
        max_ticks: The last tick of the clock.
    """

    def steps(state: State) -> list[Step]:
        return [
            (label, _canonicalize(successor, mutant))
            for label, successor in _steps(State(*state), mutant, max_ticks)
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
            "one_holder": lambda state: (
                _count_holders(state["instances"], state["now"]) <= 1
            ),
            "work_never_under_an_older_fence": lambda state: (
                not state["is_order_violated"]
            ),
        },
    )


def _count_holders(instances: tuple[Instance, ...], now: int) -> int:
    return sum(bool(i.fence) and now < i.held_until for i in instances)


def _steps(state: State, mutant: LeaseMutant, max_ticks: int) -> Iterator[Step]:
    if state.now < max_ticks:
        yield "tick", state._replace(now=state.now + 1)
    yield from _work_steps(state, mutant)
    for index in INSTANCES:
        instance = state.instances[index]
        for label, new_instance in _instance_steps(state, instance, mutant):
            yield f"{label} {index}", _replace_instance(state, index, new_instance)
        yield from _store_steps(state, index, mutant)
        if instance.fence and state.now < instance.held_until:
            yield (
                f"work {index}",
                state._replace(work_in_flight=state.work_in_flight | {instance.fence}),
            )


def _instance_steps(
    state: State, instance: Instance, mutant: LeaseMutant
) -> Iterator[tuple[str, Instance]]:
    """Yield the steps of an instance that do not change the store."""
    if instance != Instance():
        # A restart loses all state, but a request in flight may still take effect.
        yield "restart", Instance(request=instance.request)
    if instance.observed_version != state.version:
        yield (
            "observe",
            instance._replace(observed_version=state.version, observed_at=state.now),
        )
    if instance.request is None and instance.reply is None:
        yield from _request_steps(state, instance, mutant)
    if instance.reply is not None:
        yield "reply", _apply_reply(state, instance, instance.reply, mutant)
        yield "reply lost", instance._replace(reply=None)


def _request_steps(
    state: State, instance: Instance, mutant: LeaseMutant
) -> Iterator[tuple[str, Instance]]:
    wait_ticks = (
        LEASE_TICKS - 1 if mutant is LeaseMutant.EARLY_TAKEOVER else LEASE_TICKS
    )
    is_held = instance.fence and state.now < instance.held_until
    if is_held or (instance.fence and mutant is LeaseMutant.RENEW_AFTER_LAPSE):
        request = Request(instance.version, instance.fence, state.now)
        yield "renew", instance._replace(request=request)
    elif (
        instance.observed_version == 0 or state.now >= instance.observed_at + wait_ticks
    ):
        request = Request(instance.observed_version, 0, state.now)
        yield "acquire", instance._replace(request=request)


def _apply_reply(
    state: State, instance: Instance, reply: Reply, mutant: LeaseMutant
) -> Instance:
    counts_from_reply = mutant is LeaseMutant.COUNT_FROM_REPLY
    held_from = state.now if counts_from_reply else reply.sent_at
    return instance._replace(
        fence=reply.fence,
        version=reply.version,
        held_until=held_from + LEASE_TICKS,
        reply=None,
    )


def _store_steps(state: State, index: int, mutant: LeaseMutant) -> Iterator[Step]:
    """Yield the outcomes of a request at the store: accepted or lost.

    A refused request has the same effect as a lost one.
    """
    instance = state.instances[index]
    request = instance.request
    if request is None:
        return
    yield (
        f"request lost {index}",
        _replace_instance(state, index, instance._replace(request=None)),
    )
    is_unconditional = mutant is LeaseMutant.RENEW_AFTER_LAPSE and request.fence
    if request.expected != state.version and not is_unconditional:
        return
    if state.version >= MAX_VERSION:
        return
    version = state.version + 1
    fence = request.fence or version
    reply = Reply(version, fence, request.sent_at)
    written = _replace_instance(
        state, index, instance._replace(request=None, reply=reply)
    )
    yield f"write {index}", written._replace(version=version, fence=fence)


def _work_steps(state: State, mutant: LeaseMutant) -> Iterator[Step]:
    """Yield the arrivals of work at the resource that the lease guards.

    Work in flight may arrive late, repeatedly or never.
    """
    for fence in state.work_in_flight:
        is_older = fence < state.highest_accepted
        if is_older and mutant is not LeaseMutant.DROP_FENCE:
            continue
        yield (
            "work arrives",
            state._replace(
                highest_accepted=max(fence, state.highest_accepted),
                is_order_violated=state.is_order_violated or is_older,
            ),
        )


def _canonicalize(state: State, mutant: LeaseMutant) -> State:
    """Return the representative of all states that behave the same.

    Instances are interchangeable and therefore sorted; data that can no longer have an
    effect is dropped.
    """
    instances = [
        _drop_irrelevant(instance, state, mutant) for instance in state.instances
    ]
    instances.sort(key=_sort_key)
    return state._replace(instances=tuple(instances))


def _sort_key(instance: Instance) -> tuple[object, ...]:
    return (*instance[:5], instance.request or (), instance.reply or ())


def _drop_irrelevant(instance: Instance, state: State, mutant: LeaseMutant) -> Instance:
    if mutant is not LeaseMutant.RENEW_AFTER_LAPSE:
        if instance.held_until <= state.now:
            instance = instance._replace(fence=0, version=0, held_until=0)
        if instance.request is not None and instance.request.expected < state.version:
            instance = instance._replace(request=None)
        if mutant is not LeaseMutant.COUNT_FROM_REPLY and _is_reply_expired(
            instance, state
        ):
            instance = instance._replace(reply=None)
    return instance._replace(
        observed_at=max(instance.observed_at, state.now - LEASE_TICKS)
    )


def _is_reply_expired(instance: Instance, state: State) -> bool:
    return (
        instance.reply is not None and instance.reply.sent_at + LEASE_TICKS <= state.now
    )


def _replace_instance(state: State, index: int, new_instance: Instance) -> State:
    instances = list(state.instances)
    instances[index] = new_instance
    return state._replace(instances=tuple(instances))
