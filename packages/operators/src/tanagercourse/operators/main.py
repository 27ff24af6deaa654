"""The binary `tanagercourse`: a thin command line over importable functions."""

import sys
from pathlib import Path

import anyio
import click
import httpx
from returns.result import Failure
from tanagercourse.core.ids import ObjectPath
from tanagercourse.operators.settings import apply_setting, get_setting
from tanagercourse.platform.http import http_store

EXIT_FAILED = 1


@click.group(context_settings={"auto_envvar_prefix": "TANAGERCOURSE"})
@click.option("--platform-url", required=True, help="The platform's base URL.")
@click.pass_context
def main(context: click.Context, platform_url: str) -> None:
    """Drive and watch a tanagercourse fleet."""
    context.obj = platform_url.rstrip("/")


@main.group()
def settings() -> None:
    """Read and change steering settings."""


@settings.command("get")
@click.argument("path")
@click.pass_obj
def get_command(platform_url: str, path: str) -> None:
    """Print the object at PATH."""
    anyio.run(_get, platform_url, ObjectPath(path))


@settings.command("apply")
@click.argument("path")
@click.argument("file", type=click.Path(exists=True, path_type=Path))
@click.pass_obj
def apply_command(platform_url: str, path: str, file: Path) -> None:
    """Check the settings in FILE and put them at PATH."""
    anyio.run(_apply, platform_url, ObjectPath(path), file.read_bytes())


async def _get(platform_url: str, path: ObjectPath) -> None:
    async with httpx.AsyncClient(trust_env=False) as http:
        found = await get_setting(http_store(http, platform_url), path)
    if isinstance(found, Failure):
        _fail(found.failure().describe())
    click.echo(found.unwrap().value.decode())


async def _apply(platform_url: str, path: ObjectPath, value: bytes) -> None:
    async with httpx.AsyncClient(trust_env=False) as http:
        applied = await apply_setting(http_store(http, platform_url), path, value)
    if isinstance(applied, Failure):
        _fail(applied.failure().describe())
    click.echo(f"{path}: version {applied.unwrap().version}")


def _fail(message: str) -> None:
    click.echo(f"tanagercourse: {message}", err=True)
    sys.exit(EXIT_FAILED)


if __name__ == "__main__":
    main()
