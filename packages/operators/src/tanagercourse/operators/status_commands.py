"""The commands `tanagercourse status` and `explain`."""

import click
from returns.result import Failure

from tanagercourse.coordination.status import (
    ApplyStatus,
    FleetStatus,
    ZoneApplyStatus,
    read_fleet_status,
)
from tanagercourse.core.ids import NO_VERSION, ServiceId, Version, ZoneId
from tanagercourse.operators.output import (
    OutputFormat,
    examples,
    fail,
    format_table,
    print_json,
)
from tanagercourse.operators.progress import wait_for_news
from tanagercourse.operators.session import Session, reads_platform

_STATUS_EXAMPLES = examples(
    "tanagercourse status",
    "tanagercourse status --version 41 --watch",
)
_EXPLAIN_EXAMPLES = examples(
    "tanagercourse explain motritelj --client 10.1.2.3",
    "tanagercourse explain orderpost --client 10.1.2.3 --zone cape-a",
)
_ZONE_HEADINGS = ("zone", "in force", "lagging", "unreachable", "age s", "written by")
_BEHIND_HEADINGS = ("instance", "zone", "state", "version", "reach", "heard s ago")


@click.command("status", epilog=_STATUS_EXAMPLES)
@click.option("--version", type=click.IntRange(0), default=0, help="Compare with this.")
@click.option("--watch", is_flag=True, help="Show each change until interrupted.")
@reads_platform
async def status(session: Session, version: int, watch: bool) -> None:
    """Show which zones and instances have the newest settings in force.

    Ages are told because a zone that is cut off from the platform leaves its last
    report behind; an instance that nobody heard of lately is unreachable, whatever
    it last said.
    """
    seen = NO_VERSION
    shown: tuple[Version, ...] | None = None
    async with session.store() as store:
        while True:
            read = await read_fleet_status(store, Version(version))
            if isinstance(read, Failure):
                fail(read.failure(), session.output)
            found = read.unwrap()
            written = tuple(zone.written_version for zone in found.zones)
            if written != shown:
                _print_status(session.output, found)
                shown = written
            if not watch:
                return
            seen = await wait_for_news(store, seen)


@click.command("explain", epilog=_EXPLAIN_EXAMPLES)
@click.argument("service")
@click.option("--client", required=True, help="The caller's IP number.")
@click.option("--zone", help="The caller's availability zone, if it tells it.")
@click.option("--deadline-ms", type=click.IntRange(1), help="The request's deadline.")
@reads_platform
async def explain(
    session: Session,
    service: str,
    client: str,
    zone: str | None,
    deadline_ms: int | None,
) -> None:
    """Show step by step where a caller's request would go now, and why.

    The steps are worked out here by the decision code of the entry instances, from
    the settings and the list of machines that the platform has now. What only an
    instance knows, such as its queue and what it has in flight, is taken as idle.
    """
    # numpy takes long to import, and of all commands only this needs it.
    from tanagercourse.operators.explain import Question, explain_request

    question = Question(
        ServiceId(service), client, ZoneId(zone) if zone else None, deadline_ms
    )
    async with session.store() as store:
        explained = await explain_request(store, question)
    if isinstance(explained, Failure):
        fail(explained.failure(), session.output)
    steps = explained.unwrap()
    if session.output is OutputFormat.JSON:
        print_json(steps)
        return
    for number, step in enumerate(steps, 1):
        click.echo(f"{number}. {step.question}: {step.answer}")
        for reason in step.reasons:
            click.echo(f"   - {reason}")


def _print_status(output: OutputFormat, found: FleetStatus) -> None:
    if output is OutputFormat.JSON:
        print_json(found)
    else:
        click.echo(describe_status(found))


def describe_status(found: FleetStatus) -> str:
    """Return the fleet's status as text for a person."""
    if not found.zones:
        return "no zone has reported yet"
    lines = [
        f"newest settings: version {found.settings_version}",
        format_table(_ZONE_HEADINGS, [_zone_row(zone) for zone in found.zones]),
    ]
    behind = [row for zone in found.zones for row in _behind_rows(zone)]
    if behind:
        lines += ["", format_table(_BEHIND_HEADINGS, behind)]
    lines += [f"{path}: this status can't be read" for path in found.unreadable]
    return "\n".join(lines)


def _zone_row(zone: ZoneApplyStatus) -> tuple[str, ...]:
    counts = (zone.count(reach) for reach in ApplyStatus)
    return (zone.zone, *map(str, counts), f"{zone.age_s:.0f}", zone.writer)


def _behind_rows(zone: ZoneApplyStatus) -> list[tuple[str, ...]]:
    return [
        (
            each.status.instance,
            zone.zone,
            each.status.state.value,
            str(each.status.version),
            each.reach.value,
            f"{each.heard_age_s:.0f}",
        )
        for each in zone.instances
        if each.reach is not ApplyStatus.APPLIED
    ]
