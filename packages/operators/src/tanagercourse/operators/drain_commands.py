"""The commands `tanagercourse drain` and `undrain`."""

import click
from returns.result import Failure

from tanagercourse.core.ids import ServiceId, UpstreamId
from tanagercourse.operators.drains import DutyChange, change_duty, edit_duty
from tanagercourse.operators.dry_run import plan_edit
from tanagercourse.operators.output import examples, fail
from tanagercourse.operators.printing import print_applied, print_plan, wait_for_rollout
from tanagercourse.operators.session import Session, wait_option, with_team_session
from tanagercourse.settings.schema import Duty

_DRAIN_EXAMPLES = examples(
    "tanagercourse drain motritelj motritelj-3 --team preljev --dry-run",
    "tanagercourse drain motritelj motritelj-3 --team preljev --wait-s 30",
)
_UNDRAIN_EXAMPLES = examples(
    "tanagercourse undrain motritelj motritelj-3 --team preljev"
)
_DRY_RUN_OPTION = click.option(
    "--dry-run",
    is_flag=True,
    help="Show the traffic that would move, without applying the change.",
)


@click.command("drain", epilog=_DRAIN_EXAMPLES)
@click.argument("service")
@click.argument("upstream")
@_DRY_RUN_OPTION
@wait_option
@with_team_session
async def drain(
    session: Session, service: str, upstream: str, dry_run: bool, wait_s: float
) -> None:
    """Stop sending new requests to UPSTREAM of SERVICE; running ones finish."""
    change = _duty_change(session, service, upstream, Duty.DRAIN)
    await (
        _print_dry_run(session, change) if dry_run else _apply(session, change, wait_s)
    )


@click.command("undrain", epilog=_UNDRAIN_EXAMPLES)
@click.argument("service")
@click.argument("upstream")
@_DRY_RUN_OPTION
@wait_option
@with_team_session
async def undrain(
    session: Session, service: str, upstream: str, dry_run: bool, wait_s: float
) -> None:
    """Send new requests to UPSTREAM of SERVICE again."""
    change = _duty_change(session, service, upstream, Duty.SERVE)
    await (
        _print_dry_run(session, change) if dry_run else _apply(session, change, wait_s)
    )


def _duty_change(
    session: Session, service: str, upstream: str, duty: Duty
) -> DutyChange:
    return DutyChange(session.team, ServiceId(service), UpstreamId(upstream), duty)


async def _print_dry_run(session: Session, change: DutyChange) -> None:
    async with session.store() as store:
        edited = await edit_duty(store, change)
        if isinstance(edited, Failure):
            fail(edited.failure(), session.output)
        planned = await plan_edit(store, edited.unwrap())
    if isinstance(planned, Failure):
        fail(planned.failure(), session.output)
    print_plan(session.output, planned.unwrap())


async def _apply(session: Session, change: DutyChange, wait_s: float) -> None:
    async with session.store() as store:
        applied = await change_duty(store, change)
        if isinstance(applied, Failure):
            fail(applied.failure(), session.output)
        print_applied(session.output, applied.unwrap())
        await wait_for_rollout(session, store, applied.unwrap(), wait_s)
