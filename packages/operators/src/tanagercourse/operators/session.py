"""Options that commands share: the platform, the acting team and the output format."""

import functools
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Any

import anyio
import click
import httpx

from tanagercourse.core.ids import TeamId
from tanagercourse.operators.output import OutputFormat
from tanagercourse.platform.http import http_store
from tanagercourse.platform.store import Store


@dataclass(frozen=True)
class Session:
    """The values of the shared options.

    Attributes:
        platform_url: The platform's base URL, without a trailing slash.
        team: The acting team, empty for commands that only read.
        output: The output format.
    """

    platform_url: str
    team: TeamId
    output: OutputFormat

    @asynccontextmanager
    async def store(self) -> AsyncIterator[Store]:
        """Open the platform's store for the duration of a block."""
        async with httpx.AsyncClient(trust_env=False) as client:
            yield http_store(client, self.platform_url)


Command = Callable[..., Awaitable[None]]

_platform_url_option = click.option(
    "--platform-url",
    envvar="TANAGERCOURSE_PLATFORM_URL",
    required=True,
    help="The platform's base URL; can be set by TANAGERCOURSE_PLATFORM_URL.",
)
_team_option = click.option(
    "--team",
    envvar="TANAGERCOURSE_TEAM",
    required=True,
    help="The team you act for; can be set by TANAGERCOURSE_TEAM.",
)
output_option = click.option(
    "--output",
    type=click.Choice([choice.value for choice in OutputFormat]),
    default=OutputFormat.TABLE.value,
    envvar="TANAGERCOURSE_OUTPUT",
    show_default=True,
    help="The output format.",
)


wait_option = click.option(
    "--wait-s",
    type=click.FloatRange(0.0),
    default=0.0,
    show_default=True,
    help="Wait up to this many seconds until the change is in force everywhere.",
)


def with_session(command: Command) -> Callable[..., None]:
    """Add the shared options to a command that only reads and needs no team."""

    @_platform_url_option
    @output_option
    @functools.wraps(command)
    def run(platform_url: str, output: str, **arguments: Any) -> None:
        _run(command, platform_url, "", output, arguments)

    return run


def with_team_session(command: Command) -> Callable[..., None]:
    """Add the shared options to a command that changes settings for a team."""

    @_platform_url_option
    @_team_option
    @output_option
    @functools.wraps(command)
    def run(platform_url: str, team: str, output: str, **arguments: Any) -> None:
        _run(command, platform_url, team, output, arguments)

    return run


def _run(
    command: Command,
    platform_url: str,
    team: str,
    output: str,
    arguments: dict[str, Any],
) -> None:
    session = Session(platform_url.rstrip("/"), TeamId(team), OutputFormat(output))
    anyio.run(functools.partial(command, session, **arguments))
