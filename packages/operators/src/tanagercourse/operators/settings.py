"""Read and change steering settings through the platform."""

import uuid
from dataclasses import dataclass

from returns.result import Failure, Result, Success

from tanagercourse.core.ids import NO_VERSION, ObjectPath, TeamId, Version, WriterId
from tanagercourse.core.problems import InvalidField, Problem
from tanagercourse.operators.claims import claim_service, release_service
from tanagercourse.operators.history import HistoryProblem, record_edit
from tanagercourse.operators.owners import NotOwner, check_owner
from tanagercourse.operators.validation import check_value, check_with_others
from tanagercourse.platform.store import (
    Conflict,
    NotFound,
    ObjectState,
    Store,
    StoredObject,
    StoreProblem,
    Update,
)
from tanagercourse.platform.update import Unsettled, settle_update
from tanagercourse.settings.paths import service_of


@dataclass(frozen=True)
class Edit:
    """A change that an operator asks for.

    Attributes:
        path: Which settings.
        value: Their new JSON text.
        team: Who asks.
        expected: The version that the change was made from; None takes the
            version that is there when the change is applied.
        state: PRESENT to write the settings, DELETED to remove them.
    """

    path: ObjectPath
    value: bytes
    team: TeamId
    expected: Version | None = None
    state: ObjectState = ObjectState.PRESENT


@dataclass(frozen=True)
class Applied:
    """A change that was accepted.

    Attributes:
        written: The settings as they are now.
        replaced: The settings before, None when there were none.
        unrecorded: Why the history lacks the change, None when it has it.
    """

    written: StoredObject
    replaced: StoredObject | None
    unrecorded: HistoryProblem | None = None


@dataclass(frozen=True)
class EditConflict(Problem):
    """Someone else changed the settings first.

    Attributes:
        path: The settings.
        expected: The version that the change was made from.
        found: The version now; 0 when the settings are gone.
        ours: The refused JSON text.
        theirs: The JSON text that stands now.
    """

    path: ObjectPath
    expected: Version
    found: Version
    ours: str
    theirs: str

    def describe(self) -> str:
        """Tell a person both versions and what to do."""
        return (
            f"{self.path}: this change was made from version {self.expected}, but "
            f"version {self.found} stands now; nothing was changed. Look at both "
            f"below, make the change again from version {self.found} and apply it "
            f"with --expect {self.found}"
        )


EditProblem = InvalidField | NotOwner | EditConflict | StoreProblem | Unsettled


async def find_setting(
    store: Store, path: ObjectPath
) -> Result[StoredObject | None, StoreProblem]:
    """Return the object at a path, None when there is none."""
    found = await store.read(path)
    if not isinstance(found, Failure):
        return Success(found.unwrap())
    problem = found.failure()
    return Success(None) if isinstance(problem, NotFound) else Failure(problem)


async def apply_setting(store: Store, edit: Edit) -> Result[Applied, EditProblem]:
    """Check a change and make it, unless someone else changed the settings first.

    Args:
        store: The platform.
        edit: The change.

    Returns:
        What was written, or why nothing was.
    """
    problem = check_owner(edit.path, edit.team) or _check_value(edit)
    if problem is not None:
        return Failure(problem)
    found = await find_setting(store, edit.path)
    if isinstance(found, Failure):
        return found
    replaced = found.unwrap()
    misfit = await _check_fit(store, edit, replaced)
    if misfit is not None:
        return Failure(misfit)
    settled = await settle_update(store, _update_of(edit, replaced))
    if isinstance(settled, Failure):
        return Failure(_with_both_versions(edit, settled.failure()))
    return Success(await _follow_up(store, edit, replaced, settled.unwrap()))


def _check_value(edit: Edit) -> InvalidField | None:
    if edit.state is ObjectState.DELETED:
        return None
    return check_value(edit.path, edit.value)


async def _check_fit(
    store: Store, edit: Edit, replaced: StoredObject | None
) -> InvalidField | StoreProblem | Unsettled | None:
    """Return why an edit does not fit what else the platform keeps."""
    if edit.state is ObjectState.DELETED:
        return NotFound(edit.path) if replaced is None else None
    misfit = await check_with_others(store, edit.path, edit.value)
    service = service_of(edit.path)
    if misfit is not None or replaced is not None or service is None:
        return misfit
    return await claim_service(store, edit.team, service)


def _update_of(edit: Edit, replaced: StoredObject | None) -> Update:
    expected = _expected_version(edit, replaced)
    writer = WriterId(f"{edit.team}.{uuid.uuid4().hex}")
    return Update(edit.path, expected, edit.value, writer, edit.state)


async def _follow_up(
    store: Store, edit: Edit, replaced: StoredObject | None, written: StoredObject
) -> Applied:
    """Record a change that was made, and give up what is no longer needed."""
    recorded = await record_edit(store, replaced, written)
    service = service_of(edit.path)
    if edit.state is ObjectState.DELETED and service is not None:
        await release_service(store, service)
    unrecorded = recorded.failure() if isinstance(recorded, Failure) else None
    return Applied(written, replaced, unrecorded)


def _expected_version(edit: Edit, replaced: StoredObject | None) -> Version:
    if edit.expected is not None:
        return edit.expected
    return replaced.version if replaced else NO_VERSION


def _with_both_versions(
    edit: Edit, problem: StoreProblem | Unsettled
) -> StoreProblem | Unsettled | EditConflict:
    if not isinstance(problem, Conflict):
        return problem
    found = problem.found
    return EditConflict(
        path=edit.path,
        expected=problem.expected,
        found=found.version if found else NO_VERSION,
        ours=edit.value.decode(errors="replace"),
        theirs=found.value.decode(errors="replace") if found else "",
    )
