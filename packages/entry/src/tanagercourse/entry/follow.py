"""Put in force what the fleet spreads, and follow the platform's list of machines."""

from collections.abc import Callable

import anyio
import structlog
from returns.result import Failure
from tanagercourse.coordination.chunks import Joiner
from tanagercourse.coordination.members import INSTANCES, MEMBERS, from_object
from tanagercourse.coordination.node import Node
from tanagercourse.coordination.reading import LEAVING
from tanagercourse.core.states import InstanceState
from tanagercourse.entry.inforce import SettingsInForce
from tanagercourse.entry.roster import Roster
from tanagercourse.platform.store import ObjectState, Store, StoredObject

# All instances together read the list of machines at most so often.
MACHINES_READS_PER_S = 100.0
MIN_MACHINES_INTERVAL_S = 1.0
UNAVAILABLE = (InstanceState.LEAVING, InstanceState.GONE)

_log = structlog.get_logger()


def put_in_force(
    in_force: SettingsInForce, roster: Roster
) -> Callable[[StoredObject], None]:
    """Return what takes each object that is newly spread to this instance.

    Args:
        in_force: Takes settings, split ones once they are whole.
        roster: Takes which machines are leaving.
    """
    joiner = Joiner()

    def put(stored: StoredObject) -> None:
        if stored.path.startswith(LEAVING):
            is_leaving = stored.state is ObjectState.PRESENT
            roster.tell_leaving(stored.path.removeprefix(LEAVING), is_leaving)
        elif stored.path.startswith(MEMBERS):
            _tell_member(roster, stored)
        elif not stored.path.startswith(INSTANCES):
            whole = joiner.add(stored)
            if whole is not None:
                _apply(in_force, whole)

    return put


async def follow_machines(node: Node, store: Store, roster: Roster) -> None:
    """Keep the roster as the platform lists machines; never returns.

    The list lags and only says who is there; that a machine is leaving comes
    sooner, from the few instances that read the list often.
    """
    while True:
        listed = await store.list_machines()
        if isinstance(listed, Failure):
            _log.warning("machines_unread", reason=listed.failure().describe())
        else:
            roster.replace(listed.unwrap())
        fair_s = len(node.membership.present()) / MACHINES_READS_PER_S
        await anyio.sleep(max(MIN_MACHINES_INTERVAL_S, fair_s))


def _tell_member(roster: Roster, stored: StoredObject) -> None:
    decoded = from_object(stored)
    if not isinstance(decoded, Failure):
        member = decoded.unwrap()
        roster.tell_leaving(member.instance, member.state in UNAVAILABLE)


def _apply(in_force: SettingsInForce, stored: StoredObject) -> None:
    problem = in_force.apply(stored)
    if problem is None:
        _log.info("setting_in_force", path=stored.path, version=stored.version)
    else:
        _log.error("setting_refused", path=stored.path, reason=problem.describe())
