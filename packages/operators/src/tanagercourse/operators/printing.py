"""Print what an edit did or would do."""

import click
from tanagercourse.core.ids import NO_VERSION
from tanagercourse.operators.dry_run import describe_plan
from tanagercourse.operators.output import OutputFormat, print_json
from tanagercourse.operators.settings import Applied
from tanagercourse.steering.plans import ShiftPlan


def print_applied(output: OutputFormat, applied: Applied) -> None:
    """Print the version that a change got and the one it replaced."""
    written = applied.written
    replaced = applied.replaced.version if applied.replaced else NO_VERSION
    if applied.unrecorded is not None:
        reason = applied.unrecorded.describe()
        click.echo(f"tanagercourse: accepted, not in the history: {reason}", err=True)
    if output is OutputFormat.JSON:
        answer = {"path": written.path, "version": written.version}
        print_json({**answer, "replaced": replaced})
    else:
        click.echo(f"{written.path}: version {written.version}, was {replaced}")


def print_plan(output: OutputFormat, plan: ShiftPlan | None) -> None:
    """Print the traffic that an edit would move."""
    if output is OutputFormat.JSON:
        print_json(plan)
    else:
        click.echo(describe_plan(plan))
