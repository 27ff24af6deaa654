"""Put in force what the fleet spreads, and follow the platform's list of machines."""

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
# A longer list than this is read less often, at no more than these bytes a second.
SHORT_LIST = 100
LINE_BYTES = 100
LIST_BYTES_PER_S = 200
UNAVAILABLE = (
    InstanceState.SUSPECTED,
    InstanceState.LEAVING,
    InstanceState.GONE,
)

_log = structlog.get_logger()


def put_in_force(
    in_force: ActiveSettings, roster: InstanceDirectory
) -> Callable[[StoredObject], None]:
    """Return what takes each object that is newly spread to this instance.

    Args:
        in_force: Takes settings, split ones once they are whole.
        roster: Takes which machines are leaving.
    """
    joiner = PartAssembler()

    def put(stored: StoredObject) -> None:
        if stored.path.startswith(LEAVING_PREFIX):
            is_leaving = stored.state is ObjectState.PRESENT
            roster.tell_leaving(stored.path.removeprefix(LEAVING_PREFIX), is_leaving)
        elif stored.path.startswith(MEMBERS_PREFIX):
            _tell_member(roster, stored)
        elif not stored.path.startswith((REGISTRATIONS_PREFIX, GRANTERS_PREFIX)):
            whole = joiner.add(stored)
            if whole is not None:
                _apply(in_force, whole)

    return put


async def follow_machines(store: Store, roster: InstanceDirectory) -> None:
    """Keep the roster as the platform lists machines; never returns.

    Instances that come and machines that leave are told sooner by peers, so a long
    list need not be read often.
    """
    interval_s = MACHINES_INTERVAL_S
    while True:
        listed = await store.list_machines()
        if isinstance(listed, Failure):
            _log.warning("machines_unread", reason=listed.failure().describe())
        else:
            machines = listed.unwrap()
            roster.replace(machines)
            interval_s = list_interval_s(len(machines))
        await anyio.sleep(interval_s)


def list_interval_s(lines: int) -> float:
    """Return how long to wait before the list of machines is read again.

    >>> list_interval_s(48), list_interval_s(2_900)
    (1.0, 1450.0)
    """
    if lines <= SHORT_LIST:
        return MACHINES_INTERVAL_S
    return lines * LINE_BYTES / LIST_BYTES_PER_S


def _tell_member(roster: InstanceDirectory, stored: StoredObject) -> None:
    decoded = member_from_object(stored)
    if not isinstance(decoded, Failure):
        member = decoded.unwrap()
        roster.tell_leaving(member.instance, member.state in UNAVAILABLE)
        if member.caller_port:
            host, port = member.address.host, member.caller_port
            machine = Machine(member.instance, host, port, member.zone, Presence.LIVE)
            roster.tell_member(machine)


def _apply(in_force: ActiveSettings, stored: StoredObject) -> None:
    problem = in_force.apply(stored)
    if problem is None:
        _log.info("setting_in_force", path=stored.path, version=stored.version)
    else:
        _log.error("setting_refused", path=stored.path, reason=problem.describe())
