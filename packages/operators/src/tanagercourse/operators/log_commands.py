"""The commands that read logs of instances: `trace` and `report load`."""

from collections.abc import Iterable
from typing import TextIO

import click
from returns.result import Failure

from tanagercourse.core.ids import RequestId, RouteId
from tanagercourse.diagnosis.load import LoadInterval, build_load_report
from tanagercourse.diagnosis.log_lines import FleetLog, read_log
from tanagercourse.diagnosis.story import tell_story
from tanagercourse.operators.output import (
    OutputFormat,
    examples,
    fail,
    format_table,
    print_json,
)
from tanagercourse.operators.session import output_option

_TRACE_EXAMPLES = examples(
    "tanagercourse trace d446d9ce0ac1c1b4 entry-*.log",
    "zcat entry-*.gz | tanagercourse trace d446d9ce0ac1c1b4",
)
_LOAD_EXAMPLES = examples(
    "tanagercourse report load entry-*.log",
    "tanagercourse report load --route r-we3p3h8 --interval-s 10 entry-*.log",
)
_LOAD_HEADINGS = (
    "from s",
    "attempts",
    "ok",
    "cold",
    "p50 ms",
    "p99 ms",
    "refused",
    "refused retries",
    "requests at upstreams",
)

_logs_argument = click.argument(
    "logs", nargs=-1, default=("-",), type=click.File("r", "utf-8", "replace")
)


@click.command("trace", epilog=_TRACE_EXAMPLES)
@click.argument("request_id")
@_logs_argument
@output_option
def trace(request_id: str, logs: tuple[TextIO, ...], output: str) -> None:
    """Tell what happened to one request, from the logs of all instances.

    Reads the files LOGS, or standard input without any. For each attempt: the upstream,
    what the choice was based on and how old that was; for a refusal, its reason; and
    what the instance noticed of these upstreams at the time.
    """
    output_format = OutputFormat(output)
    story = tell_story(_read(logs), RequestId(request_id))
    if isinstance(story, Failure):
        fail(story.failure(), output_format)
    steps = story.unwrap()
    if output_format is OutputFormat.JSON:
        print_json(steps)
        return
    for step in steps:
        offset_ms = round((step.at_s - steps[0].at_s) * 1000)
        click.echo(f"{offset_ms:>7} ms  {step.instance}: {step.text}")


@click.command("load", epilog=_LOAD_EXAMPLES)
@_logs_argument
@click.option("--route", help="Only requests of this route.")
@click.option(
    "--interval-s",
    type=click.FloatRange(0.1, 3600.0),
    default=2.0,
    show_default=True,
    help="Length of an interval, in seconds.",
)
@output_option
def load(
    logs: tuple[TextIO, ...], route: str | None, interval_s: float, output: str
) -> None:
    """Show attempts, refusals and the requests at each zone's upstreams over time.

    Reads the files LOGS, or standard input without any. Refusals beside few requests at
    the upstreams mean that slots were idle; "cold" counts attempts at upstreams that
    were not assumed to be warm for the object, "refused retries" the refusals of
    callers that had come back.
    """
    log = _read(logs)
    intervals = build_load_report(log, interval_s, RouteId(route) if route else None)
    if OutputFormat(output) is OutputFormat.JSON:
        print_json(intervals)
    else:
        click.echo(format_table(_LOAD_HEADINGS, list(map(_load_row, intervals))))
    _warn_of_missing_lines(log)


def _read(logs: Iterable[TextIO]) -> FleetLog:
    return read_log(line for file in logs for line in file)


def _load_row(interval: LoadInterval) -> tuple[str, ...]:
    refused = ", ".join(f"{reason} {n}" for reason, n in interval.refused.items())
    running = ", ".join(f"{zone} {n:.1f}" for zone, n in interval.running.items())
    return (
        f"{interval.start_s:g}",
        str(interval.attempts),
        str(interval.succeeded),
        str(interval.assumed_cold),
        str(interval.p50_ms),
        str(interval.p99_ms),
        refused or "-",
        str(interval.refused_retries),
        running or "-",
    )


def _warn_of_missing_lines(log: FleetLog) -> None:
    if log.dropped_lines or log.unreadable_lines:
        click.echo(
            f"tanagercourse: the instances dropped {log.dropped_lines} lines, and "
            f"{log.unreadable_lines} lines could not be read",
            err=True,
        )
