"""What an instance does besides talking to peers: register, read, report, roll up.

While the platform can't be reached, nobody holds a zone's lease and its status
stays as it was; registration is tried again; readers go on trying to read. None of
these holds up the spread among peers.
"""

import time
import uuid
from collections.abc import Awaitable, Callable

import anyio
import structlog
from returns.result import Failure

from tanagercourse.coordination.claims import Claim, Lease
from tanagercourse.coordination.lease_holding import hold_lease
from tanagercourse.coordination.members import (
    REGISTRATIONS_PREFIX,
    Address,
    member_to_object,
    registration_path,
)
from tanagercourse.coordination.node import Heard, Node
from tanagercourse.coordination.peers import Connect, Peer, Report
from tanagercourse.coordination.platform_reader import follow_machines, follow_platform
from tanagercourse.coordination.status import (
    InstanceStatus,
    ZoneStatus,
    write_zone,
)
from tanagercourse.core.ids import NO_VERSION, ObjectPath, Version, WriterId
from tanagercourse.platform.store import Conflict, Store, Update
from tanagercourse.platform.update import settle_update

ZONE_LEASES = ObjectPath("/system/leases/zones/")
LEASE_MS = 15_000
STATUS_INTERVAL_S = 5.0
# A status without a change is still written so often, so that its age means something.
STATUS_REFRESH_S = 30.0
# Reports of a zone come in at this rate altogether, and from one instance between
# these intervals.
REPORTS_PER_S = 2.0
MIN_REPORT_INTERVAL_S = 1.0
MAX_REPORT_INTERVAL_S = 30.0
LOOK_INTERVAL_S = 1.0
# An instance that is not ready by then reads the platform itself.
ALONE_AFTER_S = 5.0
BOOTSTRAP_TIMEOUT_S = 2.0
REGISTER_RETRY_S = 5.0

_log = structlog.get_logger()


async def learn_peers(node: Node, store: Store) -> None:
    """Learn from the platform which instances have registered, if it answers."""
    with anyio.move_on_after(BOOTSTRAP_TIMEOUT_S):
        listed = await store.list_all(REGISTRATIONS_PREFIX)
        if not isinstance(listed, Failure):
            node.apply_objects(listed.unwrap().objects)


async def register(node: Node, store: Store) -> None:
    """Write this instance's record where instances that start can read it."""
    path = registration_path(node.own_member.instance)
    expected = node.replica.version_of(path)
    while True:
        value = member_to_object(node.own_member).value
        writer = WriterId(uuid.uuid4().hex)
        written = await settle_update(store, Update(path, expected, value, writer))
        if not isinstance(written, Failure):
            node.apply_objects((written.unwrap(),))
            return
        problem = written.failure()
        if isinstance(problem, Conflict):
            expected = problem.found.version if problem.found else NO_VERSION
        _log.warning("not_registered", reason=problem.describe())
        await anyio.sleep(REGISTER_RETRY_S * (0.5 + node.random.random()))


async def read_when_chosen(
    node: Node, store: Store, prefixes: tuple[ObjectPath, ...]
) -> None:
    """Read the platform while this instance is one of its zone's readers."""

    async def read() -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(follow_platform, node, store, prefixes)
            tasks.start_soon(follow_machines, node, store)

    await run_while(node, lambda: node.is_reader() or _is_alone(node), read)


async def roll_up_when_chosen(node: Node, store: Store) -> None:
    """Write the zone's status while this instance holds the zone's lease."""
    await run_while(node, node.is_reader, lambda: _roll_up(node, store))


async def report_in_force(node: Node, connect: Connect) -> None:
    """Tell the zone's readers which version is in force here; never returns."""
    peers: dict[Address, Peer] = {}
    try:
        while True:
            await anyio.sleep(_report_interval_s(node))
            await _report_once(node, connect, peers)
    finally:
        for peer in peers.values():
            peer.close()


