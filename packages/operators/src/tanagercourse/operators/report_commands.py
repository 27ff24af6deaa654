"""The commands under `tanagercourse report`."""

import time
from pathlib import Path

import click
from returns.result import Failure

from tanagercourse.burn.report import BurnReport, build_report
from tanagercourse.burn.tables import column_headings, row_cells
from tanagercourse.burn.tiers import BUDGET_PERIOD_S, latest_settled_s
from tanagercourse.burn.timeline import build_timeline
from tanagercourse.operators.measurements import Measurements, read_measurements
from tanagercourse.operators.output import (
    OutputFormat,
    examples,
    fail,
    format_table,
    print_json,
)
from tanagercourse.operators.session import Session, with_session

SECONDS_PER_MIN = 60

_BURN_EXAMPLES = examples(
    "tanagercourse report burn --over-min 60",
    "tanagercourse report burn --html burn.html",
    "tanagercourse report burn --output json",
)


@click.group()
def report() -> None:
    """Report on the service level that the fleet delivered."""


@report.command("burn", epilog=_BURN_EXAMPLES)
@click.option(
    "--over-min",
    type=click.IntRange(5, BUDGET_PERIOD_S // SECONDS_PER_MIN),
    default=360,
    show_default=True,
    help="Window for latency, headroom, drains and floods, in minutes.",
)
@click.option(
    "--html",
    type=click.Path(dir_okay=False, path_type=Path),
    help="Also write a self-contained HTML page with plots to this file.",
)
@with_session
async def burn(session: Session, over_min: int, html: Path | None) -> None:
    """Compare each service with its service-level target.

    For each customer, service and rank: the target, the attained share and the error
    budget left over three days; burn rates and the alert that they raise; and
    latency, headroom, drains and the share of requests answered during floods. Time
    that was not measured is shown as not measured and never counts as good.
    """
    async with session.store() as store:
        read = await read_measurements(store)
    if isinstance(read, Failure):
        fail(read.failure(), session.output)
    measurements = read.unwrap()
    for damaged in measurements.damaged:
        click.echo(f"tanagercourse: {damaged.describe()}", err=True)
    over_s = over_min * SECONDS_PER_MIN
    burn_report = build_report(
        measurements.series,
        measurements.services,
        over_s,
        latest_settled_s(time.time()),
    )
    if html is not None:
        html.write_text(_render_html(burn_report, measurements), encoding="utf-8")
    if session.output is OutputFormat.JSON:
        print_json(burn_report)
    else:
        click.echo(_format_transposed(burn_report))


def _format_transposed(burn_report: BurnReport) -> str:
    """Return the report as a table with one column per service.

    A report has many more fields than services, so a line per field fits a terminal
    better than a line per service.
    """
    columns = [
        column_headings(burn_report),
        *(row_cells(row) for row in burn_report.rows),
    ]
    lines = list(zip(*columns, strict=True))
    return format_table(lines[0], lines[1:])


def _render_html(burn_report: BurnReport, measurements: Measurements) -> str:
    # Imported here because matplotlib is slow to import and only the page needs it.
    from tanagercourse.burn.page import RowTimeline, render_page

    timelines = [
        RowTimeline(
            row,
            build_timeline(
                measurements.series,
                row.service,
                row.rank,
                burn_report.over_s,
                burn_report.made_at_s,
            ),
        )
        for row in burn_report.rows
    ]
    return render_page(burn_report, timelines)
