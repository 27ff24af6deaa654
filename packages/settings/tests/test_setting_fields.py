"""Validation of settings: every invalid field is refused and named."""

import dataclasses
from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure

from tanagercourse.core.ids import ObjectPath, ServiceId
from tanagercourse.core.problems import InvalidField
from tanagercourse.core.states import Idempotency, Rank
from tanagercourse.settings.check import (
    FLEET_PATH,
    check_single_team,
    check_zones,
    decode_fleet,
    decode_service,
    encode,
)
from tanagercourse.settings.schema import (
    FleetSettings,
    ServiceSettings,
    Target,
    UpstreamSettings,
    ZoneSettings,
)

PATH = ObjectPath("/teams/preljev/services/motritelj")
UPSTREAM = UpstreamSettings("m-1", "10.0.0.1", 8080, "split-a")
SERVICE = ServiceSettings(
    "motritelj", Rank.MOST_URGENT, Idempotency.IDEMPOTENT, (UPSTREAM,)
)
FLEET_SETTINGS = FleetSettings((ZoneSettings("split-a", "jadran"),))

INVALID_SERVICE_FIELDS: list[tuple[str, Any]] = [
    ("service", "Motritelj"),
    ("service", "motritelj\n"),
    ("service", "other"),
    ("rank", "first"),
    ("idempotency", True),
    ("deadline_ms", 0),
    ("deadline_ms", 1.5),
    ("floor_share", 1.01),
    ("shift_cap_share", -0.1),
    ("shift_interval_ms", 600_001),
    ("schema_version", 0),
    ("schema_version", 2),
    ("target", []),
    ("target.goodput", "high"),
    ("target.latency_ms", None),
    ("upstreams", {}),
    ("upstreams[0]", 7),
    ("upstreams[0].id", ""),
    ("upstreams[0].host", "localhost"),
    ("upstreams[0].port", 65_536),
    ("upstreams[0].zone", "-split"),
    ("upstreams[0].slots", 0),
    ("upstreams[0].connections", "360"),
    ("upstreams[0].duty", "rest"),
    ("slots", 4),
    ("target.p50_ms", 4),
    ("upstreams[0].weight", 1),
]
INVALID_FLEET_FIELDS: list[tuple[str, Any]] = [
    ("zones", None),
    ("zones[0].zone", "x" * 64),
    ("zones[0].region", 3),
    ("zones[0].site", "a"),
    ("region_one_way_ms", 1_001),
    ("link_mbit_s", 0),
    ("schema_version", 99),
]


def with_field(value: bytes, field: str, invalid_value: object) -> bytes:
    """Return JSON text with one field replaced or added."""
    raw = msgspec.json.decode(value)
    *parents, last = field.replace("[0]", ".0").split(".")
    container = raw
    for component in parents:
        container = container[0] if component == "0" else container[component]
    if last == "0":
        container[0] = invalid_value
    else:
        container[last] = invalid_value
    return msgspec.json.encode(raw)


@pytest.mark.parametrize(("field", "invalid_value"), INVALID_SERVICE_FIELDS)
def test_invalid_service_field_is_named(field: str, invalid_value: object) -> None:
    result = decode_service(PATH, with_field(encode(SERVICE), field, invalid_value))
    problem = result.failure()
    assert (problem.source, problem.field) == (PATH, field)
    assert problem.value == msgspec.json.encode(invalid_value).decode()
    assert problem.allowed


@pytest.mark.parametrize(("field", "invalid_value"), INVALID_FLEET_FIELDS)
def test_invalid_fleet_field_is_named(field: str, invalid_value: object) -> None:
    result = decode_fleet(
        FLEET_PATH, with_field(encode(FLEET_SETTINGS), field, invalid_value)
    )
    assert result.failure().field == field


def fields_of(kind: Any, prefix: str) -> set[str]:
    return {prefix + field.name for field in dataclasses.fields(kind)}


def test_every_field_has_an_invalid_value_to_test() -> None:
    covered_fields = {field for field, _ in INVALID_SERVICE_FIELDS}
    assert fields_of(ServiceSettings, "") <= covered_fields
    assert fields_of(Target, "target.") <= covered_fields
    assert fields_of(UpstreamSettings, "upstreams[0].") <= covered_fields
    covered_fields = {field for field, _ in INVALID_FLEET_FIELDS}
    assert fields_of(FleetSettings, "") <= covered_fields
    assert fields_of(ZoneSettings, "zones[0].") <= covered_fields


@pytest.mark.parametrize("field", ["service", "rank", "idempotency"])
def test_missing_field_is_named(field: str) -> None:
    raw = msgspec.json.decode(encode(SERVICE))
    del raw[field]
    problem = decode_service(PATH, msgspec.json.encode(raw)).failure()
    assert (problem.field, problem.value) == (field, "(missing)")


def test_newer_schema_is_reported_as_newer() -> None:
    newer_settings = with_field(encode(SERVICE), "schema_version", 2)
    problem = decode_service(
        PATH, with_field(newer_settings, "weather", "wet")
    ).failure()
    assert "newer than this program" in problem.describe()


@pytest.mark.parametrize("text", [b"", b"{", b"\xff", b'"\xff"', b"[" * 100_000])
def test_text_that_is_not_json_is_refused(text: bytes) -> None:
    assert decode_service(PATH, text).failure().field == "(whole object)"


def test_duplicate_ids_and_zones_are_refused() -> None:
    with_duplicate_ids = dataclasses.replace(SERVICE, upstreams=(UPSTREAM, UPSTREAM))
    assert (
        decode_service(PATH, encode(with_duplicate_ids)).failure().field
        == "upstreams[1].id"
    )
    zones = FLEET_SETTINGS.zones * 2
    result = decode_fleet(FLEET_PATH, encode(FleetSettings(zones)))
    assert result.failure().field == "zones[1].zone"


def test_upstream_zone_must_be_listed_by_the_fleet() -> None:
    other_fleet = FleetSettings((ZoneSettings("osijek-a", "panonija"),))
    problem = check_zones(PATH, SERVICE, other_fleet)
    assert problem is not None
    assert problem.field == "upstreams[0].zone"
    assert check_zones(PATH, SERVICE, FLEET_SETTINGS) is None
    assert check_zones(PATH, SERVICE, FleetSettings()) is None


def test_service_is_owned_by_one_team() -> None:
    other_path = ObjectPath("/teams/other/services/motritelj")
    service = ServiceId("motritelj")
    assert check_single_team(PATH, service, [PATH]) is None
    assert isinstance(check_single_team(other_path, service, [PATH]), InvalidField)


json_values = st.recursive(
    st.none() | st.booleans() | st.integers(-10, 10_000) | st.text(max_size=5),
    lambda children: (
        st.lists(children, max_size=3) | st.dictionaries(st.text(), children)
    ),
    max_leaves=8,
)


@settings(derandomize=True, max_examples=100, deadline=None)
@given(st.sampled_from([field for field, _ in INVALID_SERVICE_FIELDS]), json_values)
def test_any_value_is_decoded_or_refused_with_an_invalid_field(
    field: str, value: object
) -> None:
    text = with_field(encode(SERVICE), field, value)
    decoded = decode_service(PATH, text)
    if isinstance(decoded, Failure):
        assert isinstance(decoded.failure(), InvalidField)
    else:
        assert decode_service(PATH, encode(decoded.unwrap())) == decoded
