"""Print the result of an edit, its dry run, or the progress of its rollout."""

from dataclasses import dataclass

import click
from returns.result import Failure

from tanagercourse.core.ids import NO_VERSION, ObjectPath, Version
from tanagercourse.operators.dry_run import format_plan
from tanagercourse.operators.output import OutputFormat, fail, print_json
from tanagercourse.operators.progress import (
    RolloutProgress,
    wait_until_applied_everywhere,
)
from tanagercourse.operators.session import Session
from tanagercourse.operators.settings import AppliedEdit
from tanagercourse.platform.store import Store
from tanagercourse.steering.plans import ShiftPlan


@dataclass(frozen=True)
class AppliedOutput:
    """An accepted change in JSON output.

    Attributes:
        path: The path of the settings.
        version: The version that the change created.
        replaced: The version that it replaced, 0 if there were no settings.
    """

    path: ObjectPath
    version: Version
    replaced: Version


def print_applied(output: OutputFormat, applied: AppliedEdit) -> None:
    """Print the version that a change created and the version that it replaced."""
    written = applied.written
    replaced = applied.replaced.version if applied.replaced else NO_VERSION
    if applied.unrecorded is not None:
        reason = applied.unrecorded.describe()
        click.echo(
            f"tanagercourse: accepted, but not recorded in the history: {reason}",
            err=True,
        )
    if output is OutputFormat.JSON:
        print_json(AppliedOutput(written.path, written.version, replaced))
    else:
        click.echo(f"{written.path}: version {written.version}, was {replaced}")


async def wait_for_rollout(
    session: Session, store: Store, applied: AppliedEdit, wait_s: float
) -> None:
    """Wait until every instance has applied a change, printing the progress.

    Exits with the code of the problem if the time runs out.

    Args:
        session: The session, for its output format.
        store: The platform's store.
        applied: The change.
        wait_s: How long to wait, in seconds; 0 returns immediately.
    """
    if not wait_s:
        return

    def print_progress(progress: RolloutProgress) -> None:
        # Standard output holds one JSON text only, so progress goes to standard error.
        click.echo(progress.describe(), err=True)

    version = applied.written.version
    waited = await wait_until_applied_everywhere(store, version, wait_s, print_progress)
    if isinstance(waited, Failure):
        fail(waited.failure(), session.output)


def print_plan(output: OutputFormat, plan: ShiftPlan | None) -> None:
    """Print a predicted shift; None stands for an edit that moves no traffic itself."""
    if output is OutputFormat.JSON:
        print_json(plan)
    else:
        click.echo(format_plan(plan))
