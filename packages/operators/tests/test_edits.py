"""Edits against the other settings that the platform keeps, in one process."""

import dataclasses

import anyio
import pytest
from returns.result import Failure, Result

from tanagercourse.core.ids import ObjectPath, TeamId
from tanagercourse.core.problems import InvalidField
from tanagercourse.operators.settings import (
    Applied,
    Edit,
    EditProblem,
    apply_setting,
    find_setting,
)
from tanagercourse.platform.store import Listing, NotFound, ObjectState, StoreProblem
from tanagercourse.settings.check import FLEET_PATH, encode
from tanagercourse.settings.paths import service_path
from tanagercourse.settings.schema import FleetSettings, ServiceSettings, ZoneSettings
from tanagercourse.testing.stores import FakeStore

pytestmark = pytest.mark.anyio

TEAMS = tuple(TeamId(name) for name in ("preljev", "franchise", "other"))
Outcome = Result[Applied, EditProblem]


@pytest.fixture
def fake() -> FakeStore:
    return FakeStore()


def path_of(team: TeamId, service: ServiceSettings) -> ObjectPath:
    return service_path(team, service.service_id)


async def create(fake: FakeStore, team: TeamId, service: ServiceSettings) -> Outcome:
    edit = Edit(path_of(team, service), encode(service), team)
    return await apply_setting(fake.port(), edit)


async def put_fleet(fake: FakeStore, zone: str) -> Outcome:
    value = encode(FleetSettings((ZoneSettings(zone, "region"),)))
    return await apply_setting(fake.port(), Edit(FLEET_PATH, value, TeamId("fleet")))


def invalid_field(outcome: Outcome) -> str:
    problem = outcome.failure()
    assert isinstance(problem, InvalidField)
    return problem.field


async def test_zones_of_upstreams_are_the_fleets(
    fake: FakeStore, service: ServiceSettings
) -> None:
    await put_fleet(fake, "osijek-a")
    misplaced = await create(fake, TEAMS[0], service)
    assert invalid_field(misplaced) == "upstreams[0].zone"
    await put_fleet(fake, "split-a")
    assert not isinstance(await create(fake, TEAMS[0], service), Failure)
    dropped = await put_fleet(fake, "osijek-a")
    assert invalid_field(dropped) == "upstreams[0].zone"


async def test_service_has_one_team_only(
    fake: FakeStore, service: ServiceSettings
) -> None:
    await create(fake, TEAMS[0], service)
    taken = await create(fake, TEAMS[1], service)
    assert invalid_field(taken) == "service"


async def test_racing_teams_create_a_service_once(
    fake: FakeStore, service: ServiceSettings
) -> None:
    port = fake.port()
    outcomes: list[Outcome] = []
    looked: list[ObjectPath] = []
    all_looked = anyio.Event()

    async def list_before_anyone_writes(
        prefix: ObjectPath,
    ) -> Result[Listing, StoreProblem]:
        listed = await port.list_all(prefix)
        looked.append(prefix)
        if len(looked) == len(TEAMS):
            all_looked.set()
        await all_looked.wait()
        return listed

    slow = dataclasses.replace(port, list_all=list_before_anyone_writes)

    async def create_at_once(team: TeamId) -> None:
        edit = Edit(path_of(team, service), encode(service), team)
        outcomes.append(await apply_setting(slow, edit))

    async with anyio.create_task_group() as tasks:
        for team in TEAMS:
            tasks.start_soon(create_at_once, team)
    assert sum(not isinstance(outcome, Failure) for outcome in outcomes) == 1
    found = [await find_setting(port, path_of(team, service)) for team in TEAMS]
    assert sum(each.unwrap() is not None for each in found) == 1


async def test_deleted_service_is_free_for_another_team(
    fake: FakeStore, service: ServiceSettings
) -> None:
    await create(fake, TEAMS[0], service)
    path = path_of(TEAMS[0], service)
    delete = Edit(path, b"", TEAMS[0], state=ObjectState.DELETED)
    assert not isinstance(await apply_setting(fake.port(), delete), Failure)
    again = await apply_setting(fake.port(), delete)
    assert isinstance(again.failure(), NotFound)
    assert not isinstance(await create(fake, TEAMS[1], service), Failure)
