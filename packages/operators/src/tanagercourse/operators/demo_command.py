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
    help="The customer whose deployment to run.",
)
@click.option(
    "--seed", default=1, show_default=True, help="Seed of the random load generator."
)
@click.option(
    "--load-s",
    type=click.FloatRange(2.0, 40.0),
    default=20.0,
    show_default=True,
    help="How long the load lasts, in seconds.",
)
def demo(customer: str, seed: int, load_s: float) -> None:
    """Run a customer's deployment on loopback under load and planned changes.

    Prints a table of results by rank. The exit code is 0 only if every guarantee
    held.
    """
    # Imported here because the entry package is slow to import and no other command
    # runs entry instances.
    from tanagercourse.testing.demo import DemoOptions, run_demo

    configure_logging(LogFormat.CONSOLE, LogLevel.ERROR)
    options = DemoOptions(CustomerId(customer), seed, load_s)
    guarantees_held = anyio.run(run_demo, options, _apply, click.echo)
    sys.exit(ExitCode.DONE if guarantees_held else ExitCode.FAILED)


async def _apply(
    store: Store, path: ObjectPath, value: bytes, team: TeamId
) -> Result[Version, Problem]:
    applied = await apply_setting(store, Edit(path, value, team))
    if isinstance(applied, Failure):
        return applied
    return Success(applied.unwrap().written.version)
