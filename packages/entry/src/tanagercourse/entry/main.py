"""The program `tanagercourse-entry`: parses flags and runs an entry instance."""

import sys
from typing import NoReturn

import anyio
import click
import structlog
from returns.result import Failure

from tanagercourse.core.ids import InstanceId, ZoneId
from tanagercourse.core.problems import Problem
from tanagercourse.entry.instance import run_instance, stop_on_signal
from tanagercourse.entry.listening import AddressTaken, open_listeners
from tanagercourse.entry.logs import configure_logging
from tanagercourse.entry.options import (
    EntryOptions,
    LogFormat,
    LogLevel,
    check_options,
    parse_seeds,
)
from tanagercourse.web.serving import address_of

EXIT_USAGE = 2
EXIT_ADDRESS_TAKEN = 3

_log = structlog.get_logger()


@click.command(context_settings={"auto_envvar_prefix": "TANAGERCOURSE"})
@click.option("--instance", required=True, help="This instance's id.")
@click.option("--zone", required=True, help="This instance's availability zone.")
@click.option(
    "--host", default="127.0.0.1", show_default=True, help="IP address to listen on."
)
@click.option(
    "--port",
    type=click.IntRange(0, 65_535),
    default=8080,
    show_default=True,
    help="TCP port for callers; 0 selects a free port.",
)
@click.option(
    "--peer-port",
    type=click.IntRange(0, 65_535),
    default=8081,
    show_default=True,
    help="TCP port for other instances; 0 selects a free port.",
)
@click.option(
    "--seed",
    "seeds",
    multiple=True,
    help="IP:PORT of an instance to query if the platform is down at the start.",
)
@click.option("--platform-url", required=True, help="Base URL of the platform.")
@click.option(
    "--stop-timeout-s",
    type=click.FloatRange(0.1, 600.0),
    default=30.0,
    show_default=True,
    help="Maximum duration of a planned stop, in seconds.",
)
@click.option(
    "--log-format",
    type=click.Choice([choice.value for choice in LogFormat]),
    default=LogFormat.JSON.value,
    show_default=True,
)
@click.option(
    "--log-level",
    type=click.Choice([choice.value for choice in LogLevel]),
    default=LogLevel.INFO.value,
    show_default=True,
)
def main(
    instance: str,
    zone: str,
    host: str,
    port: int,
    peer_port: int,
    seeds: tuple[str, ...],
    platform_url: str,
    stop_timeout_s: float,
    log_format: str,
    log_level: str,
) -> None:
    """Run an entry instance until SIGTERM.

    Each flag can also be set by an environment variable, such as TANAGERCOURSE_ZONE
    for --zone. Exit codes: 0 after a planned stop, 2 for an invalid flag, 3 if the
    address and port can't be bound.
    """
    addresses = parse_seeds(seeds)
    if isinstance(addresses, Failure):
        _exit_with(addresses.failure(), EXIT_USAGE)
    checked = check_options(
        EntryOptions(
            InstanceId(instance),
            ZoneId(zone),
            host,
            port,
            platform_url.rstrip("/"),
            stop_timeout_s,
            LogFormat(log_format),
            LogLevel(log_level),
            peer_port,
            addresses.unwrap(),
        )
    )
    if isinstance(checked, Failure):
        _exit_with(checked.failure(), EXIT_USAGE)
    options = checked.unwrap()
    configure_logging(options.log_format, options.log_level)
    problem = anyio.run(_run, options)
    if problem is not None:
        _exit_with(problem, EXIT_ADDRESS_TAKEN)


def _exit_with(problem: Problem, code: int) -> NoReturn:
    click.echo(f"tanagercourse-entry: {problem.describe()}", err=True)
    sys.exit(code)


async def _run(options: EntryOptions) -> AddressTaken | None:
    structlog.contextvars.bind_contextvars(instance=options.instance, zone=options.zone)
    opened = open_listeners(options)
    if isinstance(opened, Failure):
        problem: AddressTaken = opened.failure()
        return problem
    listeners = opened.unwrap()
    host, port = address_of(listeners.callers)
    _log.info("listening", host=host, port=port)
    stop = anyio.Event()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(stop_on_signal, stop)
        await run_instance(options, listeners, stop)
        tasks.cancel_scope.cancel()
    return None


if __name__ == "__main__":
    main()
