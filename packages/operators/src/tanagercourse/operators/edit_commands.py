"""The commands under `tanagercourse settings` that change settings."""

from pathlib import Path

import click
from returns.result import Failure

from tanagercourse.core.ids import ObjectPath, Version
from tanagercourse.operators.differences import format_json
from tanagercourse.operators.dry_run import plan_edit
from tanagercourse.operators.output import examples, fail
from tanagercourse.operators.printing import print_applied, print_plan, wait_for_rollout
from tanagercourse.operators.session import Session, wait_option, with_team_session
from tanagercourse.operators.setting_helpers import (
    EXAMPLE_PATH,
    FILE_ARGUMENT,
    read_or_fail,
)
from tanagercourse.operators.settings import Edit, apply_setting
from tanagercourse.platform.store import ObjectState

_EXPECT_OPTION = click.option(
    "--expect",
    type=click.IntRange(0),
    help="Apply the change only if this is the current version; 0: no settings yet.",
)

_APPLY_EXAMPLES = examples(
    f"tanagercourse settings apply {EXAMPLE_PATH} new.json --team preljev",
    f"tanagercourse settings apply {EXAMPLE_PATH} new.json --team preljev --dry-run",
    f"tanagercourse settings apply {EXAMPLE_PATH} new.json --team preljev --expect 41",
)
_EDIT_EXAMPLES = examples(
    "EDITOR=nano tanagercourse settings edit /system/fleet --team fleet"
)
_DELETE_EXAMPLES = examples(
    f"tanagercourse settings delete {EXAMPLE_PATH} --team preljev --expect 41"
)


@click.command("apply", epilog=_APPLY_EXAMPLES)
@click.argument("path")
@FILE_ARGUMENT
@_EXPECT_OPTION
@click.option(
    "--dry-run",
    is_flag=True,
    help="Show the traffic that would move, without applying the change.",
)
@wait_option
@with_team_session
async def apply(
    session: Session,
    path: str,
    file: Path,
    expect: int | None,
    dry_run: bool,
    wait_s: float,
) -> None:
    """Check the settings in FILE and store them at PATH."""
    expected = None if expect is None else Version(expect)
    edit = Edit(ObjectPath(path), file.read_bytes(), session.team, expected)
    await (_print_dry_run(session, edit) if dry_run else _apply(session, edit, wait_s))


@click.command("edit", epilog=_EDIT_EXAMPLES)
@click.argument("path")
@with_team_session
async def edit(session: Session, path: str) -> None:
    """Open the settings at PATH in an editor, then check and apply them.

    The change is refused if the settings have changed since they were opened. The
    editor is taken from the environment variable VISUAL or EDITOR.
    """
    found = await read_or_fail(session, ObjectPath(path))
    before = format_json(found.value)
    after = click.edit(before, extension=".json")
    if after is None or after == before:
        click.echo(f"{path}: unchanged, version {found.version}")
        return
    value = after.encode()
    await _apply(session, Edit(found.path, value, session.team, found.version))


@click.command("delete", epilog=_DELETE_EXAMPLES)
@click.argument("path")
@_EXPECT_OPTION
@wait_option
@with_team_session
async def delete(
    session: Session, path: str, expect: int | None, wait_s: float
) -> None:
    """Delete the settings at PATH.

    Entry instances refuse requests for a service without settings, and do not
    run them.
    """
    expected = None if expect is None else Version(expect)
    edit = Edit(ObjectPath(path), b"", session.team, expected, ObjectState.DELETED)
    await _apply(session, edit, wait_s)


async def _apply(session: Session, change: Edit, wait_s: float = 0.0) -> None:
    async with session.store() as store:
        applied = await apply_setting(store, change)
        if isinstance(applied, Failure):
            fail(applied.failure(), session.output)
        print_applied(session.output, applied.unwrap())
        await wait_for_rollout(session, store, applied.unwrap(), wait_s)


async def _print_dry_run(session: Session, change: Edit) -> None:
    async with session.store() as store:
        planned = await plan_edit(store, change)
    if isinstance(planned, Failure):
        fail(planned.failure(), session.output)
    print_plan(session.output, planned.unwrap())
