"""Write docs/SETTINGS.md from the schema; run as a module, print it."""

import dataclasses
import inspect
import re
from collections.abc import Iterator, Mapping
from typing import Any, get_args, get_origin

import msgspec

from tanagercourse.settings.fields import (
    Hint,
    allowed_values,
    bare_type,
    hints_of,
)
from tanagercourse.settings.schema import (
    SCHEMA_VERSION,
    FleetSettings,
    ServiceSettings,
)

_HEAD = f"""# Settings

Written from the schema, version {SCHEMA_VERSION}, by `python -m
tanagercourse.settings.document`; a test checks that it is current.

Settings are JSON objects under paths. `tanagercourse settings validate PATH FILE`
checks a file without the platform, `settings apply` puts it in place. Unknown fields
are refused, and so are settings in a newer schema than the program that reads them.
"""

_FIELD_OF_DOCSTRING = re.compile(r"^    (\w+): (.*(?:\n        .*)*)", re.MULTILINE)


@dataclasses.dataclass(frozen=True)
class _Kind:
    """One kind of object in the settings.

    Attributes:
        title: Its heading.
        note: What is said before its fields.
        schema: Its dataclass.
    """

    title: str
    note: str
    schema: Any


_KINDS = (
    _Kind(
        "A service",
        "At `/teams/TEAM/services/SERVICE`, owned by TEAM. A service belongs to one "
        "team only, and its path ends with its name.",
        ServiceSettings,
    ),
    _Kind(
        "The fleet",
        "At `/system/fleet`, owned by team `fleet`. Once it lists zones, every "
        "upstream has to stand in one of them.",
        FleetSettings,
    ),
)


def write_document() -> str:
    """Return the whole text of docs/SETTINGS.md."""
    return "\n".join([_HEAD, *(_section(kind) for kind in _KINDS)])


def _section(kind: _Kind) -> str:
    lines = [
        f"## {kind.title}",
        "",
        kind.note,
        "",
        "| field | may hold | default | meaning |",
        "| --- | --- | --- | --- |",
        *_rows(kind.schema, ""),
    ]
    return "\n".join(lines) + "\n"


def _rows(schema: Any, prefix: str) -> Iterator[str]:
    meanings = _meanings_of(schema)
    hints = hints_of(schema)
    for field in dataclasses.fields(schema):
        hint = hints[field.name]
        name = f"{prefix}{field.name}"
        default = _default_of(field)
        meaning = meanings[field.name]
        yield f"| `{name}` | {allowed_values(hint)} | {default} | {meaning} |"
        inner, step = _inner_schema(hint)
        if inner is not None:
            yield from _rows(inner, f"{name}{step}.")


def _inner_schema(hint: Hint) -> tuple[Any, str]:
    """Return the dataclass inside a field, if any, and the step that leads to it."""
    base = bare_type(hint)
    step = ""
    if get_origin(base) is tuple:
        base = bare_type(get_args(base)[0])
        step = "[]"
    return (base, step) if dataclasses.is_dataclass(base) else (None, "")


def _default_of(field: dataclasses.Field[Any]) -> str:
    if field.default is dataclasses.MISSING:
        return "required"
    if dataclasses.is_dataclass(field.default):
        return "as below"
    return f"`{msgspec.json.encode(field.default).decode()}`"


def _meanings_of(schema: Any) -> Mapping[str, str]:
    """Return what the docstring says of each field."""
    text = inspect.cleandoc(schema.__doc__)
    found = _FIELD_OF_DOCSTRING.findall(text)
    return {name: " ".join(meaning.split()) for name, meaning in found}


if __name__ == "__main__":
    print(write_document(), end="")
