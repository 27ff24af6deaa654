"""Apply objects that the fleet replicates, and poll the platform's machines."""

from collections.abc import Callable

import anyio
import structlog
from returns.result import Failure

from tanagercourse.coordination.chunks import PartAssembler
from tanagercourse.coordination.members import (
    MEMBERS_PREFIX,
    REGISTRATIONS_PREFIX,
    member_from_object,
)
from tanagercourse.coordination.platform_reader import LEAVING_PREFIX
from tanagercourse.coordination.sharing import GRANTERS_PREFIX
from tanagercourse.core.states import InstanceState
from tanagercourse.entry.active_settings import ActiveSettings
from tanagercourse.entry.instance_directory import InstanceDirectory
from tanagercourse.platform.store import (
    Machine,
    ObjectState,
    Presence,
    Store,
    StoredObject,
)

MACHINES_INTERVAL_S = 1.0
# A list of more than `SHORT_LIST_MACHINES` is read less often than every
# `MACHINES_INTERVAL_S`, so that reading it takes at most `MAX_LIST_BYTES_PER_S`.
SHORT_LIST_MACHINES = 100
BYTES_PER_MACHINE = 100
MAX_LIST_BYTES_PER_S = 200
UNAVAILABLE_STATES = (
    InstanceState.SUSPECTED,
    InstanceState.LEAVING,
    InstanceState.GONE,
)

_log = structlog.get_logger()


def object_applier(
    active_settings: ActiveSettings, directory: InstanceDirectory
) -> Callable[[StoredObject], None]:
    """Return a function that applies each object replicated to this instance.

    Args:
        active_settings: Receives settings; those split into parts, once all parts were
            received.
        directory: Receives members and reports of leaving machines.
    """
    assembler = PartAssembler()

    def apply_update(stored: StoredObject) -> None:
        if stored.path.startswith(LEAVING_PREFIX):
            is_leaving = stored.state is ObjectState.PRESENT
            directory.set_leaving(stored.path.removeprefix(LEAVING_PREFIX), is_leaving)
        elif stored.path.startswith(MEMBERS_PREFIX):
            _update_member(directory, stored)
        elif not stored.path.startswith((REGISTRATIONS_PREFIX, GRANTERS_PREFIX)):
            complete = assembler.add(stored)
            if complete is not None:
                _apply_setting(active_settings, complete)

    return apply_update


async def poll_machines(store: Store, directory: InstanceDirectory) -> None:
    """Update the directory from the platform's list of machines until cancelled.

    Peers report new instances and leaving machines sooner than the platform's list, so
    a long list need not be read often.
    """
    interval_s = MACHINES_INTERVAL_S
    while True:
        list_result = await store.list_machines()
        if isinstance(list_result, Failure):
            _log.warning(
                "machine_list_read_failed", reason=list_result.failure().describe()
            )
        else:
            machines = list_result.unwrap()
            directory.replace(machines)
            interval_s = list_interval_s(len(machines))
        await anyio.sleep(interval_s)


def list_interval_s(machine_count: int) -> float:
    """Return the interval, in seconds, until a list of machines is read again.

    >>> list_interval_s(48), list_interval_s(2_900)
    (1.0, 1450.0)
    """
    if machine_count <= SHORT_LIST_MACHINES:
        return MACHINES_INTERVAL_S
    return machine_count * BYTES_PER_MACHINE / MAX_LIST_BYTES_PER_S


def _update_member(directory: InstanceDirectory, stored: StoredObject) -> None:
    decoded = member_from_object(stored)
    if not isinstance(decoded, Failure):
        member = decoded.unwrap()
        directory.set_leaving(member.instance, member.state in UNAVAILABLE_STATES)
        if member.caller_port:
            host, port = member.address.host, member.caller_port
            machine = Machine(member.instance, host, port, member.zone, Presence.LIVE)
            directory.set_member(machine)


def _apply_setting(active_settings: ActiveSettings, stored: StoredObject) -> None:
    problem = active_settings.apply(stored)
    if problem is None:
        _log.info("setting_applied", path=stored.path, version=stored.version)
    else:
        _log.error("setting_refused", path=stored.path, reason=problem.describe())
