"""Follow the platform: settings by watch, machines by polling."""

import anyio
import structlog
from returns.result import Failure
from tanagercourse.core.ids import NO_VERSION, ObjectPath
from tanagercourse.entry.inforce import SettingsInForce
from tanagercourse.entry.roster import Roster
from tanagercourse.platform.store import Store, StoredObject

WATCH_WAIT_S = 20.0
RETRY_INTERVAL_S = 0.5
MACHINES_INTERVAL_S = 1.0
ALL = ObjectPath("/")

_log = structlog.get_logger()


async def follow_settings(
    store: Store, in_force: SettingsInForce, first_read: anyio.Event
) -> None:
    """Keep settings in force as the platform changes them; never returns.

    Args:
        store: The platform.
        in_force: Where changes are applied.
        first_read: Set once a first whole read is in force.
    """
    seen = NO_VERSION
    while True:
        if seen == NO_VERSION:
            listed = await store.list_all(ALL)
        else:
            listed = await store.watch(ALL, seen, WATCH_WAIT_S)
        if isinstance(listed, Failure):
            _log.warning("settings_unread", reason=listed.failure().describe())
            await anyio.sleep(RETRY_INTERVAL_S)
            continue
        listing = listed.unwrap()
        for stored in listing.objects:
            _apply(in_force, stored)
        seen = max(seen, listing.version)
        first_read.set()


async def follow_machines(store: Store, roster: Roster) -> None:
    """Keep the roster as the platform lists machines; never returns."""
    while True:
        listed = await store.list_machines()
        if isinstance(listed, Failure):
            _log.warning("machines_unread", reason=listed.failure().describe())
        else:
            roster.replace(listed.unwrap())
        await anyio.sleep(MACHINES_INTERVAL_S)


def _apply(in_force: SettingsInForce, stored: StoredObject) -> None:
    problem = in_force.apply(stored)
    if problem is None:
        _log.info("setting_in_force", path=stored.path, version=stored.version)
    else:
        _log.error("setting_refused", path=stored.path, reason=problem.describe())
