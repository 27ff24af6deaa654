"""Decode and validate steering settings; problems name the invalid field."""

import ipaddress
from collections.abc import Iterable
from typing import TypeVar

import msgspec
from returns.result import Failure, Result, Success

from tanagercourse.core.ids import ObjectPath, ServiceId
from tanagercourse.core.problems import InvalidField
from tanagercourse.settings.fields import (
    MAX_SHOWN_CHARS,
    WHOLE_OBJECT,
    find_invalid,
    to_short_json,
)
from tanagercourse.settings.schema import (
    SCHEMA_VERSION,
    FleetSettings,
    ServiceSettings,
)

FLEET_PATH = ObjectPath("/system/fleet")

T = TypeVar("T")


def decode_service(
    path: ObjectPath, value: bytes
) -> Result[ServiceSettings, InvalidField]:
    """Decode and validate the settings of one service.

    Args:
        path: Path of the settings in the platform's store.
        value: JSON text of the settings.

    Returns:
        The settings, or the first invalid field.
    """
    decoded = _decode(path, value, ServiceSettings)
    if isinstance(decoded, Failure):
        return decoded
    settings = decoded.unwrap()
    problem = _check_name(path, settings) or _check_upstreams(path, settings)
    return Failure(problem) if problem else Success(settings)


def decode_fleet(path: ObjectPath, value: bytes) -> Result[FleetSettings, InvalidField]:
    """Decode and validate the settings common to all services."""
    decoded = _decode(path, value, FleetSettings)
    if isinstance(decoded, Failure):
        return decoded
    fleet = decoded.unwrap()
    duplicate_index = _find_duplicate(zone.zone for zone in fleet.zones)
    if duplicate_index is None:
        return Success(fleet)
    zone = to_short_json(fleet.zones[duplicate_index].zone)
    field = f"zones[{duplicate_index}].zone"
    return Failure(
        InvalidField(path, field, zone, "each availability zone listed once")
    )


def encode(settings: ServiceSettings | FleetSettings) -> bytes:
    """Encode settings as the JSON text stored on the platform."""
    return msgspec.json.encode(settings)


def check_zones(
    path: ObjectPath, settings: ServiceSettings, fleet: FleetSettings
) -> InvalidField | None:
    """Return a problem for the first upstream in a zone that the fleet does not list.

    Fleet settings without zones allow every zone, because they are not written yet.
    """
    known_zones = {zone.zone for zone in fleet.zones}
    for index, upstream in enumerate(settings.upstreams):
        if known_zones and upstream.zone not in known_zones:
            allowed = f"a zone that {FLEET_PATH} lists: " + ", ".join(
                sorted(known_zones)
            )
            field = f"upstreams[{index}].zone"
            return InvalidField(path, field, to_short_json(upstream.zone), allowed)
    return None


def check_single_team(
    path: ObjectPath, service: ServiceId, paths: Iterable[ObjectPath]
) -> InvalidField | None:
    """Return a problem if another team already owns a service.

    Args:
        path: Path at which the service's settings are to be written.
        service: The service.
        paths: All paths in the teams' subtrees.
    """
    for other_path in paths:
        if other_path != path and other_path.endswith(f"/services/{service}"):
            allowed = f"a service of no other team; found at {other_path}"
            return InvalidField(path, "service", to_short_json(service), allowed)
    return None


def _decode(
    path: ObjectPath, value: bytes, settings_type: type[T]
) -> Result[T, InvalidField]:
    try:
        decoded_json = msgspec.json.decode(value)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        text = value[:MAX_SHOWN_CHARS].decode(errors="replace")
        return Failure(InvalidField(path, WHOLE_OBJECT, text, f"JSON text ({error})"))
    problem = _check_schema_version(path, decoded_json) or find_invalid(
        path, settings_type, decoded_json
    )
    if problem is not None:
        return Failure(problem)
    return Success(msgspec.convert(decoded_json, type=settings_type))


def _check_schema_version(
    path: ObjectPath, decoded_json: object
) -> InvalidField | None:
    """Return a problem if the settings use a newer schema than this program."""
    schema_version = (
        decoded_json.get("schema_version") if isinstance(decoded_json, dict) else None
    )
    if not isinstance(schema_version, int) or schema_version <= SCHEMA_VERSION:
        return None
    allowed = f"up to {SCHEMA_VERSION}; these settings are newer than this program"
    return InvalidField(path, "schema_version", to_short_json(schema_version), allowed)


def _check_name(path: ObjectPath, settings: ServiceSettings) -> InvalidField | None:
    if path.endswith(f"/services/{settings.service}"):
        return None
    name = to_short_json(settings.service)
    return InvalidField(path, "service", name, "the last component of the path")


def _check_upstreams(
    path: ObjectPath, settings: ServiceSettings
) -> InvalidField | None:
    for index, upstream in enumerate(settings.upstreams):
        if not _is_ip_address(upstream.host):
            host = to_short_json(upstream.host)
            allowed = "an IP address, such as 10.0.0.1"
            return InvalidField(path, f"upstreams[{index}].host", host, allowed)
    duplicate_index = _find_duplicate(upstream.id for upstream in settings.upstreams)
    if duplicate_index is None:
        return None
    field = f"upstreams[{duplicate_index}].id"
    upstream_id = to_short_json(settings.upstreams[duplicate_index].id)
    return InvalidField(path, field, upstream_id, "each id listed once")


def _is_ip_address(host: str) -> bool:
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return True


def _find_duplicate(names: Iterable[str]) -> int | None:
    seen: set[str] = set()
    for index, name in enumerate(names):
        if name in seen:
            return index
        seen.add(name)
    return None
