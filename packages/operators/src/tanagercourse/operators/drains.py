"""Drain backend servers, and put them back, by editing their service's settings."""

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

# A change of duty fits any other edit, so it is made again on the newer version.
MAX_ATTEMPTS = 5


@dataclass(frozen=True)
class DutyChange:
    """What an operator asks of a backend server.

    Attributes:
        team: The service's team.
        service: The service.
        upstream: The backend server.
        duty: Whether it is to serve or to drain.
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
    """Make a change of duty, again on the newer version when another edit wins."""
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
    """Return a change of duty as an edit of the version that stands now."""
    read = await store.read(change.path)
    if isinstance(read, Failure):
        return read
    found = read.unwrap()
    decoded = decode_service(change.path, found.value)
    if isinstance(decoded, Failure):
        return decoded
    return _edit(change, found, decoded.unwrap())


def _edit(
    change: DutyChange, found: StoredObject, settings: ServiceSettings
) -> Result[Edit, EditProblem]:
    known = [upstream.id for upstream in settings.upstreams]
    if change.upstream not in known:
        allowed = f"an upstream of {change.service}: {', '.join(known)}"
        return Failure(InvalidField("arguments", "UPSTREAM", change.upstream, allowed))
    upstreams = tuple(
        dataclasses.replace(upstream, duty=change.duty)
        if upstream.id == change.upstream
        else upstream
        for upstream in settings.upstreams
    )
    value = encode(dataclasses.replace(settings, upstreams=upstreams))
    return Success(Edit(found.path, value, change.team, found.version))
