"""Print what an edit did or would do, and how far it has got."""

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
    """An accepted change as JSON output gives it; version 0 stands for none."""

    path: ObjectPath
    version: Version
    replaced: Version


def print_applied(output: OutputFormat, applied: AppliedEdit) -> None:
    """Print the version that a change got and the one it replaced."""
    written = applied.written
    replaced = applied.replaced.version if applied.replaced else NO_VERSION
    if applied.unrecorded is not None:
        reason = applied.unrecorded.describe()
        click.echo(f"tanagercourse: accepted, not in the history: {reason}", err=True)
    if output is OutputFormat.JSON:
        print_json(AppliedOutput(written.path, written.version, replaced))
    else:
        click.echo(f"{written.path}: version {written.version}, was {replaced}")


async def wait_for_rollout(
    session: Session, store: Store, applied: AppliedEdit, wait_s: float
) -> None:
    """Wait until a change is in force everywhere, telling how far it has got.

    Args:
        session: Says how answers are printed.
        store: The platform.
        applied: The change.
        wait_s: How long to wait, in seconds; 0 does not wait at all.
    """
    if not wait_s:
        return

    def tell(progress: RolloutProgress) -> None:
        # RolloutProgress goes with the messages, so that the answer stays one JSON text.
        click.echo(progress.describe(), err=True)

    version = applied.written.version
    waited = await wait_until_applied_everywhere(store, version, wait_s, tell)
    if isinstance(waited, Failure):
        fail(waited.failure(), session.output)


def print_plan(output: OutputFormat, plan: ShiftPlan | None) -> None:
    """Print the traffic that an edit would move."""
    if output is OutputFormat.JSON:
        print_json(plan)
    else:
        click.echo(format_plan(plan))
