"""Check a value alone and against the other settings that the platform keeps."""

from returns.result import Failure

from tanagercourse.core.ids import ObjectPath
from tanagercourse.core.problems import InvalidField
from tanagercourse.platform.store import (
    NotFound,
    ObjectState,
    Store,
    StoredObject,
    StoreProblem,
)
from tanagercourse.settings.check import (
    FLEET_PATH,
    check_single_team,
    check_zones,
    decode_fleet,
    decode_service,
)
from tanagercourse.settings.paths import TEAMS_PREFIX
from tanagercourse.settings.schema import FleetSettings


def check_value(path: ObjectPath, value: bytes) -> InvalidField | None:
    """Return what is wrong with a value for a path, None when nothing is."""
    checked = (
        decode_fleet(path, value) if path == FLEET_PATH else decode_service(path, value)
    )
    return checked.failure() if isinstance(checked, Failure) else None


async def check_with_others(
    store: Store, path: ObjectPath, value: bytes
) -> InvalidField | StoreProblem | None:
    """Return how a valid value clashes with other settings, None when it fits.

    Args:
        store: The platform.
        path: Where the value is to be.
        value: JSON text that `check_value` found nothing wrong with.
    """
    listed = await store.list_all(TEAMS_PREFIX)
    if isinstance(listed, Failure):
        unread: StoreProblem = listed.failure()
        return unread
    present = [
        stored
        for stored in listed.unwrap().objects
        if stored.state is ObjectState.PRESENT
    ]
    if path == FLEET_PATH:
        return _check_fleet(decode_fleet(path, value).unwrap(), present)
    settings = decode_service(path, value).unwrap()
    paths = [stored.path for stored in present]
    clash = check_single_team(path, settings.service_id, paths)
    if clash is not None:
        return clash
    found = await store.read(FLEET_PATH)
    if isinstance(found, Failure):
        problem: StoreProblem = found.failure()
        return None if isinstance(problem, NotFound) else problem
    fleet = decode_fleet(FLEET_PATH, found.unwrap().value)
    return check_zones(path, settings, fleet.unwrap())


def _check_fleet(
    fleet: FleetSettings, present: list[StoredObject]
) -> InvalidField | None:
    """Return the first upstream whose zone a fleet no longer lists."""
    for stored in present:
        decoded = decode_service(stored.path, stored.value)
        if isinstance(decoded, Failure):
            continue
        misplaced = check_zones(stored.path, decoded.unwrap(), fleet)
        if misplaced is not None:
            return misplaced
    return None
