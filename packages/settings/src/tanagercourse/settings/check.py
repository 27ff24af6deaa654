"""Decode steering settings and check them, naming the field that is wrong."""

import re
from typing import TypeVar

import msgspec
from returns.result import Failure, Result, Success
from tanagercourse.core.ids import ObjectPath
from tanagercourse.core.problems import InvalidField
from tanagercourse.settings.schema import FleetSettings, ServiceSettings

FLEET = ObjectPath("/system/fleet")

T = TypeVar("T")

_AT_FIELD = re.compile(r"^(?P<allowed>.*?)(?: - at `\$\.?(?P<field>.*)`)?$", re.DOTALL)


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
    return _check_service(path, decoded.unwrap())


def decode_fleet(path: ObjectPath, value: bytes) -> Result[FleetSettings, InvalidField]:
    """Decode and check the settings common to all services."""
    return _decode(path, value, FleetSettings)


def encode(settings: ServiceSettings | FleetSettings) -> bytes:
    """Return settings as the JSON text that the platform keeps."""
    return msgspec.json.encode(settings)


def _decode(path: ObjectPath, value: bytes, kind: type[T]) -> Result[T, InvalidField]:
    try:
        return Success(msgspec.json.decode(value, type=kind))
    except msgspec.MsgspecError as error:
        return Failure(_to_invalid_field(path, value, str(error)))


def _to_invalid_field(path: ObjectPath, value: bytes, message: str) -> InvalidField:
    matched = _AT_FIELD.match(message)
    field = matched["field"] if matched and matched["field"] else "(whole object)"
    allowed = matched["allowed"] if matched else message
    return InvalidField(path, field, _value_at(value, field), allowed)


def _value_at(value: bytes, field: str) -> str:
    """Return the offending value as text, for the message only."""
    try:
        found = msgspec.json.decode(value)
    except msgspec.MsgspecError:
        return value[:40].decode(errors="replace")
    for step in re.findall(r"[^.\[\]]+", field):
        if isinstance(found, list) and step.isdigit():
            found = found[int(step)]
        elif isinstance(found, dict):
            found = found.get(step, "(missing)")
    return str(found)[:80]


def _check_service(
    path: ObjectPath, settings: ServiceSettings
) -> Result[ServiceSettings, InvalidField]:
    if not path.endswith(f"/services/{settings.service}"):
        return Failure(
            InvalidField(path, "service", settings.service, "the path's last step")
        )
    seen: set[str] = set()
    for index, upstream in enumerate(settings.upstreams):
        if upstream.id in seen:
            field = f"upstreams[{index}].id"
            return Failure(InvalidField(path, field, upstream.id, "ids used once"))
        seen.add(upstream.id)
    return Success(settings)
