"""The commands under `tanagercourse settings`."""

from dataclasses import dataclass
from pathlib import Path

import click
import msgspec
from returns.result import Failure

from tanagercourse.core.ids import ObjectPath, Version, WriterId
from tanagercourse.operators.differences import diff_json, format_json
from tanagercourse.operators.edit_commands import apply, delete, edit
from tanagercourse.operators.history import read_history
from tanagercourse.operators.output import (
    EXIT_CODES_HELP,
    OutputFormat,
    examples,
    fail,
    format_table,
    print_json,
)
from tanagercourse.operators.session import Session, with_session
from tanagercourse.operators.setting_helpers import (
    EXAMPLE_PATH,
    FILE_ARGUMENT,
    read_or_fail,
)
from tanagercourse.operators.validation import check_value
from tanagercourse.platform.store import NotFound, ObjectState

_GET_EXAMPLES = examples(
    f"tanagercourse settings get {EXAMPLE_PATH}",
    "tanagercourse settings get /system/fleet --output json",
)
_VALIDATE_EXAMPLES = examples(
    f"tanagercourse settings validate {EXAMPLE_PATH} new.json"
)
_LIST_EXAMPLES = examples("tanagercourse settings list /teams/preljev/")
_DIFF_EXAMPLES = examples(f"tanagercourse settings diff {EXAMPLE_PATH} new.json")
_HISTORY_EXAMPLES = examples(
    f"tanagercourse settings history {EXAMPLE_PATH}",
    f"tanagercourse settings history {EXAMPLE_PATH} --show 17",
)


@dataclass(frozen=True)
class SettingOutput:
    """Settings in JSON output.

    Attributes:
        path: The path of the settings.
        version: Their version.
        writer: The writer of that version.
        value: The settings, embedded as JSON.
    """

    path: ObjectPath
    version: Version
    writer: WriterId
    value: msgspec.Raw


@dataclass(frozen=True)
class ListedSetting:
    """One entry in a list of settings, without the value."""

    path: ObjectPath
    version: Version
    writer: WriterId


@dataclass(frozen=True)
class DifferenceOutput:
    """The difference of a file from stored settings, in JSON output.

    Attributes:
        version: The version of the stored settings.
        difference: A unified diff, empty if there is no difference.
    """

    version: Version
    difference: str


@click.group(epilog=EXIT_CODES_HELP)
def settings() -> None:
    """Read and change steering settings.

    PATH is /teams/TEAM/services/SERVICE or /system/fleet. docs/SETTINGS.md lists
    each field and its allowed values.
    """


@settings.command("get", epilog=_GET_EXAMPLES)
@click.argument("path")
@with_session
async def get(session: Session, path: str) -> None:
    """Print the settings at PATH."""
    found = await read_or_fail(session, ObjectPath(path))
    if session.output is OutputFormat.JSON:
        value = msgspec.Raw(found.value)
        result = SettingOutput(found.path, found.version, found.writer, value)
        print_json(result)
    else:
        click.echo(format_json(found.value))


@settings.command("validate", epilog=_VALIDATE_EXAMPLES)
@click.argument("path")
@FILE_ARGUMENT
def validate(path: str, file: Path) -> None:
    """Check the settings in FILE for PATH, without contacting the platform."""
    problem = check_value(ObjectPath(path), file.read_bytes())
    if problem is not None:
        fail(problem, OutputFormat.TABLE)
    click.echo(f"{file}: valid for {path}")


@settings.command("list", epilog=_LIST_EXAMPLES)
@click.argument("prefix", default="/teams/")
@with_session
async def list_settings(session: Session, prefix: str) -> None:
    """List the settings under PREFIX with their versions and writers."""
    async with session.store() as store:
        listed = await store.list_all(ObjectPath(prefix))
    if isinstance(listed, Failure):
        fail(listed.failure(), session.output)
    listed_settings = [
        ListedSetting(stored.path, stored.version, stored.writer)
        for stored in sorted(listed.unwrap().objects, key=lambda stored: stored.path)
        if stored.state is ObjectState.PRESENT
    ]
    if session.output is OutputFormat.JSON:
        print_json(listed_settings)
        return
    rows = [
        (setting.path, str(setting.version), setting.writer)
        for setting in listed_settings
    ]
    click.echo(format_table(("path", "version", "writer"), rows))


@settings.command("diff", epilog=_DIFF_EXAMPLES)
@click.argument("path")
@FILE_ARGUMENT
@with_session
async def diff(session: Session, path: str, file: Path) -> None:
    """Show how the settings in FILE differ from the settings at PATH."""
    found = await read_or_fail(session, ObjectPath(path))
    label = f"{path} version {found.version}"
    difference = diff_json(found.value, file.read_bytes(), label, str(file))
    if session.output is OutputFormat.JSON:
        print_json(DifferenceOutput(found.version, difference))
    else:
        click.echo(difference or f"{path}: no difference from version {found.version}")


@settings.command("history", epilog=_HISTORY_EXAMPLES)
@click.argument("path")
@click.option("--show", type=click.IntRange(1), help="Print this version's settings.")
@with_session
async def history(session: Session, path: str, show: int | None) -> None:
    """List the recorded versions of the settings at PATH, or print one of them."""
    async with session.store() as store:
        found = await read_history(store, ObjectPath(path))
    if isinstance(found, Failure):
        fail(found.failure(), session.output)
    entries = found.unwrap().entries
    if show is not None:
        entries = tuple(entry for entry in entries if entry.version == show)
    if not entries:
        fail(NotFound(ObjectPath(path)), session.output)
    if session.output is OutputFormat.JSON:
        print_json(entries)
    elif show is not None:
        click.echo(format_json(entries[0].value))
    else:
        rows = [
            (str(entry.version), entry.writer, f"{entry.written_at_s:.0f}")
            for entry in entries
        ]
        click.echo(format_table(("version", "writer", "written_at_s"), rows))


for command in (apply, edit, delete):
    settings.add_command(command)
