"""The readers' side towards the platform: watches and the list of machines.

Only the few instances of a zone that rendezvous hashing chooses run these tasks.
What they read goes to the rest of the zone by the links.
"""

from dataclasses import dataclass, replace

import anyio
import structlog
from returns.result import Failure

from tanagercourse.coordination.members import (
    Member,
    member_to_object,
    registration_path,
)
from tanagercourse.coordination.node import Node
from tanagercourse.coordination.replica import SOFT
from tanagercourse.core.ids import NO_VERSION, ObjectPath, Version, WriterId
from tanagercourse.core.states import InstanceState
from tanagercourse.platform.store import (
    Machine,
    ObjectState,
    Presence,
    Store,
    StoredObject,
    StoreProblem,
    Update,
)
from tanagercourse.platform.update import settle_update

WATCH_WAIT_S = 20.0
# A watch may miss a change; a whole list now and then finds it.
RELIST_INTERVAL_S = 300.0
RETRY_INTERVAL_S = 0.5
MAX_RETRY_INTERVAL_S = 5.0
MACHINES_INTERVAL_S = 1.0
# A suspected instance that the platform does not list for so long is gone.
GONE_AFTER_S = 10.0

LEAVING_PREFIX = ObjectPath(SOFT + "leaving/")

_log = structlog.get_logger()


@dataclass
class Watched:
    """How far one prefix has been read.

    Attributes:
        prefix: The prefix.
        seen: The store's version at the last read; 0 before the first.
        listed_at_s: When it was last read whole, in seconds.
        failures: Calls that failed, in a row.
    """

    prefix: ObjectPath
    seen: Version = NO_VERSION
    listed_at_s: float = 0.0
    failures: int = 0


async def follow_platform(
    node: Node, store: Store, prefixes: tuple[ObjectPath, ...]
) -> None:
    """Read prefixes and follow their changes; one task each; never returns."""
    unread = set(prefixes)

    def note_read(prefix: ObjectPath) -> None:
        unread.discard(prefix)
        if not unread and not node.progress.has_read_platform:
            node.note_platform_read()

    async def follow(prefix: ObjectPath) -> None:
        watched = Watched(prefix)
        while True:
            problem = await _read_once(node, store, watched)
            if problem is None:
                note_read(prefix)
                continue
            if watched.failures == 1:
                _log.warning("settings_unread", reason=problem.describe())
            await anyio.sleep(_retry_interval_s(node, watched.failures))

    async with anyio.create_task_group() as tasks:
        for prefix in prefixes:
            tasks.start_soon(follow, prefix)


async def follow_machines(node: Node, store: Store) -> None:
    """Tell the zone of machines that leave, and who is gone; never returns."""
    presences: dict[str, Presence] = {}
    absent_since_s: dict[str, float] = {}
    while True:
        listed = await store.list_machines()
        if not isinstance(listed, Failure):
            machines = listed.unwrap()
            _tell_leaving(node, presences, machines)
            await _judge_gone(node, store, absent_since_s, machines)
        await anyio.sleep(MACHINES_INTERVAL_S)


async def _read_once(node: Node, store: Store, watched: Watched) -> StoreProblem | None:
    now_s = node.clock()
    is_first = watched.seen == NO_VERSION
    if is_first or now_s - watched.listed_at_s > RELIST_INTERVAL_S:
        watched.listed_at_s = now_s
        read = await store.list_all(watched.prefix)
    else:
        read = await store.watch(watched.prefix, watched.seen, WATCH_WAIT_S)
    if isinstance(read, Failure):
        watched.failures += 1
        problem: StoreProblem = read.failure()
        return problem
    listing = read.unwrap()
    watched.failures = 0
    node.apply_objects(listing.objects)
    # Even an empty store has been read; watching from 1 misses nothing of it.
    watched.seen = max(watched.seen, listing.version, Version(1))
    return None


def _retry_interval_s(node: Node, failures: int) -> float:
    longest_s = min(MAX_RETRY_INTERVAL_S, RETRY_INTERVAL_S * 2.0**failures)
    return longest_s * (0.5 + 0.5 * node.random.random())


def _tell_leaving(
    node: Node, presences: dict[str, Presence], machines: tuple[Machine, ...]
) -> None:
    """Pass on each change to or from leaving between this reader's own two reads."""
    now: dict[str, Presence] = {machine.id: machine.presence for machine in machines}
    for machine_id, presence in now.items():
        was = presences.get(machine_id, Presence.LIVE)
        if presence is not was:
            _mark(node, machine_id, presence is Presence.LEAVING)
    for machine_id in presences.keys() - now.keys():
        if presences[machine_id] is Presence.LEAVING:
            _mark(node, machine_id, False)
    presences.clear()
    presences.update(now)


def _mark(node: Node, machine_id: str, is_leaving: bool) -> None:
    path = ObjectPath(LEAVING_PREFIX + machine_id)
    state = ObjectState.PRESENT if is_leaving else ObjectState.DELETED
    held = node.replica.get(path)
    if (held.state if held else ObjectState.DELETED) is state:
        return
    version = Version(node.replica.version_of(path) + 1)
    writer = WriterId(node.own_member.instance)
    node.replica.apply(StoredObject(path, version, b"", writer, state))


async def _judge_gone(
    node: Node,
    store: Store,
    absent_since_s: dict[str, float],
    machines: tuple[Machine, ...],
) -> None:
    """Say of suspected instances that the platform does not list that they are gone.

    An instance that is only cut off stays suspected: the platform still lists it.
    """
    now_s = node.clock()
    listed = {machine.id for machine in machines}
    for member in node.membership.in_zone(node.own_member.zone):
        is_silent = member.state in (
            InstanceState.SUSPECTED,
            InstanceState.LEAVING,
        )
        if member.instance in listed or not is_silent:
            absent_since_s.pop(member.instance, None)
            continue
        since_s = absent_since_s.setdefault(member.instance, now_s)
        if now_s - since_s >= GONE_AFTER_S:
            await _say_gone(node, store, member)


async def _say_gone(node: Node, store: Store, member: Member) -> None:
    _log.info("instance_gone", gone=member.instance)
    node.replica.apply(member_to_object(replace(member, state=InstanceState.GONE)))
    path = registration_path(member.instance)
    held = node.replica.get(path)
    if held is not None and held.state is ObjectState.PRESENT:
        writer = WriterId(f"{node.own_member.instance} {member.version}")
        await settle_update(
            store, Update(path, held.version, b"", writer, ObjectState.DELETED)
        )
