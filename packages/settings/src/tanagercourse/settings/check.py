"""Decode steering settings and check them, naming the field that is wrong."""

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
    as_text,
    find_invalid,
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
    """Decode and check the settings of one service.

    Args:
        path: Where the platform keeps them.
        value: Their JSON text.

    Returns:
        The settings, or the first field that is wrong.
    """
    decoded = _decode(path, value, ServiceSettings)
    if isinstance(decoded, Failure):
        return decoded
    settings = decoded.unwrap()
    problem = _check_name(path, settings) or _check_upstreams(path, settings)
    return Failure(problem) if problem else Success(settings)


def decode_fleet(path: ObjectPath, value: bytes) -> Result[FleetSettings, InvalidField]:
    """Decode and check the settings common to all services."""
    decoded = _decode(path, value, FleetSettings)
    if isinstance(decoded, Failure):
        return decoded
    fleet = decoded.unwrap()
    repeated = _first_repeated(zone.zone for zone in fleet.zones)
    if repeated is None:
        return Success(fleet)
    zone = as_text(fleet.zones[repeated].zone)
    field = f"zones[{repeated}].zone"
    return Failure(InvalidField(path, field, zone, "each availability zone once"))


def encode(settings: ServiceSettings | FleetSettings) -> bytes:
    """Return settings as the JSON text that the platform keeps."""
    return msgspec.json.encode(settings)


def check_zones(
    path: ObjectPath, settings: ServiceSettings, fleet: FleetSettings
) -> InvalidField | None:
    """Return the first upstream whose zone the fleet's settings do not list.

    A fleet without zones allows every zone: its settings are not given yet.
    """
    known = {zone.zone for zone in fleet.zones}
    for index, upstream in enumerate(settings.upstreams):
        if known and upstream.zone not in known:
            allowed = f"a zone that {FLEET_PATH} lists: " + ", ".join(sorted(known))
            field = f"upstreams[{index}].zone"
            return InvalidField(path, field, as_text(upstream.zone), allowed)
    return None


def check_single_team(
    path: ObjectPath, service: ServiceId, paths: Iterable[ObjectPath]
) -> InvalidField | None:
    """Return what is wrong when another path already holds a service.

    Args:
        path: Where the service is to be.
        service: The service.
        paths: Every path under the teams' subtrees.
    """
    for other in paths:
        if other != path and other.endswith(f"/services/{service}"):
            allowed = f"a service that no other team holds; {other} does"
            return InvalidField(path, "service", as_text(service), allowed)
    return None


def _decode(path: ObjectPath, value: bytes, kind: type[T]) -> Result[T, InvalidField]:
    try:
        raw = msgspec.json.decode(value)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        text = value[:MAX_SHOWN_CHARS].decode(errors="replace")
        return Failure(InvalidField(path, WHOLE_OBJECT, text, f"JSON text ({error})"))
    problem = _check_schema_version(path, raw) or find_invalid(path, kind, raw)
    if problem is not None:
        return Failure(problem)
    return Success(msgspec.convert(raw, type=kind))


def _check_schema_version(path: ObjectPath, raw: object) -> InvalidField | None:
    """Say of settings in a newer schema that this program is too old for them."""
    given = raw.get("schema_version") if isinstance(raw, dict) else None
    if not isinstance(given, int) or given <= SCHEMA_VERSION:
        return None
    allowed = f"up to {SCHEMA_VERSION}; these settings are newer than this program"
    return InvalidField(path, "schema_version", as_text(given), allowed)


def _check_name(path: ObjectPath, settings: ServiceSettings) -> InvalidField | None:
    if path.endswith(f"/services/{settings.service}"):
        return None
    name = as_text(settings.service)
    return InvalidField(path, "service", name, "the path's last step")


def _check_upstreams(
    path: ObjectPath, settings: ServiceSettings
) -> InvalidField | None:
    for index, upstream in enumerate(settings.upstreams):
        if not _is_ip_number(upstream.host):
            host = as_text(upstream.host)
            allowed = "an IP number, such as 10.0.0.1"
            return InvalidField(path, f"upstreams[{index}].host", host, allowed)
    repeated = _first_repeated(upstream.id for upstream in settings.upstreams)
    if repeated is None:
        return None
    field = f"upstreams[{repeated}].id"
    upstream_id = as_text(settings.upstreams[repeated].id)
    return InvalidField(path, field, upstream_id, "each id once")


def _is_ip_number(host: str) -> bool:
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return True


def _first_repeated(names: Iterable[str]) -> int | None:
    seen: set[str] = set()
    for index, name in enumerate(names):
        if name in seen:
            return index
        seen.add(name)
    return None
