"""The command `tanagercourse demo`."""

import sys

import anyio
import click
from returns.result import Failure, Result, Success

from tanagercourse.core.ids import CustomerId, ObjectPath, TeamId, Version
from tanagercourse.core.problems import Problem
from tanagercourse.entry.logs import configure_logging
from tanagercourse.entry.options import LogFormat, LogLevel
from tanagercourse.operators.output import ExitCode
from tanagercourse.operators.settings import Edit, apply_setting
from tanagercourse.platform.store import Store
from tanagercourse.testing.deployments import DEPLOYMENTS


@click.command()
@click.option(
    "--customer",
    type=click.Choice(sorted(DEPLOYMENTS)),
    default="kanalis",
    show_default=True,
    help="Whose deployment to run.",
)
@click.option("--seed", default=1, show_default=True, help="Seeds the load.")
@click.option(
    "--load-s",
    type=click.FloatRange(2.0, 40.0),
    default=20.0,
    show_default=True,
    help="How long the load lasts, in seconds.",
)
def demo(customer: str, seed: int, load_s: float) -> None:
    """Run a user's deployment on loopback under load and planned changes.

    Ends with a table by rank, and with exit code 0 only if every promise was held.
    """
    # An entry instance takes long to import, and of all commands only this needs it.
    from tanagercourse.testing.demo import DemoOptions, run_demo

    configure_logging(LogFormat.CONSOLE, LogLevel.ERROR)
    options = DemoOptions(CustomerId(customer), seed, load_s)
    is_kept = anyio.run(run_demo, options, _apply, click.echo)
    sys.exit(ExitCode.DONE if is_kept else ExitCode.FAILED)


async def _apply(
    store: Store, path: ObjectPath, value: bytes, team: TeamId
) -> Result[Version, Problem]:
    applied = await apply_setting(store, Edit(path, value, team))
    if isinstance(applied, Failure):
        return applied
    return Success(applied.unwrap().written.version)
