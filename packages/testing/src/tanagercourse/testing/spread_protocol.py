"""The never-revert spread as a finite model: docs/spec/coordination.md, part 2.

Three instances in two zones, one object whose version 2 is its deletion. The store
answers with any version up to its newest (a stale read) or not at all. Any version
that was ever accepted may arrive at any instance at any time: that takes in every
delay, repetition and order of the messages between peers.
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
    """A fault seeded into the protocol, which a property has to catch."""

    NONE = "none"
    APPLY_OLDER = "apply_older"
    DROP_TOMBSTONE = "forget_deletion"
    SERVE_UNSYNCED = "serve_unsynced"


class Instance(NamedTuple):
    """One instance.

    `held` is the version that it compares with, `in_force` the one it serves by,
    `newest` the newest it has served by since it started, and `heard` the newest
    that a ready peer said to have before this instance was ready.
    """

    held: int = 0
    in_force: int = 0
    newest: int = 0
    heard: int = 0
    has_source: bool = False
    is_ready: bool = False


class State(NamedTuple):
    """The store, the faults and the instances."""

    version: int
    is_down: bool
    is_split: bool
    instances: tuple[Instance, ...]


Step = tuple[str, State]


def spread_protocol(
    mutant: SpreadMutant = SpreadMutant.NONE, max_version: int = MAX_VERSION
) -> Protocol:
    """Return the model, with a fault seeded into it or none, to a last version."""

    def steps(state: State) -> list[Step]:
        return list(_steps(State(*state), mutant, max_version))

    return Protocol(
        name="spread",
        candidate=False,
        fields=State._fields,
        initial=State(1, False, False, tuple(Instance() for _ in INSTANCES)),
        transitions=steps,
        invariants={
            "never_back": lambda d: all(i.in_force >= i.newest for i in d["instances"]),
            "ready_with_the_newest_heard": lambda d: all(
                i.in_force >= i.heard for i in d["instances"] if i.is_ready
            ),
        },
    )


def _steps(state: State, mutant: SpreadMutant, max_version: int) -> Iterator[Step]:
    if state.version < max_version and not state.is_down:
        yield "change", state._replace(version=state.version + 1)
    yield "outage", state._replace(is_down=not state.is_down)
    yield "split", state._replace(is_split=not state.is_split)
    for index in INSTANCES:
        own = state.instances[index]
        for label, changed in _own_steps(state, own, mutant):
            yield f"{label} {index}", _with(state, index, changed)
        for other in INSTANCES:
            if other != index and _reaches(state, index, other):
                yield f"heartbeat {index} {other}", _heartbeat(state, index, other)


def _own_steps(
    state: State, own: Instance, mutant: SpreadMutant
) -> Iterator[tuple[str, Instance]]:
    yield "restart", Instance()
    for version in range(1, state.version + 1):
        arrived = _apply(own, version, mutant)
        yield f"arrives {version}", arrived
        if not state.is_down:
            yield f"read {version}", arrived._replace(has_source=True)
    is_synced = own.in_force >= own.heard or mutant is SpreadMutant.SERVE_UNSYNCED
    if own.has_source and is_synced and not own.is_ready:
        yield "ready", own._replace(is_ready=True)


def _apply(own: Instance, version: int, mutant: SpreadMutant) -> Instance:
    if version <= own.held and mutant is not SpreadMutant.APPLY_OLDER:
        return own
    forgets = mutant is SpreadMutant.DROP_TOMBSTONE and version == DELETED_VERSION
    return own._replace(
        held=0 if forgets else version,
        in_force=version,
        newest=max(own.newest, version),
    )


def _heartbeat(state: State, index: int, other: int) -> State:
    """Let an instance hear how new a ready sender is."""
    sender, own = state.instances[index], state.instances[other]
    heard = own.heard
    if sender.is_ready and not own.is_ready:
        heard = max(heard, sender.in_force)
    changed = own._replace(heard=heard, has_source=own.has_source or sender.is_ready)
    return _with(state, other, changed)


def _reaches(state: State, index: int, other: int) -> bool:
    return not state.is_split or ZONE_OF[index] == ZONE_OF[other]


def _with(state: State, index: int, changed: Instance) -> State:
    instances = list(state.instances)
    instances[index] = changed
    return state._replace(instances=tuple(instances))
