"""Validate decoded JSON against a dataclass and report the first invalid field."""

import dataclasses
from collections.abc import Mapping
from enum import Enum
from functools import cache
from typing import Annotated, Any, get_args, get_origin, get_type_hints

import msgspec

from tanagercourse.core.problems import InvalidField

WHOLE_OBJECT = "(whole object)"
MISSING = "(missing)"
MAX_SHOWN_CHARS = 80

# Type annotation of a field: a class, a homogeneous tuple, or Annotated with limits.
Hint = Any


def find_invalid(
    source: str, hint: Hint, raw: object, field: str = ""
) -> InvalidField | None:
    """Return a problem for the first field that is unknown, missing or invalid.

    Args:
        source: Origin of the value, for the problem.
        hint: Type annotation that the value must match.
        raw: The value, as decoded from JSON without a type.
        field: Path of the value within the decoded object; empty for the object itself.

    Returns:
        The problem, or None if the value is valid.
    """
    base = strip_annotated(hint)
    if isinstance(base, type) and dataclasses.is_dataclass(base):
        return _find_in_object(source, base, raw, field)
    if get_origin(base) is tuple:
        return _find_in_list(source, hint, raw, field)
    try:
        msgspec.convert(raw, type=hint)
    except msgspec.ValidationError:
        return _invalid(source, field, raw, allowed_values(hint))
    return None


def allowed_values(hint: Hint) -> str:
    """Return a human-readable description of the values that an annotation allows.

    >>> allowed_values(Annotated[int, msgspec.Meta(ge=1, le=9)])
    'a whole number from 1 to 9'
    """
    base = strip_annotated(hint)
    limits = _limits(hint)
    if limits and limits.description:
        return limits.description
    if dataclasses.is_dataclass(base):
        return "an object"
    if get_origin(base) is tuple:
        return "a list"
    if issubclass(base, Enum):
        return "one of " + ", ".join(state.value for state in base)
    type_name = {int: "a whole number", float: "a number", str: "text"}[base]
    return f"{type_name} {_range_of(limits)}" if limits else type_name


def strip_annotated(hint: Hint) -> Any:
    """Return an annotation without its `Annotated` metadata."""
    return get_args(hint)[0] if _is_annotated(hint) else hint


@cache
def field_hints(dataclass_type: type) -> Mapping[str, Hint]:
    """Return the type annotations of a dataclass's fields by name."""
    return get_type_hints(dataclass_type, include_extras=True)


def to_short_json(raw: object) -> str:
    """Return a value as JSON text, truncated to `MAX_SHOWN_CHARS`."""
    return msgspec.json.encode(raw).decode()[:MAX_SHOWN_CHARS]


def _find_in_object(
    source: str, dataclass_type: type, raw: object, field: str
) -> InvalidField | None:
    if not isinstance(raw, dict):
        return _invalid(source, field, raw, "an object")
    hints = field_hints(dataclass_type)
    for name in raw:
        if name not in hints:
            allowed = "no such field; one of " + ", ".join(hints)
            return _invalid(source, _join(field, name), raw[name], allowed)
    for declared_field in dataclasses.fields(dataclass_type):
        inner_field = _join(field, declared_field.name)
        hint = hints[declared_field.name]
        if declared_field.name in raw:
            invalid = find_invalid(source, hint, raw[declared_field.name], inner_field)
            if invalid is not None:
                return invalid
        elif declared_field.default is dataclasses.MISSING:
            return InvalidField(source, inner_field, MISSING, allowed_values(hint))
    return None


def _find_in_list(
    source: str, hint: Hint, raw: object, field: str
) -> InvalidField | None:
    if not isinstance(raw, list):
        return _invalid(source, field, raw, "a list")
    element_hint = get_args(strip_annotated(hint))[0]
    for index, value in enumerate(raw):
        invalid = find_invalid(source, element_hint, value, f"{field}[{index}]")
        if invalid is not None:
            return invalid
    return None


def _invalid(source: str, field: str, raw: object, allowed: str) -> InvalidField:
    return InvalidField(source, field or WHOLE_OBJECT, to_short_json(raw), allowed)


def _join(field: str, name: str) -> str:
    return f"{field}.{name}" if field else name


def _is_annotated(hint: Hint) -> bool:
    origin: object = get_origin(hint)
    return origin is Annotated


def _limits(hint: Hint) -> msgspec.Meta | None:
    if not _is_annotated(hint):
        return None
    return next(
        (
            metadata
            for metadata in get_args(hint)[1:]
            if isinstance(metadata, msgspec.Meta)
        ),
        None,
    )


def _range_of(limits: msgspec.Meta) -> str:
    minimum = limits.ge
    maximum = limits.le
    return (
        f"from {minimum:.15g} to {maximum:.15g}"
        if maximum is not None
        else f"from {minimum:.15g} on"
    )
