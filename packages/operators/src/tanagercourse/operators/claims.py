"""Claim a service for one team, so that no two teams create it concurrently."""

import uuid

from returns.result import Failure

from tanagercourse.core.ids import NO_VERSION, ServiceId, TeamId, WriterId
from tanagercourse.core.problems import InvalidField
from tanagercourse.platform.store import (
    Conflict,
    NotFound,
    ObjectState,
    Store,
    StoreProblem,
    Update,
)
from tanagercourse.platform.update import Unsettled, settle_update
from tanagercourse.settings.paths import claim_path, service_path

ClaimProblem = InvalidField | StoreProblem | Unsettled


async def claim_service(
    store: Store, team: TeamId, service: ServiceId
) -> ClaimProblem | None:
    """Claim a service for a team. Claiming it again for the same team succeeds.

    Args:
        store: The platform's store.
        team: The team that is to own the service.
        service: The service.

    Returns:
        None if the team owns the service, otherwise the reason why it does not.
    """
    path = claim_path(service)
    writer = WriterId(uuid.uuid4().hex)
    update = Update(path, NO_VERSION, team.encode(), writer)
    settled = await settle_update(store, update)
    if not isinstance(settled, Failure):
        return None
    problem: StoreProblem | Unsettled = settled.failure()
    if not isinstance(problem, Conflict) or problem.found is None:
        return problem
    owner = TeamId(problem.found.value.decode(errors="replace"))
    if owner == team:
        return None
    allowed = f"a service that no other team owns; team {owner} owns it"
    return InvalidField(service_path(team, service), "service", service, allowed)


async def release_service(store: Store, service: ServiceId) -> ClaimProblem | None:
    """Delete the claim on a service whose settings were deleted.

    Returns:
        None if no claim is left, otherwise the reason why it could not be deleted.
    """
    path = claim_path(service)
    found = await store.read(path)
    if isinstance(found, Failure):
        read_problem: StoreProblem = found.failure()
        return None if isinstance(read_problem, NotFound) else read_problem
    writer = WriterId(uuid.uuid4().hex)
    version = found.unwrap().version
    update = Update(path, version, b"", writer, ObjectState.DELETED)
    settled = await settle_update(store, update)
    if isinstance(settled, Failure):
        problem: StoreProblem | Unsettled = settled.failure()
        return problem
    return None
