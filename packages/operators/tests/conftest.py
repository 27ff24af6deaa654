"""Fixtures of the command line's tests."""

import pytest

from tanagercourse.core.states import Idempotency, Rank
from tanagercourse.settings.check import encode
from tanagercourse.settings.schema import ServiceSettings, UpstreamSettings
from tanagercourse.testing.commands import RunCommand, command_runner


@pytest.fixture
def run(platform_url: str) -> RunCommand:
    """Return a function that runs the binary for team preljev."""
    return command_runner(platform_url, "preljev")


@pytest.fixture
def service() -> ServiceSettings:
    """Return a valid service of team preljev."""
    upstream = UpstreamSettings("m-1", "10.0.0.1", 8080, "split-a")
    return ServiceSettings(
        "motritelj", Rank.MOST_URGENT, Idempotency.IDEMPOTENT, (upstream,)
    )


@pytest.fixture
def service_file(
    tmp_path_factory: pytest.TempPathFactory, service: ServiceSettings
) -> str:
    """Return a file with the service's settings."""
    file = tmp_path_factory.mktemp("settings") / "motritelj.json"
    file.write_bytes(encode(service))
    return str(file)
