"""The commands under `tanagercourse settings`."""

from pathlib import Path

import click
import msgspec
from returns.result import Failure
from tanagercourse.core.ids import ObjectPath, Version
from tanagercourse.operators.differences import pretty, show_difference
from tanagercourse.operators.dry_run import plan_edit
from tanagercourse.operators.history import read_history
from tanagercourse.operators.output import (
    EXIT_CODES,
    OutputFormat,
    examples,
    fail,
    format_table,
    print_json,
)
from tanagercourse.operators.printing import print_applied, print_plan, show_progress
from tanagercourse.operators.session import (
    Session,
    changes_platform,
    reads_platform,
    waits,
)
from tanagercourse.operators.settings import Edit, apply_setting, find_setting
from tanagercourse.operators.values import check_value
from tanagercourse.platform.store import NotFound, StoredObject

_FILE = click.argument(
    "file", type=click.Path(exists=True, dir_okay=False, path_type=Path)
)
_EXPECT = click.option(
    "--expect",
    type=click.IntRange(0),
    help="Make the change only if this version still stands; 0: nothing is there.",
)

_MOTRITELJ = "/teams/preljev/services/motritelj"
_GET_EXAMPLES = examples(
    f"tanagercourse settings get {_MOTRITELJ}",
    "tanagercourse settings get /system/fleet --output json",
)
_VALIDATE_EXAMPLES = examples(f"tanagercourse settings validate {_MOTRITELJ} new.json")
_APPLY_EXAMPLES = examples(
    f"tanagercourse settings apply {_MOTRITELJ} new.json --team preljev",
    f"tanagercourse settings apply {_MOTRITELJ} new.json --team preljev --dry-run",
    f"tanagercourse settings apply {_MOTRITELJ} new.json --team preljev --expect 41",
)
_EDIT_EXAMPLES = examples(
    "EDITOR=nano tanagercourse settings edit /system/fleet --team fleet"
)
_DIFF_EXAMPLES = examples(f"tanagercourse settings diff {_MOTRITELJ} new.json")
_HISTORY_EXAMPLES = examples(
    f"tanagercourse settings history {_MOTRITELJ}",
    f"tanagercourse settings history {_MOTRITELJ} --show 17",
)


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
    found = await _read(session, ObjectPath(path))
    if session.output is OutputFormat.JSON:
        print_json(_as_answer(found))
    else:
        click.echo(pretty(found.value))


@settings.command("validate", epilog=_VALIDATE_EXAMPLES)
@click.argument("path")
@_FILE
def validate(path: str, file: Path) -> None:
    """Check the settings in FILE for PATH, without the platform."""
    problem = check_value(ObjectPath(path), file.read_bytes())
    if problem is not None:
        fail(problem, OutputFormat.TABLE)
    click.echo(f"{file}: valid for {path}")


@settings.command("apply", epilog=_APPLY_EXAMPLES)
@click.argument("path")
@_FILE
@_EXPECT
@click.option("--dry-run", is_flag=True, help="Only show the traffic it would move.")
@waits
@changes_platform
async def apply(
    session: Session,
    path: str,
    file: Path,
    expect: int | None,
    dry_run: bool,
    wait_s: float,
) -> None:
    """Check the settings in FILE and put them at PATH."""
    expected = None if expect is None else Version(expect)
    edit = Edit(ObjectPath(path), file.read_bytes(), session.team, expected)
    await (_plan(session, edit) if dry_run else _apply(session, edit, wait_s))


@settings.command("edit", epilog=_EDIT_EXAMPLES)
@click.argument("path")
@changes_platform
async def edit(session: Session, path: str) -> None:
    """Open the settings at PATH in an editor, then check and apply them.

    The change is made only if the version that was opened still stands. The
    editor is VISUAL or EDITOR.
    """
    found = await _read(session, ObjectPath(path))
    before = pretty(found.value)
    after = click.edit(before, extension=".json")
    if after is None or after == before:
        click.echo(f"{path}: unchanged, version {found.version}")
        return
    value = after.encode()
    await _apply(session, Edit(found.path, value, session.team, found.version))


@settings.command("diff", epilog=_DIFF_EXAMPLES)
@click.argument("path")
@_FILE
@reads_platform
async def diff(session: Session, path: str, file: Path) -> None:
    """Show how the settings in FILE differ from those at PATH."""
    found = await _read(session, ObjectPath(path))
    name = f"{path} version {found.version}"
    difference = show_difference(found.value, file.read_bytes(), name, str(file))
    if session.output is OutputFormat.JSON:
        print_json({"version": found.version, "difference": difference})
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


async def _read(session: Session, path: ObjectPath) -> StoredObject:
    async with session.store() as store:
        found = await find_setting(store, path)
    if isinstance(found, Failure):
        fail(found.failure(), session.output)
    stored = found.unwrap()
    if stored is None:
        fail(NotFound(path), session.output)
    return stored


async def _apply(session: Session, wanted: Edit, wait_s: float = 0.0) -> None:
    async with session.store() as store:
        applied = await apply_setting(store, wanted)
        if isinstance(applied, Failure):
            fail(applied.failure(), session.output)
        print_applied(session.output, applied.unwrap())
        await show_progress(session, store, applied.unwrap(), wait_s)


async def _plan(session: Session, wanted: Edit) -> None:
    async with session.store() as store:
        planned = await plan_edit(store, wanted)
    if isinstance(planned, Failure):
        fail(planned.failure(), session.output)
    print_plan(session.output, planned.unwrap())


def _as_answer(stored: StoredObject) -> dict[str, object]:
    return {
        "path": stored.path,
        "version": stored.version,
        "writer": stored.writer,
        "value": msgspec.Raw(stored.value),
    }