async def _report_once(
    node: Node, connect: Connect, peers: dict[Address, Peer]
) -> None:
    report = Report(
        node.own_member.instance, node.own_member.incarnation, node.settings_version
    )
    node.reports[node.own_member.instance] = Heard(report, node.clock())
    readers = [
        m.address for m in node.readers() if m.instance != node.own_member.instance
    ]
    for address in peers.keys() - set(readers):
        peers.pop(address).close()
    for address in readers:
        if address not in peers:
            peers[address] = connect(address)
        reported = await peers[address].report(report)
        if isinstance(reported, Failure):
            peers.pop(address).close()


def zone_status(node: Node, lease: Lease, now_unix_s: float) -> ZoneStatus:
    """Return the zone's status from the reports that have come in."""
    instances = []
    now_s = node.clock()
    for member in node.membership.in_zone(node.own_member.zone):
        heard = node.reports.get(member.instance)
        version = heard.report.version if heard else Version(0)
        since_s = heard.heard_at_s if heard else node.progress.started_at_s
        age_s = round(now_s - since_s, 1)
        instances.append(
            InstanceStatus(
                member.instance, member.state, member.incarnation, version, age_s
            )
        )
    instances.sort(key=lambda status: status.instance)
    return ZoneStatus(
        node.own_member.zone,
        node.own_member.instance,
        lease.fence,
        node.settings_version,
        now_unix_s,
        tuple(instances),
    )


async def _roll_up(node: Node, store: Store) -> None:
    held: Lease | None = None

    def note_lease(lease: Lease | None) -> None:
        nonlocal held
        held = lease

    def lease_now() -> Lease | None:
        return held if held is not None and held.is_held(node.clock()) else None

    path = ObjectPath(ZONE_LEASES + node.own_member.zone)
    claim = Claim(path, node.own_member.instance, LEASE_MS)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(hold_lease, store, claim, node.clock, node.random, note_lease)
        tasks.start_soon(_write_status, node, store, lease_now)


async def _write_status(
    node: Node, store: Store, lease_now: Callable[[], Lease | None]
) -> None:
    """Write the zone's status when a version changed, or its last one grows old."""
    written_at_s = 0.0
    written_versions: tuple[Version, ...] = ()
    while True:
        lease = lease_now()
        if lease is not None:
            status = zone_status(node, lease, time.time())
            versions = tuple(instance.version for instance in status.instances)
            is_old = node.clock() - written_at_s > STATUS_REFRESH_S
            if versions != written_versions or is_old:
                written = await write_zone(store, status)
                if not isinstance(written, Failure):
                    written_versions, written_at_s = versions, node.clock()
        await anyio.sleep(STATUS_INTERVAL_S)


def _is_alone(node: Node) -> bool:
    waited_s = node.clock() - node.progress.started_at_s
    return not node.is_ready and waited_s > ALONE_AFTER_S


def _report_interval_s(node: Node) -> float:
    size = len(node.membership.in_zone(node.own_member.zone))
    fair_s = size / REPORTS_PER_S
    interval_s = min(MAX_REPORT_INTERVAL_S, max(MIN_REPORT_INTERVAL_S, fair_s))
    return interval_s * (0.9 + 0.2 * node.random.random())


async def run_while(
    node: Node, is_chosen: Callable[[], bool], run: Callable[[], Awaitable[None]]
) -> None:
    """Run a duty while this instance is chosen for it; look once an interval."""
    scope: anyio.CancelScope | None = None

    async def run_scoped(own: anyio.CancelScope) -> None:
        with own:
            await run()

    async with anyio.create_task_group() as tasks:
        while True:
            if scope is None and is_chosen():
                scope = anyio.CancelScope()
                tasks.start_soon(run_scoped, scope)
            elif scope is not None and not is_chosen():
                scope.cancel()
                scope = None
            await anyio.sleep(LOOK_INTERVAL_S)
