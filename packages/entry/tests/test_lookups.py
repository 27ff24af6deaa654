"""Look-ups: whole answers from settings in force, blocks and the machines' list."""

from random import Random

import pytest
from returns.result import Failure

from tanagercourse.core.ids import (
    InstanceId,
    ObjectPath,
    SiteId,
    TeamId,
    Version,
    WriterId,
    ZoneId,
)
from tanagercourse.core.states import Idempotency, Rank
from tanagercourse.entry.active_settings import ActiveSettings
from tanagercourse.entry.instance_directory import InstanceDirectory
from tanagercourse.entry.lookup import VALID_FOR_MS, Lookups
from tanagercourse.platform.store import Machine, ObjectState, Presence, StoredObject
from tanagercourse.settings.blocks import encode_map
from tanagercourse.settings.check import FLEET_PATH, encode
from tanagercourse.settings.paths import service_path
from tanagercourse.settings.schema import FleetSettings, ServiceSettings, ZoneSettings
from tanagercourse.steering.flatten import BlockRow, build_map
from tanagercourse.wire.lookups import (
    BatchLookup,
    LookupResponse,
    decode_batch_lookup,
    decode_batch_response,
    decode_lookup_response,
    encode_lookup_response,
)

WATER = TeamId("water")
ZONES = {"split-a": "jadran", "rijeka-b": "jadran", "osijek-a": "panonija"}
SITES = {SiteId("hvar"): ZoneId("split-a"), SiteId("vinkovci"): ZoneId("osijek-a")}
ROWS = [
    BlockRow("10.0.0.0/8", SiteId("hvar")),
    BlockRow("10.9.0.0/16", SiteId("vinkovci")),
]


class Objects:
    """Puts objects in force, each at a newer version."""

    def __init__(self) -> None:
        self.in_force = ActiveSettings()
        self._version = 0

    def put(
        self,
        path: ObjectPath,
        value: bytes,
        state: ObjectState = ObjectState.PRESENT,
    ) -> None:
        self._version += 1
        stored = StoredObject(
            path, Version(self._version), value, WriterId("test"), state
        )
        assert self.in_force.apply(stored) is None


@pytest.fixture
def objects() -> Objects:
    objects = Objects()
    zones = tuple(ZoneSettings(zone, region) for zone, region in ZONES.items())
    objects.put(FLEET_PATH, encode(FleetSettings(zones)))
    return objects


@pytest.fixture
def roster() -> InstanceDirectory:
    roster = InstanceDirectory()
    roster.replace(machine(zone, number) for zone in ZONES for number in (1, 2))
    return roster


@pytest.fixture
def lookups(objects: Objects, roster: InstanceDirectory) -> Lookups:
    return Lookups(objects.in_force, roster, Random(1))


def machine(zone: str, number: int, presence: Presence = Presence.LIVE) -> Machine:
    name = InstanceId(f"{zone}-{number}")
    return Machine(name, "10.1.1.1", 8_000 + number, ZoneId(zone), presence)


def put_map(objects: Objects, team: TeamId = WATER) -> None:
    blocks = build_map(ROWS, SITES, "test").unwrap()
    encoded = encode_map(team, blocks, SITES)
    objects.put(encoded.manifest_path, encoded.manifest)
    for path, value in encoded.parts.items():
        objects.put(path, value)


def ask(lookups: Lookups, client: str, zone: str | None = None) -> LookupResponse:
    answered = lookups.answer(client, zone).unwrap()
    return decode_lookup_response(encode_lookup_response(answered)).unwrap()


def zones_of(answer: LookupResponse) -> list[str]:
    return [instance.zone for instance in answer.instances]


def test_callers_zone_comes_first_and_another_zone_last(lookups: Lookups) -> None:
    answer = ask(lookups, "10.0.0.1", "split-a")
    assert zones_of(answer) == ["split-a", "split-a", "rijeka-b"]
    assert answer.version == 1


