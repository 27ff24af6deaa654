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
from tanagercourse.operators.progress import wait_for_status_change
from tanagercourse.operators.session import Session, with_session

_STATUS_EXAMPLES = examples(
    "tanagercourse status",
    "tanagercourse status --version 41 --watch",
)
_EXPLAIN_EXAMPLES = examples(
    "tanagercourse explain motritelj --client 10.1.2.3",
    "tanagercourse explain orderpost --client 10.1.2.3 --zone cape-a",
)
_ZONE_HEADINGS = ("zone", "in force", "lagging", "unreachable", "age s", "written by")
_NOT_APPLIED_HEADINGS = ("instance", "zone", "state", "version", "reach", "heard s ago")


@click.command("status", epilog=_STATUS_EXAMPLES)
@click.option(
    "--version",
    type=click.IntRange(0),
    default=0,
    help="Settings version to compare with, if newer than every reported one.",
)
@click.option("--watch", is_flag=True, help="Print the status again on each change.")
@with_session
async def status(session: Session, version: int, watch: bool) -> None:
    """Show which zones and instances have the newest settings in force.

    The table includes the age of each report, because the last report of a zone that
    is cut off from the platform remains listed. An instance without a recent report is
    listed as unreachable, whatever version it last reported.
    """
    seen_version = NO_VERSION
    printed_versions: tuple[Version, ...] | None = None
    async with session.store() as store:
        while True:
            read = await read_fleet_status(store, Version(version))
            if isinstance(read, Failure):
                fail(read.failure(), session.output)
            fleet_status = read.unwrap()
            versions = tuple(zone.written_version for zone in fleet_status.zones)
            if versions != printed_versions:
                _print_status(session.output, fleet_status)
                printed_versions = versions
            if not watch:
                return
            seen_version = await wait_for_status_change(store, seen_version)


@click.command("explain", epilog=_EXPLAIN_EXAMPLES)
@click.argument("service")
@click.option("--client", required=True, help="The caller's IP address.")
@click.option("--zone", help="The availability zone that the caller reports, if any.")
@click.option("--deadline-ms", type=click.IntRange(1), help="The request's deadline.")
@with_session
async def explain(
    session: Session,
    service: str,
    client: str,
    zone: str | None,
    deadline_ms: int | None,
) -> None:
    """Show step by step how a caller's request would be routed now, and why.

    The command runs the decision code of the entry instances on the settings and the
    list of machines that the platform has now. State that only an instance has, such
    as its wait queue and its requests in flight, is assumed to be empty.
    """
    # Imported here because numpy is slow to import and no other command needs it.
    from tanagercourse.operators.explain import RouteQuery, explain_request

    query = RouteQuery(
        ServiceId(service), client, ZoneId(zone) if zone else None, deadline_ms
    )
    async with session.store() as store:
        explained = await explain_request(store, query)
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


def _print_status(output: OutputFormat, fleet_status: FleetStatus) -> None:
    if output is OutputFormat.JSON:
        print_json(fleet_status)
    else:
        click.echo(format_status(fleet_status))


def format_status(fleet_status: FleetStatus) -> str:
    """Return the fleet's status as tables for the terminal."""
    if not fleet_status.zones:
        return "no zone has reported yet"
    lines = [
        f"newest settings: version {fleet_status.settings_version}",
        format_table(_ZONE_HEADINGS, [_zone_row(zone) for zone in fleet_status.zones]),
    ]
    not_applied = [
        row for zone in fleet_status.zones for row in _not_applied_rows(zone)
    ]
    if not_applied:
        lines += ["", format_table(_NOT_APPLIED_HEADINGS, not_applied)]
    lines += [
        f"{path}: this zone status cannot be decoded"
        for path in fleet_status.unreadable
    ]
    return "\n".join(lines)


def _zone_row(zone: ZoneApplyStatus) -> tuple[str, ...]:
    counts = (zone.count(reach) for reach in ApplyStatus)
    return (zone.zone, *map(str, counts), f"{zone.age_s:.0f}", zone.writer)


def _not_applied_rows(zone: ZoneApplyStatus) -> list[tuple[str, ...]]:
    return [
        (
            instance.status.instance,
            zone.zone,
            instance.status.state.value,
            str(instance.status.version),
            instance.reach.value,
            f"{instance.heard_age_s:.0f}",
        )
        for instance in zone.instances
        if instance.reach is not ApplyStatus.APPLIED
    ]
