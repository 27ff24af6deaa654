"""Check settings by themselves and against the other settings in the store."""

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
    """Return the first invalid field of a value for a path, None if it is valid."""
    checked = (
        decode_fleet(path, value) if path == FLEET_PATH else decode_service(path, value)
    )
    return checked.failure() if isinstance(checked, Failure) else None


async def check_against_stored(
    store: Store, path: ObjectPath, value: bytes
) -> InvalidField | StoreProblem | None:
    """Check a valid value against the other settings in the store.

    Args:
        store: The platform's store.
        path: The path at which the value is to be stored.
        value: JSON text that `check_value` accepts.

    Returns:
        None if the value is consistent with the other settings, otherwise the field
        that is not, or why the other settings could not be read.
    """
    listed = await store.list_all(TEAMS_PREFIX)
    if isinstance(listed, Failure):
        list_problem: StoreProblem = listed.failure()
        return list_problem
    present = [
        stored
        for stored in listed.unwrap().objects
        if stored.state is ObjectState.PRESENT
    ]
    if path == FLEET_PATH:
        return _check_fleet(decode_fleet(path, value).unwrap(), present)
    settings = decode_service(path, value).unwrap()
    paths = [stored.path for stored in present]
    team_problem = check_single_team(path, settings.service_id, paths)
    if team_problem is not None:
        return team_problem
    found = await store.read(FLEET_PATH)
    if isinstance(found, Failure):
        read_problem: StoreProblem = found.failure()
        return None if isinstance(read_problem, NotFound) else read_problem
    fleet = decode_fleet(FLEET_PATH, found.unwrap().value)
    return check_zones(path, settings, fleet.unwrap())


def _check_fleet(
    fleet: FleetSettings, present: list[StoredObject]
) -> InvalidField | None:
    """Return the first upstream whose zone the new fleet settings do not list."""
    for stored in present:
        decoded = decode_service(stored.path, stored.value)
        if isinstance(decoded, Failure):
            continue
        misplaced = check_zones(stored.path, decoded.unwrap(), fleet)
        if misplaced is not None:
            return misplaced
    return None