def test_block_tells_the_zone(lookups: Lookups, objects: Objects) -> None:
    put_map(objects)
    assert zones_of(ask(lookups, "10.9.1.1"))[0] == "osijek-a"
    assert zones_of(ask(lookups, "10.8.1.1"))[0] == "split-a"
    assert zones_of(ask(lookups, "10.8.1.1", "osijek-a"))[0] == "osijek-a"
    assert zones_of(ask(lookups, "10.8.1.1", "atlantis"))[0] == "split-a"


def test_service_chooses_its_teams_map(lookups: Lookups, objects: Objects) -> None:
    put_map(objects)
    service = ServiceSettings("pumps", Rank.NEXT, Idempotency.IDEMPOTENT)
    objects.put(service_path(WATER, service.service_id), encode(service))
    other = ServiceSettings("ropes", Rank.NEXT, Idempotency.IDEMPOTENT)
    objects.put(service_path(TeamId("hammocks"), other.service_id), encode(other))
    batch = BatchLookup(("10.9.1.1",), "pumps")
    assert lookups.answer_batch(batch).unwrap().sites == ("vinkovci",)
    batch = BatchLookup(("10.9.1.1",), "ropes")
    assert lookups.answer_batch(batch).unwrap().sites == (None,)


def test_map_comes_into_force_whole_and_goes_when_deleted(
    lookups: Lookups, objects: Objects
) -> None:
    blocks = build_map(ROWS, SITES, "test").unwrap()
    encoded = encode_map(WATER, blocks, SITES)
    *first, last = encoded.parts.items()
    objects.put(encoded.manifest_path, encoded.manifest)
    for path, value in first:
        objects.put(path, value)
    assert objects.in_force.blocks.team(WATER) is None
    objects.put(*last)
    assert objects.in_force.blocks.team(WATER) is not None
    objects.put(encoded.manifest_path, b"", ObjectState.DELETED)
    assert objects.in_force.blocks.team(WATER) is None


def test_leaving_instance_is_not_offered(
    lookups: Lookups, roster: InstanceDirectory
) -> None:
    assert "split-a" in zones_of(ask(lookups, "10.0.0.1", "split-a"))
    leaving = [machine("split-a", number, Presence.LEAVING) for number in (1, 2)]
    roster.replace([*leaving, machine("rijeka-b", 1), machine("osijek-a", 1)])
    answer = ask(lookups, "10.0.0.1", "split-a")
    assert zones_of(answer) == ["rijeka-b", "osijek-a"]


def test_validity_spreads_renewals(lookups: Lookups) -> None:
    times = [ask(lookups, "10.0.0.1").valid_for_ms for _ in range(200)]
    assert max(times) <= VALID_FOR_MS
    assert max(times) - min(times) > 0.15 * VALID_FOR_MS


@pytest.mark.parametrize("client", ["", "split", "10.0.0.256", "10.0.0.1 ", "::1%lo"])
def test_bad_client_is_refused(lookups: Lookups, client: str) -> None:
    assert lookups.answer(client).failure().field == "client"


def test_batch_agrees_with_single_lookups(lookups: Lookups, objects: Objects) -> None:
    put_map(objects)
    clients = tuple(f"10.{second}.0.{last}" for second in (8, 9) for last in range(99))
    clients += ("192.0.2.1", "2001:db8::1", "::ffff:10.9.0.1")
    answered = lookups.answer_batch(BatchLookup(clients)).unwrap()
    batch = decode_batch_response(encode_lookup_response(answered)).unwrap()
    for row, client in enumerate(clients):
        assert batch.lists[batch.list_of[row]] == ask(lookups, client).instances


@pytest.mark.parametrize(
    ("body", "field"),
    [
        (b"", "(body)"),
        (b'{"clients":["10.0.0.1","x"]}', "clients[1]"),
        (b'{"clients":"10.0.0.1"}', "(body)"),
        (b'{"clients":[' + b'"::1",' * 10_000 + b'"::1"]}', "(body)"),
    ],
)
def test_bad_batch_is_refused(lookups: Lookups, body: bytes, field: str) -> None:
    refused = decode_batch_lookup(body).bind(lookups.answer_batch)
    assert isinstance(refused, Failure)
    assert refused.failure().field == field
