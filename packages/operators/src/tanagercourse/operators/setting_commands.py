"""The commands under `tanagercourse settings`."""

from dataclasses import dataclass
from pathlib import Path

import click
import msgspec
from returns.result import Failure

from tanagercourse.core.ids import ObjectPath, Version, WriterId
from tanagercourse.operators.differences import pretty, show_difference
from tanagercourse.operators.edit_commands import apply, delete, edit
from tanagercourse.operators.history import read_history
from tanagercourse.operators.output import (
    EXIT_CODES,
    OutputFormat,
    examples,
    fail,
    format_table,
    print_json,
)
from tanagercourse.operators.session import Session, reads_platform
from tanagercourse.operators.setting_helpers import FILE, MOTRITELJ, read_or_fail
from tanagercourse.operators.validation import check_value
from tanagercourse.platform.store import NotFound, ObjectState

_GET_EXAMPLES = examples(
    f"tanagercourse settings get {MOTRITELJ}",
    "tanagercourse settings get /system/fleet --output json",
)
_VALIDATE_EXAMPLES = examples(f"tanagercourse settings validate {MOTRITELJ} new.json")
_LIST_EXAMPLES = examples("tanagercourse settings list /teams/preljev/")
_DIFF_EXAMPLES = examples(f"tanagercourse settings diff {MOTRITELJ} new.json")
_HISTORY_EXAMPLES = examples(
    f"tanagercourse settings history {MOTRITELJ}",
    f"tanagercourse settings history {MOTRITELJ} --show 17",
)


@dataclass(frozen=True)
class SettingAnswer:
    """Settings as JSON output gives them."""

    path: ObjectPath
    version: Version
    writer: WriterId
    value: msgspec.Raw


@dataclass(frozen=True)
class ListedSetting:
    """One line of a list of settings."""

    path: ObjectPath
    version: Version
    writer: WriterId


@dataclass(frozen=True)
class DifferenceAnswer:
    """How a file differs from the settings at a version."""

    version: Version
    difference: str


@click.group(epilog=EXIT_CODES)
def settings() -> None:
    """Read and change steering settings.

    PATH is /teams/TEAM/services/SERVICE or /system/fleet. docs/SETTINGS.md lists
    each field and what it may hold.
    """


@settings.command("get", epilog=_GET_EXAMPLES)
@click.argument("path")
@reads_platform
async def get(session: Session, path: str) -> None:
    """Print the settings at PATH."""
    found = await read_or_fail(session, ObjectPath(path))
    if session.output is OutputFormat.JSON:
        value = msgspec.Raw(found.value)
        answer = SettingAnswer(found.path, found.version, found.writer, value)
        print_json(answer)
    else:
        click.echo(pretty(found.value))


@settings.command("validate", epilog=_VALIDATE_EXAMPLES)
@click.argument("path")
@FILE
def validate(path: str, file: Path) -> None:
    """Check the settings in FILE for PATH, without the platform."""
    problem = check_value(ObjectPath(path), file.read_bytes())
    if problem is not None:
        fail(problem, OutputFormat.TABLE)
    click.echo(f"{file}: valid for {path}")


@settings.command("list", epilog=_LIST_EXAMPLES)
@click.argument("prefix", default="/teams/")
@reads_platform
async def list_settings(session: Session, prefix: str) -> None:
    """List the settings under PREFIX with their versions and last writers."""
    async with session.store() as store:
        listed = await store.list_all(ObjectPath(prefix))
    if isinstance(listed, Failure):
        fail(listed.failure(), session.output)
    found = [
        ListedSetting(stored.path, stored.version, stored.writer)
        for stored in sorted(listed.unwrap().objects, key=lambda each: each.path)
        if stored.state is ObjectState.PRESENT
    ]
    if session.output is OutputFormat.JSON:
        print_json(found)
        return
    rows = [(each.path, str(each.version), each.writer) for each in found]
    click.echo(format_table(("path", "version", "writer"), rows))


@settings.command("diff", epilog=_DIFF_EXAMPLES)
@click.argument("path")
@FILE
@reads_platform
async def diff(session: Session, path: str, file: Path) -> None:
    """Show how the settings in FILE differ from those at PATH."""
    found = await read_or_fail(session, ObjectPath(path))
    name = f"{path} version {found.version}"
    difference = show_difference(found.value, file.read_bytes(), name, str(file))
    if session.output is OutputFormat.JSON:
        print_json(DifferenceAnswer(found.version, difference))
    else:
        click.echo(difference or f"{path}: no difference from version {found.version}")


@settings.command("history", epilog=_HISTORY_EXAMPLES)
@click.argument("path")
@click.option("--show", type=click.IntRange(1), help="Print this version's settings.")
@reads_platform
async def history(session: Session, path: str, show: int | None) -> None:
    """List the versions kept of the settings at PATH, or print one of them."""
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
        click.echo(pretty(entries[0].value))
    else:
        rows = [
            (str(entry.version), entry.writer, f"{entry.written_at_s:.0f}")
            for entry in entries
        ]
        click.echo(format_table(("version", "writer", "written_at_s"), rows))


for command in (apply, edit, delete):
    settings.add_command(command)
