"""Platform reads by a zone's readers: watches on objects and the list of machines.

Only a few instances of each zone, chosen by rendezvous hashing, run these tasks. The
other instances receive the objects through the links between peers.
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
from tanagercourse.coordination.replica import SOFT_STATE_PREFIX
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
# A watch may miss a change; listing all objects at this interval finds it.
RELIST_INTERVAL_S = 300.0
RETRY_INTERVAL_S = 0.5
MAX_RETRY_INTERVAL_S = 5.0
MACHINES_INTERVAL_S = 1.0
# A suspected or leaving instance is considered gone when the platform has not listed
# it for this time.
GONE_AFTER_S = 10.0

LEAVING_PREFIX = ObjectPath(SOFT_STATE_PREFIX + "leaving/")

_log = structlog.get_logger()


@dataclass
class WatchState:
    """State of the reads and watches of one prefix.

    Attributes:
        prefix: Prefix of the watched objects.
        seen_version: The store's version at the last read; 0 before the first read.
        listed_at_s: When a listing of all objects was last requested, in seconds.
        failures: Number of consecutive failed calls.
    """

    prefix: ObjectPath
    seen_version: Version = NO_VERSION
    listed_at_s: float = 0.0
    failures: int = 0


async def follow_platform(
    node: Node, store: Store, prefixes: tuple[ObjectPath, ...]
) -> None:
    """Read and watch prefixes, with one task for each; never returns."""
    unread_prefixes = set(prefixes)

    def record_read(prefix: ObjectPath) -> None:
        unread_prefixes.discard(prefix)
        if not unread_prefixes and not node.startup_progress.has_read_platform:
            node.record_platform_read()

    async def follow(prefix: ObjectPath) -> None:
        watch_state = WatchState(prefix)
        while True:
            problem = await _read_once(node, store, watch_state)
            if problem is None:
                record_read(prefix)
                continue
            if watch_state.failures == 1:
                _log.warning("settings_read_failed", reason=problem.describe())
            await anyio.sleep(_retry_interval_s(node, watch_state.failures))

    async with anyio.create_task_group() as tasks:
        for prefix in prefixes:
            tasks.start_soon(follow, prefix)


async def follow_machines(node: Node, store: Store) -> None:
    """Publish leaving machines and instances that are gone; never returns."""
    presences: dict[str, Presence] = {}
    absent_since_s: dict[str, float] = {}
    while True:
        listed = await store.list_machines()
        if not isinstance(listed, Failure):
            machines = listed.unwrap()
            _publish_leaving_changes(node, presences, machines)
            await _mark_absent_as_gone(node, store, absent_since_s, machines)
        await anyio.sleep(MACHINES_INTERVAL_S)


async def _read_once(
    node: Node, store: Store, watch_state: WatchState
) -> StoreProblem | None:
    now_s = node.clock()
    is_first_read = watch_state.seen_version == NO_VERSION
    if is_first_read or now_s - watch_state.listed_at_s > RELIST_INTERVAL_S:
        watch_state.listed_at_s = now_s
        read = await store.list_all(watch_state.prefix)
    else:
        read = await store.watch(
            watch_state.prefix, watch_state.seen_version, WATCH_WAIT_S
        )
    if isinstance(read, Failure):
        watch_state.failures += 1
        problem: StoreProblem = read.failure()
        return problem
    listing = read.unwrap()
    watch_state.failures = 0
    node.apply_objects(listing.objects)
    # Version 1 marks an empty store as read; a watch from version 1 misses no change.
    watch_state.seen_version = max(
        watch_state.seen_version, listing.version, Version(1)
    )
    return None


def _retry_interval_s(node: Node, failures: int) -> float:
    max_delay_s = min(MAX_RETRY_INTERVAL_S, RETRY_INTERVAL_S * 2.0**failures)
    return max_delay_s * (0.5 + 0.5 * node.random.random())


def _publish_leaving_changes(
    node: Node, presences: dict[str, Presence], machines: tuple[Machine, ...]
) -> None:
    """Publish each change to or from leaving since this reader's previous read."""
    current: dict[str, Presence] = {
        machine.id: machine.presence for machine in machines
    }
    for machine_id, presence in current.items():
        previous = presences.get(machine_id, Presence.LIVE)
        if presence is not previous:
            _publish_leaving(node, machine_id, presence is Presence.LEAVING)
    for machine_id in presences.keys() - current.keys():
        if presences[machine_id] is Presence.LEAVING:
            _publish_leaving(node, machine_id, False)
    presences.clear()
    presences.update(current)


def _publish_leaving(node: Node, machine_id: str, is_leaving: bool) -> None:
    path = ObjectPath(LEAVING_PREFIX + machine_id)
    state = ObjectState.PRESENT if is_leaving else ObjectState.DELETED
    existing = node.replica.get(path)
    if (existing.state if existing else ObjectState.DELETED) is state:
        return
    version = Version(node.replica.version_of(path) + 1)
    writer = WriterId(node.own_member.instance)
    node.replica.apply(StoredObject(path, version, b"", writer, state))


async def _mark_absent_as_gone(
    node: Node,
    store: Store,
    absent_since_s: dict[str, float],
    machines: tuple[Machine, ...],
) -> None:
    """Mark suspected and leaving instances that the platform does not list as gone.

    An instance that is only disconnected from its peers stays suspected, because the
    platform still lists it.
    """
    now_s = node.clock()
    listed = {machine.id for machine in machines}
    for member in node.membership.in_zone(node.own_member.zone):
        may_be_gone = member.state in (
            InstanceState.SUSPECTED,
            InstanceState.LEAVING,
        )
        if member.instance in listed or not may_be_gone:
            absent_since_s.pop(member.instance, None)
            continue
        first_absent_s = absent_since_s.setdefault(member.instance, now_s)
        if now_s - first_absent_s >= GONE_AFTER_S:
            await _mark_gone(node, store, member)


async def _mark_gone(node: Node, store: Store, member: Member) -> None:
    _log.info("instance_gone", gone=member.instance)
    node.replica.apply(member_to_object(replace(member, state=InstanceState.GONE)))
    path = registration_path(member.instance)
    existing = node.replica.get(path)
    if existing is not None and existing.state is ObjectState.PRESENT:
        writer = WriterId(f"{node.own_member.instance} {member.version}")
        await settle_update(
            store, Update(path, existing.version, b"", writer, ObjectState.DELETED)
        )
