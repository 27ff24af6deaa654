"""The commands under `tanagercourse report`."""

import time
from pathlib import Path

import click
from returns.result import Failure

from tanagercourse.burn.report import BurnReport, build_report
from tanagercourse.burn.tables import cells, headings
from tanagercourse.burn.tiers import BUDGET_PERIOD_S, settled_at
from tanagercourse.burn.timeline import build_timeline
from tanagercourse.operators.measurements import Measurements, read_measurements
from tanagercourse.operators.output import (
    OutputFormat,
    examples,
    fail,
    format_table,
    print_json,
)
from tanagercourse.operators.session import Session, reads_platform

SECONDS_PER_MIN = 60

_BURN_EXAMPLES = examples(
    "tanagercourse report burn --over-min 60",
    "tanagercourse report burn --html burn.html",
    "tanagercourse report burn --output json",
)


@click.group()
def report() -> None:
    """Report on the service that the fleet gave."""


@report.command("burn", epilog=_BURN_EXAMPLES)
@click.option(
    "--over-min",
    type=click.IntRange(5, BUDGET_PERIOD_S // SECONDS_PER_MIN),
    default=360,
    show_default=True,
    help="Window of latency, headroom, drains and floods, in minutes.",
)
@click.option(
    "--html",
    type=click.Path(dir_okay=False, path_type=Path),
    help="Write one HTML page with plots to this file as well.",
)
@reads_platform
async def burn(session: Session, over_min: int, html: Path | None) -> None:
    """Show how services stand against their service-level targets.

    For each customer, service and rank: the target, what was attained and the error
    budget left over three days; burn rates and the alert they raise; and latency,
    headroom, drains and what was kept in a flood. What was not measured is shown as
    such and never counts as good.
    """
    async with session.store() as store:
        read = await read_measurements(store)
    if isinstance(read, Failure):
        fail(read.failure(), session.output)
    measurements = read.unwrap()
    for damaged in measurements.damaged:
        click.echo(f"tanagercourse: {damaged.describe()}", err=True)
    over_s = over_min * SECONDS_PER_MIN
    made = build_report(
        measurements.series, measurements.services, over_s, settled_at(time.time())
    )
    if html is not None:
        html.write_text(_page(made, measurements), encoding="utf-8")
    if session.output is OutputFormat.JSON:
        print_json(made)
    else:
        click.echo(_columns(made))


def _columns(made: BurnReport) -> str:
    """Return the report with one column for each service, as it has many rows."""
    columns = [headings(made), *(cells(row) for row in made.rows)]
    lines = list(zip(*columns, strict=True))
    return format_table(lines[0], lines[1:])


def _page(made: BurnReport, measurements: Measurements) -> str:
    # matplotlib takes long to import, and only this needs it.
    from tanagercourse.burn.page import PlottedRow, write_page

    plotted = [
        PlottedRow(
            row,
            build_timeline(
                measurements.series,
                row.service,
                row.rank,
                made.over_s,
                made.made_at_s,
            ),
        )
        for row in made.rows
    ]
    return write_page(made, plotted)
