"""A bad edit of every field is refused, and the problem names the field."""

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

BAD_SERVICE_FIELDS: list[tuple[str, Any]] = [
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
BAD_FLEET_FIELDS: list[tuple[str, Any]] = [
    ("zones", None),
    ("zones[0].zone", "x" * 64),
    ("zones[0].region", 3),
    ("zones[0].site", "a"),
    ("region_one_way_ms", 1_001),
    ("link_mbit_s", 0),
    ("schema_version", 99),
]


def with_field(value: bytes, field: str, bad: object) -> bytes:
    """Return JSON text with one field replaced or added."""
    raw = msgspec.json.decode(value)
    *parents, last = field.replace("[0]", ".0").split(".")
    inner = raw
    for step in parents:
        inner = inner[0] if step == "0" else inner[step]
    if last == "0":
        inner[0] = bad
    else:
        inner[last] = bad
    return msgspec.json.encode(raw)


@pytest.mark.parametrize(("field", "bad"), BAD_SERVICE_FIELDS)
def test_bad_service_field_is_named(field: str, bad: object) -> None:
    refused = decode_service(PATH, with_field(encode(SERVICE), field, bad))
    problem = refused.failure()
    assert (problem.source, problem.field) == (PATH, field)
    assert problem.value == msgspec.json.encode(bad).decode()
    assert problem.allowed


@pytest.mark.parametrize(("field", "bad"), BAD_FLEET_FIELDS)
def test_bad_fleet_field_is_named(field: str, bad: object) -> None:
    refused = decode_fleet(FLEET_PATH, with_field(encode(FLEET_SETTINGS), field, bad))
    assert refused.failure().field == field


def fields_of(kind: Any, prefix: str) -> set[str]:
    return {prefix + field.name for field in dataclasses.fields(kind)}


def test_every_field_has_a_bad_edit() -> None:
    tried = {field for field, _ in BAD_SERVICE_FIELDS}
    assert fields_of(ServiceSettings, "") <= tried
    assert fields_of(Target, "target.") <= tried
    assert fields_of(UpstreamSettings, "upstreams[0].") <= tried
    tried = {field for field, _ in BAD_FLEET_FIELDS}
    assert fields_of(FleetSettings, "") <= tried
    assert fields_of(ZoneSettings, "zones[0].") <= tried


@pytest.mark.parametrize("field", ["service", "rank", "idempotency"])
def test_missing_field_is_named(field: str) -> None:
    raw = msgspec.json.decode(encode(SERVICE))
    del raw[field]
    problem = decode_service(PATH, msgspec.json.encode(raw)).failure()
    assert (problem.field, problem.value) == (field, "(missing)")


def test_newer_schema_says_so() -> None:
    newer = with_field(encode(SERVICE), "schema_version", 2)
    problem = decode_service(PATH, with_field(newer, "weather", "wet")).failure()
    assert "newer than this program" in problem.describe()


@pytest.mark.parametrize("text", [b"", b"{", b"\xff", b'"\xff"', b"[" * 100_000])
def test_text_that_is_not_json_is_refused(text: bytes) -> None:
    assert decode_service(PATH, text).failure().field == "(whole object)"


def test_repeated_ids_and_zones_are_refused() -> None:
    twice = dataclasses.replace(SERVICE, upstreams=(UPSTREAM, UPSTREAM))
    assert decode_service(PATH, encode(twice)).failure().field == "upstreams[1].id"
    zones = FLEET_SETTINGS.zones * 2
    repeated = decode_fleet(FLEET_PATH, encode(FleetSettings(zones)))
    assert repeated.failure().field == "zones[1].zone"


def test_zone_has_to_be_the_fleets() -> None:
    other = FleetSettings((ZoneSettings("osijek-a", "panonija"),))
    problem = check_zones(PATH, SERVICE, other)
    assert problem is not None
    assert problem.field == "upstreams[0].zone"
    assert check_zones(PATH, SERVICE, FLEET_SETTINGS) is None
    assert check_zones(PATH, SERVICE, FleetSettings()) is None


def test_service_has_one_team() -> None:
    other = ObjectPath("/teams/other/services/motritelj")
    service = ServiceId("motritelj")
    assert check_single_team(PATH, service, [PATH]) is None
    assert isinstance(check_single_team(other, service, [PATH]), InvalidField)


json_values = st.recursive(
    st.none() | st.booleans() | st.integers(-10, 10_000) | st.text(max_size=5),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(), inner),
    max_leaves=8,
)


@settings(derandomize=True, max_examples=100, deadline=None)
@given(st.sampled_from([field for field, _ in BAD_SERVICE_FIELDS]), json_values)
def test_any_value_is_decoded_or_refused_by_type(field: str, value: object) -> None:
    text = with_field(encode(SERVICE), field, value)
    decoded = decode_service(PATH, text)
    if isinstance(decoded, Failure):
        assert isinstance(decoded.failure(), InvalidField)
    else:
        assert decode_service(PATH, encode(decoded.unwrap())) == decoded
