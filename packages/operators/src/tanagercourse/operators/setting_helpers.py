"""What the commands under `tanagercourse settings` share."""

from pathlib import Path

import click
from returns.result import Failure

from tanagercourse.core.ids import ObjectPath
from tanagercourse.operators.output import fail
from tanagercourse.operators.session import Session
from tanagercourse.operators.settings import find_setting
from tanagercourse.platform.store import NotFound, StoredObject

# The path in examples.
MOTRITELJ = "/teams/preljev/services/motritelj"
FILE = click.argument(
    "file", type=click.Path(exists=True, dir_okay=False, path_type=Path)
)


async def read_or_fail(session: Session, path: ObjectPath) -> StoredObject:
    """Return the settings at a path, or end with the problem's exit code."""
    async with session.store() as store:
        found = await find_setting(store, path)
    if isinstance(found, Failure):
        fail(found.failure(), session.output)
    stored = found.unwrap()
    if stored is None:
        fail(NotFound(path), session.output)
    return stored
