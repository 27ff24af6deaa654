"""Find the first field of a decoded JSON value that its dataclass does not allow."""

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

# An annotation of a field: a class, a tuple of one kind, or Annotated with limits.
Hint = Any


def find_invalid(
    source: str, hint: Hint, raw: object, field: str = ""
) -> InvalidField | None:
    """Return the first field that is unknown, missing or out of its range.

    Args:
        source: Where the value came from, named in the problem.
        hint: The annotation that the value has to meet.
        raw: The value, as decoded from JSON without a type.
        field: The value's path inside the whole; empty for the whole.

    Returns:
        What is wrong, None when nothing is.
    """
    base = bare_type(hint)
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
    """Tell a person which values an annotation allows.

    >>> allowed_values(Annotated[int, msgspec.Meta(ge=1, le=9)])
    'a whole number from 1 to 9'
    """
    base = bare_type(hint)
    limits = _limits(hint)
    if limits and limits.description:
        return limits.description
    if dataclasses.is_dataclass(base):
        return "an object"
    if get_origin(base) is tuple:
        return "a list"
    if issubclass(base, Enum):
        return "one of " + ", ".join(state.value for state in base)
    kind = {int: "a whole number", float: "a number", str: "text"}[base]
    return f"{kind} {_range_of(limits)}" if limits else kind


def bare_type(hint: Hint) -> Any:
    """Return an annotation without its limits."""
    return get_args(hint)[0] if _is_annotated(hint) else hint


@cache
def hints_of(kind: type) -> Mapping[str, Hint]:
    """Return the annotations of a dataclass's fields by name."""
    return get_type_hints(kind, include_extras=True)


def as_text(raw: object) -> str:
    """Return a value as JSON text, cut to a line."""
    return msgspec.json.encode(raw).decode()[:MAX_SHOWN_CHARS]


def _find_in_object(
    source: str, kind: type, raw: object, field: str
) -> InvalidField | None:
    if not isinstance(raw, dict):
        return _invalid(source, field, raw, "an object")
    hints = hints_of(kind)
    for name in raw:
        if name not in hints:
            allowed = "no such field; one of " + ", ".join(hints)
            return _invalid(source, _join(field, name), raw[name], allowed)
    for declared in dataclasses.fields(kind):
        inner = _join(field, declared.name)
        hint = hints[declared.name]
        if declared.name in raw:
            invalid = find_invalid(source, hint, raw[declared.name], inner)
            if invalid is not None:
                return invalid
        elif declared.default is dataclasses.MISSING:
            return InvalidField(source, inner, MISSING, allowed_values(hint))
    return None


def _find_in_list(
    source: str, hint: Hint, raw: object, field: str
) -> InvalidField | None:
    if not isinstance(raw, list):
        return _invalid(source, field, raw, "a list")
    element = get_args(bare_type(hint))[0]
    for index, value in enumerate(raw):
        invalid = find_invalid(source, element, value, f"{field}[{index}]")
        if invalid is not None:
            return invalid
    return None


def _invalid(source: str, field: str, raw: object, allowed: str) -> InvalidField:
    return InvalidField(source, field or WHOLE_OBJECT, as_text(raw), allowed)


def _join(field: str, name: str) -> str:
    return f"{field}.{name}" if field else name


def _is_annotated(hint: Hint) -> bool:
    origin: object = get_origin(hint)
    return origin is Annotated


def _limits(hint: Hint) -> msgspec.Meta | None:
    if not _is_annotated(hint):
        return None
    return next((m for m in get_args(hint)[1:] if isinstance(m, msgspec.Meta)), None)


def _range_of(limits: msgspec.Meta) -> str:
    least = limits.ge
    most = limits.le
    return (
        f"from {least:.15g} to {most:.15g}"
        if most is not None
        else f"from {least:.15g} on"
    )
