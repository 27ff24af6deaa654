"""Finite model of the never-revert spread: docs/spec/coordination.md, part 2.

Three instances in two zones, and one object whose version 2 is its deletion. A read of
the store returns the newest version, returns an older version (a stale read) or fails.
Any version that the store has accepted may arrive at any instance at any time, which
covers every delay, repetition and order of the messages between peers.
"""

from collections.abc import Iterator
from enum import Enum, unique
from typing import NamedTuple

from minicheck import Protocol

INSTANCES = range(3)
ZONE_OF = (0, 0, 1)
DELETED_VERSION = 2
MAX_VERSION = 2


@unique
class SpreadMutant(Enum):
    """A fault seeded into the protocol, which an invariant must detect."""

    NONE = "none"
    APPLY_OLDER = "apply_older"
    DROP_TOMBSTONE = "drop_tombstone"
    SERVE_UNSYNCED = "serve_unsynced"


class Instance(NamedTuple):
    """An instance.

    Attributes:
        recorded_version: Version with which arriving versions are compared.
        active_version: Version that the instance uses.
        newest_active: Newest version that it has used since its start.
        newest_reported: Newest version that a ready peer reported before this instance
            was ready.
        has_source: Whether it has read the store or received a ready peer's heartbeat.
        is_ready: Whether it serves.
    """

    recorded_version: int = 0
    active_version: int = 0
    newest_active: int = 0
    newest_reported: int = 0
    has_source: bool = False
    is_ready: bool = False


class State(NamedTuple):
    """The store, the faults and the instances.

    Attributes:
        version: Newest version in the store.
        is_down: Whether reads and writes of the store fail.
        is_split: Whether the two zones cannot reach each other.
        instances: The instances.
    """

    version: int
    is_down: bool
    is_split: bool
    instances: tuple[Instance, ...]


Step = tuple[str, State]


def spread_protocol(
    mutant: SpreadMutant = SpreadMutant.NONE, max_version: int = MAX_VERSION
) -> Protocol:
    """Return the model, with a seeded fault unless the mutant is NONE.

    Args:
        mutant: The seeded fault.
        max_version: Last version that the store accepts.
    """

    def steps(state: State) -> list[Step]:
        return list(_steps(State(*state), mutant, max_version))

    return Protocol(
        name="spread",
        candidate=False,
        fields=State._fields,
        initial=State(1, False, False, tuple(Instance() for _ in INSTANCES)),
        transitions=steps,
        invariants={
            "never_back": lambda state: all(
                i.active_version >= i.newest_active for i in state["instances"]
            ),
            "ready_with_the_newest_heard": lambda state: all(
                i.active_version >= i.newest_reported
                for i in state["instances"]
                if i.is_ready
            ),
        },
    )


def _steps(state: State, mutant: SpreadMutant, max_version: int) -> Iterator[Step]:
    if state.version < max_version and not state.is_down:
        yield "change", state._replace(version=state.version + 1)
    yield "outage", state._replace(is_down=not state.is_down)
    yield "split", state._replace(is_split=not state.is_split)
    for index in INSTANCES:
        instance = state.instances[index]
        for label, new_instance in _instance_steps(state, instance, mutant):
            yield f"{label} {index}", _replace_instance(state, index, new_instance)
        for peer_index in INSTANCES:
            if peer_index != index and _can_reach(state, index, peer_index):
                yield (
                    f"heartbeat {index} {peer_index}",
                    _heartbeat(state, index, peer_index),
                )


def _instance_steps(
    state: State, instance: Instance, mutant: SpreadMutant
) -> Iterator[tuple[str, Instance]]:
    yield "restart", Instance()
    for version in range(1, state.version + 1):
        updated = _apply(instance, version, mutant)
        yield f"arrives {version}", updated
        if not state.is_down:
            yield f"read {version}", updated._replace(has_source=True)
    is_synced = (
        instance.active_version >= instance.newest_reported
        or mutant is SpreadMutant.SERVE_UNSYNCED
    )
    if instance.has_source and is_synced and not instance.is_ready:
        yield "ready", instance._replace(is_ready=True)


def _apply(instance: Instance, version: int, mutant: SpreadMutant) -> Instance:
    if version <= instance.recorded_version and mutant is not SpreadMutant.APPLY_OLDER:
        return instance
    drops_tombstone = (
        mutant is SpreadMutant.DROP_TOMBSTONE and version == DELETED_VERSION
    )
    return instance._replace(
        recorded_version=0 if drops_tombstone else version,
        active_version=version,
        newest_active=max(instance.newest_active, version),
    )


def _heartbeat(state: State, sender_index: int, receiver_index: int) -> State:
    """Deliver a heartbeat; only a ready sender reports its version."""
    sender, receiver = state.instances[sender_index], state.instances[receiver_index]
    newest_reported = receiver.newest_reported
    if sender.is_ready and not receiver.is_ready:
        newest_reported = max(newest_reported, sender.active_version)
    new_receiver = receiver._replace(
        newest_reported=newest_reported,
        has_source=receiver.has_source or sender.is_ready,
    )
    return _replace_instance(state, receiver_index, new_receiver)


def _can_reach(state: State, index: int, peer_index: int) -> bool:
    return not state.is_split or ZONE_OF[index] == ZONE_OF[peer_index]


def _replace_instance(state: State, index: int, new_instance: Instance) -> State:
    instances = list(state.instances)
    instances[index] = new_instance
    return state._replace(instances=tuple(instances))
