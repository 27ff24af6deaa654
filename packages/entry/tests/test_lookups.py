"""Tests of look-ups, answered from settings, block maps and the directory."""

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
from tanagercourse.steering.block_map_builder import BlockRow, build_map
from tanagercourse.wire.lookups import (
    BatchLookup,
    LookupResponse,
    decode_batch_lookup,
    decode_batch_response,
    decode_lookup_response,
    encode_lookup_response,
)

WATER_TEAM = TeamId("water")
ZONES = {"split-a": "jadran", "rijeka-b": "jadran", "osijek-a": "panonija"}
SITES = {SiteId("hvar"): ZoneId("split-a"), SiteId("vinkovci"): ZoneId("osijek-a")}
BLOCK_ROWS = [
    BlockRow("10.0.0.0/8", SiteId("hvar")),
    BlockRow("10.9.0.0/16", SiteId("vinkovci")),
]


class SettingsWriter:
    """Applies settings objects, each at a newer version."""

    def __init__(self) -> None:
        self.active_settings = ActiveSettings()
        self._version = 0

    def apply(
        self,
        path: ObjectPath,
        value: bytes,
        state: ObjectState = ObjectState.PRESENT,
    ) -> None:
        self._version += 1
        stored = StoredObject(
            path, Version(self._version), value, WriterId("test"), state
        )
        assert self.active_settings.apply(stored) is None


@pytest.fixture
def settings_writer() -> SettingsWriter:
    settings_writer = SettingsWriter()
    zones = tuple(ZoneSettings(zone, region) for zone, region in ZONES.items())
    settings_writer.apply(FLEET_PATH, encode(FleetSettings(zones)))
    return settings_writer


@pytest.fixture
def directory() -> InstanceDirectory:
    directory = InstanceDirectory()
    directory.replace(machine(zone, number) for zone in ZONES for number in (1, 2))
    return directory


@pytest.fixture
def lookups(settings_writer: SettingsWriter, directory: InstanceDirectory) -> Lookups:
    return Lookups(settings_writer.active_settings, directory, Random(1))


def machine(zone: str, number: int, presence: Presence = Presence.LIVE) -> Machine:
    name = InstanceId(f"{zone}-{number}")
    return Machine(name, "10.1.1.1", 8_000 + number, ZoneId(zone), presence)


def apply_block_map(settings_writer: SettingsWriter, team: TeamId = WATER_TEAM) -> None:
    block_map = build_map(BLOCK_ROWS, SITES, "test").unwrap()
    encoded = encode_map(team, block_map, SITES)
    settings_writer.apply(encoded.manifest_path, encoded.manifest)
    for path, value in encoded.parts.items():
        settings_writer.apply(path, value)


def look_up(lookups: Lookups, client: str, zone: str | None = None) -> LookupResponse:
    encoded_response = lookups.look_up(client, zone).unwrap()
    return decode_lookup_response(encode_lookup_response(encoded_response)).unwrap()


def zones_of(response: LookupResponse) -> list[str]:
    return [instance.zone for instance in response.instances]


def test_callers_zone_comes_first_and_another_zone_of_its_region_last(
    lookups: Lookups,
) -> None:
    response = look_up(lookups, "10.0.0.1", "split-a")
    assert zones_of(response) == ["split-a", "split-a", "rijeka-b"]
    assert response.version == 1


def test_client_block_determines_the_zone(
    lookups: Lookups, settings_writer: SettingsWriter
) -> None:
    apply_block_map(settings_writer)
    assert zones_of(look_up(lookups, "10.9.1.1"))[0] == "osijek-a"
    assert zones_of(look_up(lookups, "10.8.1.1"))[0] == "split-a"
    assert zones_of(look_up(lookups, "10.8.1.1", "osijek-a"))[0] == "osijek-a"
    assert zones_of(look_up(lookups, "10.8.1.1", "atlantis"))[0] == "split-a"


