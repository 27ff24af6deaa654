"""Read and change steering settings through the platform."""

import uuid

from returns.result import Failure, Result
from tanagercourse.core.ids import NO_VERSION, ObjectPath, WriterId
from tanagercourse.core.problems import InvalidField
from tanagercourse.platform.store import (
    NotFound,
    Store,
    StoredObject,
    StoreProblem,
    Update,
)
from tanagercourse.platform.update import UpdateProblem, settle_update
from tanagercourse.settings.check import FLEET, decode_fleet, decode_service


async def get_setting(
    store: Store, path: ObjectPath
) -> Result[StoredObject, StoreProblem]:
    """Return the object at a path."""
    return await store.read(path)


async def apply_setting(
    store: Store, path: ObjectPath, value: bytes
) -> Result[StoredObject, InvalidField | UpdateProblem]:
    """Check a value and put it at a path, over the version that is there now.

    Args:
        store: The platform.
        path: Where to put it.
        value: JSON text.

    Returns:
        The object as written, or why it was not.
    """
    problem = check_setting(path, value)
    if problem is not None:
        return Failure(problem)
    found = await store.read(path)
    expected = NO_VERSION
    if not isinstance(found, Failure):
        expected = found.unwrap().version
    elif not isinstance(found.failure(), NotFound):
        return Failure(found.failure())
    writer = WriterId(uuid.uuid4().hex)
    return await settle_update(store, Update(path, expected, value, writer))


def check_setting(path: ObjectPath, value: bytes) -> InvalidField | None:
    """Return what is wrong with a value for a path, None when nothing is."""
    checked = (
        decode_fleet(path, value) if path == FLEET else decode_service(path, value)
    )
    return checked.failure() if isinstance(checked, Failure) else None
