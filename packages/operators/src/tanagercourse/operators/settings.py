"""Read and change steering settings in the platform's store."""

import uuid
from dataclasses import dataclass

from returns.result import Failure, Result, Success

from tanagercourse.core.ids import NO_VERSION, ObjectPath, TeamId, Version, WriterId
from tanagercourse.core.problems import InvalidField, Problem
from tanagercourse.operators.claims import claim_service, release_service
from tanagercourse.operators.history import HistoryProblem, record_edit
from tanagercourse.operators.owners import NotOwner, check_owner
from tanagercourse.operators.validation import check_against_stored, check_value
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
    """A change of settings requested by an operator.

    Attributes:
        path: The path of the settings.
        value: Their new JSON text.
        team: The team that requests the change.
        expected: The version that the change is based on. None means the version
            that is current when the change is applied.
        state: PRESENT to write the settings, DELETED to delete them.
    """

    path: ObjectPath
    value: bytes
    team: TeamId
    expected: Version | None = None
    state: ObjectState = ObjectState.PRESENT


@dataclass(frozen=True)
class AppliedEdit:
    """A change that the platform accepted.

    Attributes:
        written: The settings after the change.
        replaced: The settings before the change, None if there were none.
        unrecorded: Why the change was not recorded in the history, None if it was.
    """

    written: StoredObject
    replaced: StoredObject | None
    unrecorded: HistoryProblem | None = None


@dataclass(frozen=True)
class EditConflict(Problem):
    """A change was refused because another edit changed the settings first.

    Attributes:
        path: The path of the settings.
        expected: The version that the change is based on.
        found: The current version, 0 if there are no settings.
        ours: The JSON text of the refused change.
        theirs: The JSON text of the current version, empty if there is none.
    """

    path: ObjectPath
    expected: Version
    found: Version
    ours: str
    theirs: str

    def describe(self) -> str:
        """Return a message with both versions and the way to repeat the change."""
        return (
            f"{self.path}: this change is based on version {self.expected}, but the "
            f"current version is {self.found}; nothing was changed. Compare both "
            f"below, redo the change on version {self.found} and apply it with "
            f"--expect {self.found}"
        )


EditProblem = InvalidField | NotOwner | EditConflict | StoreProblem | Unsettled


async def find_setting(
    store: Store, path: ObjectPath
) -> Result[StoredObject | None, StoreProblem]:
    """Return the object at a path, None if there is none."""
    found = await store.read(path)
    if not isinstance(found, Failure):
        return Success(found.unwrap())
    problem = found.failure()
    return Success(None) if isinstance(problem, NotFound) else Failure(problem)


async def apply_setting(store: Store, edit: Edit) -> Result[AppliedEdit, EditProblem]:
    """Check a change and apply it, unless another edit changed the settings first.

    Args:
        store: The platform's store.
        edit: The change.

    Returns:
        The applied change, or why it was refused.
    """
    problem = check_owner(edit.path, edit.team) or _check_value(edit)
    if problem is not None:
        return Failure(problem)
    found = await find_setting(store, edit.path)
    if isinstance(found, Failure):
        return found
    replaced = found.unwrap()
    check_problem = await _check_compatibility_and_claim(store, edit, replaced)
    if check_problem is not None:
        return Failure(check_problem)
    settled = await settle_update(store, _make_update(edit, replaced))
    if isinstance(settled, Failure):
        return Failure(_to_edit_conflict(edit, settled.failure()))
    return Success(await _complete_edit(store, edit, replaced, settled.unwrap()))


def _check_value(edit: Edit) -> InvalidField | None:
    if edit.state is ObjectState.DELETED:
        return None
    return check_value(edit.path, edit.value)


async def _check_compatibility_and_claim(
    store: Store, edit: Edit, replaced: StoredObject | None
) -> InvalidField | StoreProblem | Unsettled | None:
    """Check an edit against the other stored objects and claim a new service.

    Returns:
        None if the edit may be applied, otherwise the reason why not.
    """
    if edit.state is ObjectState.DELETED:
        return NotFound(edit.path) if replaced is None else None
    check_problem = await check_against_stored(store, edit.path, edit.value)
    service = service_of(edit.path)
    if check_problem is not None or replaced is not None or service is None:
        return check_problem
    return await claim_service(store, edit.team, service)


def _make_update(edit: Edit, replaced: StoredObject | None) -> Update:
    expected = _expected_version(edit, replaced)
    writer = WriterId(f"{edit.team}.{uuid.uuid4().hex}")
    return Update(edit.path, expected, edit.value, writer, edit.state)


async def _complete_edit(
    store: Store, edit: Edit, replaced: StoredObject | None, written: StoredObject
) -> AppliedEdit:
    """Record an applied edit in the history; release the claim of a deleted service."""
    recorded = await record_edit(store, replaced, written)
    service = service_of(edit.path)
    if edit.state is ObjectState.DELETED and service is not None:
        await release_service(store, service)
    unrecorded = recorded.failure() if isinstance(recorded, Failure) else None
    return AppliedEdit(written, replaced, unrecorded)


def _expected_version(edit: Edit, replaced: StoredObject | None) -> Version:
    if edit.expected is not None:
        return edit.expected
    return replaced.version if replaced else NO_VERSION


def _to_edit_conflict(
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
