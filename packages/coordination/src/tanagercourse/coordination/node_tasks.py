"""Tasks of an instance: registration, platform reads, reports and zone status.

While the platform is unreachable, no instance holds a zone's lease and the zone's
status stays unchanged; registration is retried, and readers continue to poll. None of
these tasks delays the exchange with peers.
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
from tanagercourse.coordination.node import Node, ReceivedReport
from tanagercourse.coordination.peers import Connect, Peer, Report
from tanagercourse.coordination.platform_reader import follow_machines, follow_platform
from tanagercourse.coordination.status import (
    InstanceStatus,
    ZoneStatus,
    write_zone_status,
)
from tanagercourse.core.ids import NO_VERSION, ObjectPath, Version, WriterId
from tanagercourse.platform.store import Conflict, Store, Update
from tanagercourse.platform.update import settle_update

ZONE_LEASES_PREFIX = ObjectPath("/system/leases/zones/")
LEASE_MS = 15_000
STATUS_INTERVAL_S = 5.0
# An unchanged status is written again after this time, so that its age shows whether
# the writer still works.
STATUS_REFRESH_S = 30.0
# Target rate of the reports of all instances of a zone together; each instance derives
# its own interval from it, within the bounds below.
REPORTS_PER_S = 2.0
MIN_REPORT_INTERVAL_S = 1.0
MAX_REPORT_INTERVAL_S = 30.0
ROLE_CHECK_INTERVAL_S = 1.0
# An instance that is not ready after this time reads the platform itself.
STARTUP_OVERDUE_S = 5.0
BOOTSTRAP_READ_TIMEOUT_S = 2.0
REGISTER_RETRY_INTERVAL_S = 5.0

_log = structlog.get_logger()


async def load_registered_members(node: Node, store: Store) -> None:
    """Load the registered instances from the platform if it responds in time."""
    with anyio.move_on_after(BOOTSTRAP_READ_TIMEOUT_S):
        listed = await store.list_all(REGISTRATIONS_PREFIX)
        if not isinstance(listed, Failure):
            node.apply_objects(listed.unwrap().objects)


async def register(node: Node, store: Store) -> None:
    """Register this instance in the platform, where starting instances read it."""
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
        _log.warning("registration_failed", reason=problem.describe())
        await anyio.sleep(REGISTER_RETRY_INTERVAL_S * (0.5 + node.random.random()))


async def run_platform_reader(
    node: Node, store: Store, prefixes: tuple[ObjectPath, ...]
) -> None:
    """Read the platform while this instance is a reader or its start is overdue.

    Args:
        node: State of this instance.
        store: The platform.
        prefixes: Prefixes of the objects to read.
    """

    async def read_platform() -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(follow_platform, node, store, prefixes)
            tasks.start_soon(follow_machines, node, store)

    await run_while_chosen(
        node, lambda: node.is_reader() or _is_startup_overdue(node), read_platform
    )


async def run_status_writer(node: Node, store: Store) -> None:
    """Contend for the zone's lease while a reader; its holder writes the status."""
    await run_while_chosen(
        node, node.is_reader, lambda: _hold_lease_and_write_status(node, store)
    )


async def report_active_version(node: Node, connect: Connect) -> None:
    """Report the active settings version to the zone's readers; never returns."""
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
    node.reports[node.own_member.instance] = ReceivedReport(report, node.clock())
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


def build_zone_status(node: Node, lease: Lease, now_unix_s: float) -> ZoneStatus:
    """Build the status of this instance's zone from the received reports.

    An instance without a report gets version 0 and the age of this instance's start.

    Args:
        node: State of this instance.
        lease: The zone's lease, held by this instance.
        now_unix_s: Current wall-clock time, in seconds.
    """
    instances = []
    now_s = node.clock()
    for member in node.membership.in_zone(node.own_member.zone):
        received = node.reports.get(member.instance)
        version = received.report.version if received else Version(0)
        last_report_at_s = (
            received.received_at_s if received else node.startup_progress.started_at_s
        )
        age_s = round(now_s - last_report_at_s, 1)
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


async def _hold_lease_and_write_status(node: Node, store: Store) -> None:
    held: Lease | None = None

    def set_lease(lease: Lease | None) -> None:
        nonlocal held
        held = lease

    def current_lease() -> Lease | None:
        return held if held is not None and held.is_held(node.clock()) else None

    path = ObjectPath(ZONE_LEASES_PREFIX + node.own_member.zone)
    claim = Claim(path, node.own_member.instance, LEASE_MS)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(hold_lease, store, claim, node.clock, node.random, set_lease)
        tasks.start_soon(_write_status, node, store, current_lease)


async def _write_status(
    node: Node, store: Store, current_lease: Callable[[], Lease | None]
) -> None:
    """Write the zone's status when a version changed or the last status is too old."""
    written_at_s = 0.0
    written_versions: tuple[Version, ...] = ()
    while True:
        lease = current_lease()
        if lease is not None:
            status = build_zone_status(node, lease, time.time())
            versions = tuple(instance.version for instance in status.instances)
            is_old = node.clock() - written_at_s > STATUS_REFRESH_S
            if versions != written_versions or is_old:
                written = await write_zone_status(store, status)
                if not isinstance(written, Failure):
                    written_versions, written_at_s = versions, node.clock()
        await anyio.sleep(STATUS_INTERVAL_S)


def _is_startup_overdue(node: Node) -> bool:
    waited_s = node.clock() - node.startup_progress.started_at_s
    return not node.is_ready and waited_s > STARTUP_OVERDUE_S


def _report_interval_s(node: Node) -> float:
    zone_size = len(node.membership.in_zone(node.own_member.zone))
    fair_interval_s = zone_size / REPORTS_PER_S
    interval_s = min(MAX_REPORT_INTERVAL_S, max(MIN_REPORT_INTERVAL_S, fair_interval_s))
    return interval_s * (0.9 + 0.2 * node.random.random())


async def run_while_chosen(
    node: Node, is_chosen: Callable[[], bool], run: Callable[[], Awaitable[None]]
) -> None:
    """Run a task while this instance is chosen for it; never returns.

    The choice is checked every `ROLE_CHECK_INTERVAL_S`.

    Args:
        node: State of this instance.
        is_chosen: Returns whether the task is to run now.
        run: The task, which is cancelled when the instance is no longer chosen.
    """
    scope: anyio.CancelScope | None = None

    async def run_in_scope(task_scope: anyio.CancelScope) -> None:
        with task_scope:
            await run()

    async with anyio.create_task_group() as tasks:
        while True:
            if scope is None and is_chosen():
                scope = anyio.CancelScope()
                tasks.start_soon(run_in_scope, scope)
            elif scope is not None and not is_chosen():
                scope.cancel()
                scope = None
            await anyio.sleep(ROLE_CHECK_INTERVAL_S)
