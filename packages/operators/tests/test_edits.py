"""Tests of edits that depend on other stored settings, against a fake store."""

import dataclasses

import anyio
import pytest
from returns.result import Failure, Result

from tanagercourse.core.ids import ObjectPath, TeamId
from tanagercourse.core.problems import InvalidField
from tanagercourse.operators.settings import (
    AppliedEdit,
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
Outcome = Result[AppliedEdit, EditProblem]


@pytest.fixture
def fake_store() -> FakeStore:
    return FakeStore()


def path_of(team: TeamId, service: ServiceSettings) -> ObjectPath:
    return service_path(team, service.service_id)


async def create(
    fake_store: FakeStore, team: TeamId, service: ServiceSettings
) -> Outcome:
    edit = Edit(path_of(team, service), encode(service), team)
    return await apply_setting(fake_store.as_store(), edit)


async def put_fleet(fake_store: FakeStore, zone: str) -> Outcome:
    value = encode(FleetSettings((ZoneSettings(zone, "region"),)))
    return await apply_setting(
        fake_store.as_store(), Edit(FLEET_PATH, value, TeamId("fleet"))
    )


def invalid_field(outcome: Outcome) -> str:
    problem = outcome.failure()
    assert isinstance(problem, InvalidField)
    return problem.field


async def test_zones_of_upstreams_must_be_zones_of_the_fleet(
    fake_store: FakeStore, service: ServiceSettings
) -> None:
    await put_fleet(fake_store, "osijek-a")
    misplaced = await create(fake_store, TEAMS[0], service)
    assert invalid_field(misplaced) == "upstreams[0].zone"
    await put_fleet(fake_store, "split-a")
    assert not isinstance(await create(fake_store, TEAMS[0], service), Failure)
    dropped = await put_fleet(fake_store, "osijek-a")
    assert invalid_field(dropped) == "upstreams[0].zone"


async def test_service_is_refused_for_a_second_team(
    fake_store: FakeStore, service: ServiceSettings
) -> None:
    await create(fake_store, TEAMS[0], service)
    refused = await create(fake_store, TEAMS[1], service)
    assert invalid_field(refused) == "service"


async def test_racing_teams_create_a_service_once(
    fake_store: FakeStore, service: ServiceSettings
) -> None:
    store = fake_store.as_store()
    outcomes: list[Outcome] = []
    listed_prefixes: list[ObjectPath] = []
    all_listed = anyio.Event()

    # Every team sees a store without the service, so listing alone cannot detect the
    # race.
    async def list_before_any_write(
        prefix: ObjectPath,
    ) -> Result[Listing, StoreProblem]:
        listed = await store.list_all(prefix)
        listed_prefixes.append(prefix)
        if len(listed_prefixes) == len(TEAMS):
            all_listed.set()
        await all_listed.wait()
        return listed

    synchronised_store = dataclasses.replace(store, list_all=list_before_any_write)

    async def create_concurrently(team: TeamId) -> None:
        edit = Edit(path_of(team, service), encode(service), team)
        outcomes.append(await apply_setting(synchronised_store, edit))

    async with anyio.create_task_group() as tasks:
        for team in TEAMS:
            tasks.start_soon(create_concurrently, team)
    assert sum(not isinstance(outcome, Failure) for outcome in outcomes) == 1
    found = [await find_setting(store, path_of(team, service)) for team in TEAMS]
    assert sum(stored.unwrap() is not None for stored in found) == 1


async def test_deleted_service_can_be_created_by_another_team(
    fake_store: FakeStore, service: ServiceSettings
) -> None:
    await create(fake_store, TEAMS[0], service)
    path = path_of(TEAMS[0], service)
    delete = Edit(path, b"", TEAMS[0], state=ObjectState.DELETED)
    assert not isinstance(await apply_setting(fake_store.as_store(), delete), Failure)
    second_delete = await apply_setting(fake_store.as_store(), delete)
    assert isinstance(second_delete.failure(), NotFound)
    assert not isinstance(await create(fake_store, TEAMS[1], service), Failure)