def test_service_selects_the_block_map_of_its_team(
    lookups: Lookups, settings_writer: SettingsWriter
) -> None:
    apply_block_map(settings_writer)
    service = ServiceSettings("pumps", Rank.NEXT, Idempotency.IDEMPOTENT)
    settings_writer.apply(service_path(WATER_TEAM, service.service_id), encode(service))
    ropes = ServiceSettings("ropes", Rank.NEXT, Idempotency.IDEMPOTENT)
    settings_writer.apply(
        service_path(TeamId("hammocks"), ropes.service_id), encode(ropes)
    )
    batch = BatchLookup(("10.9.1.1",), "pumps")
    assert lookups.look_up_batch(batch).unwrap().sites == ("vinkovci",)
    batch = BatchLookup(("10.9.1.1",), "ropes")
    assert lookups.look_up_batch(batch).unwrap().sites == (None,)


def test_block_map_is_applied_when_complete_and_removed_when_deleted(
    lookups: Lookups, settings_writer: SettingsWriter
) -> None:
    block_map = build_map(BLOCK_ROWS, SITES, "test").unwrap()
    encoded = encode_map(WATER_TEAM, block_map, SITES)
    *first_parts, last_part = encoded.parts.items()
    settings_writer.apply(encoded.manifest_path, encoded.manifest)
    for path, value in first_parts:
        settings_writer.apply(path, value)
    assert settings_writer.active_settings.blocks.team(WATER_TEAM) is None
    settings_writer.apply(*last_part)
    assert settings_writer.active_settings.blocks.team(WATER_TEAM) is not None
    settings_writer.apply(encoded.manifest_path, b"", ObjectState.DELETED)
    assert settings_writer.active_settings.blocks.team(WATER_TEAM) is None


def test_leaving_instance_is_not_offered(
    lookups: Lookups, directory: InstanceDirectory
) -> None:
    assert "split-a" in zones_of(look_up(lookups, "10.0.0.1", "split-a"))
    leaving = [machine("split-a", number, Presence.LEAVING) for number in (1, 2)]
    directory.replace([*leaving, machine("rijeka-b", 1), machine("osijek-a", 1)])
    response = look_up(lookups, "10.0.0.1", "split-a")
    assert zones_of(response) == ["rijeka-b", "osijek-a"]


def test_validity_times_vary(lookups: Lookups) -> None:
    validity_times = [look_up(lookups, "10.0.0.1").valid_for_ms for _ in range(200)]
    assert max(validity_times) <= VALID_FOR_MS
    assert max(validity_times) - min(validity_times) > 0.15 * VALID_FOR_MS


@pytest.mark.parametrize("client", ["", "split", "10.0.0.256", "10.0.0.1 ", "::1%lo"])
def test_invalid_client_is_refused(lookups: Lookups, client: str) -> None:
    assert lookups.look_up(client).failure().field == "client"


def test_batch_agrees_with_single_lookups(
    lookups: Lookups, settings_writer: SettingsWriter
) -> None:
    apply_block_map(settings_writer)
    clients = tuple(f"10.{second}.0.{last}" for second in (8, 9) for last in range(99))
    clients += ("192.0.2.1", "2001:db8::1", "::ffff:10.9.0.1")
    encoded_response = lookups.look_up_batch(BatchLookup(clients)).unwrap()
    batch = decode_batch_response(encode_lookup_response(encoded_response)).unwrap()
    for row, client in enumerate(clients):
        assert batch.lists[batch.list_of[row]] == look_up(lookups, client).instances


@pytest.mark.parametrize(
    ("body", "field"),
    [
        (b"", "(body)"),
        (b'{"clients":["10.0.0.1","x"]}', "clients[1]"),
        (b'{"clients":"10.0.0.1"}', "(body)"),
        (b'{"clients":[' + b'"::1",' * 10_000 + b'"::1"]}', "(body)"),
    ],
)
def test_invalid_batch_is_refused(lookups: Lookups, body: bytes, field: str) -> None:
    result = decode_batch_lookup(body).bind(lookups.look_up_batch)
    assert isinstance(result, Failure)
    assert result.failure().field == field
