"""Claim a service for one team, so that two teams can't create it at once."""

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
    """Claim a service for a team; one that it has claimed already stays its own.

    Returns:
        Why the team may not have the service, None when it has it.
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
    holder = TeamId(problem.found.value.decode(errors="replace"))
    if holder == team:
        return None
    allowed = f"a service that no other team holds; team {holder} does"
    return InvalidField(service_path(team, service), "service", service, allowed)


async def release_service(store: Store, service: ServiceId) -> ClaimProblem | None:
    """Give up the claim on a service that has no settings any more."""
    path = claim_path(service)
    found = await store.read(path)
    if isinstance(found, Failure):
        unread: StoreProblem = found.failure()
        return None if isinstance(unread, NotFound) else unread
    writer = WriterId(uuid.uuid4().hex)
    version = found.unwrap().version
    update = Update(path, version, b"", writer, ObjectState.DELETED)
    settled = await settle_update(store, update)
    if isinstance(settled, Failure):
        problem: StoreProblem | Unsettled = settled.failure()
        return problem
    return None
