"""Drain and undrain backend servers by editing their service's settings."""

import dataclasses
from dataclasses import dataclass

from returns.result import Failure, Result, Success

from tanagercourse.core.ids import ObjectPath, ServiceId, TeamId, UpstreamId
from tanagercourse.core.problems import InvalidField
from tanagercourse.operators.settings import (
    AppliedEdit,
    Edit,
    EditConflict,
    EditProblem,
    apply_setting,
)
from tanagercourse.platform.store import Store, StoredObject
from tanagercourse.settings.check import decode_service, encode
from tanagercourse.settings.paths import service_path
from tanagercourse.settings.schema import Duty, ServiceSettings

# Changing one upstream's duty is compatible with any other edit, so after a conflict
# it is applied to the newer version, up to this number of attempts in all.
MAX_ATTEMPTS = 5


@dataclass(frozen=True)
class DutyChange:
    """A request to drain or undrain one backend server of a service.

    Attributes:
        team: The team on whose behalf the change is made.
        service: The service.
        upstream: The backend server.
        duty: Whether the backend server is to serve or to drain.
    """

    team: TeamId
    service: ServiceId
    upstream: UpstreamId
    duty: Duty

    @property
    def path(self) -> ObjectPath:
        """Return the path of the service's settings."""
        return service_path(self.team, self.service)


async def change_duty(
    store: Store, change: DutyChange
) -> Result[AppliedEdit, EditProblem]:
    """Apply a duty change, retrying on the newer version after a conflicting edit.

    Returns:
        The applied edit, or why the change was not applied.
    """
    problem: EditProblem
    for _ in range(MAX_ATTEMPTS):
        edited = await edit_duty(store, change)
        if isinstance(edited, Failure):
            return edited
        applied = await apply_setting(store, edited.unwrap())
        if not isinstance(applied, Failure):
            return applied
        problem = applied.failure()
        if not isinstance(problem, EditConflict):
            break
    return Failure(problem)


async def edit_duty(store: Store, change: DutyChange) -> Result[Edit, EditProblem]:
    """Return a duty change as an edit of the current version of the settings."""
    read = await store.read(change.path)
    if isinstance(read, Failure):
        return read
    found = read.unwrap()
    decoded = decode_service(change.path, found.value)
    if isinstance(decoded, Failure):
        return decoded
    return _make_edit(change, found, decoded.unwrap())


def _make_edit(
    change: DutyChange, found: StoredObject, settings: ServiceSettings
) -> Result[Edit, EditProblem]:
    upstream_ids = [upstream.id for upstream in settings.upstreams]
    if change.upstream not in upstream_ids:
        allowed = f"an upstream of {change.service}: {', '.join(upstream_ids)}"
        return Failure(InvalidField("arguments", "UPSTREAM", change.upstream, allowed))
    upstreams = tuple(
        dataclasses.replace(upstream, duty=change.duty)
        if upstream.id == change.upstream
        else upstream
        for upstream in settings.upstreams
    )
    value = encode(dataclasses.replace(settings, upstreams=upstreams))
    return Success(Edit(found.path, value, change.team, found.version))
