"""The binary `tanagercourse-entry`: flags and environment to a running instance."""

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
    read_seeds,
)
from tanagercourse.web.serving import address_of

EXIT_USAGE = 2
EXIT_ADDRESS_TAKEN = 3

_log = structlog.get_logger()


@click.command(context_settings={"auto_envvar_prefix": "TANAGERCOURSE"})
@click.option("--instance", required=True, help="This instance's id.")
@click.option("--zone", required=True, help="Its availability zone.")
@click.option("--host", default="127.0.0.1", show_default=True, help="An IP number.")
@click.option(
    "--port",
    type=click.IntRange(0, 65_535),
    default=8080,
    show_default=True,
    help="TCP port for callers; 0 takes a free one.",
)
@click.option(
    "--peer-port",
    type=click.IntRange(0, 65_535),
    default=8081,
    show_default=True,
    help="TCP port for other instances; 0 takes a free one.",
)
@click.option(
    "--seed",
    "seeds",
    multiple=True,
    help="IP:PORT of an instance to ask at the start when the platform is down.",
)
@click.option("--platform-url", required=True, help="The platform's base URL.")
@click.option(
    "--stop-timeout-s",
    type=click.FloatRange(0.1, 600.0),
    default=30.0,
    show_default=True,
    help="How long a planned stop may take, in seconds.",
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

    Each flag can be given as an environment variable instead, such as
    TANAGERCOURSE_ZONE for --zone. Exit codes: 0 after a planned stop, 2 for a wrong
    flag, 3 when its address and port can't be had.
    """
    addresses = read_seeds(seeds)
    if isinstance(addresses, Failure):
        _end_with(addresses.failure(), EXIT_USAGE)
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
        _end_with(checked.failure(), EXIT_USAGE)
    options = checked.unwrap()
    configure_logging(options.log_format, options.log_level)
    problem = anyio.run(_run, options)
    if problem is not None:
        _end_with(problem, EXIT_ADDRESS_TAKEN)


def _end_with(problem: Problem, code: int) -> NoReturn:
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
