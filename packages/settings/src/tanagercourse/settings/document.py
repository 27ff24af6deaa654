"""Generate docs/SETTINGS.md from the schema; as a program, print it."""

import dataclasses
import inspect
import re
from collections.abc import Iterator, Mapping
from typing import Any, get_args, get_origin

import msgspec

from tanagercourse.settings.fields import (
    Hint,
    allowed_values,
    field_hints,
    strip_annotated,
)
from tanagercourse.settings.schema import (
    SCHEMA_VERSION,
    FleetSettings,
    ServiceSettings,
)

_HEAD = f"""# Settings

Generated from schema version {SCHEMA_VERSION} by `python -m
tanagercourse.settings.document`; a test checks that this page is up to date.

Settings are JSON objects, addressed by path. The command
`tanagercourse settings validate PATH FILE` validates a file without access to the
platform, and `settings apply` writes it to the platform. Unknown fields are refused,
and so are settings that use a newer schema than the program that reads them.
"""

_FIELD_OF_DOCSTRING = re.compile(r"^    (\w+): (.*(?:\n        .*)*)", re.MULTILINE)


@dataclasses.dataclass(frozen=True)
class _ObjectKind:
    """Documentation of one kind of settings object.

    Attributes:
        title: Heading of the section.
        introduction: Introduction before the table of fields.
        schema: Dataclass of the object.
    """

    title: str
    introduction: str
    schema: Any


_OBJECT_KINDS = (
    _ObjectKind(
        "A service",
        "Path: `/teams/TEAM/services/SERVICE`, owned by TEAM. A service belongs to one "
        "team only, and the last component of its path is its name.",
        ServiceSettings,
    ),
    _ObjectKind(
        "The fleet",
        "Path: `/system/fleet`, owned by team `fleet`. Once it lists zones, every "
        "upstream must be in one of them.",
        FleetSettings,
    ),
)


def render_document() -> str:
    """Return the text of docs/SETTINGS.md."""
    return "\n".join([_HEAD, *(_section(kind) for kind in _OBJECT_KINDS)])


def _section(kind: _ObjectKind) -> str:
    lines = [
        f"## {kind.title}",
        "",
        kind.introduction,
        "",
        "| field | allowed values | default | meaning |",
        "| --- | --- | --- | --- |",
        *_rows(kind.schema, ""),
    ]
    return "\n".join(lines) + "\n"


def _rows(schema: Any, prefix: str) -> Iterator[str]:
    descriptions = _descriptions_of(schema)
    hints = field_hints(schema)
    for field in dataclasses.fields(schema):
        hint = hints[field.name]
        name = f"{prefix}{field.name}"
        default = _default_of(field)
        description = descriptions[field.name]
        yield f"| `{name}` | {allowed_values(hint)} | {default} | {description} |"
        nested_schema, suffix = _find_nested_schema(hint)
        if nested_schema is not None:
            yield from _rows(nested_schema, f"{name}{suffix}.")


def _find_nested_schema(hint: Hint) -> tuple[Any, str]:
    """Return the dataclass nested in a field, if any, and the path suffix to it."""
    base = strip_annotated(hint)
    suffix = ""
    if get_origin(base) is tuple:
        base = strip_annotated(get_args(base)[0])
        suffix = "[]"
    return (base, suffix) if dataclasses.is_dataclass(base) else (None, "")


def _default_of(field: dataclasses.Field[Any]) -> str:
    if field.default is dataclasses.MISSING:
        return "required"
    if dataclasses.is_dataclass(field.default):
        return "see its fields below"
    return f"`{msgspec.json.encode(field.default).decode()}`"


def _descriptions_of(schema: Any) -> Mapping[str, str]:
    """Return the description of each field from the class docstring."""
    text = inspect.cleandoc(schema.__doc__)
    matches = _FIELD_OF_DOCSTRING.findall(text)
    return {name: " ".join(description.split()) for name, description in matches}


if __name__ == "__main__":
    print(render_document(), end="")
